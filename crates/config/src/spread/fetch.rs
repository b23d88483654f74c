//! State of a fetch of one generation.

use {
    super::{Peer, Source},
    crate::section::ChunkId,
    agate_core::{Generation, Mono},
    indexmap::IndexSet,
    std::time::Duration,
};

/// Maximum number of holders that are remembered.
const MAX_HOLDERS: usize = 8;

/// A running fetch of one generation.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// Generation that a peer announced or, once the head is known, that of the head.
    pub generation: Generation,
    /// Chunks still missing; `None` until the head is known.
    pub missing: Option<IndexSet<ChunkId>>,
    /// Missing chunks that were requested from the current source.
    pub requested: IndexSet<ChunkId>,
    /// Current source; `None` while the fetch waits for a peer that holds the generation.
    pub source: Option<Source>,
    /// Time of the source's last progress, or of the first pending request to it.
    pub since: Mono,
    /// Time since which this instance has continuously lacked a generation.
    pub behind_since: Mono,
    /// Peers that hold the generation and have not failed.
    pub holders: Vec<Peer>,
    /// Number of sources that failed.
    pub failed: usize,
    /// Number of chunks requested from the store.
    pub store_reads: usize,
}

impl Fetch {
    /// Returns a fetch from `source` that does not know the head yet.
    pub fn new(generation: Generation, source: Option<Source>, now: Mono) -> Self {
        Self {
            generation,
            missing: None,
            requested: IndexSet::new(),
            source,
            since: now,
            behind_since: now,
            holders: Vec::new(),
            failed: 0,
            store_reads: 0,
        }
    }

    /// Adds a peer that holds the generation. Does nothing at [`MAX_HOLDERS`] peers.
    pub fn add_holder(&mut self, peer: Peer) {
        if self.holders.len() < MAX_HOLDERS && !self.holders.contains(&peer) {
            self.holders.push(peer);
        }
    }

    /// Removes an arrived chunk from the missing ones and adds those that it lists. The progress
    /// restarts the source's timeout.
    pub fn on_chunk(&mut self, id: &str, listed: Vec<ChunkId>, now: Mono) {
        self.requested.swap_remove(id);
        let Some(missing) = &mut self.missing else { return };
        if missing.swap_remove(id) {
            self.since = now;
            missing.extend(listed);
        }
    }

    /// Returns the next chunk to request from the source and marks it as requested.
    pub fn next_chunk(&mut self, now: Mono) -> Option<ChunkId> {
        let missing = self.missing.as_ref()?;
        let id = missing.iter().find(|id| !self.requested.contains(*id))?.clone();
        if self.requested.is_empty() {
            self.since = now;
        }
        self.requested.insert(id.clone());
        Some(id)
    }

    /// Returns the number of missing chunks that were not requested.
    pub fn unrequested(&self) -> usize {
        self.missing.as_ref().map_or(0, |m| m.len() - self.requested.len())
    }

    /// Returns whether a response of the source is pending.
    pub fn awaiting_response(&self) -> bool {
        let head = self.missing.is_none() && self.source.is_some();
        head || !self.requested.is_empty()
    }

    /// Returns whether a response has been pending for at least `timeout` without progress.
    pub fn stalled(&self, fetch_timeout: Duration, now: Mono) -> bool {
        self.awaiting_response() && now >= self.since + fetch_timeout
    }

    /// Continues with another source; pending requests are forgotten.
    pub fn switch_source(&mut self, source: Option<Source>, now: Mono) {
        self.source = source;
        self.since = now;
        self.requested.clear();
    }
}
