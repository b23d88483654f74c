//! Usage counters that a stopping instance writes to the store because no peer can take them over.
//!
//! Merging is idempotent, so a record may stay until all of its windows are too old to be reported.

use {
    agate_store::{Call, Error, Purpose, Record, Store, StoreResponse},
    agate_usage::{
        Window,
        ledger::{Part, PartRequest},
        sealed,
    },
};

/// Key prefix of the records.
const PREFIX: &str = "usage/left/";
/// Maximum number of attempts to write a record.
const MAX_ATTEMPTS: u32 = 3;

/// Writes the counters of `source`; false if that failed.
pub async fn write(store: &Store, source: &str, parts: &[Part]) -> bool {
    let key = format!("{PREFIX}{source}");
    for _ in 0..MAX_ATTEMPTS {
        let value = Some(sealed::encode(&parts));
        let call = Call::Swap { key: key.clone(), expect: 0, value, lease: None };
        match store.call(Purpose::Report, call).await {
            // A conflict is an earlier attempt whose response was lost: nobody else writes this
            // key.
            Ok(StoreResponse::Swapped(_) | StoreResponse::Conflict(_)) => return true,
            Ok(other) => log::warn!("writing {key}: unexpected response {other:?}"),
            Err(e) => log::warn!("{e}"),
        }
    }
    false
}

/// Reads the records for the shard in `want`, or nothing on failure; a record more than `2 *
/// horizon` windows older than the newest wanted window is deleted.
pub async fn read(store: &Store, want: &PartRequest, horizon: u64) -> Vec<Part> {
    read_all(store, want, horizon).await.unwrap_or_else(|e| {
        log::warn!("{e}");
        Vec::new()
    })
}

async fn read_all(store: &Store, want: &PartRequest, horizon: u64) -> Result<Vec<Part>, Error> {
    let call = Call::List { prefix: PREFIX.into() };
    let StoreResponse::Keys(keys) = store.call(Purpose::Report, call).await? else {
        return Ok(Vec::new());
    };
    let mut out = Vec::new();
    for key in keys {
        let Some(record) = store.get(Purpose::Report, &key).await? else { continue };
        let parts: Vec<Part> = match sealed::decode(&key, &record.value) {
            Ok(parts) => parts,
            Err(e) => {
                log::error!("{e}");
                continue;
            }
        };
        if newest_window(&parts) + 2 * horizon < want.newest {
            delete(store, key, &record).await?;
            continue;
        }
        out.extend(parts);
    }
    Ok(out)
}

fn newest_window(parts: &[Part]) -> Window {
    let rows = parts.iter().flat_map(|p| &p.rows);
    rows.map(|r| r.key.window).max().unwrap_or_default()
}

async fn delete(store: &Store, key: String, record: &Record) -> Result<(), Error> {
    let call = Call::Swap { key, expect: record.revision, value: None, lease: None };
    store.call(Purpose::Report, call).await.map(drop)
}
