//! Index of the prefix blocks that endpoints have cached, as one instance knows them.
//!
//! It is learned from responses and cache events and has two parts of bounded size. The first maps
//! a block to the last endpoint at which it was cached; newer entries replace older ones. The
//! second counts, for each depth and rank, how often a prefix was cached at its home by the
//! ranking. The index is optional for a choice and may be outdated: an endpoint may have evicted a
//! block since.

use {
    crate::ranking::{WIDTH, mix},
    agate_core::EndpointId,
    std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
};

/// Number of prefix depths that are looked up: 1, 2, 4 and so on blocks.
pub const DEPTHS: usize = 11;
/// Number of entries for blocks.
const ENTRIES: usize = 1 << 17;
/// Fixed-point 1.0 of the hit rates.
const ONE: u32 = 1 << 16;
/// Minimum hit rate, so that homes are still tried after a time without any repeated prompt.
const MIN_RATE: u32 = ONE / 4;
/// Weight of a new sample in the hit rates, as a right shift.
const RATE_SHIFT: u32 = 6;
const EMPTY: u64 = u64::MAX;

/// Cached blocks and hit rates as one instance knows them.
#[derive(Debug)]
pub struct CacheIndex {
    // Upper half of the block's hash, then the endpoint's identifier.
    entries: Vec<AtomicU64>,
    hit_rates: [[AtomicU32; WIDTH]; DEPTHS],
}

impl Default for CacheIndex {
    fn default() -> Self {
        let entries = (0..ENTRIES).map(|_| AtomicU64::new(EMPTY)).collect();
        let half = |_| std::array::from_fn(|_| AtomicU32::new(ONE / 2));
        Self { entries, hit_rates: std::array::from_fn(half) }
    }
}

/// Depths that are looked up for a prefix of `len` blocks, deepest first: pairs of index and number
/// of blocks.
pub fn depths(len: usize) -> impl Iterator<Item = (usize, usize)> {
    let count = len.checked_ilog2().map_or(0, |log| log as usize + 1).min(DEPTHS);
    (0..count).rev().map(|i| (i, 1 << i))
}

impl CacheIndex {
    /// Endpoint at which `block` was last known to be cached.
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

    /// Fraction of prefixes of depth index `depth` that were cached at their home of `rank`.
    pub fn hit_rate(&self, depth: usize, rank: usize) -> f32 {
        self.hit_rates[depth][rank].load(Relaxed).max(MIN_RATE) as f32 / ONE as f32
    }

    /// Records whether a prefix of depth index `depth` was cached at its home of `rank`.
    pub fn record_hit(&self, depth: usize, rank: usize, cached: bool) {
        let cell = &self.hit_rates[depth][rank];
        let old = cell.load(Relaxed);
        let sample = if cached { ONE >> RATE_SHIFT } else { 0 };
        cell.store(old - (old >> RATE_SHIFT) + sample, Relaxed);
    }
}

fn index(block: u64) -> usize {
    mix(block, 5) as usize % ENTRIES
}
