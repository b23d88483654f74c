//! What the other instances admitted, as their coordinator sums it up.

use {
    super::{Bound, Sums, Usage, WINDOWS, remaining},
    agate_core::Mono,
    std::{cmp::Ordering, time::Duration},
};

/// Age from which the sums of the others no longer count.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Fraction of the previous number of instances below which sums may come from a coordinator that has
/// not heard of all of them yet.
const PARTIAL_FRACTION: f64 = 0.75;
/// Age of a group's figures from which its members no longer count and partial sums replace its own. A
/// coordinator is given up after 0.4 s, and the next one has heard of all instances a poll interval
/// later. Until then, groups that are cut off from each other each use the whole quota.
pub const MAX_MEMBER_AGE: Duration = Duration::from_millis(800);

/// Whether sums over `new` instances should be ignored in favour of the previous ones, which are over
/// `previous` instances and `age` old.
pub fn is_partial(previous: u32, age: Duration, new: u32) -> bool {
    f64::from(new) < f64::from(previous) * PARTIAL_FRACTION && age < MAX_MEMBER_AGE
}

/// Sums over all other instances of a group for one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Weight admitted, for each window.
    pub sums: Sums,
    /// Weight requested in the shortest window.
    pub asked: f64,
    /// Most weight of instances no longer heard that one of them knows, for each window.
    pub missing: Sums,
    /// Number of instances that were summed up.
    pub instances: u32,
    /// Whether sums over fewer instances were ignored before.
    pub resumed: bool,
    /// Time at which the figures were true.
    pub at: Mono,
}

/// Weight of instances that are no longer heard, which leaves the windows as time passes.
#[derive(Clone, Copy, Debug, Default)]
struct Missing {
    sums: Sums,
    at: Mono,
}

/// The others' use of one organisation's quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct Others {
    report: Option<Report>,
    /// Weight that this instance noticed to be missing.
    missing: Missing,
    /// Weight that others noticed to be missing, as an instance cannot that started afterwards.
    heard: Missing,
}

impl Others {
    /// Replaces the sums by newer ones. Weight that is missing from them because fewer instances were
    /// summed up is kept as [`Self::missing`].
    pub fn on_report(&mut self, report: Report, bound: &Bound) {
        self.expire(bound, report.at);
        let (before, instances) =
            self.report.map_or(([0.0; WINDOWS], 0), |known| (known.sums, known.instances));
        let mut missing = self.missing(bound, report.at);
        // Instances that ended may have been replaced while sums were ignored, so that their number is
        // the same.
        let since = self.report.map_or(Duration::ZERO, |known| report.at.saturating_sub(known.at));
        let left = remaining(&before, bound, since);
        for i in 0..WINDOWS {
            match report.instances.cmp(&instances) {
                Ordering::Less => missing[i] += (before[i] - report.sums[i]).max(0.0),
                _ if report.resumed => missing[i] += (left[i] - report.sums[i]).max(0.0),
                Ordering::Equal => continue,
                // Instances are heard again, so their weight is no longer missing.
                Ordering::Greater => missing[i] -= (report.sums[i] - before[i]).max(0.0),
            }
            missing[i] = missing[i].max(0.0);
        }
        // Weight that is only read again and again as it leaves the windows would leave them too early: how
        // it is spread within them is interpolated.
        if report.instances != instances || report.resumed {
            self.missing = Missing { sums: missing, at: report.at };
        }
        self.heard = Missing { sums: report.missing, at: report.at };
        self.report = Some(report);
    }

    /// Weight of instances that this one no longer hears, for each window. It is at its full value when they
    /// are missed first, and zero after the window.
    pub fn missing(&self, bound: &Bound, now: Mono) -> Sums {
        remaining(&self.missing.sums, bound, now.saturating_sub(self.missing.at))
    }

    /// Fills in the others' part of `usage`.
    pub fn fill(&mut self, usage: &mut Usage, bound: &Bound, now: Mono) {
        self.expire(bound, now);
        usage.missing = self.missing(bound, now);
        let heard = remaining(&self.heard.sums, bound, now.saturating_sub(self.heard.at));
        usage.missing.iter_mut().zip(heard).for_each(|(own, heard)| *own = own.max(heard));
        let Some(report) = self.report else { return };
        let shortest = bound.windows()[0].as_secs_f64();
        usage.others = report.sums;
        usage.admitted = report.sums[0] / shortest;
        usage.asked = report.asked / shortest;
        usage.age = now.saturating_sub(report.at);
    }

    /// Whether nothing is known of the others, or nothing that still counts.
    pub fn is_idle(&mut self, bound: &Bound, now: Mono) -> bool {
        self.expire(bound, now);
        let weight = self.missing(bound, now)[WINDOWS - 1];
        weight <= 0.0 && self.report.is_none_or(|r| r.sums[WINDOWS - 1] <= 0.0 && r.asked <= 0.0)
    }

    /// Treats the weight of a report that is too old as missing.
    fn expire(&mut self, bound: &Bound, now: Mono) {
        let old = |r: &mut Report| now.saturating_sub(r.at) > MAX_REPORT_AGE;
        let Some(report) = self.report.take_if(old) else { return };
        let (left, mut sums) = (self.missing(bound, report.at), report.sums);
        sums.iter_mut().zip(left).for_each(|(sum, left)| *sum += left);
        self.missing = Missing { sums, at: report.at };
    }
}
