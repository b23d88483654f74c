//! The client that all callers of one instance share.
//!
//! [`Client::open`] puts the call budget, the circuit breaker, deadlines and retries around a
//! [`Store`] and returns a `Store` again. The decisions are in [`budget`](crate::budget),
//! [`breaker`] and [`backoff`]; here are only the waiting and the
//! counting. A call is sent again only if the failed attempt had no effect: an ambiguous write goes
//! back to its caller, who resolves it by re-reading (see [`swap_resolved`](crate::resolve)).

use {
    crate::{
        Call, Error, Purpose, Reply, Result, Store, backoff,
        breaker::{self, Breaker},
        budget::{Budgets, Rates},
        coalesce::Coalescer,
        quota,
        tally::{Event, Tally},
    },
    agate_core::Mono,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::Instant,
};

const LOCAL: &str = "local";

/// Settings of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Budget of reads and watches.
    pub reads: Rates,
    /// Budget of writes.
    pub writes: Rates,
    /// Longest time for a call with all its attempts; a watch may wait longer by its own wait.
    pub deadline: Duration,
    /// Most attempts of one call.
    pub attempts: u32,
    /// Longest delay before the second attempt; doubles for each further one.
    pub base_delay: Duration,
    /// Longest delay before any attempt.
    pub max_delay: Duration,
    /// Circuit breaker.
    pub breaker: breaker::Settings,
}

impl Settings {
    /// Settings for one of `instances` that share the service's rates.
    pub fn for_fleet(instances: usize) -> Self {
        Self {
            reads: quota::reads(instances),
            writes: quota::writes(instances),
            deadline: Duration::from_secs(2),
            attempts: 4,
            base_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(1),
            breaker: breaker::Settings {
                failures: 5,
                base: Duration::from_millis(200),
                max: Duration::from_secs(5),
            },
        }
    }
}

struct Gate {
    reads: Budgets,
    writes: Budgets,
    breaker: Breaker,
    rng: StdRng,
}

struct Inner {
    store: Store,
    settings: Settings,
    origin: Instant,
    gate: Mutex<Gate>,
    tally: Arc<Tally>,
    coalescer: Coalescer,
}

/// Running client; clones share it.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

impl Client {
    /// Opens a client over `store`; `seed` drives its jitter and must differ between instances.
    pub fn open(store: Store, settings: Settings, seed: u64) -> Self {
        let now = Mono::ZERO;
        let gate = Gate {
            reads: Budgets::open(settings.reads, now),
            writes: Budgets::open(settings.writes, now),
            breaker: Breaker::new(settings.breaker),
            rng: StdRng::seed_from_u64(seed),
        };
        let inner = Inner {
            store,
            settings,
            origin: Instant::now(),
            gate: Mutex::new(gate),
            tally: Arc::default(),
            coalescer: Coalescer::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns a handle whose calls go through this client.
    pub fn store(&self) -> Store {
        let inner = self.inner.clone();
        Store::new(move |purpose, call| {
            let inner = inner.clone();
            Box::pin(async move { inner.call(purpose, call).await })
        })
    }

    /// Counters by purpose and event.
    pub fn tally(&self) -> &Tally {
        &self.inner.tally
    }

    /// Changes the budgets to those of one of `instances` that share the service.
    pub fn set_fleet(&self, instances: usize) {
        let now = self.inner.now();
        let mut gate = self.inner.gate();
        gate.reads.set_rates(quota::reads(instances), now);
        gate.writes.set_rates(quota::writes(instances), now);
    }
}

impl Inner {
    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().expect("no holder of the lock panics")
    }

    async fn call(self: Arc<Self>, purpose: Purpose, call: Call) -> Result<Reply> {
        let Call::Get { key } = &call else {
            return self.attempts(purpose, call).await;
        };
        let key = key.clone();
        let send = self.clone().attempts(purpose, call);
        let (read, joined) = self.coalescer.join(purpose, &key, send);
        if joined {
            self.tally.add(purpose, Event::Coalesced);
        }
        read.await
    }

    /// Makes the call, again after failures without effect, within the deadline.
    async fn attempts(self: Arc<Self>, purpose: Purpose, call: Call) -> Result<Reply> {
        let deadline = self.now() + self.settings.deadline + watch_wait(&call);
        let mut round = 0;
        loop {
            let result = self.attempt(purpose, &call, deadline).await;
            self.count(purpose, &result);
            let Err(e) = &result else { return result };
            round += 1;
            if round >= self.settings.attempts || !may_repeat(&call, e) {
                return result;
            }
            let delay = self.delay(round - 1);
            if self.now() + delay >= deadline {
                return result;
            }
            self.tally.add(purpose, Event::Retried);
            tokio::time::sleep(delay).await;
        }
    }

    async fn attempt(&self, purpose: Purpose, call: &Call, deadline: Mono) -> Result<Reply> {
        // Lease calls are few and urgent: they pass an open circuit, and close it if they succeed.
        let passes = purpose == Purpose::Lease;
        if !passes && self.gate().breaker.blocks(self.now()) {
            return Err(self.circuit_open(purpose, call));
        }
        self.budget(purpose, call, deadline).await?;
        if !passes && !self.gate().breaker.allow(self.now()) {
            return Err(self.circuit_open(purpose, call));
        }
        let start = self.now();
        let left = deadline.saturating_sub(start);
        log::trace!("store call {} for {}", step(call), purpose.label());
        let sent = tokio::time::timeout(left, self.store.call(purpose, call.clone())).await;
        let result = sent.unwrap_or_else(|_| Err(timed_out(call)));
        self.settle(purpose, call, &result, start);
        result
    }

    fn circuit_open(&self, purpose: Purpose, call: &Call) -> Error {
        self.tally.add(purpose, Event::CircuitOpen);
        local_failure(call, "circuit open")
    }

    /// Waits for the budget; refuses at once if the deadline would pass first.
    async fn budget(&self, purpose: Purpose, call: &Call, deadline: Mono) -> Result<()> {
        loop {
            let now = self.now();
            let taken = {
                let mut gate = self.gate();
                let buckets = if call.is_write() { &mut gate.writes } else { &mut gate.reads };
                buckets.take(purpose, now)
            };
            let Err(wait) = taken else { return Ok(()) };
            if now + wait >= deadline {
                self.tally.add(purpose, Event::OverBudget);
                return Err(Error::Limited { step: step(call), peer: LOCAL.into() });
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Tells breaker and budgets how an attempt went.
    fn settle(&self, purpose: Purpose, call: &Call, result: &Result<Reply>, start: Mono) {
        let now = self.now();
        let mut gate = self.gate();
        match result {
            Ok(_) | Err(Error::Malformed { .. }) => gate.breaker.succeed(),
            Err(Error::Limited { .. }) => {
                gate.breaker.succeed();
                let buckets = if call.is_write() { &mut gate.writes } else { &mut gate.reads };
                buckets.drain(purpose, now);
            }
            Err(Error::Unavailable { .. } | Error::Ambiguous { .. }) => {
                let draw = gate.rng.random::<f64>();
                gate.breaker.fail(now, draw);
            }
        }
        if matches!(call, Call::Watch { .. }) {
            let waited = now.saturating_sub(start).as_secs();
            let calls = u32::try_from(waited).unwrap_or(u32::MAX);
            gate.reads.charge(calls, now);
        }
    }

    fn delay(&self, round: u32) -> Duration {
        let draw = self.gate().rng.random::<f64>();
        backoff::delay(round, self.settings.base_delay, self.settings.max_delay, draw)
    }

    fn count(&self, purpose: Purpose, result: &Result<Reply>) {
        let event = match result {
            Ok(_) => Event::Answered,
            Err(Error::Ambiguous { .. }) => Event::Ambiguous,
            Err(Error::Limited { peer, .. }) if peer == LOCAL => return,
            Err(Error::Limited { .. }) => Event::Limited,
            Err(Error::Unavailable { .. } | Error::Malformed { .. }) => Event::Failed,
        };
        self.tally.add(purpose, event);
    }
}

/// Whether the call may be sent again after this failure: only if the attempt had no effect.
fn may_repeat(call: &Call, error: &Error) -> bool {
    match error {
        Error::Unavailable { peer, .. } | Error::Limited { peer, .. } => peer != LOCAL,
        Error::Ambiguous { .. } => !call.is_write(),
        Error::Malformed { .. } => false,
    }
}

fn watch_wait(call: &Call) -> Duration {
    match call {
        Call::Watch { wait, .. } => *wait,
        _ => Duration::ZERO,
    }
}

fn timed_out(call: &Call) -> Error {
    if call.is_write() {
        let cause = "deadline passed".into();
        return Error::Ambiguous { step: step(call), peer: "store".into(), cause };
    }
    local_failure(call, "deadline passed")
}

fn local_failure(call: &Call, cause: &str) -> Error {
    Error::Unavailable { step: step(call), peer: LOCAL.into(), cause: cause.into() }
}

fn step(call: &Call) -> &'static str {
    crate::meter::Kind::of(call).label()
}
