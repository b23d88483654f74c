//! The installed snapshot.

use {
    super::Snapshot,
    agate_core::Generation,
    arc_swap::{ArcSwap, Guard},
    std::sync::Arc,
};

/// Holds the installed snapshot. Reading it takes no lock, and its generation never decreases.
#[derive(Debug)]
pub struct Current {
    installed: ArcSwap<Snapshot>,
}

impl Current {
    /// Returns a holder with the snapshot `first`.
    pub fn new(first: Snapshot) -> Self {
        Self { installed: ArcSwap::from_pointee(first) }
    }

    /// Returns the installed snapshot for short use. A [`Guard`] is cheaper than an [`Arc`] but
    /// should not be held across an await.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.installed.load()
    }

    /// Returns the installed snapshot, to be kept for longer.
    pub fn load_full(&self) -> Arc<Snapshot> {
        self.installed.load_full()
    }

    /// Returns the installed generation.
    pub fn generation(&self) -> Generation {
        self.load().generation
    }

    /// Installs `next`, the same generation with other ordered endpoints. Returns false if `next`
    /// is of another generation, or if another snapshot was installed meanwhile.
    pub fn replace_endpoints(&self, next: Snapshot) -> bool {
        let old = self.installed.load_full();
        if next.generation != old.generation {
            return false;
        }
        let previous = self.installed.compare_and_swap(&old, Arc::new(next));
        Arc::ptr_eq(&previous, &old)
    }

    /// Installs `next`. Returns false if its generation is not above the installed one.
    pub fn advance(&self, next: Snapshot) -> bool {
        let next = Arc::new(next);
        let mut old = self.installed.load_full();
        loop {
            if next.generation <= old.generation {
                log::warn!(
                    "refused generation {}: {} is installed",
                    next.generation,
                    old.generation
                );
                return false;
            }
            let previous = self.installed.compare_and_swap(&old, next.clone());
            if Arc::ptr_eq(&previous, &old) {
                return true;
            }
            old = Guard::into_inner(previous);
        }
    }
}
