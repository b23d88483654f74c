//! Whether a request that cannot be in time is worth its engine time.
//!
//! A late answer is worth a part of one in time. The engine time that it takes is worth what other
//! requests lose by it: while the engine's backlog exceeds what a usual request can wait, those that
//! arrive are late or refused. So the same rule lets a prompt in that is too long for its objective
//! while engines have room, and keeps it out while it would cost others more than it brings, whatever
//! its size. Worth counts in engine time, since a prompt is worth about as much as it is long.

use std::time::Duration;

/// Worth of a late answer as a part of one in time, as the deployments' sheets state it.
pub const LATE_WORTH: f64 = 0.3;

/// What decides on late answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Late {
    /// Longest time to the first token for which a late answer is of use; zero if none is.
    pub within: Duration,
    /// Backlog of an engine up to which a usual request there is in time.
    pub slack: Duration,
    /// Engine time that all callers ask for, as a part of the time of all engines.
    pub load: f64,
}

impl Late {
    /// Whether a request is worth starting whose first token is expected after `expected`, at an
    /// engine that needs `own` for it and `ahead` for what is there already.
    pub fn is_worth(&self, expected: Duration, own: Duration, ahead: Duration) -> bool {
        // Requests that arrive while the engine is so far behind lose this much of its time.
        let lost = (ahead + own).saturating_sub(self.slack).mul_f64(self.load.clamp(0.0, 1.0));
        expected <= self.within && own.mul_f64(LATE_WORTH) >= lost
    }
}
