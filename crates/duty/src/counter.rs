//! Counts of one instance, shared between the request path, the talk with others and the duties.

use {
    crate::{
        Window,
        count::{self, Rows, SteadyWall, Tally, window_of},
    },
    agate_core::Wall,
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
    // Version that the store or every coordinator has.
    kept: u64,
    changed: Duration,
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
            kept: 0,
            changed: Duration::ZERO,
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
        if state.kept == state.version {
            state.changed = now;
        }
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
        if version > state.kept {
            state.kept = version;
            state.changed = clock::now();
        }
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

    /// The counts with their version, if nobody else has kept them for `patience`.
    pub(crate) fn unkept(&self, patience: Duration) -> Option<(u64, Tally)> {
        let state = self.lock();
        let waits =
            state.version > state.kept && clock::now().saturating_sub(state.changed) >= patience;
        waits.then(|| (state.version, state.tally.clone()))
    }
}
