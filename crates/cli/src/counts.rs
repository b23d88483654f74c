//! Requests that the other instances have at the endpoints, as they last said.
//!
//! Each instance names only its busiest endpoints, so a message replaces all that was known of its
//! sender. What was said too long ago is forgotten: a sender that failed holds no slots.

use {
    agate_core::Mono,
    agate_wire::{Digest, Name},
    indexmap::IndexMap,
    std::time::Duration,
};

/// Age beyond which the counts of an instance are forgotten.
pub const COUNTS_AGE: Duration = Duration::from_secs(4);

/// Counts by instance.
#[derive(Debug, Default)]
pub struct Counts {
    peers: IndexMap<Name, Said>,
}

#[derive(Debug)]
struct Said {
    at: Mono,
    counts: Vec<(u64, u32)>,
}

impl Counts {
    /// Takes over the digests of one message.
    pub fn hear(&mut self, from: &Name, digests: &[Digest], now: Mono) {
        let counts = digests.iter().filter_map(|d| match d {
            Digest::Outstanding { endpoint, count } => Some((*endpoint, *count)),
            _ => None,
        });
        self.peers.insert(from.clone(), Said { at: now, counts: counts.collect() });
    }

    /// Forgets instances that are not in `live` and counts that are too old.
    pub fn expire(&mut self, live: &[Name], now: Mono) {
        self.peers
            .retain(|name, said| live.contains(name) && now.saturating_sub(said.at) <= COUNTS_AGE);
    }

    /// Sum of the counts by the hash of the endpoint's name.
    pub fn total(&self) -> IndexMap<u64, u32> {
        let mut out = IndexMap::new();
        for (endpoint, count) in self.peers.values().flat_map(|said| &said.counts) {
            let sum: &mut u32 = out.entry(*endpoint).or_default();
            *sum = sum.saturating_add(*count);
        }
        out
    }
}
