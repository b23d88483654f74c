//! Runs the machine of one lease over a store and a clock that counts suspension too.
//!
//! A holder that was suspended must find its term lapsed, so the time for which the monotonic clock
//! stood still is added to it.

use {
    crate::{
        machine::{self, Action, Answer, Found, Input, Settings, State},
        record,
    },
    agate_core::{FenceToken, Mono},
    agate_store::{Call, Error, Purpose, Record, Reply, Store},
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

/// Counters of one lease.
#[derive(Debug, Default)]
pub struct Counters {
    /// Terms begun.
    pub gained: AtomicU64,
    /// Terms ended.
    pub lost: AtomicU64,
    /// Records refused as corrupt or of an unknown version.
    pub refused: AtomicU64,
}

struct Inner {
    state: Mutex<State>,
    origin: Instant,
    // Suspended time at the origin.
    suspended: Duration,
    store: Store,
    key: String,
    inputs: mpsc::UnboundedSender<Input>,
    token: watch::Sender<Option<FenceToken>>,
    counters: Counters,
}

/// Handle of a running lease; clones share it. Dropping every handle ends the runner.
#[derive(Clone)]
pub struct Lease {
    inner: Arc<Inner>,
    _alive: Arc<watch::Sender<()>>,
}

impl Lease {
    /// Starts a candidate of the lease over `store`.
    pub fn spawn(store: Store, settings: Settings) -> Self {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (alive, ended) = watch::channel(());
        let inner = Arc::new(Inner {
            key: record::key(&settings.name),
            state: Mutex::new(State::new(settings)),
            origin: Instant::now(),
            suspended: clock::suspended(),
            store,
            inputs,
            token: watch::Sender::new(None),
            counters: Counters::default(),
        });
        tokio::spawn(run(inner.clone(), receiver, ended));
        Self { inner, _alive: Arc::new(alive) }
    }

    /// Token with which this instance may act now; asked at the last step before every order.
    pub fn may_act(&self) -> Option<FenceToken> {
        machine::may_act(&self.inner.state(), self.inner.now())
    }

    /// Time from now for which this instance may act unless it renews; `None` without authority.
    pub fn left(&self) -> Option<Duration> {
        let now = self.inner.now();
        let state = self.inner.state();
        state.term.filter(|t| now < t.until).map(|t| t.until - now)
    }

    /// Time from now until the first order to an endpoint that ignores tokens may be sent, if
    /// orders live at most `life`; `None` without authority.
    pub fn first_order_in(&self, life: Duration) -> Option<Duration> {
        let now = self.inner.now();
        let state = self.inner.state();
        machine::may_act(&state, now)?;
        machine::first_order_at(&state, life).map(|at| at.saturating_sub(now))
    }

    /// Follows the token of the present term. A hint only: whoever acts asks [`Lease::may_act`].
    pub fn follow(&self) -> watch::Receiver<Option<FenceToken>> {
        self.inner.token.subscribe()
    }

    /// Stands as a candidate, or no longer; a term that is held goes on.
    pub fn set_wanted(&self, wanted: bool) {
        // The runner lives as long as this handle.
        let _ = self.inner.inputs.send(Input::Wants(wanted));
    }

    /// Stops acting at once and writes that the lease is free; returns when that was tried.
    pub async fn release(&self) {
        let mut token = self.follow();
        let actions = machine::step(&mut self.inner.state(), Input::Release, self.inner.now());
        self.inner.carry_out(actions);
        let _ = self.inner.inputs.send(Input::Tick);
        let released = async {
            while self.inner.state().releasing {
                if token.changed().await.is_err() {
                    return;
                }
            }
        };
        released.await;
    }

    /// Counters of this lease.
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }
}

async fn run(
    inner: Arc<Inner>,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    mut ended: watch::Receiver<()>,
) {
    loop {
        let wake = machine::next_wake(&inner.state());
        let sleep = async {
            match wake {
                Some(at) => tokio::time::sleep(at.saturating_sub(inner.now())).await,
                None => std::future::pending().await,
            }
        };
        let input = tokio::select! {
            _ = ended.changed() => return,
            Some(input) = inputs.recv() => input,
            () = sleep => Input::Tick,
        };
        let actions = machine::step(&mut inner.state(), input, inner.now());
        inner.carry_out(actions);
    }
}

impl Inner {
    fn now(&self) -> Mono {
        self.origin.elapsed() + clock::suspended().saturating_sub(self.suspended)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn carry_out(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read { id } => self.send(id, Call::Get { key: self.key.clone() }),
                Action::Write { id, expect, body } => {
                    let (key, value) = (self.key.clone(), Some(record::encode(&body)));
                    self.send(id, Call::Swap { key, expect, value, lease: None });
                }
                Action::Gained(token) => {
                    log::info!("{}: term {token} began", self.key);
                    self.counters.gained.fetch_add(1, Ordering::Relaxed);
                }
                Action::Lost(token) => {
                    log::info!("{}: term {token} ended", self.key);
                    self.counters.lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        self.token.send_replace(machine::may_act(&self.state(), self.now()));
    }

    fn send(self: &Arc<Self>, id: u64, call: Call) {
        let inner = self.clone();
        tokio::spawn(async move {
            let result = inner.store.call(Purpose::Lease, call).await;
            let answer = inner.answer(result);
            let _ = inner.inputs.send(Input::Answer { id, answer });
        });
    }

    fn answer(&self, result: agate_store::Result<Reply>) -> Answer {
        match result {
            Ok(Reply::Swapped(revision)) => Answer::Written(revision),
            Ok(Reply::Value(r) | Reply::Conflict(r)) => self.found(r),
            Err(Error::Ambiguous { .. }) => Answer::Unknown,
            Ok(_) | Err(Error::Malformed { .. }) => Answer::Unknown,
            Err(Error::Unavailable { .. } | Error::Limited { .. }) => Answer::Failed,
        }
    }

    fn found(&self, record: Option<Record>) -> Answer {
        let Some(Record { revision, value }) = record else { return Answer::Record(None) };
        match record::decode(&self.key, &value) {
            Ok(body) => Answer::Record(Some(Found { revision, body })),
            Err(e) => {
                log::error!("{e}");
                self.counters.refused.fetch_add(1, Ordering::Relaxed);
                Answer::Corrupt
            }
        }
    }
}
