//! Runs the sealer of one shard with the store, the lease and the platform's report interface.

use {
    crate::{
        clock::WindowClock,
        ledger::{Ledger, Part, PartRequest},
        sealed::{self, Sealed},
        sealer::{self, Action, Context, Head, Input, Outcome, Sealer, Settings},
    },
    agate_core::{Mono, Wall},
    agate_lease::Lease,
    agate_store::{Call, Error, Purpose, Record, Store, StoreResponse},
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

/// Interval between two steps while the sealer has no action to execute.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a report failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The platform already has different figures for the window.
    #[error("report at {peer}: the window has other figures")]
    Rejected {
        /// Address of the platform.
        peer: String,
    },
    /// The report failed or its outcome is unknown; it will be retried.
    #[error("report at {peer}: {cause}")]
    Failed {
        /// Address of the platform.
        peer: String,
        /// Description of the failure.
        cause: String,
    },
}

type ReportFn =
    dyn Fn(Sealed) -> BoxFuture<'static, std::result::Result<(), ReportError>> + Send + Sync;

/// Interfaces that the runner uses.
#[derive(Clone)]
pub struct Ports {
    /// Store of the head and window records.
    pub store: Store,
    /// Lease of the shard.
    pub lease: Lease,
    /// Reports a sealed window. Repeated reports of a window have the same figures.
    pub report: Arc<ReportFn>,
    /// Requests the counters of all instances without waiting for their responses.
    pub gather: Arc<dyn Fn(PartRequest) + Send + Sync>,
    /// Returns the wall time.
    pub wall: Arc<dyn Fn() -> Wall + Send + Sync>,
}

/// Statistics of one shard's runner.
#[derive(Debug, Default)]
pub struct Counters {
    /// Number of reports that the platform accepted.
    pub reported: AtomicU64,
    /// Number of reports refused since the platform has different figures; not zero only after a
    /// fault.
    pub rejected: AtomicU64,
    /// Number of records that were corrupt or of an unknown version.
    pub refused: AtomicU64,
}

struct Shared {
    ledger: Mutex<Ledger>,
    counters: Counters,
}

/// Handle of the sealer of one shard, which runs in a task until the handle is dropped.
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
    /// Starts the sealer. It acts only while the lease is held.
    pub fn spawn(settings: Settings, ports: Ports) -> Self {
        let shared = Arc::new(Shared { ledger: Mutex::default(), counters: Counters::default() });
        let origin = Instant::now();
        let clock = WindowClock::open(settings.window, (ports.wall)(), Mono::ZERO);
        let runner = Runner { shared: shared.clone(), ports, origin, clock };
        let task = tokio::spawn(runner.run(Sealer::open(settings)));
        Self { shared, origin, task }
    }

    /// Merges a part that an instance sent, whether requested or not.
    pub fn merge_part(&self, part: &Part) {
        self.shared.ledger().merge_part(part, self.origin.elapsed());
    }

    /// Statistics of this shard's runner.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }
}

impl Shared {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("not poisoned")
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
                tokio::time::sleep(POLL_INTERVAL).await;
                input = Input::Tick;
                continue;
            };
            let token = self.ports.lease.may_act();
            // Checked again right before the call: the lease may have expired since the decision.
            input = match token.is_some() && token == sealer.token() {
                true => Input::Outcome { id, outcome: self.execute(&sealer, action).await },
                false => Input::Tick,
            };
        }
    }

    fn step(&mut self, sealer: &mut Sealer, input: Input) -> Option<(u64, Action)> {
        let now = self.origin.elapsed();
        let wall = self.clock.read((self.ports.wall)(), now);
        let mut ledger = self.shared.ledger();
        if sealer.next_window().is_some() {
            ledger.prune(sealer.oldest_accepted());
        }
        let token = self.ports.lease.may_act();
        let context = Context { now, wall, token, ledger: &ledger };
        sealer::step(sealer, input, &context).pop()
    }

    async fn execute(&self, sealer: &Sealer, action: Action) -> Outcome {
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
                Outcome::Failed
            }
        }
    }

    async fn read_head(&self, key: &str) -> Outcome {
        match self.ports.store.get(Purpose::Report, key).await {
            Ok(None) => Outcome::Head(None),
            Ok(Some(r)) => match self.decode::<Head>(key, &r) {
                Some(head) => Outcome::Head(Some((r.revision, head))),
                None => Outcome::Failed,
            },
            Err(e) => log_failure(&e),
        }
    }

    async fn read_record(&self, key: &str) -> Outcome {
        match self.ports.store.get(Purpose::Report, key).await {
            Ok(found) => self.record(key, found),
            Err(e) => log_failure(&e),
        }
    }

    fn record(&self, key: &str, found: Option<Record>) -> Outcome {
        let Some(r) = found else { return Outcome::Record(None) };
        match self.decode::<Sealed>(key, &r) {
            Some(sealed) => Outcome::Record(Some(sealed)),
            None => Outcome::Failed,
        }
    }

    async fn write(&self, key: &str, expect: u64, value: Vec<u8>, is_seal: bool) -> Outcome {
        let call = Call::Swap { key: key.into(), expect, value: Some(value), lease: None };
        match self.ports.store.call(Purpose::Report, call).await {
            Ok(StoreResponse::Swapped(revision)) => Outcome::Written(revision),
            Ok(StoreResponse::Conflict(found)) if is_seal => self.record(key, found),
            Ok(_) => Outcome::Failed,
            Err(e) => log_failure(&e),
        }
    }

    async fn delete(&self, key: &str) -> Outcome {
        let store = &self.ports.store;
        let expect = match store.get(Purpose::Report, key).await {
            Ok(Some(r)) => r.revision,
            Ok(None) => return Outcome::Deleted,
            Err(e) => return log_failure(&e),
        };
        let call = Call::Swap { key: key.into(), expect, value: None, lease: None };
        match store.call(Purpose::Report, call).await {
            Ok(StoreResponse::Swapped(_)) => Outcome::Deleted,
            Ok(_) => Outcome::Failed,
            Err(e) => log_failure(&e),
        }
    }

    async fn report(&self, sealed: Sealed) -> Outcome {
        let counters = &self.shared.counters;
        match (self.ports.report)(sealed).await {
            Ok(()) => {
                counters.reported.fetch_add(1, Ordering::Relaxed);
                Outcome::Reported
            }
            Err(e @ ReportError::Rejected { .. }) => {
                log::error!("{e}");
                counters.rejected.fetch_add(1, Ordering::Relaxed);
                Outcome::Rejected
            }
            Err(e @ ReportError::Failed { .. }) => {
                log::warn!("{e}");
                Outcome::Failed
            }
        }
    }

    /// Decodes a record. An invalid one is logged, counted and left unchanged.
    fn decode<T: DeserializeOwned>(&self, key: &str, record: &Record) -> Option<T> {
        sealed::decode(key, &record.value)
            .inspect_err(|e| {
                log::error!("{e}");
                self.shared.counters.refused.fetch_add(1, Ordering::Relaxed);
            })
            .ok()
    }
}

fn log_failure(e: &Error) -> Outcome {
    log::warn!("{e}");
    Outcome::Failed
}
