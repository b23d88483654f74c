//! Follows and changes the record of suspects in the store.

use {
    crate::{Fingerprint, quarantine::Quarantine, table::Table},
    agate_core::Wall,
    agate_store::{Result, Store},
    agate_view::{
        clock,
        shared_record::{Role, SharedRecord},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Store key of the record.
pub(crate) const KEY: &str = "agate/suspects";
/// Maximum number of attempts to save the result of a trial.
const MAX_SAVE_TRIES: u32 = 6;
/// Backoff between these attempts, multiplied by the number of failed ones.
const SAVE_BACKOFF: Duration = Duration::from_millis(250);
/// Delay after which an instance that follows a coordinator adds a suspect itself.
const ADD_DELAY: Duration = Duration::from_secs(1);

/// Reads the suspects of the fleet, for operators.
///
/// # Errors
///
/// Returns the store's error.
pub async fn read(store: &Store) -> Result<Table> {
    let record = SharedRecord::new(store.clone(), KEY, Table::merge, |_, _| {});
    record.read().await?;
    Ok(record.load().state.clone())
}

/// Removes a suspect from the record, for operators; returns whether it was one. Instances no longer
/// count its crashes once they read the record.
///
/// # Errors
///
/// Returns the store's error, or `Unavailable` if instances won every race.
pub async fn release(store: &Store, print: Fingerprint) -> Result<bool> {
    let record = SharedRecord::new(store.clone(), KEY, Table::merge, |_, _| {});
    record.read().await?;
    record
        .change(|table: &mut Table| {
            let released = table.release(print);
            (released, released)
        })
        .await
}

impl Quarantine {
    /// Follows the record and adds locally suspected requests to it; never returns.
    pub async fn follow(self: Arc<Self>, role: impl Fn() -> Role) {
        self.record.open().await;
        let mut polls = 0;
        loop {
            let caught_up = self.record.next(&mut polls, &role).await;
            self.prune();
            let added = match caught_up {
                Ok(()) => self.add_suspects(role() == Role::Follower).await,
                Err(e) => Err(e),
            };
            if let Err(e) = added {
                self.record.back_off(&e).await;
            }
        }
    }

    /// Adds suspects that are missing in the record. The leading coordinator receives all crash
    /// reports and writes first; followers write after a delay if it did not.
    async fn add_suspects(self: &Arc<Self>, led: bool) -> Result<()> {
        let now = clock::now();
        let known = self.record.load();
        let due = |at| !led || now.saturating_sub(at) >= ADD_DELAY;
        let suspects: Vec<(Fingerprint, Duration)> = {
            let mut suspicions = self.suspicions();
            let all = suspicions.suspects(|p| known.state.proved(p), now);
            let missing = all.filter(|(p, at)| !known.state.contains(*p) && due(*at));
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

    /// Applies the change of the record from `old` to `new`.
    pub(crate) fn on_record(&self, old: &Table, new: &Table) {
        let (parts, requests) = new.counts();
        for (kind, count) in [("part", parts), ("request", requests)] {
            self.metrics.suspects.with_label_values(&[kind]).set(count as i64);
        }
        // Cleared by a response elsewhere or released by an operator: its crashes no longer count.
        let removed = old.prints().filter(|p| !new.contains(*p));
        self.suspicions().acquit(removed, clock::now());
        if !new.is_empty() {
            self.active.store(true, Ordering::Release);
        }
    }

    /// Changes the record; see [`SharedRecord::change`].
    pub(crate) async fn change<T>(&self, act: impl Fn(&mut Table, Wall) -> (bool, T)) -> Result<T> {
        self.record.change(|table| act(table, (self.wall)())).await
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
