//! In-memory implementation of the service, for tests and for the stand-in platform.
//!
//! It implements the semantics of the port with [`Model`], counts calls as the service charges
//! them, and can inject faults. Leases are expired lazily on the supplied clock; [`Memory::expire`]
//! does it immediately and wakes the affected watches.

use {
    crate::{
        Call, Error, Purpose, Result, Store, StoreResponse,
        era::{self, Era},
        metrics::{Counts, Kind},
        model::Model,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::watch,
};

const PEER: &str = "memory";

/// Injected faults; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails without effect.
    pub outage: bool,
    /// No call is answered, and none takes effect.
    pub no_response: bool,
    /// Delay before a call takes effect.
    pub latency: Duration,
    /// Number of next writes that take effect but whose response is lost.
    pub lost_responses: u32,
    /// Number of next writes that are lost without effect; to the caller they look the same.
    pub lost_requests: u32,
    /// Maximum reads per second of the clock, including waiting watches.
    pub max_reads: Option<u64>,
    /// Maximum writes per second of the clock.
    pub max_writes: Option<u64>,
}

struct State {
    model: Model,
    era: Era,
    faults: Faults,
    counts: Counts,
}

struct Shared {
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

/// Handle of an in-memory service; clones share it.
#[derive(Clone)]
pub struct Memory {
    shared: Arc<Shared>,
}

impl Memory {
    /// Creates an empty service whose leases expire on `clock`.
    pub fn open(clock: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        let state = State {
            model: Model::new(),
            era: 0,
            faults: Faults::default(),
            counts: Counts::default(),
        };
        let shared = Shared {
            clock: Box::new(clock),
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns a store handle whose calls this service executes.
    pub fn store(&self) -> Store {
        let shared = self.shared.clone();
        era::open(move |purpose, call| {
            let shared = shared.clone();
            Box::pin(async move {
                let result = shared.call(purpose, call).await;
                let era = shared.lock().era;
                (Some(era), result)
            })
        })
    }

    /// Copy of the content.
    pub fn copy(&self) -> Model {
        self.shared.lock().model.clone()
    }

    /// Replaces the content by `copy`, which begins a new era.
    pub fn come_back(&self, copy: Model) {
        let mut state = self.shared.lock();
        state.model = copy;
        state.era += 1;
    }

    /// Current faults.
    pub fn faults(&self) -> Faults {
        self.shared.lock().faults
    }

    /// Changes the faults; does not affect a call that is already waiting.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Copy of the call counters.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Ends the leases that have expired on the clock and wakes the watches; returns the number of
    /// leases that ended.
    pub fn expire(&self) -> usize {
        let now = (self.shared.clock)();
        let ended = self.shared.lock().model.expire(now);
        self.shared.notify_watches();
        ended
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock of the in-memory service is not poisoned")
    }

    /// Publishes the current revision to waiting watches, which check whether their key changed.
    fn notify_watches(&self) {
        let revision = self.lock().model.revision();
        self.changes.send_if_modified(|seen| {
            let newer = revision > *seen;
            *seen = revision.max(*seen);
            newer
        });
    }

    async fn call(&self, purpose: Purpose, call: Call) -> Result<StoreResponse> {
        let kind = Kind::of(&call);
        let faults = self.check_limits(purpose, kind)?;
        if faults.no_response {
            return std::future::pending().await;
        }
        if !faults.latency.is_zero() {
            tokio::time::sleep(faults.latency).await;
        }
        match call {
            Call::Watch { key, after, wait } => self.watch(key, after, wait).await,
            call => self.apply(kind, &call),
        }
    }

    /// Counts the call, and refuses it during an outage or above a rate limit.
    fn check_limits(&self, purpose: Purpose, kind: Kind) -> Result<Faults> {
        let now = (self.clock)();
        let mut state = self.lock();
        let faults = state.faults;
        let (reads, writes) = state.counts.rate(now);
        let (rate, max) = match kind.is_write() {
            true => (writes, faults.max_writes),
            false => (reads, faults.max_reads),
        };
        state.counts.record(purpose, kind, now);
        if faults.outage {
            return Err(unavailable(kind.label(), "outage"));
        }
        if max.is_some_and(|m| rate >= m) {
            state.counts.limited += 1;
            return Err(Error::Limited { step: kind.label(), peer: PEER.into() });
        }
        Ok(faults)
    }

    fn apply(&self, kind: Kind, call: &Call) -> Result<StoreResponse> {
        let now = (self.clock)();
        let mut state = self.lock();
        if kind.is_write() && take_fault(&mut state.faults.lost_requests) {
            return Err(ambiguous(kind.label()));
        }
        let response = state
            .model
            .apply(call, now)
            .map_err(|large| unavailable(kind.label(), &large.to_string()))?;
        let lost = kind.is_write() && take_fault(&mut state.faults.lost_responses);
        drop(state);
        self.notify_watches();
        if lost {
            return Err(ambiguous(kind.label()));
        }
        Ok(response)
    }

    async fn watch(&self, key: String, after: u64, wait: Duration) -> Result<StoreResponse> {
        let mut changes = self.changes.subscribe();
        let waiting = WaitingWatch::start(self);
        let changed = async {
            while !self.has_change(&key, after) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // A watch that reaches the end of `wait` returns the same as one without a change.
        let _ = tokio::time::timeout(wait, changed).await;
        drop(waiting);
        if self.lock().faults.outage {
            return Err(unavailable("watch", "outage"));
        }
        let call = Call::Watch { key, after, wait };
        self.apply(Kind::Watch, &call)
    }

    fn has_change(&self, key: &str, after: u64) -> bool {
        let now = (self.clock)();
        let mut state = self.lock();
        state.model.expire(now);
        state.model.has_change(key, after)
    }
}

/// Counts one watch as waiting until dropped, also when its caller cancels it.
struct WaitingWatch<'a> {
    shared: &'a Shared,
}

impl<'a> WaitingWatch<'a> {
    fn start(shared: &'a Shared) -> Self {
        shared.lock().counts.waiting += 1;
        Self { shared }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.shared.lock().counts.waiting -= 1;
    }
}

fn take_fault(remaining: &mut u32) -> bool {
    let active = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    active
}

fn unavailable(step: &'static str, cause: &str) -> Error {
    Error::Unavailable { step, peer: PEER.into(), cause: cause.into() }
}

fn ambiguous(step: &'static str) -> Error {
    Error::Ambiguous { step, peer: PEER.into(), cause: "response lost".into() }
}
