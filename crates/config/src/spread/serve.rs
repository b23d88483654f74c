//! Bound on how many peers fetch chunks from one instance at a time.
//!
//! At a cold start the first holder is asked by everyone. If it served them all at once, all would be
//! done late, and nobody could hand the chunks on before; those that are refused ask around and find
//! the next holders.

use {super::Peer, agate_core::Mono, indexmap::IndexMap, std::time::Duration};

/// Peers that fetch at a time.
pub const FETCHERS: usize = 5;
/// Time after its last request for which a peer counts as fetching.
pub const ACTIVE: Duration = Duration::from_millis(200);

/// Peers that fetch chunks from this instance.
#[derive(Clone, Debug, Default)]
pub struct Fetchers {
    last: IndexMap<Peer, Mono>,
}

impl Fetchers {
    /// Whether `peer` may fetch a chunk now.
    pub fn admit(&mut self, peer: &Peer, now: Mono) -> bool {
        self.last.retain(|_, at| now.saturating_sub(*at) < ACTIVE);
        let admitted = self.last.contains_key(peer) || self.last.len() < FETCHERS;
        if admitted {
            self.last.insert(peer.clone(), now);
        }
        admitted
    }
}
