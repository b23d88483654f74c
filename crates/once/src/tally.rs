//! Counts of what the writers of an instance did, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters that only grow, over all shards.
#[derive(Debug, Default)]
pub struct Tally {
    /// Batches that were decided.
    pub batches: AtomicU64,
    /// Changes in those batches.
    pub changes: AtomicU64,
    /// Attempts that another writer came before.
    pub overtaken: AtomicU64,
    /// Attempts that the store did not carry out, or whose result is unknown.
    pub failed: AtomicU64,
    /// Batches that were given up, their claims refused.
    pub abandoned: AtomicU64,
    /// Segments that were written.
    pub sealed: AtomicU64,
    /// Statements that were dropped, leaving a claim open until it expires.
    pub dropped: AtomicU64,
}

/// Adds to one counter.
pub(crate) fn count(counter: &AtomicU64, n: u64) {
    counter.fetch_add(n, Ordering::Relaxed);
}

impl Tally {
    /// Every counter with its label in metrics.
    pub fn read(&self) -> [(&'static str, u64); 7] {
        let of = |c: &AtomicU64| c.load(Ordering::Relaxed);
        [
            ("batches", of(&self.batches)),
            ("changes", of(&self.changes)),
            ("overtaken", of(&self.overtaken)),
            ("failed", of(&self.failed)),
            ("abandoned", of(&self.abandoned)),
            ("sealed", of(&self.sealed)),
            ("dropped", of(&self.dropped)),
        ]
    }
}
