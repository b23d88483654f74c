//! Quotas of organisations, which hold for all instances together.
//!
//! Each instance counts the weight that it admitted in four windows ([`Meter`]) and hears the sums of
//! the other instances' counts ([`Others`]); [`Ledger`] holds both for every organisation. [`decide`] admits a request if own and others' weight fit
//! into the quota in every window. The longest window is the one for which the quota is stated; the
//! shorter ones spread its use over time and bound what instances can admit before they hear of each
//! other.
//!
//! Invariants, for the longest window:
//!
//! - A group of m of n instances admits at most m/n of the quota, whatever the others do.
//! - A group admits nothing that does not fit beside the weight that it knows of instances it no
//!   longer hears ([`Others::missing`]).
//! - An instance that lost its counts adds to its group only the part of a window since its start.

mod ledger;
mod meter;
mod others;

pub use {
    ledger::{Charge, Group, Key, Ledger, Request, Row},
    meter::{Meter, Slot},
    others::{MAX_MEMBER_AGE, MAX_REPORT_AGE, Others, Report, is_partial},
};

use {agate_core::time::seconds, std::time::Duration};

/// Number of windows in which weight is counted.
pub const WINDOWS: usize = 4;
/// Divisors of the longest window, for each window in increasing length.
const DIVISORS: [u32; WINDOWS] = [8, 4, 2, 1];
/// Fraction of the longest window whose weight a short window admits in addition to its own. Without it,
/// an organisation whose requests come in clusters is refused although it is within its quota.
const CLUSTER_FRACTION: f64 = 0.25;
/// Fraction of the slack that a short window admits in addition, for requests that are large compared
/// with the rate.
const SLACK_FRACTION: f64 = 0.5;
/// Minimum time after which a refused caller returns, in seconds: a request that fits except for what others
/// may use is refused again before they have reported.
const MIN_WAIT: f64 = 0.05;
/// Minimum time over which refused callers are spread, in seconds.
const MIN_SPREAD: f64 = 0.25;

/// Weight in each window, shortest window first.
pub type Sums = [f64; WINDOWS];

/// Limit on the weight of an organisation's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Weight per second, above zero.
    pub rate: f64,
    /// Weight in addition to the rate in any window.
    pub burst: f64,
    /// Weight by which the sum of all instances may exceed it. Only short windows use it.
    pub slack: f64,
}

/// How exactly quotas are held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Window in which they are held.
    pub window: Duration,
    /// Fraction of a quota by which the sum of all instances may exceed it. Only short windows use it.
    pub overage: f64,
}

impl Bound {
    /// Lengths of the windows, shortest first.
    pub fn windows(&self) -> [Duration; WINDOWS] {
        DIVISORS.map(|divisor| self.window / divisor)
    }

    /// Weight that `quota` allows in each window, to all instances together.
    pub fn limits(&self, quota: &Quota) -> Sums {
        let whole = self.window.as_secs_f64();
        let mut out = self.windows().map(|window| {
            let clusters =
                (quota.rate * whole * CLUSTER_FRACTION).max(quota.slack * SLACK_FRACTION);
            quota.rate * window.as_secs_f64() * (1.0 + self.overage) + quota.burst.max(clusters)
        });
        out[WINDOWS - 1] = quota.rate * whole + quota.burst;
        out
    }
}

/// What an instance knows of the use of one quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Weight that this instance admitted.
    pub own: Sums,
    /// Weight that the instances of its group admitted, as last reported.
    pub others: Sums,
    /// Weight that was reported by instances which are no longer heard.
    pub missing: Sums,
    /// Weight per second that the others admitted in the shortest window.
    pub admitted: f64,
    /// Weight per second that was requested of the others in the shortest window.
    pub asked: f64,
    /// Age of the others' figures.
    pub age: Duration,
    /// Fraction of the quota that this instance's group may use, for each window.
    pub share: Sums,
}

impl Usage {
    /// Weight that the others have probably admitted since they reported.
    pub fn drift(&self) -> f64 {
        self.admitted * self.age.as_secs_f64()
    }

    /// Weight that the group has probably admitted in each window of `bound`.
    pub fn group(&self, bound: &Bound) -> Sums {
        let (mut out, drift) = (self.own, self.drift());
        // Since the report, the oldest weight has left the windows. The longest window is not reduced,
        // because how the weight is spread between two lengths is unknown.
        let remaining = remaining(&self.others, bound, self.age);
        for i in 0..WINDOWS {
            out[i] += drift + if i + 1 == WINDOWS { self.others[i] } else { remaining[i] };
        }
        out
    }

    /// Weight that may still be admitted: the smallest rest of all windows, and whether it is limited
    /// by the group's share. Negative if a window is overdrawn.
    fn left(&self, quota: &Quota, bound: &Bound) -> (f64, bool) {
        let (limits, group) = (bound.limits(quota), self.group(bound));
        let mut out = (f64::INFINITY, false);
        for i in 0..WINDOWS {
            let share = limits[i] * self.share[i].clamp(0.0, 1.0) - group[i];
            let whole = limits[i] - group[i] - self.missing[i];
            let left = share.min(whole);
            if left < out.0 {
                out = (left, share < whole);
            }
        }
        out
    }
}

/// Why a request was admitted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It fits into the quota.
    Within,
    /// The quota is used up.
    Spent,
    /// The part of the quota that this instance's group may use is used up.
    ShareSpent,
    /// Little is left, and others probably use it at the same moment.
    Contended,
    /// It weighs more than the quota ever allows.
    Oversize,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 5] =
        [Reason::Within, Reason::Spent, Reason::ShareSpent, Reason::Contended, Reason::Oversize];

    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Within => "within",
            Reason::Spent => "spent",
            Reason::ShareSpent => "share_spent",
            Reason::Contended => "contended",
            Reason::Oversize => "oversize",
        }
    }
}

/// Result of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Why; the request is admitted if this is [`Reason::Within`].
    pub reason: Reason,
    /// Weight that was left before the request.
    pub left: f64,
    /// Time after which a refused request probably fits; `None` if it never does.
    pub after: Option<Duration>,
}

/// Random numbers of one decision, 0 up to 1.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    /// Decides whether a request is admitted while little is left.
    pub admit: f64,
    /// Spreads the times at which refused callers return.
    pub spread: f64,
}

/// Decides whether a request of `weight` may run.
pub fn decide(quota: &Quota, bound: &Bound, usage: &Usage, weight: f64, draw: Draw) -> Decision {
    let (left, by_share) = usage.left(quota, bound);
    if weight > bound.limits(quota)[WINDOWS - 1] {
        return Decision { reason: Reason::Oversize, left, after: None };
    }
    // Weight that is requested of the others before they hear of this request.
    let asked = usage.asked * usage.age.as_secs_f64();
    let reason = match () {
        () if left < weight && by_share => Reason::ShareSpent,
        () if left < weight => Reason::Spent,
        () if left < asked && draw.admit >= left / asked => Reason::Contended,
        () => return Decision { reason: Reason::Within, left, after: None },
    };
    let after = retry_after(quota, bound, usage, weight, draw.spread);
    Decision { reason, left, after: Some(after) }
}

/// Time until enough weight has left every window, spread by how much more is requested than the rate
/// allows: callers that are refused together must not return together.
fn retry_after(quota: &Quota, bound: &Bound, usage: &Usage, weight: f64, spread: f64) -> Duration {
    let (limits, group, windows) = (bound.limits(quota), usage.group(bound), bound.windows());
    let whole = bound.window.as_secs_f64();
    let mut wait = MIN_WAIT;
    for i in 0..WINDOWS {
        let shared = limits[i] * usage.share[i].clamp(0.0, 1.0);
        let excess = group[i] + weight - shared.min(limits[i] - usage.missing[i]);
        wait = wait.max(time_until_left(&group, &windows, i, excess).min(whole));
    }
    let demand = (usage.asked / quota.rate).clamp(MIN_SPREAD, whole);
    seconds((wait + demand * spread).min(2.0 * whole))
}

/// What is left of weight in the windows of `bound` after `age`, if the weight between two window lengths
/// is spread evenly.
fn remaining(sums: &Sums, bound: &Bound, age: Duration) -> Sums {
    let windows = bound.windows();
    windows.map(|window| {
        let age_limit = window.saturating_sub(age).as_secs_f64();
        let (mut shorter, mut from) = (0.0, 0.0);
        for (sum, window) in sums.iter().zip(windows) {
            let to = window.as_secs_f64();
            if age_limit <= to {
                return shorter + (sum - shorter) * (age_limit - from) / (to - from);
            }
            (shorter, from) = (*sum, to);
        }
        shorter
    })
}

/// Seconds until `excess` has left window `i`, if the weight between two window lengths is spread
/// evenly. The oldest weight leaves first.
fn time_until_left(sums: &Sums, windows: &[Duration; WINDOWS], i: usize, excess: f64) -> f64 {
    let (mut rest, mut time) = (excess, 0.0);
    for k in (0..=i).rev() {
        if rest <= 0.0 {
            break;
        }
        let (shorter, from) =
            if k == 0 { (0.0, 0.0) } else { (sums[k - 1], windows[k - 1].as_secs_f64()) };
        let (weight, length) = ((sums[k] - shorter).max(0.0), windows[k].as_secs_f64() - from);
        if weight >= rest {
            return time + length * rest / weight;
        }
        rest -= weight;
        time += length;
    }
    time
}

/// Fraction of the quota that a group may use in each window. `members` is the number of its
/// instances, of which each counts as the part of the window for which it has run; `instances` is the
/// largest recent number of instances.
pub fn group_share(members: &Sums, instances: usize) -> Sums {
    let most = members[0].max(instances.max(1) as f64);
    members.map(|m| (m / most).clamp(0.0, 1.0))
}

/// Part of a member that an instance counts as in each window, `up` after its start: its counts before
/// the start are lost.
pub fn member_part(bound: &Bound, up: Duration) -> Sums {
    bound.windows().map(|window| (up.as_secs_f64() / window.as_secs_f64()).min(1.0))
}
