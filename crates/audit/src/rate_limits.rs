//! Check that endpoints get no more requests than the rate limits that they state.
//!
//! It uses only what endpoints received and stated in their responses, not what instances believe.

use {crate::history::Time, indexmap::IndexMap};

/// Length of the sliding window in which arrivals are counted.
pub const WINDOW: Time = Time::from_secs(4);
/// Time from the first statement until the limit applies.
pub const ADAPTATION: Time = Time::from_secs(3);
/// Age of the first statement to an instance from which the instance's requests count.
pub const HEARD_AFTER: Time = Time::from_millis(500);
/// Multiple of the stated rate that is allowed.
const RATE_FACTOR: f64 = 1.5;
/// Number of requests allowed in addition in each window.
const BURST: f64 = 5.0;

/// Arrival of a request at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Time,
    /// Instance that sent the request.
    pub instance: String,
}

/// Statement of a rate limit in one response of the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Time of the response.
    pub at: Time,
    /// Instance that got the response.
    pub instance: String,
    /// Limit in requests per second, for all instances together.
    pub limit: f64,
}

/// Window with more arrivals than the limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Start of the window.
    pub from: Time,
    /// Number of arrivals in the window from instances that knew the limit.
    pub arrivals: usize,
    /// Number of arrivals allowed.
    pub allowed: f64,
}

/// Returns the window that exceeds the limit most, or `None` if none does. All `statements` are of
/// one endpoint and state the same limit, which holds until the last of them.
pub fn excess(arrivals: &[Arrival], statements: &[Statement]) -> Option<Excess> {
    let first = statements.iter().min_by_key(|s| s.at)?;
    let last = statements.iter().map(|s| s.at).max()?;
    let allowed = RATE_FACTOR * first.limit * WINDOW.as_secs_f64() + BURST;
    let mut heard: IndexMap<&str, Time> = IndexMap::new();
    for statement in statements {
        let at = heard.entry(&statement.instance).or_insert(statement.at);
        *at = statement.at.min(*at);
    }
    let counts = |a: &&Arrival| {
        let known = heard.get(a.instance.as_str()).is_some_and(|at| a.at >= *at + HEARD_AFTER);
        known && a.at >= first.at + ADAPTATION && a.at <= last
    };
    let mut times: Vec<Time> = arrivals.iter().filter(counts).map(|a| a.at).collect();
    times.sort_unstable();
    // The count is largest in a window that begins with an arrival.
    let windows = times.iter().enumerate().map(|(i, from)| {
        let arrivals = times.partition_point(|at| *at < *from + WINDOW) - i;
        Excess { from: *from, arrivals, allowed }
    });
    windows.filter(|e| e.arrivals as f64 > e.allowed).max_by_key(|e| e.arrivals)
}
