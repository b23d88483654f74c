//! Sections of the document as content-addressed chunks.
//!
//! A chunk is JSON lines, one entry each. It holds [`MIN_ENTRIES`] to [`MAX_ENTRIES`] entries,
//! except for the last one of a section, which may have fewer, and those that reach [`MAX_CHUNK`].
//! Between these numbers it ends after an entry whose name hashes to zero modulo [`CUT_RATE`]. The
//! cut points depend on names alone. So changing an entry changes one chunk, and adding or removing
//! one changes the chunks up to the next cut point that old and new share.

use {
    crate::doc::{Budget, Document, Endpoint, Model, Organisation, Pool, Route, Zone},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Maximum size of a chunk, in bytes.
pub const MAX_CHUNK: usize = 256 << 10;
/// Minimum number of entries in a chunk that is not the last of its section.
pub const MIN_ENTRIES: usize = 8;
/// Maximum number of entries in a chunk.
pub const MAX_ENTRIES: usize = 24;
/// One name in [`CUT_RATE`] is a cut point, on average.
pub const CUT_RATE: u32 = 8;

/// Hexadecimal BLAKE3 digest of a chunk, which identifies it.
pub type ChunkId = String;

/// A top-level part of the document, owned by one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// Organisations and their API keys.
    Organisations,
    /// Models and their versions.
    Models,
    /// Availability zones, pools and endpoints.
    Fleet,
    /// Token budgets of organisations.
    Budgets,
    /// Routes from paths to models and services.
    Routes,
}

impl Section {
    /// All sections, in document order.
    pub const ALL: [Section; 5] = [
        Section::Organisations,
        Section::Models,
        Section::Fleet,
        Section::Budgets,
        Section::Routes,
    ];

    /// Returns the name of the section, which is its key in the document.
    pub fn name(self) -> &'static str {
        match self {
            Section::Organisations => "organisations",
            Section::Models => "models",
            Section::Fleet => "fleet",
            Section::Budgets => "budgets",
            Section::Routes => "routes",
        }
    }

    /// Returns the section with this name, if there is one.
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
    Organisation(String, Value<'a, Organisation>),
    Model(String, Value<'a, Model>),
    Zone(String, Value<'a, Zone>),
    Pool(String, Value<'a, Pool>),
    Endpoint(String, Value<'a, Endpoint>),
    Budget(String, Value<'a, Budget>),
    Route(Value<'a, Route>),
}

/// A value that is borrowed when a chunk is written and owned when it is read.
type Value<'a, T> = std::borrow::Cow<'a, T>;

/// The bytes of a chunk and their digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Digest of `bytes`.
    pub id: ChunkId,
    /// The entries, as JSON lines.
    pub bytes: Vec<u8>,
}

/// Returns the digest of a chunk's bytes.
pub fn chunk_id(bytes: &[u8]) -> ChunkId {
    blake3::hash(bytes).to_hex().to_string()
}

/// Splits a section into chunks. An empty section has none.
pub fn split(doc: &Document, section: Section) -> Vec<Chunk> {
    let mut buffer = Vec::new();
    let mut count = 0;
    let mut chunks = Vec::new();
    for (name, entry) in entries(doc, section) {
        let line = serde_json::to_vec(&entry).expect("an entry has only string keys");
        if buffer.len() + line.len() + 1 > MAX_CHUNK {
            finish_chunk(&mut buffer, &mut count, &mut chunks);
        }
        buffer.extend_from_slice(&line);
        buffer.push(b'\n');
        count += 1;
        if count == MAX_ENTRIES || (count >= MIN_ENTRIES && is_cut_point(name)) {
            finish_chunk(&mut buffer, &mut count, &mut chunks);
        }
    }
    finish_chunk(&mut buffer, &mut count, &mut chunks);
    chunks
}

fn finish_chunk(buffer: &mut Vec<u8>, count: &mut usize, chunks: &mut Vec<Chunk>) {
    *count = 0;
    if !buffer.is_empty() {
        let bytes = std::mem::take(buffer);
        chunks.push(Chunk { id: chunk_id(&bytes), bytes });
    }
}

fn is_cut_point(name: &str) -> bool {
    let hash = blake3::hash(name.as_bytes());
    let prefix = hash.as_bytes().first_chunk().expect("a digest has 32 bytes");
    u32::from_le_bytes(*prefix).is_multiple_of(CUT_RATE)
}

fn entries(doc: &Document, section: Section) -> Vec<(&str, Entry<'_>)> {
    fn wrap<'a, T: Clone>(
        map: &'a IndexMap<String, T>,
        entry: impl Fn(String, Value<'a, T>) -> Entry<'a>,
    ) -> impl Iterator<Item = (&'a str, Entry<'a>)> {
        map.iter().map(move |(k, v)| (k.as_str(), entry(k.clone(), Value::Borrowed(v))))
    }
    match section {
        Section::Organisations => wrap(&doc.organisations, Entry::Organisation).collect(),
        Section::Models => wrap(&doc.models, Entry::Model).collect(),
        Section::Fleet => {
            let zones = wrap(&doc.fleet.zones, Entry::Zone);
            let pools = wrap(&doc.fleet.pools, Entry::Pool);
            let endpoints = wrap(&doc.fleet.endpoints, Entry::Endpoint);
            zones.chain(pools).chain(endpoints).collect()
        }
        Section::Budgets => wrap(&doc.budgets, Entry::Budget).collect(),
        Section::Routes => {
            let routes = doc.routes.iter();
            routes.map(|r| (r.path.as_str(), Entry::Route(Value::Borrowed(r)))).collect()
        }
    }
}

/// Adds the entries of one chunk to `doc`.
///
/// # Errors
///
/// The cause, if a line is not an entry of `section` or if `doc` already holds its name.
pub fn add_entries(doc: &mut Document, section: Section, bytes: &[u8]) -> Result<(), String> {
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
    fn add<T: Clone>(
        map: &mut IndexMap<String, T>,
        name: String,
        value: Value<'_, T>,
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
        (Section::Organisations, Entry::Organisation(n, v)) => add(&mut doc.organisations, n, v),
        (Section::Models, Entry::Model(n, v)) => add(&mut doc.models, n, v),
        (Section::Fleet, Entry::Zone(n, v)) => add(&mut doc.fleet.zones, n, v),
        (Section::Fleet, Entry::Pool(n, v)) => add(&mut doc.fleet.pools, n, v),
        (Section::Fleet, Entry::Endpoint(n, v)) => add(&mut doc.fleet.endpoints, n, v),
        (Section::Budgets, Entry::Budget(n, v)) => add(&mut doc.budgets, n, v),
        (Section::Routes, Entry::Route(v)) => {
            doc.routes.push(v.into_owned());
            Ok(())
        }
        _ => Err(format!("not an entry of section {}", section.name())),
    }
}
