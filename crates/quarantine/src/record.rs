//! The record of suspects in the store: read, followed and changed.

use {
    crate::{Print, quarantine::Quarantine, table::Table},
    agate_core::{Mono, Wall},
    agate_store::{Error, Purpose, Record, Result},
    agate_view::clock,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Key of the record.
const KEY: &str = "agate/suspects";
/// Writes of one change while others change the record too.
const WRITES: u32 = 4;
/// Tries to bring a result of a trial to the store.
const KEPT_TRIES: u32 = 6;
/// Pause between two of them, for each that failed.
const KEPT_PAUSE: Duration = Duration::from_millis(250);
/// Time between two clean-ups, and looks at the record of an instance that hears no other one.
const LOOK: Duration = Duration::from_secs(2);
/// Looks between two of which the coordinator that leads reads: the others tell it of changes, unless
/// they follow another one.
const LEADER_LOOKS: u32 = 5;
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(200);
/// Time after which an instance that hears a coordinator adds a suspect itself.
const ADD_AFTER: Duration = Duration::from_secs(1);

/// How an instance hears of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// From a coordinator.
    Led,
    /// As the coordinator that leads.
    Leads,
    /// Not at all.
    Alone,
}

/// The record as last seen; revision zero stands for none.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub table: Table,
    pub revision: u64,
}

impl Known {
    fn read(record: Option<Record>) -> Self {
        let Some(Record { revision, value }) = record else { return Self::default() };
        let table = Table::decode(&value);
        if table.is_none() {
            log::error!(event = "suspects_unread", revision; "the record of suspects is not understood and starts anew");
        }
        Self { table: table.unwrap_or_default(), revision }
    }
}

impl Quarantine {
    /// Follows the record, and adds what is suspected here.
    pub async fn follow(self: Arc<Self>, role: impl Fn() -> Role) {
        while let Err(e) = self.read().await {
            log::debug!("reading the suspects: {e}");
            sleep(RETRY).await;
        }
        let mut looks = 0;
        loop {
            let woken = timeout(LOOK, self.wake.notified()).await.is_ok();
            self.prune();
            looks += u32::from(!woken);
            let behind = self.told.load(Ordering::Acquire) > self.table.load().revision;
            // A look finds what nobody tells, at a fraction of a read's price.
            let looking = !woken
                && match role() {
                    Role::Led => false,
                    Role::Leads => looks.is_multiple_of(LEADER_LOOKS),
                    Role::Alone => true,
                };
            let read = if behind || looking { self.catch_up().await } else { Ok(()) };
            let added = match read {
                Ok(()) => self.add_suspects(role() == Role::Led).await,
                Err(e) => Err(e),
            };
            if let Err(e) = added {
                log::debug!("following the suspects: {e}");
                sleep(RETRY).await;
                self.wake.notify_one();
            }
        }
    }

    /// Reads the record, cheaply if that shows what was told.
    async fn catch_up(&self) -> Result<()> {
        let found = self.store.peek(Purpose::Record, KEY).await?;
        let revision = found.as_ref().map_or(0, |r| r.revision);
        if revision < self.told.load(Ordering::Acquire) {
            return self.read().await;
        }
        self.install(Known::read(found));
        Ok(())
    }

    async fn read(&self) -> Result<()> {
        let found = self.store.get(Purpose::Record, KEY).await?;
        self.install(Known::read(found));
        Ok(())
    }

    /// Writes suspects that the record lacks. The coordinator that leads hears of all crashes and is
    /// first; others do so if it did not.
    async fn add_suspects(self: &Arc<Self>, led: bool) -> Result<()> {
        let now = clock::now();
        let known = self.table.load_full();
        let due = |at: Mono| !led || now.saturating_sub(at) >= ADD_AFTER;
        let suspects: Vec<Print> = {
            let suspicions = self.suspicions();
            let missing = suspicions.suspects().filter(|(p, _)| !known.table.contains(*p));
            missing.filter(|(_, at)| due(*at)).map(|(print, _)| print).collect()
        };
        if suspects.is_empty() {
            return Ok(());
        }
        self.change(move |table, now| {
            let added = suspects.iter().filter(|p| table.add(**p, now)).count();
            (added > 0, ())
        })
        .await
    }

    /// Puts a record in force unless a newer one is.
    fn install(&self, next: Known) {
        let next = Arc::new(next);
        self.table.rcu(|old| if old.revision > next.revision { old.clone() } else { next.clone() });
        let known = self.table.load();
        self.meter.suspects.set(known.table.len() as i64);
        if !known.table.is_empty() {
            self.active.store(true, Ordering::Release);
        }
    }

    /// Changes the record. `act` says whether the table changed, and its result; it is repeated on the
    /// newest table if another instance wrote meanwhile.
    pub(crate) async fn change<T>(&self, act: impl Fn(&mut Table, Wall) -> (bool, T)) -> Result<T> {
        let _turn = self.turn.lock().await;
        for _ in 0..WRITES {
            let known = self.table.load_full();
            let mut table = known.table.clone();
            let (changed, out) = act(&mut table, (self.wall)());
            if !changed {
                return Ok(out);
            }
            match self.store.swap(Purpose::Record, KEY, known.revision, table.encode()).await? {
                Ok(revision) => {
                    self.install(Known { table, revision });
                    return Ok(out);
                }
                Err(found) => self.install(Known::read(found)),
            }
        }
        Err(Error::Unavailable {
            step: "swap",
            peer: KEY.into(),
            cause: "others changed the record each time".into(),
        })
    }

    /// Brings a result to the store in the background.
    pub(crate) fn keep(
        self: &Arc<Self>,
        act: impl Fn(&mut Table, Wall) -> bool + Send + Sync + 'static,
    ) {
        let own = self.clone();
        tokio::spawn(async move {
            for failures in 1..=KEPT_TRIES {
                match own.change(|table, now| (act(table, now), ())).await {
                    Ok(()) => return,
                    Err(e) if failures == KEPT_TRIES => {
                        log::warn!(event = "suspects_unwritten", cause:% = e; "the result of a trial is not in the store");
                    }
                    Err(_) => sleep(KEPT_PAUSE * failures).await,
                }
            }
        });
    }
}
