//! The quarantine of one instance: combines local evidence, reports of other instances and the
//! record.

use {
    crate::{
        EndpointHash, Fingerprint,
        evidence::{Call, Evidence},
        hex,
        metrics::Metrics,
        record::Snapshot,
        suspicion::{Observation, Suspicions},
        table::TrialEnd,
        trial::Trial,
    },
    agate_core::{Mono, Wall},
    agate_store::Store,
    agate_view::clock,
    arc_swap::ArcSwap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex as AsyncMutex, Notify},
        time::timeout,
    },
};

/// Maximum number of observations in one message between instances; they share a datagram with
/// other data.
pub const MAX_OBSERVATIONS: usize = 12;
/// Maximum time that the begin of a trial waits for the store.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Retry-after time of a request whose trial could not be written to the store.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Whether and how a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is not suspected.
    Allowed,
    /// The request may be sent only as a trial.
    TrialOnly,
    /// The request may not be sent before this time has passed.
    Blocked(Duration),
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
    pub(crate) table: ArcSwap<Snapshot>,
    /// Latest revision of the record that another instance reported.
    pub(crate) reported_revision: AtomicU64,
    pub(crate) wake: Notify,
    /// Serialises changes of the record.
    pub(crate) write_lock: AsyncMutex<()>,
    pub(crate) store: Store,
    pub(crate) wall: Box<WallFn>,
}

impl Quarantine {
    /// Makes the quarantine; `wall` returns the wall-clock time on which the instances agree.
    pub fn new(store: Store, wall: impl Fn() -> Wall + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            metrics: Metrics::default(),
            evidence: Mutex::default(),
            suspicions: Mutex::default(),
            active: AtomicBool::new(false),
            table: ArcSwap::default(),
            reported_revision: AtomicU64::new(0),
            wake: Notify::new(),
            write_lock: AsyncMutex::default(),
            store,
            wall: Box::new(wall),
        })
    }

    /// Whether any request is suspected or was in flight during a crash.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// Decides whether and how a request may be sent.
    pub fn check(&self, fingerprint: Fingerprint) -> Decision {
        match self.table.load().table.wait(fingerprint, (self.wall)()) {
            Some(wait) if wait.is_zero() => Decision::TrialOnly,
            Some(wait) => Decision::Blocked(wait),
            None if self.suspicions().suspected(fingerprint) => Decision::TrialOnly,
            None => Decision::Allowed,
        }
    }

    /// Endpoints that must not get a trial, as far as this instance knows: they have one, or
    /// crashed.
    pub fn trial_exclusions(&self) -> Vec<EndpointHash> {
        let mut out: Vec<EndpointHash> = self.evidence().crashed().collect();
        out.extend(self.table.load().table.on_trial((self.wall)()));
        out
    }

    /// Writes a trial of at most `length` to the record and begins it.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if no trial is due, the endpoint has another one, or the store does
    /// not respond in time.
    pub async fn begin_trial(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        length: Duration,
    ) -> std::result::Result<Trial, Duration> {
        let begun = self.change(move |table, now| {
            let wait = table.begin_trial(fingerprint, endpoint, length, now).err();
            (wait.is_none(), wait)
        });
        let wait = match timeout(BEGIN_TIMEOUT, begun).await {
            Ok(Ok(None)) => {
                log::info!(event = "trial_begun", print = hex(fingerprint).as_str(), endpoint; "began a trial of a suspected request");
                return Ok(Trial {
                    quarantine: self.clone(),
                    fingerprint,
                    endpoint,
                    end: TrialEnd::Unresolved,
                });
            }
            Ok(Ok(Some(wait))) => wait,
            Ok(Err(e)) => {
                log::info!(event = "trial_refused", print = hex(fingerprint).as_str(), cause:% = e; "the trial was not written to the store");
                RETRY_AFTER
            }
            Err(_) => {
                log::info!(event = "trial_refused", print = hex(fingerprint).as_str(), cause = "no answer in time"; "the trial was not written to the store");
                RETRY_AFTER
            }
        };
        Err(wait)
    }

    /// Records a call that its endpoint left unanswered.
    pub fn on_unanswered(self: &Arc<Self>, call: Call, endpoint: EndpointHash) {
        let now = clock::now();
        let crashed = self.evidence().on_unanswered(endpoint, call, now);
        if crashed {
            self.record_crash(&[call], endpoint, now);
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
        self.record_crash(&calls, endpoint, now);
    }

    /// Records that an endpoint is alive although a call on a broken connection was left
    /// unanswered.
    pub fn on_alive(&self, call: Call, endpoint: EndpointHash) {
        self.evidence().on_alive(endpoint, call, clock::now());
    }

    fn record_crash(self: &Arc<Self>, calls: &[Call], endpoint: EndpointHash, now: Mono) {
        if calls.is_empty() {
            return;
        }
        self.metrics.crash_calls.inc_by(calls.len() as u64);
        self.active.store(true, Ordering::Release);
        for Call { fingerprint, trial } in calls.iter().copied() {
            let mut suspicions = self.suspicions();
            suspicions.on_crash(fingerprint, endpoint, now);
            let suspected = suspicions.suspected(fingerprint);
            drop(suspicions);
            log::info!(
                event = "request_blamed", print = hex(fingerprint).as_str(), endpoint, trial, suspected;
                "an endpoint crashed with the request unanswered"
            );
            // Calls sent before the trial may also be unanswered; they do not decide the trial.
            if trial {
                let trials = self.metrics.trials.clone();
                self.save(move |table, now| {
                    let crashed = table.on_crash(fingerprint, endpoint, now);
                    if crashed {
                        trials.with_label_values(&["crashed"]).inc();
                    }
                    crashed
                });
            }
        }
        self.wake.notify_one();
    }

    /// Records a response to a request, which ends its suspicion.
    pub fn on_response(self: &Arc<Self>, fingerprint: Fingerprint) {
        let cleared = self.suspicions().on_response(fingerprint, clock::now());
        let tried = self.table.load().table.contains(fingerprint);
        if tried {
            self.metrics.trials.with_label_values(&["answered"]).inc();
            self.save(move |table, _| table.clear(fingerprint));
        }
        if cleared || tried {
            log::info!(event = "request_cleared", print = hex(fingerprint).as_str(); "request cleared by a response");
        }
    }

    /// Returns the revision of the record and recent observations, to send to other instances.
    pub fn recent_observations(&self) -> (u64, Vec<Observation>) {
        let observations = if self.is_active() {
            self.suspicions().recent(MAX_OBSERVATIONS, clock::now())
        } else {
            Vec::new()
        };
        (self.table.load().revision, observations)
    }

    /// Merges the revision and observations sent by another instance.
    pub fn merge(&self, revision: u64, observations: &[Observation]) {
        if revision > self.reported_revision.fetch_max(revision, Ordering::AcqRel) {
            self.wake.notify_one();
        }
        if !observations.is_empty() {
            self.suspicions().merge(observations, clock::now());
            self.active.store(true, Ordering::Release);
            self.wake.notify_one();
        }
    }

    pub(crate) fn prune(&self) {
        let mut suspicions = self.suspicions();
        suspicions.prune(clock::now());
        let active = !suspicions.is_empty() || !self.table.load().table.is_empty();
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
