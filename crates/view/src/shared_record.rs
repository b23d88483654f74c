//! A record in the store that all instances share.
//!
//! Instances tell each other its revision and read it when they miss one. They change it by
//! compare-and-swap and apply a change again if another instance was faster. What a store loses that
//! comes back from an older copy is written again by the first of them that notices.

use {
    crate::{LocalView, framing, local_view::LastConfirmed},
    agate_core::Mono,
    agate_store::{Error, Purpose, Record, Result, Store, era},
    arc_swap::{ArcSwap, Guard},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex as AsyncMutex, Notify},
        time::{sleep, timeout},
    },
};

/// Maximum number of write attempts per change when other instances change the record concurrently.
const MAX_WRITES: u32 = 4;
/// Interval between two polls of the record by an instance without contact to others.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of intervals between two polls of the leading coordinator: other instances report changes
/// to it, unless they follow another coordinator.
const LEADER_POLLS: u32 = 5;
/// Pause after a failed read.
const READ_BACKOFF: Duration = Duration::from_millis(200);

/// Source of an instance's reports about other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a coordinator.
    Follower,
    /// It is the leading coordinator.
    Leader,
    /// It has no contact to other instances.
    Standalone,
}

impl Role {
    /// Present role of the instance that has this view.
    pub fn of(view: &LocalView) -> Self {
        match view.is_coordinating() {
            true => Self::Leader,
            false if view.has_coordinator() => Self::Follower,
            false => Self::Standalone,
        }
    }
}

/// The record as last read; the lowest revision of an era means that it does not exist.
#[derive(Debug, Default)]
pub struct Snapshot<T> {
    /// Its content.
    pub state: T,
    /// Its revision.
    pub revision: u64,
}

/// Called with the former and the new content whenever the content is replaced.
type OnInstall<T> = dyn Fn(&T, &T) + Send + Sync;
/// Adds what an older copy of the content has to the newer one.
pub type MergeFn<T> = fn(&mut T, &T);

/// The record, as one instance knows it.
pub struct SharedRecord<T> {
    key: &'static str,
    store: Store,
    known: ArcSwap<Snapshot<T>>,
    /// Latest revision that another instance reported.
    reported: AtomicU64,
    loaded: AtomicBool,
    /// Latest time at which no change was missing.
    confirmed: LastConfirmed,
    wake: Notify,
    /// Serialises changes.
    write_lock: AsyncMutex<()>,
    merge: MergeFn<T>,
    on_install: Box<OnInstall<T>>,
}

impl<T> std::fmt::Debug for SharedRecord<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SharedRecord({})", self.key)
    }
}

impl<T: Clone + Default + Serialize + DeserializeOwned> SharedRecord<T> {
    /// Makes the record at `key`, not read yet. `merge` adds what an older copy has to the content.
    /// `on_install` is called with the former and the new content whenever the content is replaced.
    pub fn new(
        store: Store,
        key: &'static str,
        merge: MergeFn<T>,
        on_install: impl Fn(&T, &T) + Send + Sync + 'static,
    ) -> Self {
        Self {
            key,
            store,
            known: ArcSwap::default(),
            reported: AtomicU64::new(0),
            loaded: AtomicBool::new(false),
            confirmed: LastConfirmed::default(),
            wake: Notify::new(),
            write_lock: AsyncMutex::default(),
            merge,
            on_install: Box::new(on_install),
        }
    }

    /// The record as last read.
    pub fn load(&self) -> Guard<Arc<Snapshot<T>>> {
        self.known.load()
    }

    /// Whether the record was read since the start.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Time since no change was missing; `None` if that never was known.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed.age()
    }

    /// Applies the revision that another instance reported at `at`.
    pub fn report(&self, revision: u64, at: Mono) {
        if revision == self.known.load().revision && self.is_loaded() {
            self.confirmed.confirm(at);
        }
        if revision > self.reported.fetch_max(revision, Ordering::AcqRel) {
            self.wake();
        }
    }

    /// Ends the present wait of [`SharedRecord::next`].
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Reads the record, with retries until that succeeds.
    pub async fn open(&self) {
        while let Err(e) = self.read().await {
            log::debug!("reading {}: {e}", self.key);
            sleep(READ_BACKOFF).await;
        }
    }

    /// Waits until woken or for the next poll, which `polls` counts, and catches up with changes.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the next call then follows after a pause.
    pub async fn next(&self, polls: &mut u32, role: impl Fn() -> Role) -> Result<()> {
        let woken = timeout(POLL_INTERVAL, self.wake.notified()).await.is_ok();
        *polls += u32::from(!woken);
        let known = self.known.load().revision;
        let returned = self.store.era() > era::era_of(known) && role() != Role::Follower;
        let behind = self.reported.load(Ordering::Acquire) > known || returned;
        // A poll finds changes that nobody reported and costs a fraction of a full read.
        let polling = !woken
            && match role() {
                Role::Follower => false,
                Role::Leader => polls.is_multiple_of(LEADER_POLLS),
                Role::Standalone => true,
            };
        if behind || polling { self.catch_up().await } else { Ok(()) }
    }

    /// Pauses after an error of [`SharedRecord::next`] or of a change and wakes the next call.
    pub async fn back_off(&self, error: &Error) {
        log::debug!("following {}: {error}", self.key);
        sleep(READ_BACKOFF).await;
        self.wake();
    }

    /// Reads the record: first with a cheap peek, then in full if that misses the reported
    /// revision.
    async fn catch_up(&self) -> Result<()> {
        let found = self.store.get_stale(Purpose::Record, self.key).await?;
        let found = self.decode(found);
        if found.revision < self.reported.load(Ordering::Acquire) {
            return self.read().await;
        }
        self.adopt(found).await
    }

    /// Reads the record.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn read(&self) -> Result<()> {
        let sent = crate::clock::now();
        let found = self.store.get(Purpose::Record, self.key).await?;
        self.adopt(self.decode(found)).await?;
        self.confirmed.confirm(sent);
        Ok(())
    }

    /// Applies a record that was read. If it is what the store still had when it came back from an
    /// older copy, writes what was lost first.
    async fn adopt(&self, found: Snapshot<T>) -> Result<()> {
        let known = self.known.load_full();
        let returned = era::era_of(found.revision) > era::era_of(known.revision);
        let reported = self.reported.load(Ordering::Acquire);
        // Instances report a revision only after they have written what was lost.
        let restored = era::era_of(reported) == era::era_of(found.revision);
        if !returned || restored || !self.is_loaded() {
            self.install(found);
            return Ok(());
        }
        let mut state = known.state.clone();
        (self.merge)(&mut state, &found.state);
        let value = framing::encode(&state);
        if value == framing::encode(&found.state) {
            self.install(found);
            return Ok(());
        }
        match self.store.swap(Purpose::Record, self.key, found.revision, value).await? {
            Ok(revision) => {
                log::warn!(event = "record_restored", key = self.key, revision; "wrote a shared record again that the store had lost");
                self.install(Snapshot { state, revision });
            }
            Err(faster) => self.install(self.decode(faster)),
        }
        Ok(())
    }

    fn decode(&self, record: Option<Record>) -> Snapshot<T> {
        let Some(Record { revision, value }) = record else {
            return Snapshot { revision: era::floor(self.store.era()), ..Snapshot::default() };
        };
        let state = framing::decode(&value);
        if state.is_none() {
            let key = self.key;
            log::error!(event = "record_unread", key, revision; "cannot decode a shared record, starting with an empty one");
        }
        Snapshot { state: state.unwrap_or_default(), revision }
    }

    /// Applies a record unless a newer one was applied.
    fn install(&self, next: Snapshot<T>) {
        let next = Arc::new(next);
        let old = self
            .known
            .rcu(|old| if old.revision > next.revision { old.clone() } else { next.clone() });
        (self.on_install)(&old.state, &self.known.load().state);
        self.loaded.store(true, Ordering::Release);
    }

    /// Changes the record. `act` returns whether it changed the content, and a result. It is called
    /// again with the latest content if another instance wrote in the meantime.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or `Unavailable` if other instances won every race.
    pub async fn change<R>(&self, act: impl Fn(&mut T) -> (bool, R)) -> Result<R> {
        let _lock = self.write_lock.lock().await;
        for _ in 0..MAX_WRITES {
            let known = self.known.load_full();
            let mut state = known.state.clone();
            let (changed, out) = act(&mut state);
            if !changed {
                return Ok(out);
            }
            let value = framing::encode(&state);
            match self.store.swap(Purpose::Record, self.key, known.revision, value).await? {
                Ok(revision) => {
                    self.install(Snapshot { state, revision });
                    return Ok(out);
                }
                Err(found) => self.adopt(self.decode(found)).await?,
            }
        }
        Err(Error::Unavailable {
            step: "swap",
            peer: self.key.into(),
            cause: "other instances changed the record on every attempt".into(),
        })
    }
}
