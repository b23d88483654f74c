//! Limit of the number of peers that fetch chunks from one instance at a time.
//!
//! At a cold start, all peers send requests to the first instance that holds the chunks. If it
//! served all of them at once, all would finish late, and none could pass the chunks on earlier.
//! Peers that are refused query others and find the next holders.

use {super::Peer, agate_core::Mono, indexmap::IndexMap, std::time::Duration};

/// Maximum number of peers that fetch at a time.
pub const MAX_FETCHERS: usize = 5;
/// Time after its last request for which a peer counts as fetching.
pub const ACTIVE_TIME: Duration = Duration::from_millis(200);

/// Peers that fetch chunks from this instance, with the time of their last request.
#[derive(Clone, Debug, Default)]
pub struct Fetchers {
    last: IndexMap<Peer, Mono>,
}

impl Fetchers {
    /// Returns whether `peer` may fetch a chunk now, and records the request if so.
    pub fn admit(&mut self, peer: &Peer, now: Mono) -> bool {
        self.last.retain(|_, at| now.saturating_sub(*at) < ACTIVE_TIME);
        let admitted = self.last.contains_key(peer) || self.last.len() < MAX_FETCHERS;
        if admitted {
            self.last.insert(peer.clone(), now);
        }
        admitted
    }
}
