//! Counts of one instance, shared between the request path, the talk with others and the duties.

use {
    crate::{
        Window,
        count::{self, Rows, SteadyWall, Tally, window_of},
    },
    agate_core::{Mono, Wall},
    agate_view::{clock, table::Name},
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Newest windows that are told to coordinators.
const PUSHED: u64 = 2;

/// Counts of this instance, shared with the request path.
pub struct Counter {
    state: Mutex<Counting>,
    length: Duration,
}

struct Counting {
    tally: Tally,
    wall: SteadyWall,
    // Grows with each count.
    version: u64,
    // What a report would include: what the holder of the duties or the store has.
    kept: Mark,
    // What some coordinator has.
    copied: Mark,
    // Time before which the counts are not written again.
    retry: Mono,
    // Writes that failed in a row.
    failures: u32,
    others: IndexMap<String, Tally>,
}

impl Counter {
    /// Opens empty counts for windows of `length`.
    pub fn new(length: Duration) -> Arc<Self> {
        let wall = SteadyWall::new(clock::wall(), clock::now());
        let state = Counting {
            tally: Tally::default(),
            wall,
            version: 0,
            kept: Mark::default(),
            copied: Mark::default(),
            retry: Mono::ZERO,
            failures: 0,
            others: IndexMap::new(),
        };
        Arc::new(Self { state: Mutex::new(state), length })
    }

    /// Counts one request of `org` that began to run now.
    pub fn count(&self, org: &Name) {
        let mut state = self.lock();
        let now = clock::now();
        let wall = state.wall.read(clock::wall(), now);
        state.tally.count(window_of(wall, self.length), org);
        let version = state.version;
        state.kept.before(version, now);
        state.copied.before(version, now);
        state.version += 1;
    }

    /// Version of the counts, with the rows of the newest windows.
    pub fn newest(&self) -> (u64, Rows) {
        let state = self.lock();
        (state.version, state.tally.newest_rows(PUSHED))
    }

    /// Notes that the counts of `version` are kept elsewhere too.
    pub fn note_kept(&self, version: u64) {
        let mut state = self.lock();
        state.failures = 0;
        state.kept.note(version, clock::now());
        state.copied.note(version, clock::now());
    }

    /// Notes that some coordinator has the counts of `version`.
    pub fn note_copied(&self, version: u64) {
        self.lock().copied.note(version, clock::now());
    }

    /// Takes whole values of another incarnation in.
    pub fn collect(&self, from: &str, window: Window, rows: &[(String, u64)]) {
        let mut state = self.lock();
        state.others.entry(from.to_owned()).or_default().merge(window, rows);
    }

    /// Counts that were told by other incarnations; those of long ago are dropped.
    pub(crate) fn collected(&self) -> IndexMap<String, Tally> {
        let mut state = self.lock();
        let wall = state.wall.read(clock::wall(), clock::now());
        let oldest = window_of(wall, self.length).saturating_sub(2 * count::KEPT);
        state.others.retain(|_, t| t.newest().is_some_and(|w| w >= oldest));
        state.others.clone()
    }

    /// The own counts.
    pub(crate) fn tally(&self) -> Tally {
        self.lock().tally.clone()
    }

    /// The instance's own steady time of day, and for how long it has been kept.
    pub fn vote(&self) -> (Wall, Duration) {
        self.lock().wall.vote(clock::wall(), clock::now())
    }

    /// Takes over the time of day that the instances agree on.
    pub fn agree(&self, wall: Wall) {
        let by = self.lock().wall.agree(wall, clock::now());
        if let Some(by) = by {
            log::warn!(
                event = "clock_corrected", by_ms = by.as_millis() as u64;
                "the time of day differed from the one that the instances agree on"
            );
        }
    }

    /// Steady time of day.
    pub fn wall(&self) -> Duration {
        self.lock().wall.read(clock::wall(), clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, Counting> {
        self.state.lock().expect("no panic under the lock of the counts")
    }

    /// The counts with their version, if they have to be written: for `patience` there were some that
    /// no coordinator has, or the holder lacks some of a window that ended `settle` ago.
    pub fn unkept(&self, patience: Duration, settle: Duration) -> Option<(u64, Tally)> {
        let mut state = self.lock();
        let now = clock::now();
        let since = state.kept.since(state.version).filter(|_| now >= state.retry)?;
        let lost = state.copied.since(state.version).is_some_and(|at| is_over(at, patience, now));
        let wall = state.wall.read(clock::wall(), now);
        let window = window_of(wall.saturating_sub(now.saturating_sub(since)), self.length);
        let ended = window < window_of(wall.saturating_sub(settle), self.length);
        (lost || ended).then(|| (state.version, state.tally.clone()))
    }

    /// Notes that writing the counts failed. Returns the pause in which they are not written again:
    /// `first`, doubled with each failure in a row up to `most`.
    pub fn note_unwritten(&self, first: Duration, most: Duration) -> Duration {
        let mut state = self.lock();
        let pause = first.saturating_mul(1 << state.failures.min(16)).min(most);
        state.failures += 1;
        state.retry = clock::now() + pause;
        pause
    }

    /// The counts with their version, if the holder lacks some.
    pub fn unheld(&self) -> Option<(u64, Tally)> {
        let state = self.lock();
        state.kept.since(state.version)?;
        Some((state.version, state.tally.clone()))
    }
}

/// Newest version that is kept somewhere, and since when there are counts beyond it.
#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    version: u64,
    since: Mono,
}

impl Mark {
    /// Notes that `version` gets one more count at `now`.
    fn before(&mut self, version: u64, now: Mono) {
        if self.version == version {
            self.since = now;
        }
    }

    /// Notes that `version` is kept.
    fn note(&mut self, version: u64, now: Mono) {
        if version > self.version {
            *self = Self { version, since: now };
        }
    }

    /// Since when counts of `version` are not kept, if they are not.
    fn since(&self, version: u64) -> Option<Mono> {
        (version > self.version).then_some(self.since)
    }
}

fn is_over(since: Mono, patience: Duration, now: Mono) -> bool {
    now.saturating_sub(since) >= patience
}
