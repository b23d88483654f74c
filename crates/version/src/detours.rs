//! Versions whose streams may begin at others for now, and the record of them in the store.
//!
//! A new stream may begin at another version than its name selects while that has no healthy endpoint. Only
//! instances that forwarded it or were told of it can tell it from other streams, so an instance renews the
//! *detour* in the store before it begins the first of them. There it stays for longer than these streams last.
//! An instance that finds a detour in the store at its start may have forgotten such streams: that it does not
//! know one shows nothing about it.

use {
    crate::begun,
    agate_core::Mono,
    agate_store::{Result, Store},
    agate_view::{
        clock,
        roster::Version,
        shared_record::{Role, SharedRecord},
        table::Name,
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, MutexGuard, OnceLock},
        time::Duration,
    },
};

/// Store key of the record.
pub const KEY: &str = "agate/detours";
/// Time after its renewal for which an instance uses a detour.
const USE_TIME: Duration = Duration::from_secs(10);
/// Remaining time of use below which a detour that is still needed is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_secs(3);
/// Time after its last renewal for which a detour stays in the store: its use, the longest life of a stream,
/// and a margin for delays of the writers.
pub const RECORD_TIME: Duration = Duration::from_secs(60);

/// Number of failed attempts in a row, without a stream that begins, from which a version counts as failing.
const MAX_FAILURES: u32 = 3;

/// A service, and its version whose streams may begin at others.
pub type Detour = (Name, Version);

/// Detours with the number of renewals of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded(IndexMap<Detour, u64>);

impl Recorded {
    /// Removes those of `unused` that have not been renewed since; returns whether anything changed.
    pub fn remove(&mut self, unused: &Self) -> bool {
        let before = self.0.len();
        self.0.retain(|detour, renewals| unused.0.get(detour) != Some(renewals));
        self.0.len() < before
    }

    /// Renews `detour`, unless that has happened since it had `known` renewals; returns whether anything
    /// changed.
    pub fn renew(&mut self, detour: &Detour, known: Option<u64>) -> bool {
        let unchanged = self.0.get(detour).copied() == known;
        if unchanged {
            self.0.insert(detour.clone(), known.unwrap_or_default().wrapping_add(1));
        }
        unchanged
    }
}

/// When one instance first saw the latest renewal of each recorded detour.
#[derive(Debug, Default)]
pub struct Renewals(IndexMap<Detour, (u64, Mono)>);

impl Renewals {
    /// Detours of `recorded` that nobody has renewed for [`RECORD_TIME`] before `now`.
    pub fn unused(&mut self, recorded: &Recorded, now: Mono) -> Recorded {
        self.0.retain(|detour, _| recorded.0.contains_key(detour));
        for (detour, renewals) in &recorded.0 {
            let seen = self.0.entry(detour.clone()).or_insert((*renewals, now));
            if seen.0 != *renewals {
                *seen = (*renewals, now);
            }
        }
        let unused = self.0.iter().filter(|(_, (_, at))| now.saturating_sub(*at) > RECORD_TIME);
        Recorded(unused.map(|(detour, (renewals, _))| (detour.clone(), *renewals)).collect())
    }
}

/// Adds what an older copy has to the newer one: a detour that is recorded needlessly costs little.
fn merge(newer: &mut Recorded, older: &Recorded) {
    for (detour, renewals) in &older.0 {
        newer.0.entry(detour.clone()).or_insert(*renewals);
    }
}

/// Why a stream might begin at another version than its name selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionState {
    /// The version has no healthy endpoint.
    Down,
    /// An attempt at one of its endpoints has failed.
    Failed,
}

/// Detours of all services, as one instance knows them.
pub struct Detours {
    record: SharedRecord<Recorded>,
    started: Mono,
    /// Those that are in use, with the end of that.
    in_use: Mutex<IndexMap<Detour, Mono>>,
    wanted: Mutex<IndexSet<Detour>>,
    /// Number of failed attempts to begin streams of each since the last one that began.
    failures: Mutex<IndexMap<Detour, u32>>,
    /// Those that were recorded at the start.
    forgotten: OnceLock<Vec<Detour>>,
}

impl Detours {
    /// Knows none yet.
    pub fn new(store: Store) -> Self {
        Self {
            record: SharedRecord::new(store, KEY, merge, |_, _| {}),
            started: clock::now(),
            in_use: Mutex::default(),
            wanted: Mutex::default(),
            failures: Mutex::default(),
            forgotten: OnceLock::new(),
        }
    }

    fn in_use(&self) -> MutexGuard<'_, IndexMap<Detour, Mono>> {
        self.in_use.lock().expect("lock of the detours is not poisoned")
    }

    fn wanted(&self) -> MutexGuard<'_, IndexSet<Detour>> {
        self.wanted.lock().expect("lock of the wanted detours is not poisoned")
    }

    fn failures(&self) -> MutexGuard<'_, IndexMap<Detour, u32>> {
        self.failures.lock().expect("lock of the failures is not poisoned")
    }

    /// Whether a stream whose name selects `detour` may begin elsewhere, now that its `state` gives reason
    /// to. If not, and the version does not work, it may soon.
    pub fn allows(&self, detour: &Detour, state: VersionState) -> bool {
        let failing = match state {
            VersionState::Down => true,
            VersionState::Failed => {
                let mut failures = self.failures();
                let count = failures.entry(detour.clone()).or_default();
                *count = count.saturating_add(1);
                *count >= MAX_FAILURES
            }
        };
        let left = self.in_use().get(detour).map(|end| end.saturating_sub(clock::now()));
        let left = left.unwrap_or_default();
        if failing && left < RENEWAL_MARGIN && self.wanted().insert(detour.clone()) {
            self.record.wake();
        }
        !left.is_zero()
    }

    /// Records that a stream began at its own version.
    pub fn on_begun(&self, detour: &Detour) {
        self.failures().swap_remove(detour);
    }

    /// Detours whose streams this instance may have forgotten, as it has started since they began; `None`
    /// if it does not know that yet.
    pub fn forgotten(&self) -> Option<&[Detour]> {
        let remembers = clock::now() > self.started + begun::RETENTION;
        self.forgotten.get().map(|all| if remembers { &[][..] } else { all })
    }

    /// Reads which detours there are at the start.
    pub async fn open(&self) {
        self.record.open().await;
        self.forgotten.get_or_init(|| self.record.load().state.0.keys().cloned().collect());
    }

    /// Renews the detours that are wanted; the leading coordinator removes those that nobody renews. Never
    /// returns.
    pub async fn follow(&self, role: impl Fn() -> Role) {
        let mut polls = 0;
        let mut renewals = Renewals::default();
        loop {
            let caught_up = self.record.next(&mut polls, &role).await;
            let changed = match caught_up {
                Ok(()) => self.renew().await,
                other => other,
            };
            let removed = match changed {
                Ok(()) if role() != Role::Follower => self.remove_unused(&mut renewals).await,
                other => other,
            };
            if let Err(e) = removed {
                self.record.back_off(&e).await;
            }
        }
    }

    async fn renew(&self) -> Result<()> {
        let wanted = self.wanted().clone();
        if wanted.is_empty() {
            return Ok(());
        }
        // Another instance's renewal counts only if it came after this one wanted it.
        self.record.read().await?;
        let sent = clock::now();
        let known = self.record.load().state.clone();
        let renew = |recorded: &mut Recorded| {
            let mut changed = false;
            for detour in &wanted {
                changed |= recorded.renew(detour, known.0.get(detour).copied());
            }
            (changed, ())
        };
        self.record.change(renew).await?;
        log::info!(event = "detours_renewed", detours:? = wanted; "streams may begin at other versions than their names select");
        self.wanted().retain(|detour| !wanted.contains(detour));
        self.in_use().extend(wanted.into_iter().map(|detour| (detour, sent + USE_TIME)));
        Ok(())
    }

    /// Removes the detours that nobody has renewed for long.
    async fn remove_unused(&self, renewals: &mut Renewals) -> Result<()> {
        let unused = renewals.unused(&self.record.load().state, clock::now());
        let remove = |recorded: &mut Recorded| (recorded.remove(&unused), ());
        self.record.change(remove).await
    }
}
