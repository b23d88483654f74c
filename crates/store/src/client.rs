//! Store client shared by all callers of one instance.
//!
//! [`Client::open`] adds the call budget, the circuit breaker, deadlines and retries to a
//! [`Store`], and the result is a `Store` again. The decisions are made in
//! [`budget`](crate::budget), [`breaker`] and [`backoff`]; this module only waits and counts. A
//! call is retried only if the failed attempt had no effect. An ambiguous write is returned to its
//! caller, who resolves it by reading the key (see [`swap_resolved`](crate::resolve)).

use {
    crate::{
        Call, Error, Purpose, Result, Store, StoreResponse, backoff,
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
    /// Maximum time for a call with all its attempts; a watch gets its own wait in addition.
    pub deadline: Duration,
    /// Maximum number of attempts of a call.
    pub attempts: u32,
    /// Maximum delay before the second attempt; doubles with each further one.
    pub base_delay: Duration,
    /// Maximum delay before any attempt.
    pub max_delay: Duration,
    /// Settings of the circuit breaker.
    pub breaker: breaker::Settings,
}

impl Settings {
    /// Default settings for one of `instances` that share the service's rates.
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

struct Limits {
    reads: Budgets,
    writes: Budgets,
    breaker: Breaker,
    rng: StdRng,
}

struct Shared {
    store: Store,
    settings: Settings,
    origin: Instant,
    limits: Mutex<Limits>,
    tally: Arc<Tally>,
    coalescer: Coalescer,
}

/// A running client; clones share its state.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// Creates a client over `store`. `seed` determines its jitter and must differ between
    /// instances.
    pub fn open(store: Store, settings: Settings, seed: u64) -> Self {
        let now = Mono::ZERO;
        let limits = Limits {
            reads: Budgets::open(settings.reads, now),
            writes: Budgets::open(settings.writes, now),
            breaker: Breaker::new(settings.breaker),
            rng: StdRng::seed_from_u64(seed),
        };
        let shared = Shared {
            store,
            settings,
            origin: Instant::now(),
            limits: Mutex::new(limits),
            tally: Arc::default(),
            coalescer: Coalescer::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns a store handle whose calls go through this client.
    pub fn store(&self) -> Store {
        let shared = self.shared.clone();
        self.shared.store.wrap(move |purpose, call| {
            let shared = shared.clone();
            Box::pin(async move { shared.call(purpose, call).await })
        })
    }

    /// Counters by purpose and event.
    pub fn tally(&self) -> &Tally {
        &self.shared.tally
    }

    /// Changes the budgets to those of one of `instances` that share the service's rates.
    pub fn set_instances(&self, instances: usize) {
        let now = self.shared.now();
        let mut limits = self.shared.lock_limits();
        limits.reads.set_rates(quota::reads(instances), now);
        limits.writes.set_rates(quota::writes(instances), now);
    }
}

impl Shared {
    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    fn lock_limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().expect("the lock of the client limits is not poisoned")
    }

    async fn call(self: Arc<Self>, purpose: Purpose, call: Call) -> Result<StoreResponse> {
        let Call::Get { key } = &call else {
            return self.call_with_retries(purpose, call).await;
        };
        let key = key.clone();
        let send = self.clone().call_with_retries(purpose, call);
        let (read, joined) = self.coalescer.join(purpose, &key, send);
        if joined {
            self.tally.add(purpose, Event::Coalesced);
        }
        read.await
    }

    /// Makes the call and retries failures without effect, within the deadline.
    async fn call_with_retries(
        self: Arc<Self>,
        purpose: Purpose,
        call: Call,
    ) -> Result<StoreResponse> {
        let deadline = self.now() + self.settings.deadline + watch_wait(&call);
        let mut round = 0;
        loop {
            let result = self.call_once(purpose, &call, deadline).await;
            self.count_result(purpose, &result);
            let Err(e) = &result else { return result };
            round += 1;
            if round >= self.settings.attempts || !is_retryable(&call, e) {
                return result;
            }
            let delay = self.retry_delay(round - 1);
            if self.now() + delay >= deadline {
                return result;
            }
            self.tally.add(purpose, Event::Retried);
            tokio::time::sleep(delay).await;
        }
    }

    async fn call_once(
        &self,
        purpose: Purpose,
        call: &Call,
        deadline: Mono,
    ) -> Result<StoreResponse> {
        // Lease calls are few and urgent: they ignore an open breaker, and close it if they
        // succeed.
        let urgent = purpose == Purpose::Lease;
        if !urgent && self.lock_limits().breaker.would_refuse(self.now()) {
            return Err(self.circuit_open(purpose, call));
        }
        self.wait_for_budget(purpose, call, deadline).await?;
        if !urgent && !self.lock_limits().breaker.allow(self.now()) {
            return Err(self.circuit_open(purpose, call));
        }
        let start = self.now();
        let remaining = deadline.saturating_sub(start);
        log::trace!("store call {} for {}", step(call), purpose.label());
        let response =
            tokio::time::timeout(remaining, self.store.call(purpose, call.clone())).await;
        let result = response.unwrap_or_else(|_| Err(timed_out(call)));
        self.record_outcome(purpose, call, &result, start);
        result
    }

    fn circuit_open(&self, purpose: Purpose, call: &Call) -> Error {
        self.tally.add(purpose, Event::CircuitOpen);
        local_failure(call, "circuit open")
    }

    /// Waits for the budget. Fails immediately if the deadline would pass first.
    async fn wait_for_budget(&self, purpose: Purpose, call: &Call, deadline: Mono) -> Result<()> {
        loop {
            let now = self.now();
            let admitted = {
                let mut limits = self.lock_limits();
                let buckets = if call.is_write() { &mut limits.writes } else { &mut limits.reads };
                buckets.take(purpose, now)
            };
            let Err(wait) = admitted else { return Ok(()) };
            if now + wait >= deadline {
                self.tally.add(purpose, Event::OverBudget);
                return Err(Error::Limited { step: step(call), peer: LOCAL.into() });
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Updates the breaker and the budgets with the result of an attempt.
    fn record_outcome(
        &self,
        purpose: Purpose,
        call: &Call,
        result: &Result<StoreResponse>,
        start: Mono,
    ) {
        let now = self.now();
        let mut limits = self.lock_limits();
        match result {
            Ok(_) | Err(Error::Malformed { .. }) => limits.breaker.on_success(),
            Err(Error::Limited { .. }) => {
                limits.breaker.on_success();
                let buckets = if call.is_write() { &mut limits.writes } else { &mut limits.reads };
                buckets.drain(purpose, now);
            }
            Err(Error::Unavailable { .. } | Error::Ambiguous { .. }) => {
                let draw = limits.rng.random::<f64>();
                limits.breaker.on_failure(now, draw);
            }
        }
        if matches!(call, Call::Watch { .. }) {
            let waited = now.saturating_sub(start).as_secs();
            let calls = u32::try_from(waited).unwrap_or(u32::MAX);
            limits.reads.charge(calls, now);
        }
    }

    fn retry_delay(&self, round: u32) -> Duration {
        let draw = self.lock_limits().rng.random::<f64>();
        backoff::delay(round, self.settings.base_delay, self.settings.max_delay, draw)
    }

    fn count_result(&self, purpose: Purpose, result: &Result<StoreResponse>) {
        let event = match result {
            Ok(_) => Event::Responded,
            Err(Error::Ambiguous { .. }) => Event::Ambiguous,
            Err(Error::Limited { peer, .. }) if peer == LOCAL => return,
            Err(Error::Limited { .. }) => Event::Limited,
            Err(Error::Unavailable { .. } | Error::Malformed { .. }) => Event::Failed,
        };
        self.tally.add(purpose, event);
    }
}

/// Whether the call may be retried after this failure: only if the attempt had no effect.
fn is_retryable(call: &Call, error: &Error) -> bool {
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
    crate::metrics::Kind::of(call).label()
}
