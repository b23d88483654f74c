//! A fetch of one generation.

use {
    super::{Peer, Source},
    crate::section::ChunkId,
    agate_core::{Generation, Mono},
    indexmap::IndexSet,
    std::time::Duration,
};

/// Most holders that are remembered.
const MAX_HOLDERS: usize = 8;

/// Fetch of one generation under way.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// Generation that was told of, or that of the head once it is known.
    pub generation: Generation,
    /// Chunks still lacking; `None` until the head is known.
    pub missing: Option<IndexSet<ChunkId>>,
    /// Those of them that the present source was asked for.
    pub asked: IndexSet<ChunkId>,
    /// Where the fetch goes on now; `None` while it waits to hear of a holder.
    pub source: Option<Source>,
    /// When the source last made progress or was asked.
    pub since: Mono,
    /// Since when this instance has lacked a generation without a break.
    pub lacking: Mono,
    /// Peers that hold the generation and have not failed.
    pub holders: Vec<Peer>,
    /// Sources that failed.
    pub failed: usize,
    /// Chunks that the store was asked for.
    pub reads: usize,
}

impl Fetch {
    /// Starts a fetch from `source`, whose head may be known already.
    pub fn new(generation: Generation, source: Option<Source>, now: Mono) -> Self {
        Self {
            generation,
            missing: None,
            asked: IndexSet::new(),
            source,
            since: now,
            lacking: now,
            holders: Vec::new(),
            failed: 0,
            reads: 0,
        }
    }

    /// Remembers a peer that holds the generation.
    pub fn add_holder(&mut self, peer: Peer) {
        if self.holders.len() < MAX_HOLDERS && !self.holders.contains(&peer) {
            self.holders.push(peer);
        }
    }

    /// Strikes a chunk off and takes in those that it lists; a source that makes progress is given
    /// more time.
    pub fn arrived(&mut self, id: &str, listed: Vec<ChunkId>, now: Mono) {
        self.asked.swap_remove(id);
        let Some(missing) = &mut self.missing else { return };
        if missing.swap_remove(id) {
            self.since = now;
            missing.extend(listed);
        }
    }

    /// Takes the next chunk for which the source is to be asked.
    pub fn next_chunk(&mut self, now: Mono) -> Option<ChunkId> {
        let missing = self.missing.as_ref()?;
        let id = missing.iter().find(|id| !self.asked.contains(*id))?.clone();
        if self.asked.is_empty() {
            self.since = now;
        }
        self.asked.insert(id.clone());
        Some(id)
    }

    /// Number of chunks that are lacking and were not asked for.
    pub fn unasked(&self) -> usize {
        self.missing.as_ref().map_or(0, |m| m.len() - self.asked.len())
    }

    /// Whether the source owes an answer.
    pub fn owed(&self) -> bool {
        let head = self.missing.is_none() && self.source.is_some();
        head || !self.asked.is_empty()
    }

    /// Whether the source has owed an answer for longer than `patience`.
    pub fn stalled(&self, patience: Duration, now: Mono) -> bool {
        self.owed() && now >= self.since + patience
    }

    /// Goes on at another source.
    pub fn turn_to(&mut self, source: Option<Source>, now: Mono) {
        self.source = source;
        self.since = now;
        self.asked.clear();
    }
}
