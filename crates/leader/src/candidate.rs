//! Candidacy for the leader lease.

use {
    agate_core::FenceToken,
    agate_lease::Lease,
    std::sync::{Mutex, MutexGuard},
};

/// The leader lease, while this instance is a candidate.
///
/// An instance that stops being a candidate lets its term expire instead of releasing it. So no
/// other holder acts before the platform may accept it.
#[derive(Default)]
pub struct LeaderCandidate {
    lease: Mutex<Option<Lease>>,
}

impl LeaderCandidate {
    /// Becomes a candidate with the lease that `open` creates, unless it already is one.
    pub fn start(&self, open: impl FnOnce() -> Lease) {
        let mut lease = self.lock();
        if lease.is_none() {
            let opened = open();
            opened.set_candidate(true);
            *lease = Some(opened);
        }
    }

    /// Stops being a candidate; a term that is held expires.
    pub fn stop(&self) {
        *self.lock() = None;
    }

    /// Fencing token with which this instance may act now; `None` if it does not hold the lease.
    pub fn may_act(&self) -> Option<FenceToken> {
        self.lock().as_ref().and_then(Lease::may_act)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Lease>> {
        self.lease.lock().expect("the lock of the lease is not poisoned")
    }
}
