//! Index chunks: the level between the head and the chunks of a section.
//!
//! An index chunk is a JSON array of the digests of chunks, [`MIN_IDS`] to [`MAX_IDS`] of them, and
//! ends between these after a digest that is zero modulo [`CUT_RATE`]. The head lists index chunks
//! only, so it stays short, and a changed entry moves the head, one index chunk and one chunk. A
//! section's index depends on its chunks alone: equal sections have equal indexes.

use {
    crate::{
        doc::Document,
        section::{self, Chunk, ChunkId, Section, chunk_id},
    },
    indexmap::IndexMap,
};

/// Fewest digests in an index chunk that is not the last of its section.
pub const MIN_IDS: usize = 16;
/// Most digests in an index chunk.
pub const MAX_IDS: usize = 48;
/// One digest in so many ends an index chunk.
pub const CUT_RATE: u8 = 16;

/// All records of one section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// Index chunks, in order.
    pub index: Vec<Chunk>,
    /// Chunks by digest.
    pub leaves: IndexMap<ChunkId, Vec<u8>>,
}

impl Tree {
    /// Splits a section into its records; an empty section has none.
    pub fn new(doc: &Document, section: Section) -> Tree {
        let chunks = section::split(doc, section);
        let ids: Vec<&ChunkId> = chunks.iter().map(|c| &c.id).collect();
        let index = group(&ids).into_iter().map(encode).collect();
        Tree { index, leaves: chunks.into_iter().map(|c| (c.id, c.bytes)).collect() }
    }

    /// Digests of the index chunks.
    pub fn ids(&self) -> Vec<ChunkId> {
        self.index.iter().map(|c| c.id.clone()).collect()
    }
}

/// Cuts a list of digests into those of one index chunk each.
fn group<'a>(ids: &'a [&'a ChunkId]) -> Vec<&'a [&'a ChunkId]> {
    let mut out = Vec::new();
    let mut start = 0;
    for (i, id) in ids.iter().enumerate() {
        let count = i + 1 - start;
        if count == MAX_IDS || (count >= MIN_IDS && cuts(id)) {
            out.push(&ids[start..=i]);
            start = i + 1;
        }
    }
    if start < ids.len() {
        out.push(&ids[start..]);
    }
    out
}

fn cuts(id: &str) -> bool {
    let head = u8::from_str_radix(&id[..2], 16).expect("a digest is hexadecimal");
    head.is_multiple_of(CUT_RATE)
}

fn encode(ids: &[&ChunkId]) -> Chunk {
    let bytes = serde_json::to_vec(ids).expect("digests are strings");
    Chunk { id: chunk_id(&bytes), bytes }
}

/// Digests that an index chunk lists; `None` if the bytes are not those of an index chunk, which a
/// section's chunk never is.
pub fn listed(bytes: &[u8]) -> Option<Vec<ChunkId>> {
    serde_json::from_slice(bytes).ok()
}
