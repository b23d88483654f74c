//! Record of a piece's planned changes in the store.

use {
    agate_core::FenceToken,
    agate_ctl::{ChangeIntent, decode, encode},
    agate_store::{Purpose, Record, Revision, Store, SwapOutcome, Write, swap_resolved},
};

/// Maximum number of attempts of a write whose response is lost.
const MAX_ATTEMPTS: u32 = 2;

/// Store key of a piece's record.
pub fn key(piece: &str) -> String {
    format!("control/{piece}")
}

/// Takes over the record from an earlier holder and returns its new revision and content; `None` on
/// failure. The write changes the revision, so an earlier holder can no longer write.
pub async fn take_over(
    store: &Store,
    piece: &str,
    fence: FenceToken,
) -> Option<(Revision, Vec<ChangeIntent>)> {
    let key = key(piece);
    let found = store.get(Purpose::Record, &key).await;
    let found = found.inspect_err(|e| log::warn!("{e}")).ok()?;
    let (expect, saved) = match &found {
        None => (0, Vec::new()),
        Some(record) => (record.revision, decode_record(&key, record, fence)?),
    };
    let bytes = encode(fence, &saved).inspect_err(|e| log::error!("{key}: {e}")).ok()?;
    let revision = save(store, piece, expect, bytes).await.ok()?;
    Some((revision, saved))
}

/// Decodes a record; `None` if it is malformed or was written by a later holder.
fn decode_record(key: &str, record: &Record, fence: FenceToken) -> Option<Vec<ChangeIntent>> {
    let (writer, saved) =
        decode(&record.value).inspect_err(|e| log::error!("record {key}: {e}")).ok()?;
    (writer <= fence).then_some(saved)
}

/// Writes the record if its revision is `expect` and returns the new revision.
///
/// Errors: the record's current revision, if known.
pub async fn save(
    store: &Store,
    piece: &str,
    expect: Revision,
    value: Vec<u8>,
) -> Result<Revision, Option<Revision>> {
    let write = Write { key: key(piece), expect, value };
    let mine = |r: &Record| r.value == write.value;
    match swap_resolved(store, Purpose::Record, &write, MAX_ATTEMPTS, mine).await {
        Ok(SwapOutcome::Done(revision)) => Ok(revision),
        Ok(SwapOutcome::Conflict(found) | SwapOutcome::Superseded(found)) => {
            Err(Some(found.map_or(0, |r| r.revision)))
        }
        Err(e) => {
            log::warn!("{e}");
            Err(None)
        }
    }
}
