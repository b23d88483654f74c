//! The snapshot in force.

use {
    super::Snapshot,
    agate_core::Generation,
    arc_swap::{ArcSwap, Guard},
    std::sync::Arc,
};

/// Holder of the snapshot in force; reading it takes no lock, and its generation only grows.
#[derive(Debug)]
pub struct Current {
    held: ArcSwap<Snapshot>,
}

impl Current {
    /// Returns a holder of `first`.
    pub fn new(first: Snapshot) -> Self {
        Self { held: ArcSwap::from_pointee(first) }
    }

    /// Returns the snapshot in force, for the length of one step.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.held.load()
    }

    /// Returns the snapshot in force, to be kept over several steps.
    pub fn load_full(&self) -> Arc<Snapshot> {
        self.held.load_full()
    }

    /// Generation in force.
    pub fn generation(&self) -> Generation {
        self.load().generation
    }

    /// Puts `next`, the present generation with other ordered endpoints, in force; refuses any other
    /// generation.
    pub fn renew(&self, next: Snapshot) -> bool {
        let seen = self.held.load_full();
        if next.generation != seen.generation {
            return false;
        }
        let before = self.held.compare_and_swap(&seen, Arc::new(next));
        Arc::ptr_eq(&before, &seen)
    }

    /// Puts `next` in force; refuses a generation that is not above the present one.
    pub fn advance(&self, next: Snapshot) -> bool {
        let next = Arc::new(next);
        let mut seen = self.held.load_full();
        loop {
            if next.generation <= seen.generation {
                log::warn!(
                    "refused generation {}: {} is in force",
                    next.generation,
                    seen.generation
                );
                return false;
            }
            let before = self.held.compare_and_swap(&seen, next.clone());
            if Arc::ptr_eq(&before, &seen) {
                return true;
            }
            seen = Guard::into_inner(before);
        }
    }
}
