//! Difference between two heads.
//!
//! A head lists all chunks and grows with the document, while one change replaces a chunk or two.
//! A peer that holds the old head sends the difference instead; it carries the digest of the new
//! head, so a patch that went wrong is noticed and the whole head is fetched.

use {
    crate::{
        head::Head,
        section::{ChunkId, Section},
    },
    agate_core::Generation,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// What turns one head into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Generation of the head that it applies to.
    pub base: Generation,
    /// The new head without its chunks.
    pub bare: Head,
    /// Changed sections.
    pub splices: IndexMap<Section, Splice>,
    /// BLAKE3 digest of the new head's encoding.
    pub digest: ChunkId,
}

/// Replacement of a run of a section's chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// Number of chunks before the run.
    pub start: usize,
    /// Number of chunks removed.
    pub removed: usize,
    /// Chunks put in their place.
    pub added: Vec<ChunkId>,
}

impl Delta {
    /// Returns the difference from `old` to `new`.
    pub fn between(old: &Head, new: &Head) -> Delta {
        let changed = Section::ALL.into_iter().filter(|s| old.section(*s) != new.section(*s));
        let splices = changed.map(|s| (s, splice(old.section(s), new.section(s)))).collect();
        let bare = Head { chunks: IndexMap::new(), ..new.clone() };
        let digest = digest(new);
        Delta { base: old.generation, bare, splices, digest }
    }

    /// Returns the new head; `None` if `old` is not the head that the difference applies to.
    pub fn patch(&self, old: &Head) -> Option<Head> {
        if old.generation != self.base {
            return None;
        }
        let mut new = Head { chunks: old.chunks.clone(), ..self.bare.clone() };
        for (section, splice) in &self.splices {
            let ids = new.chunks.entry(*section).or_default();
            let end = splice.start.checked_add(splice.removed)?;
            if end > ids.len() {
                return None;
            }
            ids.splice(splice.start..end, splice.added.iter().cloned());
        }
        new.chunks.retain(|_, ids| !ids.is_empty());
        new.chunks.sort_unstable_keys();
        (digest(&new) == self.digest).then_some(new)
    }
}

fn digest(head: &Head) -> ChunkId {
    crate::section::chunk_id(&head.encode())
}

fn splice(old: &[ChunkId], new: &[ChunkId]) -> Splice {
    let start = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[start..], &new[start..]);
    let same = old.iter().rev().zip(new.iter().rev()).take_while(|(a, b)| a == b).count();
    let added = new[..new.len() - same].to_vec();
    Splice { start, removed: old.len() - same, added }
}
