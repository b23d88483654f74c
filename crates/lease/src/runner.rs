//! Runs the state machine of one lease over a store.
//!
//! A holder that was suspended must find its term expired, so the time spent suspended is added to
//! the monotonic clock, which stops meanwhile.

use {
    crate::{
        machine::{self, Action, CallResult, Input, Settings, State, StoredRecord},
        record,
    },
    agate_core::{FenceToken, Mono},
    agate_store::{Call, Error, Purpose, Record, Store, StoreResponse},
    agate_view::clock,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::Instant,
    },
};

/// Bits of a fencing token below the era in which its term began.
const TOKEN_BITS: u32 = 24;

/// Counters of one lease.
#[derive(Debug, Default)]
pub struct Counters {
    /// Terms that began.
    pub gained: AtomicU64,
    /// Terms that ended.
    pub lost: AtomicU64,
    /// Records rejected as corrupt or of an unknown version.
    pub refused: AtomicU64,
}

struct Shared {
    state: Mutex<State>,
    origin: Instant,
    // Total suspended time at `origin`.
    suspended: Duration,
    store: Store,
    key: String,
    inputs: mpsc::UnboundedSender<Input>,
    token: watch::Sender<Option<FenceToken>>,
    counters: Counters,
}

/// Handle of a running lease, which may be cloned. The runner ends when the last clone is dropped.
#[derive(Clone)]
pub struct Lease {
    shared: Arc<Shared>,
    _alive: Arc<watch::Sender<()>>,
}

impl Lease {
    /// Starts the lease over `store`, as a candidate. Panics if the settings are inconsistent.
    pub fn spawn(store: Store, settings: Settings) -> Self {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (alive, ended) = watch::channel(());
        let shared = Arc::new(Shared {
            key: record::key(&settings.name),
            state: Mutex::new(State::new(settings)),
            origin: Instant::now(),
            suspended: clock::suspended(),
            store,
            inputs,
            token: watch::Sender::new(None),
            counters: Counters::default(),
        });
        tokio::spawn(run(shared.clone(), receiver, ended));
        Self { shared, _alive: Arc::new(alive) }
    }

    /// Fencing token with which this instance may act now; must be checked immediately before every
    /// order.
    pub fn may_act(&self) -> Option<FenceToken> {
        machine::may_act(&self.shared.state(), self.shared.now())
    }

    /// Remaining time for which this instance may act without a renewal; `None` if it does not hold
    /// the lease.
    pub fn remaining(&self) -> Option<Duration> {
        let now = self.shared.now();
        let state = self.shared.state();
        state.term.filter(|t| now < t.ends_at).map(|t| t.ends_at - now)
    }

    /// Time from now until the first order may be sent to an endpoint that ignores tokens, if an
    /// order can arrive up to `life` after it was sent; `None` if this instance does not hold the
    /// lease.
    pub fn first_order_in(&self, life: Duration) -> Option<Duration> {
        let now = self.shared.now();
        let state = self.shared.state();
        machine::may_act(&state, now)?;
        machine::first_order_at(&state, life).map(|at| at.saturating_sub(now))
    }

    /// Subscribes to the token of the current term. The value may be stale: check
    /// [`Lease::may_act`] before acting.
    pub fn follow(&self) -> watch::Receiver<Option<FenceToken>> {
        self.shared.token.subscribe()
    }

    /// Sets whether this instance is a candidate. A term that is held continues.
    pub fn set_candidate(&self, wanted: bool) {
        // The receiver exists as long as this handle, so sending cannot fail.
        let _ = self.shared.inputs.send(Input::SetCandidate(wanted));
    }

    /// Ends the term immediately and writes that the lease is free. Returns when the write has
    /// succeeded or was given up.
    pub async fn release(&self) {
        let mut token = self.follow();
        let actions = self.shared.step(Input::Release);
        self.shared.execute(actions);
        let _ = self.shared.inputs.send(Input::Tick);
        let released = async {
            while self.shared.state().releasing {
                if token.changed().await.is_err() {
                    return;
                }
            }
        };
        released.await;
    }

    /// Counters of this lease.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }
}

async fn run(
    shared: Arc<Shared>,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    mut ended: watch::Receiver<()>,
) {
    loop {
        let wake = machine::next_wake(&shared.state());
        let sleep = async {
            match wake {
                Some(at) => tokio::time::sleep(at.saturating_sub(shared.now())).await,
                None => std::future::pending().await,
            }
        };
        let input = tokio::select! {
            _ = ended.changed() => return,
            Some(input) = inputs.recv() => input,
            () = sleep => Input::Tick,
        };
        let actions = shared.step(input);
        shared.execute(actions);
    }
}

impl Shared {
    fn now(&self) -> Mono {
        self.origin.elapsed() + clock::suspended().saturating_sub(self.suspended)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock of the lease state is not poisoned")
    }

    fn step(&self, input: Input) -> Vec<Action> {
        let mut state = self.state();
        state.min_token = self.store.era() << TOKEN_BITS;
        machine::step(&mut state, input, self.now())
    }

    fn execute(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read { id } => self.send(id, Call::Get { key: self.key.clone() }),
                Action::Write { id, expect, body } => {
                    let (key, value) = (self.key.clone(), Some(record::encode(&body)));
                    self.send(id, Call::Swap { key, expect, value, lease: None });
                }
                Action::TermBegan(token) => {
                    log::info!("{}: term {token} began", self.key);
                    self.counters.gained.fetch_add(1, Ordering::Relaxed);
                }
                Action::TermEnded(token) => {
                    log::info!("{}: term {token} ended", self.key);
                    self.counters.lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        self.token.send_replace(machine::may_act(&self.state(), self.now()));
    }

    fn send(self: &Arc<Self>, id: u64, call: Call) {
        let shared = self.clone();
        tokio::spawn(async move {
            let result = shared.store.call(Purpose::Lease, call).await;
            let result = shared.call_result(result);
            let _ = shared.inputs.send(Input::Completed { id, result });
        });
    }

    fn call_result(&self, result: agate_store::Result<StoreResponse>) -> CallResult {
        match result {
            Ok(StoreResponse::Swapped(revision)) => CallResult::Written(revision),
            Ok(StoreResponse::Value(r) | StoreResponse::Conflict(r)) => self.decode_record(r),
            Err(Error::Ambiguous { .. }) => CallResult::Unknown,
            Ok(_) | Err(Error::Malformed { .. }) => CallResult::Unknown,
            Err(Error::Unavailable { .. } | Error::Limited { .. }) => CallResult::Failed,
        }
    }

    fn decode_record(&self, record: Option<Record>) -> CallResult {
        let Some(Record { revision, value }) = record else { return CallResult::Record(None) };
        match record::decode(&self.key, &value) {
            Ok(body) => CallResult::Record(Some(StoredRecord { revision, body })),
            Err(e) => {
                log::error!("{e}");
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
                CallResult::Corrupt
            }
        }
    }
}
