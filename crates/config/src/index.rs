//! Index chunks: the level between the head and the chunks of a section.
//!
//! An index chunk is a JSON array of the digests of chunks. It holds [`MIN_IDS`] to [`MAX_IDS`]
//! digests, except for the last one of a section, which may have fewer. Between these numbers it
//! ends after a digest whose first byte is zero modulo [`CUT_RATE`]. The head lists only index
//! chunks, so it stays short, and a changed entry changes the head, one index chunk and one chunk.
//! A section's index depends only on its chunks: equal sections have equal indexes.

use {
    crate::{
        doc::Document,
        section::{self, Chunk, ChunkId, Section, chunk_id},
    },
    indexmap::IndexMap,
};

/// Minimum number of digests in an index chunk that is not the last of its section.
pub const MIN_IDS: usize = 16;
/// Maximum number of digests in an index chunk.
pub const MAX_IDS: usize = 48;
/// One digest in [`CUT_RATE`] is a cut point, on average.
pub const CUT_RATE: u8 = 16;

/// The chunks and index chunks of one section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// Index chunks, in order.
    pub index: Vec<Chunk>,
    /// Bytes of the chunks, by digest.
    pub leaves: IndexMap<ChunkId, Vec<u8>>,
}

impl Tree {
    /// Splits a section into chunks and index chunks. An empty section has none.
    pub fn new(doc: &Document, section: Section) -> Tree {
        let chunks = section::split(doc, section);
        let ids: Vec<&ChunkId> = chunks.iter().map(|c| &c.id).collect();
        let index = split_ids(&ids).into_iter().map(encode).collect();
        Tree { index, leaves: chunks.into_iter().map(|c| (c.id, c.bytes)).collect() }
    }

    /// Returns the digests of the index chunks, in order.
    pub fn ids(&self) -> Vec<ChunkId> {
        self.index.iter().map(|c| c.id.clone()).collect()
    }
}

/// Splits a list of digests into those of each index chunk.
fn split_ids<'a>(ids: &'a [&'a ChunkId]) -> Vec<&'a [&'a ChunkId]> {
    let mut out = Vec::new();
    let mut start = 0;
    for (i, id) in ids.iter().enumerate() {
        let count = i + 1 - start;
        if count == MAX_IDS || (count >= MIN_IDS && is_cut_point(id)) {
            out.push(&ids[start..=i]);
            start = i + 1;
        }
    }
    if start < ids.len() {
        out.push(&ids[start..]);
    }
    out
}

fn is_cut_point(id: &str) -> bool {
    let first_byte = u8::from_str_radix(&id[..2], 16).expect("a digest is hexadecimal");
    first_byte.is_multiple_of(CUT_RATE)
}

fn encode(ids: &[&ChunkId]) -> Chunk {
    let bytes = serde_json::to_vec(ids).expect("digests are strings");
    Chunk { id: chunk_id(&bytes), bytes }
}

/// Returns the digests that an index chunk lists. Returns `None` if the bytes are not those of an
/// index chunk; a section's chunk never is one.
pub fn child_ids(bytes: &[u8]) -> Option<Vec<ChunkId>> {
    serde_json::from_slice(bytes).ok()
}
