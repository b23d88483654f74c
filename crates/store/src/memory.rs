//! In-memory implementation of the service, for tests and for the stand-in platform.
//!
//! It follows the port's semantics through [`Model`], counts calls as the service charges them, and
//! carries switches for the faults that a test wants. Lease expiry is evaluated lazily on the
//! supplied clock; [`Memory::expire`] evaluates it at once and wakes the watches concerned.

use {
    crate::{
        Call, Error, Purpose, Reply, Result, Store,
        meter::{Counts, Kind},
        model::Model,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::watch,
};

const PEER: &str = "memory";

/// Faults in force; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails as not carried out.
    pub outage: bool,
    /// No call is answered, and none takes effect.
    pub silent: bool,
    /// Delay before a call takes effect.
    pub latency: Duration,
    /// Number of coming writes that take effect and whose answer is lost.
    pub lost_answers: u32,
    /// Number of coming writes that are lost without effect; the caller sees no difference.
    pub lost_calls: u32,
    /// Most reads a second of the clock, waiting watches included.
    pub max_reads: Option<u64>,
    /// Most writes a second of the clock.
    pub max_writes: Option<u64>,
}

struct State {
    model: Model,
    faults: Faults,
    counts: Counts,
}

struct Inner {
    clock: Box<dyn Fn() -> Duration + Send + Sync>,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

/// Handle of an in-memory service; clones share it.
#[derive(Clone)]
pub struct Memory {
    inner: Arc<Inner>,
}

impl Memory {
    /// Opens an empty service whose leases run on `clock`.
    pub fn open(clock: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        let state =
            State { model: Model::new(), faults: Faults::default(), counts: Counts::default() };
        let inner = Inner {
            clock: Box::new(clock),
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns a store handle whose calls this service carries out.
    pub fn store(&self) -> Store {
        let inner = self.inner.clone();
        Store::new(move |purpose, call| {
            let inner = inner.clone();
            Box::pin(async move { inner.call(purpose, call).await })
        })
    }

    /// Faults now in force.
    pub fn faults(&self) -> Faults {
        self.inner.lock().faults
    }

    /// Changes the faults in force; a call that already waits is not affected.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.lock().faults);
    }

    /// Calls so far.
    pub fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }

    /// Ends the leases that have lapsed on the clock and wakes the watches; returns how many ended.
    pub fn expire(&self) -> usize {
        let now = (self.inner.clock)();
        let ended = self.inner.lock().model.expire(now);
        self.inner.announce();
        ended
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Tells waiting watches the current revision; they look whether it concerns their key.
    fn announce(&self) {
        let revision = self.lock().model.revision();
        self.changes.send_if_modified(|seen| {
            let newer = revision > *seen;
            *seen = revision.max(*seen);
            newer
        });
    }

    async fn call(&self, purpose: Purpose, call: Call) -> Result<Reply> {
        let kind = Kind::of(&call);
        let faults = self.admit(purpose, kind)?;
        if faults.silent {
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

    /// Counts the call and refuses it where an outage or a rate limit says so.
    fn admit(&self, purpose: Purpose, kind: Kind) -> Result<Faults> {
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

    fn apply(&self, kind: Kind, call: &Call) -> Result<Reply> {
        let now = (self.clock)();
        let mut state = self.lock();
        if kind.is_write() && take_one(&mut state.faults.lost_calls) {
            return Err(ambiguous(kind.label()));
        }
        let reply = state
            .model
            .apply(call, now)
            .map_err(|large| unavailable(kind.label(), &large.to_string()))?;
        let lost = kind.is_write() && take_one(&mut state.faults.lost_answers);
        drop(state);
        self.announce();
        if lost {
            return Err(ambiguous(kind.label()));
        }
        Ok(reply)
    }

    async fn watch(&self, key: String, after: u64, wait: Duration) -> Result<Reply> {
        let mut changes = self.changes.subscribe();
        let waiting = Waiting::start(self);
        let news = async {
            while !self.has_news(&key, after) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // A watch that nothing ends within `wait` answers like one that found no news.
        let _ = tokio::time::timeout(wait, news).await;
        drop(waiting);
        if self.lock().faults.outage {
            return Err(unavailable("watch", "outage"));
        }
        let call = Call::Watch { key, after, wait };
        self.apply(Kind::Watch, &call)
    }

    fn has_news(&self, key: &str, after: u64) -> bool {
        let now = (self.clock)();
        let mut state = self.lock();
        state.model.expire(now);
        state.model.has_news(key, after)
    }
}

/// Counts one watch as waiting until dropped, also when its caller gives up.
struct Waiting<'a> {
    inner: &'a Inner,
}

impl<'a> Waiting<'a> {
    fn start(inner: &'a Inner) -> Self {
        inner.lock().counts.waiting += 1;
        Self { inner }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.inner.lock().counts.waiting -= 1;
    }
}

fn take_one(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

fn unavailable(step: &'static str, cause: &str) -> Error {
    Error::Unavailable { step, peer: PEER.into(), cause: cause.into() }
}

fn ambiguous(step: &'static str) -> Error {
    Error::Ambiguous { step, peer: PEER.into(), cause: "answer lost".into() }
}
