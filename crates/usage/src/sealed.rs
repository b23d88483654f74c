//! A sealed window of one shard: the only thing that is ever reported.
//!
//! Besides the figures the record says whose counters they contain. A source whose counters were
//! final is named as complete; of any other the included rows are kept. So whatever turns up later
//! can be compared with what was sealed, by any holder, and only the difference goes into a later
//! window as an adjustment. Nothing is ever counted twice.

use {
    crate::{
        counter::to_vec,
        figures::{Row, RowKey, Rows, Source, Window, shard_of},
        ledger::{Copy, Ledger},
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Version of the record that this build reads and writes; the first byte of a record.
pub const VERSION: u8 = 1;
/// Largest record written, in bytes, below what the service holds.
pub const MAX_BYTES: usize = 900 * 1024;

/// Whose counters of one window a record contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Who counted.
    pub source: Source,
    /// Window that was counted.
    pub window: Window,
    /// Whether nothing more can come from this source for this window.
    pub complete: bool,
    /// What was included, if more may come.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
}

/// A sealed window of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// The shard.
    pub shard: u32,
    /// The window; rows of earlier windows are adjustments.
    pub window: Window,
    /// Figures to report.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
    /// Whose counters they contain.
    pub entries: Vec<Entry>,
}

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The record was written by a build with another format.
    #[error("usage record {key} has unknown version {version}")]
    Version {
        /// Key of the record.
        key: String,
        /// Version found.
        version: u8,
    },
    /// The record is not what this build writes.
    #[error("usage record {key} is corrupt: {cause}")]
    Corrupt {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Key of the record of a sealed window.
pub fn key(shard: u32, window: Window) -> String {
    format!("usage/{shard}/{window}")
}

/// Writes a value as a record.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    let body = postcard::to_stdvec(value).expect("plain values can be written");
    bytes.extend(body);
    bytes
}

/// Reads a record found under `key`.
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

#[derive(Default)]
struct Covered {
    complete: bool,
    rows: Rows,
}

/// What the records before contain of each source and window.
fn coverage(history: &[Sealed]) -> IndexMap<(Source, Window), Covered> {
    let mut covered: IndexMap<_, Covered> = IndexMap::new();
    for entry in history.iter().flat_map(|s| &s.entries) {
        let c = covered.entry((entry.source.clone(), entry.window)).or_default();
        c.complete |= entry.complete;
        add(&mut c.rows, &entry.rows);
    }
    covered
}

fn add(rows: &mut Rows, more: &[Row]) {
    for row in more {
        let sum = rows.entry(row.key.clone()).or_default();
        *sum = sum.plus(row.figures);
    }
}

/// Seals `window` from what `ledger` has gathered, without what `history` contains already.
///
/// `history` holds every record of the shard from window `floor` on; older windows are left out,
/// since what was sealed of them is not known any more.
pub fn seal(
    shard: u32,
    shards: u32,
    window: Window,
    floor: Window,
    history: &[Sealed],
    ledger: &Ledger,
) -> Sealed {
    debug_assert!(history.iter().all(|s| s.shard == shard && s.window < window));
    let covered = coverage(history);
    let mut sealed = Sealed { shard, window, rows: Vec::new(), entries: Vec::new() };
    let mut size = 0;
    for (source, copy) in ledger.copies() {
        for (origin, rows) in by_window(copy, shard, shards, floor..=window) {
            let before = covered.get(&(source.clone(), origin));
            if before.is_some_and(|c| c.complete) {
                continue;
            }
            let entry = entry(source, origin, rows, before, origin < copy.closed);
            let bytes = stored_bytes(&entry);
            let adds = entry.complete || !entry.rows.is_empty();
            // What does not fit goes into the next window.
            if adds && size + bytes <= MAX_BYTES / 2 {
                size += bytes;
                sealed.entries.push(entry);
            }
        }
    }
    finish(&mut sealed);
    sealed
}

/// Bytes that an entry takes in the record.
fn stored_bytes(entry: &Entry) -> usize {
    if entry.complete {
        return entry.source.len() + size_of::<Window>() * 2;
    }
    encode(entry).len()
}

/// Adds up the figures of the entries and drops the rows of complete ones.
fn finish(sealed: &mut Sealed) {
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
    before: Option<&Covered>,
    complete: bool,
) -> Entry {
    let known = |k: &RowKey| before.and_then(|c| c.rows.get(k)).copied().unwrap_or_default();
    let rows = rows.into_iter().map(|(k, f)| {
        let figures = f.above(known(&k));
        Row { key: k, figures }
    });
    let rows = rows.filter(|r| !r.figures.is_zero()).collect();
    Entry { source: source.clone(), window, complete, rows }
}

fn by_window(
    copy: &Copy,
    shard: u32,
    shards: u32,
    windows: std::ops::RangeInclusive<Window>,
) -> IndexMap<Window, Rows> {
    let mut split: IndexMap<Window, Rows> = IndexMap::new();
    for (key, figures) in &copy.rows {
        if windows.contains(&key.window) && shard_of(&key.org, shards) == shard {
            split.entry(key.window).or_default().insert(key.clone(), *figures);
        }
    }
    split
}
