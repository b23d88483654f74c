//! Counters of the writers of an instance, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters over all shards. They only grow.
#[derive(Debug, Default)]
pub struct Counters {
    /// Batches processed.
    pub batches: AtomicU64,
    /// Changes in those batches.
    pub changes: AtomicU64,
    /// Write attempts that failed because another writer changed the record first.
    pub overtaken: AtomicU64,
    /// Attempts that the store did not carry out, or whose result is unknown.
    pub failed: AtomicU64,
    /// Batches abandoned after [`crate::Settings::write_limit`]; their claims were refused.
    pub abandoned: AtomicU64,
    /// Segments written.
    pub sealed: AtomicU64,
    /// Outcomes dropped for lack of queue space, which leaves a claim open until it expires.
    pub dropped: AtomicU64,
}

/// Adds `n` to a counter.
pub(crate) fn add(counter: &AtomicU64, n: u64) {
    counter.fetch_add(n, Ordering::Relaxed);
}

impl Counters {
    /// Returns every counter with its label in metrics.
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
