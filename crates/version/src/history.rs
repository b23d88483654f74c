//! Splits of one service in the recent past.
//!
//! A new split comes into force without a message between instances. Each of them uses the former one
//! until [`VALIDITY`] after it first saw the new one, and at most twice that time after the former one was
//! last confirmed; one that has not learned of the change by [`VALIDITY`] after it has nothing to go by, as
//! its knowledge is older. Then each uses the new split, if it has been in contact to most others since:
//! otherwise these may go by the former one in agreement, and it begins only streams for which both
//! splits select the same version. A split that some instances never see, as it comes and goes between
//! their reads, is left to the instances that are told of streams ([`crate::homes`]).

use {
    crate::{StreamId, split::Split},
    agate_core::Mono,
    agate_view::roster::Version,
    indexmap::IndexSet,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which what an instance knows of the endpoints holds after it was confirmed.
pub const VALIDITY: Duration = Duration::from_secs(1);
/// Time for which former splits are remembered; streams last less long.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of splits that are remembered.
const MAX_STEPS: usize = 64;

/// A split and the times since which it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Latest time at which the former split was known to hold.
    pub former_held: Mono,
    /// When this instance first saw it.
    pub seen_at: Mono,
    /// Time from which most instances can know it.
    pub spread_at: Mono,
    /// The split.
    pub split: Split,
}

impl Step {
    /// Time until which the former split is used.
    fn former_end(&self) -> Mono {
        (self.seen_at + VALIDITY).min(self.former_held + 2 * VALIDITY)
    }
}

/// Time of a decision, and what it may rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Present time.
    pub now: Mono,
    /// Latest contact to most other instances, which tells them of all earlier splits.
    pub contact: Mono,
}

impl Moment {
    /// Whether instances may begin streams by `step`.
    fn is_in_force(&self, step: &Step) -> bool {
        step.spread_at <= self.contact && step.spread_at + VALIDITY <= self.now
    }
}

/// The version of a stream cannot be chosen yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsettled;

/// Splits of one service, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History(VecDeque<Step>);

impl History {
    /// Records the split of the endpoints that are listed at `now`; returns whether it is another one.
    /// The former one was last known to hold at `former_held`. While there are none, the last split is kept.
    pub fn record(&mut self, split: &Split, former_held: Mono, now: Mono) -> bool {
        if split.is_empty() || self.0.back().is_some_and(|last| last.split == *split) {
            return false;
        }
        self.0.push_back(Step { former_held, seen_at: now, spread_at: now, split: split.clone() });
        let expired = |steps: &VecDeque<Step>| {
            steps.len() > MAX_STEPS || steps.get(1).is_some_and(|s| s.spread_at + RETENTION < now)
        };
        while expired(&self.0) {
            self.0.pop_front();
        }
        true
    }

    /// Version that a new stream begins at: that of the latest split which is in force, unless the
    /// version has left since. `None` if no split is known.
    ///
    /// # Errors
    ///
    /// If other instances may use the next split already, and that selects another version.
    pub fn begin(&self, stream: StreamId, moment: Moment) -> Result<Option<&Version>, Unsettled> {
        let Some(last) = self.0.back() else { return Ok(None) };
        let choose = |step: &'_ Step| {
            let version = last.split.versions().find(|l| step.split.version_of(stream) == Some(*l));
            version.or_else(|| last.split.version_of(stream))
        };
        let settled = self.0.iter().rposition(|s| moment.is_in_force(s)).unwrap_or_default();
        let version = choose(&self.0[settled]);
        let mut later = self.0.range(settled + 1..).filter(|s| s.former_end() <= moment.now);
        if later.any(|s| choose(s) != version) { Err(Unsettled) } else { Ok(version) }
    }

    /// Whether all instances that begin streams know the latest split.
    pub fn is_settled(&self, moment: Moment) -> bool {
        self.0.len() <= 1 || self.0.back().is_some_and(|last| moment.is_in_force(last))
    }

    /// Versions that a stream may have begun at not longer than `window` ago by former splits, which
    /// `choose` asks for one, with the time until it cannot have any more.
    fn former<'a, T: Iterator<Item = &'a Version>>(
        &'a self,
        choose: impl Fn(&'a Split) -> T,
        window: Duration,
        moment: Moment,
    ) -> impl Iterator<Item = (&'a Version, Duration)> {
        let Moment { now, contact } = moment;
        let end = move |next: &Step, version: &Version| {
            // A version without endpoints begins no stream at an instance that knows this.
            let used = if next.split.versions().any(|v| v == version) { 2 } else { 1 };
            let spread_at = if next.spread_at <= contact { next.spread_at } else { now };
            spread_at + used * VALIDITY + window
        };
        let all = self.0.iter().zip(self.0.iter().skip(1));
        let all = all.flat_map(move |(step, next)| choose(&step.split).map(move |v| (v, next)));
        all.filter_map(move |(v, next)| end(next, v).checked_sub(now).map(|left| (v, left)))
    }

    /// Version that began a stream not longer than `window` ago.
    ///
    /// # Errors
    ///
    /// If several ones may have: the time until only one of them can.
    pub fn version(
        &self,
        stream: StreamId,
        window: Duration,
        moment: Moment,
    ) -> Result<&Version, Option<Duration>> {
        let last = self.0.back().and_then(|s| s.split.version_of(stream)).ok_or(None)?;
        let former = self.former(|s| s.version_of(stream).into_iter(), window, moment);
        let other = former.filter(|(version, _)| *version != last);
        other.map(|(_, left)| left).max().map_or(Ok(last), |left| Err(Some(left)))
    }

    /// The version that began all streams not longer than `window` ago; `None` if several ones may
    /// have.
    pub fn only_version(&self, window: Duration, moment: Moment) -> Option<&Version> {
        let former = self.former(Split::versions, window, moment).map(|(version, _)| version);
        let versions: IndexSet<&Version> = former.chain(self.versions()).collect();
        versions.first().copied().filter(|_| versions.len() == 1)
    }

    /// Versions of the latest split.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        self.0.back().into_iter().flat_map(|last| last.split.versions())
    }

    /// Counts the splits that were first seen since `contact` as known to others from `now` on only:
    /// most other instances were out of contact.
    pub fn postpone(&mut self, contact: Mono, now: Mono) {
        for step in self.0.iter_mut().skip(1).filter(|s| s.spread_at > contact) {
            step.spread_at = now;
        }
    }

    /// Puts `steps` from before the start of the instance before its own. Their times are those of other
    /// instances' clocks, so they may look later than the own ones.
    pub fn prepend(&mut self, steps: impl IntoIterator<Item = (Mono, Split)>) {
        let own = std::mem::take(&mut self.0);
        let first = own.front().map(|s| s.seen_at);
        let earlier = steps.into_iter().map(|(at, split)| {
            let at = first.map_or(at, |f| at.min(f));
            Step { former_held: at, seen_at: at, spread_at: at, split }
        });
        for step in earlier.chain(own) {
            if self.0.back().is_none_or(|last| last.split != step.split) {
                self.0.push_back(step);
            }
        }
    }

    /// Splits with the times since which they are known, oldest first.
    pub fn steps(&self) -> impl Iterator<Item = &Step> {
        self.0.iter()
    }
}
