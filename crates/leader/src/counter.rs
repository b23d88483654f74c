//! Usage counts of one instance, shared between the request path, the state exchange and the leader
//! tasks.

use {
    crate::{
        Window,
        count::{self, StableClock, Tally, WindowCounts, window_of},
    },
    agate_core::{Mono, Wall},
    agate_view::{clock, table::Name},
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Number of newest windows that are sent to coordinators.
const PUSHED_WINDOWS: u64 = 2;

/// Usage counts of this instance, with the counts received from others and the stable clock.
pub struct UsageCounter {
    state: Mutex<CounterState>,
    length: Duration,
}

struct CounterState {
    tally: Tally,
    wall: StableClock,
    // Number of requests counted so far.
    version: u64,
    // Counts that the lease holder or the store has, so that a report would include them.
    held: VersionMark,
    // Counts that any coordinator has.
    copied: VersionMark,
    // Time before which the counts are not written again after a failure.
    retry_at: Mono,
    // Consecutive failed writes.
    failures: u32,
    remote: IndexMap<String, Tally>,
}

impl UsageCounter {
    /// Creates empty counts for windows of `length`.
    pub fn new(length: Duration) -> Arc<Self> {
        let wall = StableClock::new(clock::wall(), clock::now());
        let state = CounterState {
            tally: Tally::default(),
            wall,
            version: 0,
            held: VersionMark::default(),
            copied: VersionMark::default(),
            retry_at: Mono::ZERO,
            failures: 0,
            remote: IndexMap::new(),
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
        state.held.on_count(version, now);
        state.copied.on_count(version, now);
        state.version += 1;
    }

    /// Version of the counts, and the counts of the newest windows.
    pub fn recent_counts(&self) -> (u64, WindowCounts) {
        let state = self.lock();
        (state.version, state.tally.newest_rows(PUSHED_WINDOWS))
    }

    /// Records that the lease holder or the store has the counts of `version`.
    pub fn mark_held(&self, version: u64) {
        let mut state = self.lock();
        state.failures = 0;
        state.held.advance(version, clock::now());
        state.copied.advance(version, clock::now());
    }

    /// Records that a coordinator has the counts of `version`.
    pub fn mark_copied(&self, version: u64) {
        self.lock().copied.advance(version, clock::now());
    }

    /// Merges counts received from another incarnation.
    pub fn collect(&self, from: &str, window: Window, rows: &[(String, u64)]) {
        let mut state = self.lock();
        state.remote.entry(from.to_owned()).or_default().merge(window, rows);
    }

    /// Counts received from other incarnations; old ones are dropped.
    pub(crate) fn remote_tallies(&self) -> IndexMap<String, Tally> {
        let mut state = self.lock();
        let wall = state.wall.read(clock::wall(), clock::now());
        let oldest = window_of(wall, self.length).saturating_sub(2 * count::MAX_WINDOWS);
        state.remote.retain(|_, t| t.newest().is_some_and(|w| w >= oldest));
        state.remote.clone()
    }

    /// Copy of the own counts.
    pub(crate) fn tally(&self) -> Tally {
        self.lock().tally.clone()
    }

    /// The instance's own stable time of day, and for how long it has been kept.
    pub fn clock_vote(&self) -> (Wall, Duration) {
        self.lock().wall.vote(clock::wall(), clock::now())
    }

    /// Adopts the time of day that the instances agree on.
    pub fn set_agreed_time(&self, wall: Wall) {
        let by = self.lock().wall.agree(wall, clock::now());
        if let Some(by) = by {
            log::warn!(
                event = "clock_corrected", by_ms = by.as_millis() as u64;
                "corrected the time of day to the one that the instances agree on"
            );
        }
    }

    /// Stable time of day.
    pub fn wall(&self) -> Duration {
        self.lock().wall.read(clock::wall(), clock::now())
    }

    fn lock(&self) -> MutexGuard<'_, CounterState> {
        self.state.lock().expect("the lock of the counts is not poisoned")
    }

    /// Version and counts if they must be written now: either some have reached no coordinator for
    /// `patience`, or the lease holder lacks some of a window that ended `settle` ago. `None`
    /// during a write backoff.
    pub fn due_write(&self, max_unshared: Duration, settle: Duration) -> Option<(u64, Tally)> {
        let mut state = self.lock();
        let now = clock::now();
        let since = state.held.behind_since(state.version).filter(|_| now >= state.retry_at)?;
        let unshared = state
            .copied
            .behind_since(state.version)
            .is_some_and(|at| elapsed(at, max_unshared, now));
        let wall = state.wall.read(clock::wall(), now);
        let window = window_of(wall.saturating_sub(now.saturating_sub(since)), self.length);
        let ended = window < window_of(wall.saturating_sub(settle), self.length);
        (unshared || ended).then(|| (state.version, state.tally.clone()))
    }

    /// Records a failed write. Returns the backoff until the next one: `first`, doubled with each
    /// consecutive failure up to `max`.
    pub fn on_write_failed(&self, first: Duration, max: Duration) -> Duration {
        let mut state = self.lock();
        let backoff = first.saturating_mul(1 << state.failures.min(16)).min(max);
        state.failures += 1;
        state.retry_at = clock::now() + backoff;
        backoff
    }

    /// Version and counts if the lease holder and the store lack some.
    pub fn unreported(&self) -> Option<(u64, Tally)> {
        let state = self.lock();
        state.held.behind_since(state.version)?;
        Some((state.version, state.tally.clone()))
    }
}

/// Newest version that is stored somewhere, and since when there are later counts.
#[derive(Clone, Copy, Debug, Default)]
struct VersionMark {
    version: u64,
    since: Mono,
}

impl VersionMark {
    /// Records that a count at `now` follows `version`.
    fn on_count(&mut self, version: u64, now: Mono) {
        if self.version == version {
            self.since = now;
        }
    }

    /// Records that `version` is stored.
    fn advance(&mut self, version: u64, now: Mono) {
        if version > self.version {
            *self = Self { version, since: now };
        }
    }

    /// Time since which counts up to `version` are missing; `None` if none are.
    fn behind_since(&self, version: u64) -> Option<Mono> {
        (version > self.version).then_some(self.since)
    }
}

fn elapsed(since: Mono, max_unshared: Duration, now: Mono) -> bool {
    now.saturating_sub(since) >= max_unshared
}
