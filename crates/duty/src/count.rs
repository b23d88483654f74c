//! Usage counted by one instance, and its record in the store.

use {
    crate::{Counts, Window},
    agate_core::{Mono, Wall},
    agate_view::{framing, table::Name},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Requests by organisation, for each window.
pub type Rows = Vec<(Window, Vec<(String, u64)>)>;

/// Prefix of the records.
pub const PREFIX: &str = "agate/usage/";
/// Windows that a record holds; older ones were reported or are too late.
pub const KEPT: u64 = 4;
/// Time for which a jump of the time of day must last before it is believed.
pub const BELIEVE_JUMP: Duration = Duration::from_secs(30);
/// Difference from the expected time of day that counts as a jump.
const JUMP: Duration = Duration::from_millis(200);

/// Time of day that does not follow jumps which are undone soon, and yields to what the instances
/// agree on.
///
/// The own time is kept apart from the agreed one and goes into the agreement alone, so that what
/// one instance was told does not convince others.
#[derive(Clone, Debug)]
pub struct SteadyWall {
    own: Base,
    since: Mono,
    jumped: Option<Mono>,
    agreed: Option<Base>,
}

/// A time of day and the moment at which it held.
#[derive(Clone, Copy, Debug)]
struct Base {
    wall: Wall,
    at: Mono,
}

impl Base {
    fn read(&self, now: Mono) -> Wall {
        self.wall + now.saturating_sub(self.at)
    }
}

impl SteadyWall {
    /// Starts from what the time of day reads now.
    pub fn new(wall: Wall, now: Mono) -> Self {
        Self { own: Base { wall, at: now }, since: now, jumped: None, agreed: None }
    }

    /// Steady time of day, given what the time of day reads at `now`.
    pub fn read(&mut self, wall: Wall, now: Mono) -> Wall {
        let own = self.own(wall, now);
        self.agreed.map_or(own, |agreed| agreed.read(now))
    }

    /// The instance's own steady time, and for how long it was kept.
    pub fn vote(&mut self, wall: Wall, now: Mono) -> (Wall, Duration) {
        (self.own(wall, now), now.saturating_sub(self.since))
    }

    /// Takes over `wall` at `now`, which the instances agree on; returns by how much the time in use
    /// differed if that is more than clocks usually do.
    pub fn agree(&mut self, wall: Wall, now: Mono) -> Option<Duration> {
        let used = self.agreed.unwrap_or(self.own).read(now);
        let by = used.abs_diff(wall);
        if by < JUMP {
            return None;
        }
        self.agreed = Some(Base { wall, at: now });
        Some(by)
    }

    fn own(&mut self, wall: Wall, now: Mono) -> Wall {
        let expected = self.own.read(now);
        if expected.abs_diff(wall) < JUMP {
            self.jumped = None;
            return expected;
        }
        let since = *self.jumped.get_or_insert(now);
        let confirmed = self.agreed.is_some_and(|a| a.read(now).abs_diff(wall) < JUMP);
        if !confirmed && now.saturating_sub(since) < BELIEVE_JUMP {
            return expected;
        }
        self.own = Base { wall, at: now };
        (self.since, self.jumped) = (now, None);
        wall
    }
}

/// Counts of one incarnation of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    windows: IndexMap<Window, IndexMap<String, u64>>,
}

impl Tally {
    /// Counts one request of `org` that began to run in `window`.
    pub fn count(&mut self, window: Window, org: &Name) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(&**org) {
            Some(n) => *n += 1,
            None => drop(counts.insert(org.to_string(), 1)),
        }
        self.windows.retain(|w, _| *w + KEPT > window);
    }

    /// Takes whole values of `window` in; a smaller value than the known one was overtaken.
    pub fn merge(&mut self, window: Window, rows: &[(String, u64)]) {
        let counts = self.windows.entry(window).or_default();
        for (org, n) in rows {
            let known = counts.entry(org.clone()).or_default();
            *known = (*known).max(*n);
        }
        self.windows.retain(|w, _| *w + KEPT > window);
    }

    /// Takes another tally of the same incarnation in.
    pub fn merge_all(&mut self, other: &Tally) {
        for (window, counts) in &other.windows {
            let rows: Vec<(String, u64)> = counts.iter().map(|(o, n)| (o.clone(), *n)).collect();
            self.merge(*window, &rows);
        }
    }

    /// Rows of the newest `most` windows.
    pub fn newest_rows(&self, most: u64) -> Rows {
        let newest = self.newest().unwrap_or_default();
        let recent = self.windows.iter().filter(|(w, _)| **w + most > newest);
        recent.map(|(w, c)| (*w, c.iter().map(|(o, n)| (o.clone(), *n)).collect())).collect()
    }

    /// Newest window in which something was counted.
    pub fn newest(&self) -> Option<Window> {
        self.windows.keys().copied().max()
    }

    /// Bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Reads a record; `None` if another build wrote it or it is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }
}

/// Sum of the counts of `window` over all instances, in the order of names.
pub fn sum<'a>(tallies: impl IntoIterator<Item = &'a Tally>, window: Window) -> Counts {
    let mut out = Counts::new();
    for counts in tallies.into_iter().filter_map(|t| t.windows.get(&window)) {
        for (org, n) in counts {
            *out.entry(org.as_str().into()).or_default() += n;
        }
    }
    out.sort_keys();
    out
}

/// Window that `time` falls in, for windows of `length`.
pub fn window_of(time: Wall, length: Duration) -> Window {
    (time.as_nanos() / length.as_nanos().max(1)) as Window
}

/// Time at which `window` ends.
pub fn end_of(window: Window, length: Duration) -> Wall {
    length * u32::try_from(window + 1).unwrap_or(u32::MAX)
}
