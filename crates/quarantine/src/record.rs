//! Reads, follows and changes the record of suspects in the store.

use {
    crate::{Fingerprint, quarantine::Quarantine, table::Table},
    agate_core::{Mono, Wall},
    agate_store::{Error, Purpose, Record, Result, Store},
    agate_view::clock,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Store key of the record.
const KEY: &str = "agate/suspects";
/// Maximum number of write attempts per change when other instances change the record concurrently.
const MAX_WRITES: u32 = 4;
/// Maximum number of attempts to save the result of a trial.
const MAX_SAVE_TRIES: u32 = 6;
/// Backoff between these attempts, multiplied by the number of failed ones.
const SAVE_BACKOFF: Duration = Duration::from_millis(250);
/// Interval between two removals of expired observations, and between two polls of the record by an
/// instance without contact to others.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Number of intervals between two polls of the leading coordinator: other instances report changes
/// to it, unless they follow another coordinator.
const LEADER_POLLS: u32 = 5;
/// Pause after a failed read.
const READ_BACKOFF: Duration = Duration::from_millis(200);
/// Delay after which an instance that follows a coordinator adds a suspect itself.
const ADD_DELAY: Duration = Duration::from_secs(1);

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

/// The record as last read; revision zero means that it does not exist.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub table: Table,
    pub revision: u64,
}

impl Snapshot {
    fn read(record: Option<Record>) -> Self {
        let Some(Record { revision, value }) = record else { return Self::default() };
        let table = Table::decode(&value);
        if table.is_none() {
            log::error!(event = "suspects_unread", revision; "cannot decode the record of suspects, starting with an empty one");
        }
        Self { table: table.unwrap_or_default(), revision }
    }
}

/// Reads the suspects of the fleet, for operators.
///
/// # Errors
///
/// Returns the store's error.
pub async fn read(store: &Store) -> Result<Table> {
    Ok(Snapshot::read(store.get(Purpose::Record, KEY).await?).table)
}

/// Removes a suspect from the record, for operators; returns whether it was one. Instances forget its
/// crashes when they read the record.
///
/// # Errors
///
/// Returns the store's error, or `Unavailable` if instances won every race.
pub async fn release(store: &Store, print: Fingerprint) -> Result<bool> {
    for _ in 0..MAX_WRITES {
        let Snapshot { mut table, revision } =
            Snapshot::read(store.get(Purpose::Record, KEY).await?);
        if !table.release(print) {
            return Ok(false);
        }
        if store.swap(Purpose::Record, KEY, revision, table.encode()).await?.is_ok() {
            return Ok(true);
        }
    }
    Err(lost_races())
}

fn lost_races() -> Error {
    Error::Unavailable {
        step: "swap",
        peer: KEY.into(),
        cause: "other instances changed the record on every attempt".into(),
    }
}

impl Quarantine {
    /// Follows the record and adds locally suspected requests to it; never returns.
    pub async fn follow(self: Arc<Self>, role: impl Fn() -> Role) {
        while let Err(e) = self.read().await {
            log::debug!("reading the suspects: {e}");
            sleep(READ_BACKOFF).await;
        }
        let mut polls = 0;
        loop {
            let woken = timeout(POLL_INTERVAL, self.wake.notified()).await.is_ok();
            self.prune();
            polls += u32::from(!woken);
            let behind =
                self.reported_revision.load(Ordering::Acquire) > self.table.load().revision;
            // A poll finds changes that nobody reported and costs a fraction of a full read.
            let polling = !woken
                && match role() {
                    Role::Follower => false,
                    Role::Leader => polls.is_multiple_of(LEADER_POLLS),
                    Role::Standalone => true,
                };
            let read = if behind || polling { self.catch_up().await } else { Ok(()) };
            let added = match read {
                Ok(()) => self.add_suspects(role() == Role::Follower).await,
                Err(e) => Err(e),
            };
            if let Err(e) = added {
                log::debug!("following the suspects: {e}");
                sleep(READ_BACKOFF).await;
                self.wake.notify_one();
            }
        }
    }

    /// Reads the record: first with a cheap peek, then in full if that misses the reported
    /// revision.
    async fn catch_up(&self) -> Result<()> {
        let found = self.store.get_stale(Purpose::Record, KEY).await?;
        let revision = found.as_ref().map_or(0, |r| r.revision);
        if revision < self.reported_revision.load(Ordering::Acquire) {
            return self.read().await;
        }
        self.install(Snapshot::read(found));
        Ok(())
    }

    async fn read(&self) -> Result<()> {
        let found = self.store.get(Purpose::Record, KEY).await?;
        self.install(Snapshot::read(found));
        Ok(())
    }

    /// Adds suspects that are missing in the record. The leading coordinator receives all crash
    /// reports and writes first; followers write after a delay if it did not.
    async fn add_suspects(self: &Arc<Self>, led: bool) -> Result<()> {
        let now = clock::now();
        let known = self.table.load_full();
        let due = |at: Mono| !led || now.saturating_sub(at) >= ADD_DELAY;
        let suspects: Vec<(Fingerprint, Duration)> = {
            let mut suspicions = self.suspicions();
            let all = suspicions.suspects(|p| known.table.proved(p), now);
            let missing = all.filter(|(p, at)| !known.table.contains(*p) && due(*at));
            missing.map(|(print, at)| (print, now.saturating_sub(at))).collect()
        };
        if suspects.is_empty() {
            return Ok(());
        }
        self.change(move |table, now| {
            let add =
                |(print, age): &&(_, Duration)| table.add(*print, now.saturating_sub(*age), now);
            let added = suspects.iter().filter(add).count();
            (added > 0, ())
        })
        .await
    }

    /// Applies a record unless a newer one was applied.
    fn install(&self, next: Snapshot) {
        let next = Arc::new(next);
        let old = self
            .table
            .rcu(|old| if old.revision > next.revision { old.clone() } else { next.clone() });
        let known = self.table.load();
        let (parts, requests) = known.table.counts();
        for (kind, count) in [("part", parts), ("request", requests)] {
            self.metrics.suspects.with_label_values(&[kind]).set(count as i64);
        }
        // Cleared by a response elsewhere or released by an operator: its crashes no longer count.
        let removed = old.table.prints().filter(|p| !known.table.contains(*p));
        self.suspicions().acquit(removed, clock::now());
        if !known.table.is_empty() {
            self.active.store(true, Ordering::Release);
        }
        self.loaded.store(true, Ordering::Release);
    }

    /// Changes the record. `act` returns whether it changed the table, and a result. It is called
    /// again with the latest table if another instance wrote in the meantime.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or `Unavailable` if other instances won every race.
    pub(crate) async fn change<T>(&self, act: impl Fn(&mut Table, Wall) -> (bool, T)) -> Result<T> {
        let _lock = self.write_lock.lock().await;
        for _ in 0..MAX_WRITES {
            let known = self.table.load_full();
            let mut table = known.table.clone();
            let (changed, out) = act(&mut table, (self.wall)());
            if !changed {
                return Ok(out);
            }
            match self.store.swap(Purpose::Record, KEY, known.revision, table.encode()).await? {
                Ok(revision) => {
                    self.install(Snapshot { table, revision });
                    return Ok(out);
                }
                Err(found) => self.install(Snapshot::read(found)),
            }
        }
        Err(lost_races())
    }

    /// Applies a change to the record in the background, with retries.
    pub(crate) fn save(
        self: &Arc<Self>,
        act: impl Fn(&mut Table, Wall) -> bool + Send + Sync + 'static,
    ) {
        let own = self.clone();
        tokio::spawn(async move {
            for failures in 1..=MAX_SAVE_TRIES {
                match own.change(|table, now| (act(table, now), ())).await {
                    Ok(()) => return,
                    Err(e) if failures == MAX_SAVE_TRIES => {
                        log::warn!(event = "suspects_unwritten", cause:% = e; "the result of a trial was not written to the store");
                    }
                    Err(_) => sleep(SAVE_BACKOFF * failures).await,
                }
            }
        });
    }
}
