//! Usage counters that an instance left in the store because no peer could take them over.
//!
//! Merging is idempotent, so a record may stay until nothing in it can be taken in any more.

use {
    agate_store::{Call, Error, Purpose, Record, Reply, Store},
    agate_usage::{
        Window,
        ledger::{Part, Want},
        sealed,
    },
};

/// Prefix of the records.
const PREFIX: &str = "usage/left/";
/// Tries to write a record.
const TRIES: u32 = 3;

/// Writes what `source` leaves behind; false if that failed.
pub async fn write(store: &Store, source: &str, parts: &[Part]) -> bool {
    let key = format!("{PREFIX}{source}");
    for _ in 0..TRIES {
        let value = Some(sealed::encode(&parts));
        let call = Call::Swap { key: key.clone(), expect: 0, value, lease: None };
        match store.call(Purpose::Report, call).await {
            // A conflict is an earlier try whose answer was lost: nobody else writes this key.
            Ok(Reply::Swapped(_) | Reply::Conflict(_)) => return true,
            Ok(other) => log::warn!("writing {key}: unexpected answer {other:?}"),
            Err(e) => log::warn!("{e}"),
        }
    }
    false
}

/// Reads what instances left behind for the shard in `want`; a record that is more than `horizon`
/// windows older than the newest window wanted is deleted.
pub async fn read(store: &Store, want: &Want, horizon: u64) -> Vec<Part> {
    read_all(store, want, horizon).await.unwrap_or_else(|e| {
        log::warn!("{e}");
        Vec::new()
    })
}

async fn read_all(store: &Store, want: &Want, horizon: u64) -> Result<Vec<Part>, Error> {
    let call = Call::List { prefix: PREFIX.into() };
    let Reply::Keys(keys) = store.call(Purpose::Report, call).await? else {
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
        if newest(&parts) + 2 * horizon < want.newest {
            delete(store, key, &record).await?;
            continue;
        }
        out.extend(parts);
    }
    Ok(out)
}

fn newest(parts: &[Part]) -> Window {
    let rows = parts.iter().flat_map(|p| &p.rows);
    rows.map(|r| r.key.window).max().unwrap_or_default()
}

async fn delete(store: &Store, key: String, record: &Record) -> Result<(), Error> {
    let call = Call::Swap { key, expect: record.revision, value: None, lease: None };
    store.call(Purpose::Report, call).await.map(drop)
}
