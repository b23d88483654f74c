//! Check that endpoints receive no more retries than the fleet's retry budget allows.
//!
//! It uses only the requests of the callers and their arrivals at the endpoints, not the counts of
//! the instances.

use {crate::history::Time, indexmap::IndexMap};

/// Arrival of a request at an endpoint, whether or not the endpoint executed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: Time,
    /// Identifier of the request; each request of a caller has its own.
    pub request: String,
    /// Whether it was a prefill-only call that the engine accepted. The first one of a request does
    /// not count as a retry.
    pub prefill_only: bool,
}

/// Retry budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Allowed retries as a fraction of the requests.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window in which retries and requests are counted.
    pub window: Time,
}

/// Window with more retries than the budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Start of the window.
    pub from: Time,
    /// Number of retries in the window.
    pub arrivals: usize,
    /// Number of requests from which the allowed retries are computed.
    pub requests: usize,
    /// Number of retries allowed.
    pub allowed: f64,
}

/// Returns the window that exceeds the budget most, or `None` if none does. `requests` are the
/// times at which callers sent requests for the service.
pub fn excess(arrivals: &[Arrival], requests: &[Time], budget: Budget) -> Option<Excess> {
    let retries = retry_times(arrivals);
    let mut requests = requests.to_vec();
    requests.sort_unstable();
    // The count changes only where a retry enters or leaves the window.
    let starts = retries.iter().flat_map(|at| [*at, (*at + STEP).saturating_sub(budget.window)]);
    let windows = starts.map(|from| {
        let arrivals = count_within(&retries, from, budget.window);
        let requests = most_requests(&requests, from, budget.window);
        let allowed = budget.ratio * requests as f64 + budget.slack;
        Excess { from, arrivals, requests, allowed }
    });
    let over = |e: &Excess| e.arrivals as f64 - e.allowed;
    windows.filter(|e| over(e) > 0.0).max_by(|a, b| over(a).total_cmp(&over(b)))
}

/// Smallest difference between two times.
const STEP: Time = Time::from_nanos(1);

/// Times of the retries: arrivals that count, except the first one of each request.
fn retry_times(arrivals: &[Arrival]) -> Vec<Time> {
    let mut sorted: Vec<&Arrival> = arrivals.iter().collect();
    sorted.sort_by_key(|a| a.at);
    let mut seen: IndexMap<&str, (bool, usize)> = IndexMap::new();
    let mut out = Vec::new();
    for arrival in sorted {
        let (prefill_seen, counted) = seen.entry(&arrival.request).or_default();
        if arrival.prefill_only && !std::mem::replace(prefill_seen, true) {
            continue;
        }
        *counted += 1;
        if *counted > 1 {
            out.push(arrival.at);
        }
    }
    out
}

/// Number of requests in the window that begins at `from`, or half a window or a whole window
/// earlier, whichever is largest.
fn most_requests(requests: &[Time], from: Time, window: Time) -> usize {
    let ends = [window, window / 2, Time::ZERO].map(|shift| from + shift);
    let counts = ends.map(|end| {
        let from = end.saturating_sub(window);
        count_within(requests, from, end - from)
    });
    counts.into_iter().max().unwrap_or_default()
}

/// Number of the sorted `times` that are within `length` from `from` on.
fn count_within(times: &[Time], from: Time, length: Time) -> usize {
    let before = |limit: Time| times.partition_point(|t| *t < limit);
    before(from + length) - before(from)
}
