//! Outstanding requests of the other instances by endpoint, as last reported.
//!
//! Each instance reports only its busiest endpoints, so a message replaces everything known of its
//! sender. Old reports expire, because an instance that has failed holds no slots.

use {
    agate_core::Mono,
    agate_wire::{Digest, Name},
    indexmap::IndexMap,
    std::time::Duration,
};

/// Maximum age of an instance's report.
pub const MAX_AGE: Duration = Duration::from_secs(4);

/// Reported counts by instance.
#[derive(Debug, Default)]
pub struct PeerCounts {
    peers: IndexMap<Name, ReportedCounts>,
}

#[derive(Debug)]
struct ReportedCounts {
    at: Mono,
    counts: Vec<(u64, u32)>,
}

impl PeerCounts {
    /// Replaces the counts of `from` with those in the digests of one message.
    pub fn update(&mut self, from: &Name, digests: &[Digest], now: Mono) {
        let counts = digests.iter().filter_map(|d| match d {
            Digest::Outstanding { endpoint, count } => Some((*endpoint, *count)),
            _ => None,
        });
        self.peers.insert(from.clone(), ReportedCounts { at: now, counts: counts.collect() });
    }

    /// Removes instances that are not in `live` and reports that are too old.
    pub fn expire(&mut self, live: &[Name], now: Mono) {
        self.peers
            .retain(|name, entry| live.contains(name) && now.saturating_sub(entry.at) <= MAX_AGE);
    }

    /// Sum of the reported counts, by the hash of the endpoint's name.
    pub fn total(&self) -> IndexMap<u64, u32> {
        let mut out = IndexMap::new();
        for (endpoint, count) in self.peers.values().flat_map(|entry| &entry.counts) {
            let sum: &mut u32 = out.entry(*endpoint).or_default();
            *sum = sum.saturating_add(*count);
        }
        out
    }
}
