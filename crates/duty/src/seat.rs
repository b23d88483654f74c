//! Candidature for the lease of the duties.

use {
    agate_core::FenceToken,
    agate_lease::Lease,
    std::sync::{Mutex, MutexGuard},
};

/// The lease of the duties, while this instance is one of those that stand for it.
///
/// An instance that no longer stands lets its term lapse instead of releasing it, so that no other
/// holder acts before the platform may take it for a turn.
#[derive(Default)]
pub struct Seat {
    lease: Mutex<Option<Lease>>,
}

impl Seat {
    /// Stands with the lease that `open` makes, unless it stands already.
    pub fn stand(&self, open: impl FnOnce() -> Lease) {
        let mut lease = self.lock();
        if lease.is_none() {
            let opened = open();
            opened.set_wanted(true);
            *lease = Some(opened);
        }
    }

    /// Stands no longer; a term that is held lapses.
    pub fn leave(&self) {
        *self.lock() = None;
    }

    /// Token with which this instance may act now.
    pub fn may_act(&self) -> Option<FenceToken> {
        self.lock().as_ref().and_then(Lease::may_act)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Lease>> {
        self.lease.lock().expect("no panic under the lock of the seat")
    }
}
