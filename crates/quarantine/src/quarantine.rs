//! The quarantine of one instance: combines local evidence, reports of other instances and the
//! record.

use {
    crate::{
        EndpointHash, Fingerprint, Property,
        evidence::{Call, Evidence},
        hex,
        metrics::Metrics,
        property::kind,
        record::KEY,
        suspicion::{Observation, Suspicions},
        table::{Table, TrialEnd},
        trial::Trial,
    },
    agate_core::{Mono, Wall},
    agate_store::Store,
    agate_view::{clock, shared_record::SharedRecord},
    indexmap::IndexSet,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// Maximum number of observations in one message between instances; they share a datagram with
/// other data.
pub const MAX_OBSERVATIONS: usize = 24;
/// Maximum time that the begin of a trial waits for the store.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Retry-after time of a request whose trial could not be written to the store.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Whether and how a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request has no suspected property.
    Allowed,
    /// The request may be sent only as a trial of these suspects.
    TrialOnly(Vec<Fingerprint>),
    /// The request may not be sent before `wait` has passed.
    Blocked {
        /// Suspects among its properties.
        suspects: Vec<Fingerprint>,
        /// Time until the next trial.
        wait: Duration,
    },
}

type WallFn = dyn Fn() -> Wall + Send + Sync;

/// The quarantine of one instance.
pub struct Quarantine {
    /// Metrics of the quarantine.
    pub metrics: Metrics,
    evidence: Mutex<Evidence>,
    pub(crate) suspicions: Mutex<Suspicions>,
    /// Whether any suspect or suspicion exists; while not, requests need not be hashed.
    pub(crate) active: AtomicBool,
    pub(crate) record: SharedRecord<Table>,
    pub(crate) wall: Box<WallFn>,
}

impl Quarantine {
    /// Makes the quarantine; `wall` returns the wall-clock time on which the instances agree.
    pub fn new(store: Store, wall: impl Fn() -> Wall + Send + Sync + 'static) -> Arc<Self> {
        Arc::new_cyclic(|own: &Weak<Self>| {
            let own = own.clone();
            let on_record = move |old: &Table, new: &Table| {
                own.upgrade().inspect(|own| own.on_record(old, new));
            };
            Self {
                metrics: Metrics::default(),
                evidence: Mutex::default(),
                suspicions: Mutex::default(),
                active: AtomicBool::new(false),
                record: SharedRecord::new(store, KEY, Table::merge, on_record),
                wall: Box::new(wall),
            }
        })
    }

    /// Whether the suspects are known. Before that, no request may be sent.
    pub fn is_loaded(&self) -> bool {
        self.record.is_loaded()
    }

    /// Whether any request is suspected or was in flight during a crash.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// Decides whether and how a request with these properties may be sent.
    pub fn check(&self, properties: &[Property]) -> Decision {
        let record = self.record.load();
        let proved = |print: Fingerprint| record.state.proved(print);
        let now = clock::now();
        let mut suspicions = self.suspicions();
        let prints = properties.iter().map(|p| p.print);
        let suspects: Vec<Fingerprint> = prints
            .filter(|p| record.state.contains(*p) || suspicions.suspected(*p, proved, now))
            .collect();
        drop(suspicions);
        if suspects.is_empty() {
            return Decision::Allowed;
        }
        match record.state.wait(&suspects, (self.wall)()) {
            Some(wait) if !wait.is_zero() => Decision::Blocked { suspects, wait },
            _ => Decision::TrialOnly(suspects),
        }
    }

    /// Endpoints that must not get a trial, as far as this instance knows: they have one, or
    /// crashed.
    pub fn trial_exclusions(&self) -> Vec<EndpointHash> {
        let mut out: Vec<EndpointHash> = self.evidence().crashed().collect();
        out.extend(self.record.load().state.on_trial((self.wall)()));
        out
    }

    /// Writes a trial of `suspects` of at most `length` to the record and begins it.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if no trial is due, the endpoint has another one, or the store does
    /// not respond in time.
    pub async fn begin_trial(
        self: &Arc<Self>,
        suspects: Vec<Fingerprint>,
        endpoint: EndpointHash,
        length: Duration,
    ) -> std::result::Result<Trial, Duration> {
        let begun = self.change(|table, now| {
            let wait = table.begin_trial(&suspects, endpoint, length, now).err();
            (wait.is_none(), wait)
        });
        let cause = match timeout(BEGIN_TIMEOUT, begun).await {
            Ok(Ok(Some(wait))) => return Err(wait),
            Ok(Ok(None)) => {
                for print in &suspects {
                    log::info!(event = "trial_begun", print = hex(*print).as_str(), of = kind(*print), endpoint; "began a trial of a suspect");
                }
                let end = TrialEnd::Unresolved;
                return Ok(Trial { quarantine: self.clone(), prints: suspects, endpoint, end });
            }
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".into(),
        };
        for print in &suspects {
            log::info!(event = "trial_refused", print = hex(*print).as_str(), of = kind(*print), cause = cause.as_str(); "the trial was not written to the store");
        }
        Err(RETRY_AFTER)
    }

    /// Records a call that its endpoint left unanswered.
    pub fn on_unanswered(self: &Arc<Self>, call: Call, endpoint: EndpointHash) {
        let now = clock::now();
        let crashed = self.evidence().on_unanswered(endpoint, call, now);
        // A call that times out long after the crash says nothing about the time since: a response to
        // another request with the same properties clears them if it was sent after the crash.
        if let Some((call, at)) = crashed {
            self.record_crash(&[call], endpoint, at, now);
        }
    }

    /// Records that an endpoint crashed; `shown_by` says how that was detected, for logs and
    /// metrics.
    pub fn on_crash(self: &Arc<Self>, endpoint: EndpointHash, shown_by: &'static str) {
        let now = clock::now();
        let mut evidence = self.evidence();
        let known = evidence.crashed().any(|e| e == endpoint);
        let calls = evidence.on_crash(endpoint, now);
        drop(evidence);
        if !known {
            self.metrics.crashes.with_label_values(&[shown_by]).inc();
            log::info!(
                event = "endpoint_down", endpoint, shown_by, unanswered = calls.len();
                "endpoint crashed"
            );
        }
        self.record_crash(&calls, endpoint, now, now);
    }

    /// Records that an endpoint is alive although a call on a broken connection was left
    /// unanswered.
    pub fn on_alive(&self, call: &Call, endpoint: EndpointHash) {
        self.evidence().on_alive(endpoint, call, clock::now());
    }

    /// Blames `calls`, which `endpoint` left unanswered when it crashed at `at`.
    fn record_crash(self: &Arc<Self>, calls: &[Call], endpoint: EndpointHash, at: Mono, now: Mono) {
        if calls.is_empty() {
            return;
        }
        self.metrics.crash_calls.inc_by(calls.len() as u64);
        self.active.store(true, Ordering::Release);
        let record = self.record.load();
        let proved = |print: Fingerprint| record.state.proved(print);
        let tried: Vec<Fingerprint> = record.state.tried_at(endpoint).collect();
        let mut suspicions = self.suspicions();
        // A crash during a trial was not caused by the calls beside it, unless they have suspects too.
        let mut caused = |call: &&Call| {
            let mut prints = call.properties.iter().map(|p| p.print);
            tried.is_empty()
                || prints.any(|p| tried.contains(&p) || suspicions.suspected(p, proved, now))
        };
        let blamed: IndexSet<Property> = calls
            .iter()
            .filter(|call| caused(call))
            .flat_map(|call| &call.properties)
            .copied()
            .collect();
        for property in &blamed {
            suspicions.on_crash(*property, endpoint, at);
        }
        for Property { print, .. } in blamed {
            let suspected = suspicions.suspected(print, proved, now);
            log::info!(
                event = "request_blamed", print = hex(print).as_str(), of = kind(print), endpoint,
                trial = tried.contains(&print), suspected;
                "an endpoint crashed with the request unanswered"
            );
        }
        drop(suspicions);
        // Calls sent before the trial may also be unanswered; they do not decide the trial.
        let on_trial: IndexSet<Fingerprint> =
            calls.iter().flat_map(|c| &c.trial).copied().collect();
        if !on_trial.is_empty() {
            self.save_crash(on_trial, endpoint);
        }
        self.record.wake();
    }

    /// Records in the store that a trial of `suspects` crashed `endpoint`.
    fn save_crash(self: &Arc<Self>, suspects: IndexSet<Fingerprint>, endpoint: EndpointHash) {
        let trials = self.metrics.trials.clone();
        self.save(move |table, now| {
            let crashed = suspects.iter().filter(|p| table.on_crash(**p, endpoint, now));
            let crashed: Vec<&Fingerprint> = crashed.collect();
            for print in &crashed {
                trials.with_label_values(&["crashed", kind(**print)]).inc();
            }
            !crashed.is_empty()
        });
    }

    /// Records a complete response to a request that was sent `since` ago, which ends the suspicion
    /// of its properties unless an endpoint crashed after that.
    pub fn on_response(self: &Arc<Self>, properties: &[Property], since: Duration) {
        let now = clock::now();
        let sent = now.saturating_sub(since);
        let known = self.record.load();
        let mut tried = Vec::new();
        for Property { print, .. } in properties.iter().copied() {
            let cleared = self.suspicions().on_response(print, sent, now);
            let suspect = known.state.contains(print);
            if suspect {
                tried.push(print);
            }
            if cleared || suspect {
                log::info!(event = "request_cleared", print = hex(print).as_str(), of = kind(print); "a response counts against the suspicion");
            }
        }
        if tried.is_empty() {
            return;
        }
        let trials = self.metrics.trials.clone();
        self.save(move |table, wall| {
            let sent = wall.saturating_sub(since);
            let cleared: Vec<&Fingerprint> =
                tried.iter().filter(|p| table.clear(**p, sent)).collect();
            for print in &cleared {
                trials.with_label_values(&["answered", kind(**print)]).inc();
            }
            !cleared.is_empty()
        });
    }

    /// Returns the revision of the record and recent observations, to send to other instances.
    pub fn recent_observations(&self) -> (u64, Vec<Observation>) {
        let observations = if self.is_active() {
            self.suspicions().recent(MAX_OBSERVATIONS, clock::now())
        } else {
            Vec::new()
        };
        (self.record.load().revision, observations)
    }

    /// Merges the revision and observations sent by another instance.
    pub fn merge(&self, revision: u64, observations: &[Observation]) {
        self.record.report(revision, clock::now());
        if !observations.is_empty() {
            self.suspicions().merge(observations, clock::now());
            self.active.store(true, Ordering::Release);
            self.record.wake();
        }
    }

    pub(crate) fn prune(&self) {
        let mut suspicions = self.suspicions();
        suspicions.prune(clock::now());
        let active = !suspicions.is_empty() || !self.record.load().state.is_empty();
        self.active.store(active, Ordering::Release);
    }

    fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().expect("lock of the evidence is not poisoned")
    }

    pub(crate) fn suspicions(&self) -> MutexGuard<'_, Suspicions> {
        self.suspicions.lock().expect("lock of the suspicions is not poisoned")
    }
}

impl std::fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Quarantine")
    }
}
