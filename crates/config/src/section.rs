//! Sections of the document as content-addressed chunks.
//!
//! A chunk is JSON lines, one entry each. It holds [`MIN_ENTRIES`] to [`MAX_ENTRIES`] entries and
//! ends between these after an entry whose name hashes to zero modulo [`CUT_RATE`]. The cuts depend
//! on names alone, so changing an entry changes one chunk, and adding or removing one changes the
//! chunks up to the next place where old and new cuts agree.

use {
    crate::doc::{Budget, Document, Endpoint, Model, Organisation, Pool, Route, Zone},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Largest chunk, in bytes.
pub const MAX_CHUNK: usize = 256 << 10;
/// Fewest entries in a chunk that is not the last of its section.
pub const MIN_ENTRIES: usize = 8;
/// Most entries in a chunk.
pub const MAX_ENTRIES: usize = 24;
/// One name in so many ends a chunk.
pub const CUT_RATE: u32 = 8;

/// Hexadecimal BLAKE3 digest of a chunk.
pub type ChunkId = String;

/// A part of the document that one team owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// Organisations and their keys.
    Organisations,
    /// Models and their versions.
    Models,
    /// Availability zones, pools and endpoints.
    Fleet,
    /// Budgets.
    Budgets,
    /// Routes.
    Routes,
}

impl Section {
    /// Every section, in document order.
    pub const ALL: [Section; 5] = [
        Section::Organisations,
        Section::Models,
        Section::Fleet,
        Section::Budgets,
        Section::Routes,
    ];

    /// Name of the section, its key in the document.
    pub fn name(self) -> &'static str {
        match self {
            Section::Organisations => "organisations",
            Section::Models => "models",
            Section::Fleet => "fleet",
            Section::Budgets => "budgets",
            Section::Routes => "routes",
        }
    }

    /// Returns the section with this name.
    pub fn find(name: &str) -> Option<Section> {
        Self::ALL.into_iter().find(|s| s.name() == name)
    }

    /// Replaces this section of `doc` by that of `from`.
    pub fn copy(self, doc: &mut Document, from: &Document) {
        match self {
            Section::Organisations => doc.organisations.clone_from(&from.organisations),
            Section::Models => doc.models.clone_from(&from.models),
            Section::Fleet => doc.fleet.clone_from(&from.fleet),
            Section::Budgets => doc.budgets.clone_from(&from.budgets),
            Section::Routes => doc.routes.clone_from(&from.routes),
        }
    }
}

/// One line of a chunk.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Entry<'a> {
    Organisation(String, Share<'a, Organisation>),
    Model(String, Share<'a, Model>),
    Zone(String, Share<'a, Zone>),
    Pool(String, Share<'a, Pool>),
    Endpoint(String, Share<'a, Endpoint>),
    Budget(String, Share<'a, Budget>),
    Route(Share<'a, Route>),
}

/// Borrowed when a chunk is written, owned when it is read.
type Share<'a, T> = std::borrow::Cow<'a, T>;

/// A chunk with its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Digest of the bytes.
    pub id: ChunkId,
    /// The entries.
    pub bytes: Vec<u8>,
}

/// Returns the digest of a chunk's bytes.
pub fn chunk_id(bytes: &[u8]) -> ChunkId {
    blake3::hash(bytes).to_hex().to_string()
}

/// Splits a section into chunks; an empty section has none.
pub fn split(doc: &Document, section: Section) -> Vec<Chunk> {
    let mut open = Vec::new();
    let mut count = 0;
    let mut done = Vec::new();
    for (name, entry) in entries(doc, section) {
        let line = serde_json::to_vec(&entry).expect("an entry has only string keys");
        if open.len() + line.len() + 1 > MAX_CHUNK {
            close(&mut open, &mut count, &mut done);
        }
        open.extend_from_slice(&line);
        open.push(b'\n');
        count += 1;
        if count == MAX_ENTRIES || (count >= MIN_ENTRIES && cuts(name)) {
            close(&mut open, &mut count, &mut done);
        }
    }
    close(&mut open, &mut count, &mut done);
    done
}

fn close(open: &mut Vec<u8>, count: &mut usize, done: &mut Vec<Chunk>) {
    *count = 0;
    if !open.is_empty() {
        let bytes = std::mem::take(open);
        done.push(Chunk { id: chunk_id(&bytes), bytes });
    }
}

fn cuts(name: &str) -> bool {
    let hash = blake3::hash(name.as_bytes());
    let head = hash.as_bytes().first_chunk().expect("a digest has 32 bytes");
    u32::from_le_bytes(*head).is_multiple_of(CUT_RATE)
}

fn entries(doc: &Document, section: Section) -> Vec<(&str, Entry<'_>)> {
    fn list<'a, T: Clone>(
        map: &'a IndexMap<String, T>,
        entry: impl Fn(String, Share<'a, T>) -> Entry<'a>,
    ) -> impl Iterator<Item = (&'a str, Entry<'a>)> {
        map.iter().map(move |(k, v)| (k.as_str(), entry(k.clone(), Share::Borrowed(v))))
    }
    match section {
        Section::Organisations => list(&doc.organisations, Entry::Organisation).collect(),
        Section::Models => list(&doc.models, Entry::Model).collect(),
        Section::Fleet => {
            let zones = list(&doc.fleet.zones, Entry::Zone);
            let pools = list(&doc.fleet.pools, Entry::Pool);
            let endpoints = list(&doc.fleet.endpoints, Entry::Endpoint);
            zones.chain(pools).chain(endpoints).collect()
        }
        Section::Budgets => list(&doc.budgets, Entry::Budget).collect(),
        Section::Routes => {
            let routes = doc.routes.iter();
            routes.map(|r| (r.path.as_str(), Entry::Route(Share::Borrowed(r)))).collect()
        }
    }
}

/// Adds the entries of one chunk to `doc`; the cause is returned if a line is not an entry of
/// `section` or its name is present already.
pub fn join(doc: &mut Document, section: Section, bytes: &[u8]) -> Result<(), String> {
    for (i, line) in bytes.split(|b| *b == b'\n').enumerate() {
        if line.is_empty() {
            continue;
        }
        let entry = serde_json::from_slice(line).map_err(|e| format!("line {}: {e}", i + 1))?;
        insert(doc, section, entry).map_err(|e| format!("line {}: {e}", i + 1))?;
    }
    Ok(())
}

fn insert(doc: &mut Document, section: Section, entry: Entry<'_>) -> Result<(), String> {
    fn put<T: Clone>(
        map: &mut IndexMap<String, T>,
        name: String,
        value: Share<'_, T>,
    ) -> Result<(), String> {
        match map.entry(name) {
            indexmap::map::Entry::Occupied(e) => Err(format!("{:?} is present twice", e.key())),
            indexmap::map::Entry::Vacant(e) => {
                e.insert(value.into_owned());
                Ok(())
            }
        }
    }
    match (section, entry) {
        (Section::Organisations, Entry::Organisation(n, v)) => put(&mut doc.organisations, n, v),
        (Section::Models, Entry::Model(n, v)) => put(&mut doc.models, n, v),
        (Section::Fleet, Entry::Zone(n, v)) => put(&mut doc.fleet.zones, n, v),
        (Section::Fleet, Entry::Pool(n, v)) => put(&mut doc.fleet.pools, n, v),
        (Section::Fleet, Entry::Endpoint(n, v)) => put(&mut doc.fleet.endpoints, n, v),
        (Section::Budgets, Entry::Budget(n, v)) => put(&mut doc.budgets, n, v),
        (Section::Routes, Entry::Route(v)) => {
            doc.routes.push(v.into_owned());
            Ok(())
        }
        _ => Err(format!("not an entry of section {}", section.name())),
    }
}
