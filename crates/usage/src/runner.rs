//! Runs the sealer of one shard over the store, the lease and the platform's report interface.

use {
    crate::{
        clock::WindowClock,
        ledger::{Ledger, Part, Want},
        sealed::{self, Sealed},
        sealer::{self, Action, Answer, Context, Head, Input, Sealer, Settings},
    },
    agate_core::{Mono, Wall},
    agate_lease::Lease,
    agate_store::{Call, Error, Purpose, Record, Reply, Store},
    futures_util::future::BoxFuture,
    serde::de::DeserializeOwned,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::Instant},
};

/// Time between two steps when nothing happens.
const STEP: Duration = Duration::from_millis(200);

/// Why a report was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The platform has other figures for the window.
    #[error("report at {peer}: the window has other figures")]
    Rejected {
        /// Address of the platform.
        peer: String,
    },
    /// The report failed or its outcome is unknown; it is sent again.
    #[error("report at {peer}: {cause}")]
    Failed {
        /// Address of the platform.
        peer: String,
        /// Detail for the log.
        cause: String,
    },
}

type ReportFn =
    dyn Fn(Sealed) -> BoxFuture<'static, std::result::Result<(), ReportError>> + Send + Sync;

/// What the runner works with.
#[derive(Clone)]
pub struct Ports {
    /// The store.
    pub store: Store,
    /// Lease of the shard.
    pub lease: Lease,
    /// Reports a sealed window; the same window always has the same figures.
    pub report: Arc<ReportFn>,
    /// Asks every instance for its counters, without waiting for their answers.
    pub gather: Arc<dyn Fn(Want) + Send + Sync>,
    /// Reads the wall clock.
    pub wall: Arc<dyn Fn() -> Wall + Send + Sync>,
}

/// Counters of one shard.
#[derive(Debug, Default)]
pub struct Counters {
    /// Windows reported.
    pub reported: AtomicU64,
    /// Reports refused because the platform has other figures; stays zero.
    pub rejected: AtomicU64,
    /// Records refused as corrupt or of an unknown version.
    pub refused: AtomicU64,
}

struct Shared {
    ledger: Mutex<Ledger>,
    counters: Counters,
}

/// Running sealer of one shard; stops when dropped.
pub struct Shard {
    shared: Arc<Shared>,
    origin: Instant,
    task: JoinHandle<()>,
}

impl Drop for Shard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shard {
    /// Starts the sealer; it works while the lease is held.
    pub fn spawn(settings: Settings, ports: Ports) -> Self {
        let shared = Arc::new(Shared { ledger: Mutex::default(), counters: Counters::default() });
        let origin = Instant::now();
        let clock = WindowClock::open(settings.window, (ports.wall)(), Mono::ZERO);
        let runner = Runner { shared: shared.clone(), ports, origin, clock };
        let task = tokio::spawn(runner.run(Sealer::open(settings)));
        Self { shared, origin, task }
    }

    /// Merges what an instance answered to a gathering, or sent by itself.
    pub fn merge_part(&self, part: &Part) {
        self.shared.ledger().merge_part(part, self.origin.elapsed());
    }

    /// Counters of this shard.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }
}

impl Shared {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }
}

struct Runner {
    shared: Arc<Shared>,
    ports: Ports,
    origin: Instant,
    clock: WindowClock,
}

impl Runner {
    async fn run(mut self, mut sealer: Sealer) {
        let mut input = Input::Tick;
        loop {
            let Some((id, action)) = self.step(&mut sealer, input) else {
                tokio::time::sleep(STEP).await;
                input = Input::Tick;
                continue;
            };
            let token = self.ports.lease.may_act();
            // The last step before the call: authority may have ended since the decision.
            input = match token.is_some() && token == sealer.token() {
                true => Input::Answer { id, answer: self.carry_out(&sealer, action).await },
                false => Input::Tick,
            };
        }
    }

    fn step(&mut self, sealer: &mut Sealer, input: Input) -> Option<(u64, Action)> {
        let now = self.origin.elapsed();
        let wall = self.clock.read((self.ports.wall)(), now);
        let mut ledger = self.shared.ledger();
        if sealer.next_window().is_some() {
            ledger.prune(sealer.floor());
        }
        let token = self.ports.lease.may_act();
        let context = Context { now, wall, token, ledger: &ledger };
        sealer::step(sealer, input, &context).pop()
    }

    async fn carry_out(&self, sealer: &Sealer, action: Action) -> Answer {
        let shard = sealer.shard();
        let head_key = format!("usage/{shard}/head");
        match action {
            Action::ReadHead => self.read_head(&head_key).await,
            Action::ReadRecord(w) => self.read_record(&sealed::key(shard, w)).await,
            Action::WriteHead { expect, head } => {
                self.write(&head_key, expect, sealed::encode(&head), false).await
            }
            Action::Seal(s) => {
                let key = sealed::key(shard, s.window);
                self.write(&key, 0, sealed::encode(&s), true).await
            }
            Action::Delete(w) => self.delete(&sealed::key(shard, w)).await,
            Action::Report(s) => self.report(s).await,
            Action::Gather(want) => {
                (self.ports.gather)(want);
                Answer::Failed
            }
        }
    }

    async fn read_head(&self, key: &str) -> Answer {
        match self.ports.store.get(Purpose::Report, key).await {
            Ok(None) => Answer::Head(None),
            Ok(Some(r)) => match self.decode::<Head>(key, &r) {
                Some(head) => Answer::Head(Some((r.revision, head))),
                None => Answer::Failed,
            },
            Err(e) => failed(&e),
        }
    }

    async fn read_record(&self, key: &str) -> Answer {
        match self.ports.store.get(Purpose::Report, key).await {
            Ok(found) => self.record(key, found),
            Err(e) => failed(&e),
        }
    }

    fn record(&self, key: &str, found: Option<Record>) -> Answer {
        let Some(r) = found else { return Answer::Record(None) };
        match self.decode::<Sealed>(key, &r) {
            Some(sealed) => Answer::Record(Some(sealed)),
            None => Answer::Failed,
        }
    }

    async fn write(&self, key: &str, expect: u64, value: Vec<u8>, is_seal: bool) -> Answer {
        let call = Call::Swap { key: key.into(), expect, value: Some(value), lease: None };
        match self.ports.store.call(Purpose::Report, call).await {
            Ok(Reply::Swapped(revision)) => Answer::Written(revision),
            Ok(Reply::Conflict(found)) if is_seal => self.record(key, found),
            Ok(_) => Answer::Failed,
            Err(e) => failed(&e),
        }
    }

    async fn delete(&self, key: &str) -> Answer {
        let store = &self.ports.store;
        let expect = match store.get(Purpose::Report, key).await {
            Ok(Some(r)) => r.revision,
            Ok(None) => return Answer::Deleted,
            Err(e) => return failed(&e),
        };
        let call = Call::Swap { key: key.into(), expect, value: None, lease: None };
        match store.call(Purpose::Report, call).await {
            Ok(Reply::Swapped(_)) => Answer::Deleted,
            Ok(_) => Answer::Failed,
            Err(e) => failed(&e),
        }
    }

    async fn report(&self, sealed: Sealed) -> Answer {
        let counters = &self.shared.counters;
        match (self.ports.report)(sealed).await {
            Ok(()) => {
                counters.reported.fetch_add(1, Ordering::Relaxed);
                Answer::Reported
            }
            Err(e @ ReportError::Rejected { .. }) => {
                log::error!("{e}");
                counters.rejected.fetch_add(1, Ordering::Relaxed);
                Answer::Rejected
            }
            Err(e @ ReportError::Failed { .. }) => {
                log::warn!("{e}");
                Answer::Failed
            }
        }
    }

    /// Reads a record; a bad one is named, counted and left alone.
    fn decode<T: DeserializeOwned>(&self, key: &str, record: &Record) -> Option<T> {
        sealed::decode(key, &record.value)
            .inspect_err(|e| {
                log::error!("{e}");
                self.shared.counters.refused.fetch_add(1, Ordering::Relaxed);
            })
            .ok()
    }
}

fn failed(e: &Error) -> Answer {
    log::warn!("{e}");
    Answer::Failed
}
