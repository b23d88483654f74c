//! What an instance knows about prefixes in the caches of endpoints.
//!
//! Two kinds of knowledge, both from the endpoints' answers and from cache events, both bounded:
//! the last endpoint at which a block was cached, in a table of fixed size in which newer entries
//! replace older ones; and how often the home of a prefix by the ranking had it cached, for each
//! depth and rank. Nothing here is required for a choice, and all of it may be wrong: an endpoint
//! may have evicted the block since.

use {
    crate::ranking::{WIDTH, mix},
    agate_core::EndpointId,
    std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
};

/// Depths of a prefix that are looked up: 1, 2, 4 and so on blocks.
pub const DEPTHS: usize = 11;
/// Entries of the table.
const ENTRIES: usize = 1 << 17;
/// A share of one in the units of `trust`.
const ONE: u32 = 1 << 16;
/// Least trust, so that homes are still tried after a time without any repeated prompt.
const LEAST: u32 = ONE / 4;
/// Weight of a new sample of `trust`, as a right shift.
const SHIFT: u32 = 6;
const EMPTY: u64 = u64::MAX;

/// Knowledge of one instance.
#[derive(Debug)]
pub struct Known {
    // Upper half of the block's hash, then the endpoint.
    entries: Vec<AtomicU64>,
    trust: [[AtomicU32; WIDTH]; DEPTHS],
}

impl Default for Known {
    fn default() -> Self {
        let entries = (0..ENTRIES).map(|_| AtomicU64::new(EMPTY)).collect();
        let half = |_| std::array::from_fn(|_| AtomicU32::new(ONE / 2));
        Self { entries, trust: std::array::from_fn(half) }
    }
}

/// Depths in blocks that are looked up for a prefix of `len` blocks, deepest first, each with its
/// index.
pub fn depths(len: usize) -> impl Iterator<Item = (usize, usize)> {
    let count = len.checked_ilog2().map_or(0, |log| log as usize + 1).min(DEPTHS);
    (0..count).rev().map(|i| (i, 1 << i))
}

impl Known {
    /// The endpoint at which `block` was last known to be cached.
    pub fn get(&self, block: u64) -> Option<EndpointId> {
        let entry = self.entries[index(block)].load(Relaxed);
        (entry != EMPTY && entry >> 32 == block >> 32).then_some(entry as EndpointId)
    }

    /// Records that `block` is cached at an endpoint.
    pub fn store(&self, block: u64, id: EndpointId) {
        self.entries[index(block)].store(block >> 32 << 32 | u64::from(id), Relaxed);
    }

    /// Records that an endpoint no longer caches `block`.
    pub fn evict(&self, block: u64, id: EndpointId) {
        if self.get(block) == Some(id) {
            self.entries[index(block)].store(EMPTY, Relaxed);
        }
    }

    /// Share of requests whose prefix of depth index `depth` was cached at its home of `rank`.
    pub fn trust(&self, depth: usize, rank: usize) -> f32 {
        self.trust[depth][rank].load(Relaxed).max(LEAST) as f32 / ONE as f32
    }

    /// Records whether a prefix was cached at its home.
    pub fn learn(&self, depth: usize, rank: usize, cached: bool) {
        let cell = &self.trust[depth][rank];
        let old = cell.load(Relaxed);
        let sample = if cached { ONE >> SHIFT } else { 0 };
        cell.store(old - (old >> SHIFT) + sample, Relaxed);
    }
}

fn index(block: u64) -> usize {
    mix(block, 5) as usize % ENTRIES
}
