//! Admission of requests that cannot meet their latency objective.
//!
//! A late response has a fraction of the value of a timely one. Its cost is what other requests
//! lose: while an engine's backlog exceeds what a typical request can wait, requests that arrive
//! are late or refused. One rule therefore admits a prompt that is too long for its objective while
//! engines have capacity, and rejects it, whatever its size, while it would cost others more than
//! its value. Value is measured in engine time, since a prompt's value is roughly proportional to
//! its length.

use std::time::Duration;

/// Value of a late response as a fraction of a timely one, as the deployments' sheets state it.
pub const LATE_VALUE: f64 = 0.3;

/// Inputs of the decision on late responses; the default admits none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatePolicy {
    /// Maximum time to first token at which a late response is still useful; zero if never.
    pub limit: Duration,
    /// Engine backlog up to which a typical request there meets its objective.
    pub slack: Duration,
    /// Engine time that all callers ask for, as a fraction of the time of all engines.
    pub load: f64,
}

impl LatePolicy {
    /// Whether to admit a request whose first token is expected after `expected`, at an engine that
    /// needs `own` to prefill it and `ahead` for its present backlog.
    pub fn admits(&self, expected: Duration, own: Duration, ahead: Duration) -> bool {
        // Engine time lost to requests that arrive while the backlog exceeds the slack.
        let lost = (ahead + own).saturating_sub(self.slack).mul_f64(self.load.clamp(0.0, 1.0));
        expected <= self.limit && own.mul_f64(LATE_VALUE) >= lost
    }
}
