//! Splits of one service in the recent past.

use {
    crate::{StreamId, split::Split},
    agate_core::Mono,
    agate_view::roster::Version,
    indexmap::IndexSet,
    std::{collections::VecDeque, time::Duration},
};

/// Time within which all instances learn of an endpoint that comes or goes.
pub const SPREAD: Duration = Duration::from_secs(1);
/// Time for which former splits are remembered; streams last less long.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of splits that are remembered.
const MAX_STEPS: usize = 64;

/// When a split was first seen, and the split.
pub type Step = (Mono, Split);

/// Splits of one service, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History(VecDeque<Step>);

impl History {
    /// Records the split of the endpoints that are listed at `now`; returns whether it is another one.
    /// While there are none, the last split is kept.
    pub fn record(&mut self, split: &Split, now: Mono) -> bool {
        if split.is_empty() || self.0.back().is_some_and(|(_, last)| last == split) {
            return false;
        }
        self.0.push_back((now, split.clone()));
        let expired = |steps: &VecDeque<Step>| {
            steps.len() > MAX_STEPS || steps.get(1).is_some_and(|(end, _)| *end + RETENTION < now)
        };
        while expired(&self.0) {
            self.0.pop_front();
        }
        true
    }

    /// Version that a new stream begins at: that of the latest split which all instances know, unless
    /// the version has left since. `None` if there is one version only.
    pub fn begin(&self, stream: StreamId, now: Mono) -> Option<&Version> {
        let (_, last) = self.0.back()?;
        if self.0.len() == 1 && last.len() == 1 {
            return None;
        }
        let (_, settled) =
            self.0.iter().rfind(|(at, _)| *at + SPREAD <= now).or_else(|| self.0.front())?;
        let version = settled.version_of(stream).filter(|v| last.versions().any(|l| l == *v));
        version.or_else(|| last.version_of(stream))
    }

    /// Former splits by which a stream may have begun not longer than `window` ago, with the time
    /// until it cannot have any more.
    fn former(&self, window: Duration, now: Mono) -> impl Iterator<Item = (&Split, Duration)> {
        // Instances begin streams by a split until they all know the next one.
        let ends = self.0.iter().skip(1).map(move |(at, _)| *at + SPREAD + window);
        let all = self.0.iter().map(|(_, split)| split).zip(ends);
        all.filter(move |(_, end)| *end >= now).map(move |(split, end)| (split, end - now))
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
        now: Mono,
    ) -> Result<&Version, Option<Duration>> {
        let last = self.0.back().and_then(|(_, last)| last.version_of(stream)).ok_or(None)?;
        let former = self.former(window, now);
        let other = former.filter(|(split, _)| split.version_of(stream) != Some(last));
        other.map(|(_, left)| left).max().map_or(Ok(last), |left| Err(Some(left)))
    }

    /// Whether one version only can have begun streams not longer than `window` ago.
    pub fn has_one_version(&self, window: Duration, now: Mono) -> bool {
        let last = self.0.back().map(|(_, last)| last);
        let all = self.former(window, now).map(|(split, _)| split).chain(last);
        all.flat_map(Split::versions).collect::<IndexSet<_>>().len() <= 1
    }

    /// Puts `steps` from before the start of the instance before its own. Their times are those of other
    /// instances' clocks, so they may look later than the own ones.
    pub fn prepend(&mut self, steps: impl IntoIterator<Item = Step>) {
        let own = std::mem::take(&mut self.0);
        let first = own.front().map(|(at, _)| *at);
        let earlier = steps.into_iter().map(|(at, s)| (first.map_or(at, |f| at.min(f)), s));
        for step in earlier.chain(own) {
            if self.0.back().is_none_or(|(_, last)| *last != step.1) {
                self.0.push_back(step);
            }
        }
    }

    /// Splits with the times since which they are in force, oldest first.
    pub fn steps(&self) -> impl Iterator<Item = &Step> {
        self.0.iter()
    }
}
