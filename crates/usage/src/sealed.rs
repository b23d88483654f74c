//! Record of a sealed window of one shard. Reports are made only from these records.
//!
//! Besides the figures, the record states which counters they contain. Sources whose counters were
//! final are marked as complete; for any other source the included rows are kept. So any later
//! lease holder can compare counters that arrive late with what was sealed, and adds only the
//! difference to a later window as an adjustment. Nothing is counted twice.

use {
    crate::{
        counter::to_vec,
        figures::{Row, RowKey, Rows, Source, Window, shard_of},
        ledger::{CounterCopy, Ledger},
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Format version that is read and written; the first byte of a record.
pub const VERSION: u8 = 1;
/// Maximum size of a record in bytes, below the store's limit of a value.
pub const MAX_BYTES: usize = 900 * 1024;

/// Counters of one source and window that a record includes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Instance that counted.
    pub source: Source,
    /// Window in which it counted.
    pub window: Window,
    /// Whether the counters were final, so that no more can arrive from this source for this
    /// window.
    pub complete: bool,
    /// Included amounts; empty if `complete`.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
}

/// Record of a sealed window of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Number of the shard.
    pub shard: u32,
    /// Sealed window. Rows with an earlier window are adjustments.
    pub window: Window,
    /// Figures to report.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
    /// Counters that the figures include.
    pub entries: Vec<Entry>,
}

/// Error while decoding a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The record has an unknown format version.
    #[error("usage record {key} has unknown version {version}")]
    Version {
        /// Key of the record.
        key: String,
        /// Version of the record.
        version: u8,
    },
    /// The record cannot be decoded.
    #[error("usage record {key} is corrupt: {cause}")]
    Corrupt {
        /// Key of the record.
        key: String,
        /// Description of the problem.
        cause: String,
    },
}

/// Store key of the record of a sealed window.
pub fn key(shard: u32, window: Window) -> String {
    format!("usage/{shard}/{window}")
}

/// Encodes a value as a record: the version byte, then postcard.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    let body = postcard::to_stdvec(value).expect("serialization cannot fail");
    bytes.extend(body);
    bytes
}

/// Decodes a record; `key` is used in errors.
///
/// # Errors
///
/// Fails if the record is empty, has another version, cannot be decoded or has trailing bytes.
pub fn decode<T: for<'a> Deserialize<'a>>(key: &str, bytes: &[u8]) -> Result<T, Error> {
    let corrupt = |cause: &str| Error::Corrupt { key: key.into(), cause: cause.into() };
    let (&version, body) = bytes.split_first().ok_or_else(|| corrupt("empty"))?;
    if version != VERSION {
        return Err(Error::Version { key: key.into(), version });
    }
    let (value, rest) = postcard::take_from_bytes(body).map_err(|e| corrupt(&e.to_string()))?;
    match rest {
        [] => Ok(value),
        _ => Err(corrupt("trailing bytes")),
    }
}

/// Counters of one source and window that earlier records include.
#[derive(Default)]
struct Included {
    complete: bool,
    rows: Rows,
}

/// Adds up what the records of `history` include, by source and window.
fn included_counts(history: &[Sealed]) -> IndexMap<(Source, Window), Included> {
    let mut included: IndexMap<_, Included> = IndexMap::new();
    for entry in history.iter().flat_map(|s| &s.entries) {
        let c = included.entry((entry.source.clone(), entry.window)).or_default();
        c.complete |= entry.complete;
        add(&mut c.rows, &entry.rows);
    }
    included
}

fn add(rows: &mut Rows, more: &[Row]) {
    for row in more {
        let sum = rows.entry(row.key.clone()).or_default();
        *sum = sum.saturating_add(row.figures);
    }
}

/// Builds the record of `window` from the counters in `ledger`, without what `history` already
/// includes.
///
/// `history` must contain all records of the shard from window `oldest_accepted` on. Counts of
/// older windows are omitted, since what was sealed of them is no longer known.
pub fn seal(
    shard: u32,
    shards: u32,
    window: Window,
    oldest_accepted: Window,
    history: &[Sealed],
    ledger: &Ledger,
) -> Sealed {
    debug_assert!(history.iter().all(|s| s.shard == shard && s.window < window));
    let included = included_counts(history);
    let mut sealed = Sealed { shard, window, rows: Vec::new(), entries: Vec::new() };
    let mut size = 0;
    for (source, copy) in ledger.copies() {
        for (counted_in, rows) in rows_by_window(copy, shard, shards, oldest_accepted..=window) {
            let included_before = included.get(&(source.clone(), counted_in));
            if included_before.is_some_and(|c| c.complete) {
                continue;
            }
            let entry = entry(source, counted_in, rows, included_before, counted_in < copy.closed);
            let bytes = entry_bytes(&entry);
            let has_content = entry.complete || !entry.rows.is_empty();
            // Entries that do not fit are left for the record of the next window.
            if has_content && size + bytes <= MAX_BYTES / 2 {
                size += bytes;
                sealed.entries.push(entry);
            }
        }
    }
    sum_rows(&mut sealed);
    sealed
}

/// Approximate size of an entry in the record in bytes.
fn entry_bytes(entry: &Entry) -> usize {
    if entry.complete {
        return entry.source.len() + size_of::<Window>() * 2;
    }
    encode(entry).len()
}

/// Adds up the rows of the entries and clears the rows of complete entries.
fn sum_rows(sealed: &mut Sealed) {
    let mut total = Rows::new();
    for entry in &mut sealed.entries {
        add(&mut total, &entry.rows);
        if entry.complete {
            entry.rows.clear();
        }
    }
    total.sort_unstable_keys();
    sealed.rows = to_vec(total);
}

fn entry(
    source: &Source,
    window: Window,
    rows: Rows,
    included_before: Option<&Included>,
    complete: bool,
) -> Entry {
    let known =
        |k: &RowKey| included_before.and_then(|c| c.rows.get(k)).copied().unwrap_or_default();
    let rows = rows.into_iter().map(|(k, f)| {
        let figures = f.saturating_sub(known(&k));
        Row { key: k, figures }
    });
    let rows = rows.filter(|r| !r.figures.is_zero()).collect();
    Entry { source: source.clone(), window, complete, rows }
}

fn rows_by_window(
    copy: &CounterCopy,
    shard: u32,
    shards: u32,
    windows: std::ops::RangeInclusive<Window>,
) -> IndexMap<Window, Rows> {
    let mut by_window: IndexMap<Window, Rows> = IndexMap::new();
    for (key, figures) in &copy.rows {
        if windows.contains(&key.window) && shard_of(&key.org, shards) == shard {
            by_window.entry(key.window).or_default().insert(key.clone(), *figures);
        }
    }
    by_window
}
