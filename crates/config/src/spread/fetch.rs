//! A fetch of one generation.

use {
    super::{Peer, Source},
    crate::section::ChunkId,
    agate_core::{Generation, Mono},
    indexmap::IndexSet,
};

/// Most failed sources after which the store is asked.
const MAX_PEERS: usize = 2;
/// Most holders that are remembered.
const MAX_HOLDERS: usize = 8;

/// Fetch of one generation under way.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// Generation that was told of, or that of the head once it is known.
    pub generation: Generation,
    /// Chunks still lacking; `None` until the head is known.
    pub missing: Option<IndexSet<ChunkId>>,
    /// Where the fetch goes on now.
    pub source: Source,
    /// When it went there.
    pub since: Mono,
    /// Peers that hold the generation and have not failed.
    pub holders: Vec<Peer>,
    /// Sources that failed.
    pub failed: usize,
}

impl Fetch {
    /// Starts a fetch from `source`, whose head may be known already.
    pub fn new(generation: Generation, source: Source, now: Mono) -> Self {
        Self { generation, missing: None, source, since: now, holders: Vec::new(), failed: 0 }
    }

    /// Remembers a peer that holds the generation.
    pub fn add_holder(&mut self, peer: Peer) {
        if self.holders.len() < MAX_HOLDERS && !self.holders.contains(&peer) {
            self.holders.push(peer);
        }
    }

    /// Strikes a chunk off and takes in those that it lists, which are returned unless they are
    /// known already; a source that makes progress is given more time.
    pub fn arrived(&mut self, id: &str, listed: Vec<ChunkId>, now: Mono) -> Vec<ChunkId> {
        let Some(missing) = &mut self.missing else { return Vec::new() };
        if !missing.swap_remove(id) {
            return Vec::new();
        }
        self.since = now;
        listed.into_iter().filter(|id| missing.insert(id.clone())).collect()
    }

    /// Moves to another source after the present one failed.
    pub fn move_on(&mut self, now: Mono) {
        self.failed += 1;
        self.since = now;
        let next = if self.failed > MAX_PEERS { None } else { self.holders.pop() };
        self.source = next.map_or(Source::Store, Source::Peer);
    }
}
