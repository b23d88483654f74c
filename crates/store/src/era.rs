//! Eras of the service.
//!
//! A service that comes back from an older copy has lost what it acknowledged since, and numbers
//! changes and leases from there again. It states a higher era from then on.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of an era of the service; zero if it states none.
pub type Era = u64;

/// Newest era that this process has seen.
#[derive(Debug, Default)]
pub struct NewestEra(AtomicU64);

impl NewestEra {
    /// The newest era.
    pub fn get(&self) -> Era {
        self.0.load(Ordering::Acquire)
    }

    /// Records the era that a response stated, if any.
    pub fn observe(&self, stated: Option<Era>) {
        let Some(era) = stated else { return };
        let known = self.0.fetch_max(era, Ordering::AcqRel);
        if era > known && known > 0 {
            log::warn!(event = "store_era", era, known; "the store has come back from an older copy");
        }
    }
}
