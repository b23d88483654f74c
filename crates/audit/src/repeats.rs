//! Whether endpoints got more repeated requests than the fleet's budget allows.
//!
//! Judged from what callers sent and what arrived at endpoints, without any count that the instances
//! keep themselves.

use {crate::history::Time, indexmap::IndexMap};

/// A call of a request that reached an endpoint, whether or not the endpoint ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it arrived.
    pub at: Time,
    /// Request that it belongs to; each sending of a caller is a request of its own.
    pub request: String,
    /// Whether it only had the prompt read, and the engine did so. The first of these does not count.
    pub read: bool,
}

/// What the whole fleet may repeat at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Arrivals beyond the first as a part of the requests.
    pub ratio: f64,
    /// Arrivals besides.
    pub slack: f64,
    /// Window in which both are counted.
    pub window: Time,
}

/// A window in which there were too many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Its start.
    pub from: Time,
    /// Arrivals in it beyond the first of their request.
    pub arrivals: usize,
    /// Requests that the allowance is taken from.
    pub requests: usize,
    /// Arrivals that are allowed.
    pub allowed: f64,
}

/// The window that exceeds the budget most, `None` if none does; `requests` are the times at which
/// callers sent the requests for the service.
pub fn excess(arrivals: &[Arrival], requests: &[Time], budget: Budget) -> Option<Excess> {
    let further = beyond_first(arrivals);
    let mut requests = requests.to_vec();
    requests.sort_unstable();
    // A count changes only where an arrival enters or leaves the window.
    let starts = further.iter().flat_map(|at| [*at, (*at + STEP).saturating_sub(budget.window)]);
    let windows = starts.map(|from| {
        let arrivals = within(&further, from, budget.window);
        let requests = most_requests(&requests, from, budget.window);
        let allowed = budget.ratio * requests as f64 + budget.slack;
        Excess { from, arrivals, requests, allowed }
    });
    let over = |e: &Excess| e.arrivals as f64 - e.allowed;
    windows.filter(|e| over(e) > 0.0).max_by(|a, b| over(a).total_cmp(&over(b)))
}

/// Smallest step of time.
const STEP: Time = Time::from_nanos(1);

/// Times of the arrivals that count and are not the first of their request.
fn beyond_first(arrivals: &[Arrival]) -> Vec<Time> {
    let mut sorted: Vec<&Arrival> = arrivals.iter().collect();
    sorted.sort_by_key(|a| a.at);
    let mut seen: IndexMap<&str, (bool, usize)> = IndexMap::new();
    let mut out = Vec::new();
    for arrival in sorted {
        let (read, counted) = seen.entry(&arrival.request).or_default();
        if arrival.read && !std::mem::replace(read, true) {
            continue;
        }
        *counted += 1;
        if *counted > 1 {
            out.push(arrival.at);
        }
    }
    out
}

/// Requests of the window that begins at `from`, or of the one a half or a whole window earlier,
/// whichever has most.
fn most_requests(requests: &[Time], from: Time, window: Time) -> usize {
    let ends = [window, window / 2, Time::ZERO].map(|shift| from + shift);
    let counts = ends.map(|end| {
        let from = end.saturating_sub(window);
        within(requests, from, end - from)
    });
    counts.into_iter().max().unwrap_or_default()
}

/// How many of the sorted `times` lie in the `length` from `from` on.
fn within(times: &[Time], from: Time, length: Time) -> usize {
    let before = |limit: Time| times.partition_point(|t| *t < limit);
    before(from + length) - before(from)
}
