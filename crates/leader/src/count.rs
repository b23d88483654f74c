//! Usage counts of one instance, and their record in the store.

use {
    crate::{Counts, Window},
    agate_core::{Mono, Wall},
    agate_view::{framing, table::Name},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of requests by organisation, for each window.
pub type WindowCounts = Vec<(Window, Vec<(String, u64)>)>;

/// Key prefix of the records.
pub const PREFIX: &str = "agate/usage/";
/// Windows in a record; older ones have been reported or are too late to be.
pub const MAX_WINDOWS: u64 = 4;
/// Time for which a jump of the wall clock must last before it is accepted.
pub const JUMP_ACCEPT: Duration = Duration::from_secs(30);
/// Difference from the expected time of day from which it counts as a jump.
const MIN_JUMP: Duration = Duration::from_millis(200);

/// Wall clock that ignores jumps which are soon undone, and follows the time that the instances
/// agree on.
///
/// The own time is kept apart from the agreed one, and only the own time is sent to the agreement.
/// Otherwise an instance would repeat the agreed time and reinforce it.
#[derive(Clone, Debug)]
pub struct StableClock {
    own: ClockBase,
    since: Mono,
    jump_start: Option<Mono>,
    agreed: Option<ClockBase>,
}

/// A time of day and the monotonic time at which it held.
#[derive(Clone, Copy, Debug)]
struct ClockBase {
    wall: Wall,
    at: Mono,
}

impl ClockBase {
    fn read(&self, now: Mono) -> Wall {
        self.wall + now.saturating_sub(self.at)
    }
}

impl StableClock {
    /// Starts from `wall`, the wall clock reading at `now`.
    pub fn new(wall: Wall, now: Mono) -> Self {
        Self { own: ClockBase { wall, at: now }, since: now, jump_start: None, agreed: None }
    }

    /// Stable time of day, given the wall clock reading `wall` at `now`.
    pub fn read(&mut self, wall: Wall, now: Mono) -> Wall {
        let own = self.own(wall, now);
        self.agreed.map_or(own, |agreed| agreed.read(now))
    }

    /// The instance's own stable time, and for how long it has been kept.
    pub fn vote(&mut self, wall: Wall, now: Mono) -> (Wall, Duration) {
        (self.own(wall, now), now.saturating_sub(self.since))
    }

    /// Adopts `wall`, on which the instances agree at `now`, if it differs from the time in use by
    /// a jump, and returns the difference. Smaller differences are usual between clocks and change
    /// nothing.
    pub fn agree(&mut self, wall: Wall, now: Mono) -> Option<Duration> {
        let used = self.agreed.unwrap_or(self.own).read(now);
        let by = used.abs_diff(wall);
        if by < MIN_JUMP {
            return None;
        }
        self.agreed = Some(ClockBase { wall, at: now });
        Some(by)
    }

    fn own(&mut self, wall: Wall, now: Mono) -> Wall {
        let expected = self.own.read(now);
        if expected.abs_diff(wall) < MIN_JUMP {
            self.jump_start = None;
            return expected;
        }
        let since = *self.jump_start.get_or_insert(now);
        let confirmed = self.agreed.is_some_and(|a| a.read(now).abs_diff(wall) < MIN_JUMP);
        if !confirmed && now.saturating_sub(since) < JUMP_ACCEPT {
            return expected;
        }
        self.own = ClockBase { wall, at: now };
        (self.since, self.jump_start) = (now, None);
        wall
    }
}

/// Usage counts of one incarnation of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    windows: IndexMap<Window, IndexMap<String, u64>>,
}

impl Tally {
    /// Counts one request of `org` that began to run in `window`, and drops windows that are too
    /// old.
    pub fn count(&mut self, window: Window, org: &Name) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(&**org) {
            Some(n) => *n += 1,
            None => drop(counts.insert(org.to_string(), 1)),
        }
        self.windows.retain(|w, _| *w + MAX_WINDOWS > window);
    }

    /// Merges counts of `window`. The larger value of each organisation wins, since a smaller one
    /// is outdated.
    pub fn merge(&mut self, window: Window, rows: &[(String, u64)]) {
        let counts = self.windows.entry(window).or_default();
        for (org, n) in rows {
            let known = counts.entry(org.clone()).or_default();
            *known = (*known).max(*n);
        }
        self.windows.retain(|w, _| *w + MAX_WINDOWS > window);
    }

    /// Merges another copy of the counts of the same incarnation.
    pub fn merge_all(&mut self, other: &Tally) {
        for (window, counts) in &other.windows {
            let rows: Vec<(String, u64)> = counts.iter().map(|(o, n)| (o.clone(), *n)).collect();
            self.merge(*window, &rows);
        }
    }

    /// Counts of the newest `max_windows` windows.
    pub fn newest_rows(&self, max_windows: u64) -> WindowCounts {
        let newest = self.newest().unwrap_or_default();
        let recent = self.windows.iter().filter(|(w, _)| **w + max_windows > newest);
        recent.map(|(w, c)| (*w, c.iter().map(|(o, n)| (o.clone(), *n)).collect())).collect()
    }

    /// Newest window with counts.
    pub fn newest(&self) -> Option<Window> {
        self.windows.keys().copied().max()
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Decodes a record; `None` if it has another version or is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }
}

/// Sum of the counts of `window` over all instances, sorted by name.
pub fn window_sum<'a>(tallies: impl IntoIterator<Item = &'a Tally>, window: Window) -> Counts {
    let mut out = Counts::new();
    for counts in tallies.into_iter().filter_map(|t| t.windows.get(&window)) {
        for (org, n) in counts {
            *out.entry(org.as_str().into()).or_default() += n;
        }
    }
    out.sort_keys();
    out
}

/// Window that `time` falls into, for windows of `length`.
pub fn window_of(time: Wall, length: Duration) -> Window {
    (time.as_nanos() / length.as_nanos().max(1)) as Window
}

/// Time at which `window` ends, for windows of `length`.
pub fn end_of(window: Window, length: Duration) -> Wall {
    length * u32::try_from(window + 1).unwrap_or(u32::MAX)
}
