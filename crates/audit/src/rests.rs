//! Check that an instance gives an endpoint the rest that it asked for.
//!
//! It uses only what endpoints received and stated in their responses, not what instances believe.

use crate::{history::Time, rate_limits::Arrival};

/// Time after the rejection in which requests may still arrive.
pub const REACTION: Time = Time::from_millis(500);
/// Number of requests allowed from then until the end of the rest.
pub const ALLOWED: usize = 2;

/// Rejection by one endpoint that asks an instance for rest.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// Time of the response.
    pub at: Time,
    /// Instance that got the response.
    pub instance: String,
    /// Time for which the endpoint wants no requests from the instance.
    pub rest: Time,
}

/// Rest in which more requests arrived than allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess {
    /// Rejection that asked for the rest.
    pub rejection: Rejection,
    /// Number of arrivals from the same instance within the rest.
    pub arrivals: usize,
}

/// Returns the rest with the most arrivals, or `None` if none has more than allowed. All `arrivals`
/// and `rejections` are of one endpoint.
pub fn excess(arrivals: &[Arrival], rejections: &[Rejection]) -> Option<Excess> {
    let count = |r: &Rejection| {
        let within = |a: &&Arrival| {
            a.instance == r.instance && a.at > r.at + REACTION && a.at < r.at + r.rest
        };
        Excess { rejection: r.clone(), arrivals: arrivals.iter().filter(within).count() }
    };
    let over = rejections.iter().map(count).filter(|e| e.arrivals > ALLOWED);
    over.max_by_key(|e| e.arrivals)
}
