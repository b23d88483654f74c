//! The record of a piece's intentions in the store.

use {
    agate_core::FenceToken,
    agate_ctl::{Saved, decode, encode},
    agate_store::{Purpose, Record, Revision, Store, Swap, Write, swap_resolved},
};

/// Tries of a write whose answer is lost.
const ATTEMPTS: u32 = 2;

/// Key of the record of a piece.
pub fn key(piece: &str) -> String {
    format!("control/{piece}")
}

/// Takes the record over from an earlier holder: whoever still knows it under an earlier revision
/// cannot write it any more. Returns its revision and the intentions in it; none if that failed.
pub async fn take_over(
    store: &Store,
    piece: &str,
    fence: FenceToken,
) -> Option<(Revision, Vec<Saved>)> {
    let key = key(piece);
    let found = store.get(Purpose::Record, &key).await;
    let found = found.inspect_err(|e| log::warn!("{e}")).ok()?;
    let (expect, saved) = match &found {
        None => (0, Vec::new()),
        Some(record) => (record.revision, read(&key, record, fence)?),
    };
    let bytes = encode(fence, &saved).inspect_err(|e| log::error!("{key}: {e}")).ok()?;
    let revision = save(store, piece, expect, bytes).await.ok()?;
    Some((revision, saved))
}

/// Intentions in a record, unless it cannot be read or belongs to a later holder.
fn read(key: &str, record: &Record, fence: FenceToken) -> Option<Vec<Saved>> {
    let (writer, saved) =
        decode(&record.value).inspect_err(|e| log::error!("record {key}: {e}")).ok()?;
    (writer <= fence).then_some(saved)
}

/// Writes the record if its revision is `expect`.
///
/// Errors: the revision that the record has now, if it is known.
pub async fn save(
    store: &Store,
    piece: &str,
    expect: Revision,
    value: Vec<u8>,
) -> Result<Revision, Option<Revision>> {
    let write = Write { key: key(piece), expect, value };
    let mine = |r: &Record| r.value == write.value;
    match swap_resolved(store, Purpose::Record, &write, ATTEMPTS, mine).await {
        Ok(Swap::Done(revision)) => Ok(revision),
        Ok(Swap::Conflict(found) | Swap::Overtaken(found)) => {
            Err(Some(found.map_or(0, |r| r.revision)))
        }
        Err(e) => {
            log::warn!("{e}");
            Err(None)
        }
    }
}
