//! The quarantine of one instance: what it saw, what it was told, and how a request may be sent.

use {
    crate::{
        EndpointHash, Print,
        evidence::{Call, Evidence},
        hex,
        meter::Meter,
        record::Known,
        suspicion::{Sign, Suspicions},
        table::End,
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
        sync::{Mutex as Turn, Notify},
        time::timeout,
    },
};

/// Signs in one message between instances, which share a datagram with other figures.
pub const SIGNS: usize = 12;
/// Longest time that a trial waits for the store.
const BEGIN_LIMIT: Duration = Duration::from_millis(400);
/// Time after which a request may return that waits for the store, or for a trial elsewhere.
const COME_BACK: Duration = Duration::from_millis(250);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It is not suspected.
    Free,
    /// Only as a trial.
    Trial,
    /// Not before this time has passed.
    Held(Duration),
}

type WallFn = dyn Fn() -> Wall + Send + Sync;

/// The quarantine of one instance.
pub struct Quarantine {
    /// Counters.
    pub meter: Meter,
    evidence: Mutex<Evidence>,
    pub(crate) suspicions: Mutex<Suspicions>,
    /// Whether anything is remembered; while not, requests are not hashed.
    pub(crate) active: AtomicBool,
    pub(crate) table: ArcSwap<Known>,
    /// Newest revision of the record of which another instance told.
    pub(crate) told: AtomicU64,
    pub(crate) wake: Notify,
    /// Changes of the record are made one after the other.
    pub(crate) turn: Turn<()>,
    pub(crate) store: Store,
    pub(crate) wall: Box<WallFn>,
}

impl Quarantine {
    /// Makes the quarantine; `wall` yields the time of day that the instances agree on.
    pub fn new(store: Store, wall: impl Fn() -> Wall + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            meter: Meter::default(),
            evidence: Mutex::default(),
            suspicions: Mutex::default(),
            active: AtomicBool::new(false),
            table: ArcSwap::default(),
            told: AtomicU64::new(0),
            wake: Notify::new(),
            turn: Turn::default(),
            store,
            wall: Box::new(wall),
        })
    }

    /// Whether any request is suspected or was in flight at a crash.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// Decides whether a request may be sent.
    pub fn judge(&self, print: Print) -> Judgement {
        match self.table.load().table.wait(print, (self.wall)()) {
            Some(wait) if wait.is_zero() => Judgement::Trial,
            Some(wait) => Judgement::Held(wait),
            None if self.suspicions().suspected(print) => Judgement::Trial,
            None => Judgement::Free,
        }
    }

    /// Endpoints that may not have a trial, as far as is known here: they have one, or are down.
    pub fn unfit(&self) -> Vec<EndpointHash> {
        let mut out: Vec<EndpointHash> = self.evidence().crashed().collect();
        out.extend(self.table.load().table.on_trial((self.wall)()));
        out
    }

    /// Begins a trial that lasts at most `length`.
    ///
    /// Errors: the time after which the request may return.
    pub async fn begin(
        self: &Arc<Self>,
        print: Print,
        endpoint: EndpointHash,
        length: Duration,
    ) -> std::result::Result<Trial, Duration> {
        let begun = self.change(move |table, now| {
            let wait = table.begin(print, endpoint, length, now).err();
            (wait.is_none(), wait)
        });
        let wait = match timeout(BEGIN_LIMIT, begun).await {
            Ok(Ok(None)) => {
                log::info!(event = "trial_begun", print = hex(print).as_str(), endpoint; "a suspected request is tried");
                return Ok(Trial {
                    quarantine: self.clone(),
                    print,
                    endpoint,
                    end: End::Unresolved,
                });
            }
            Ok(Ok(Some(wait))) => wait,
            Ok(Err(e)) => {
                log::info!(event = "trial_refused", print = hex(print).as_str(), cause:% = e; "the trial is not in the store");
                COME_BACK
            }
            Err(_) => {
                log::info!(event = "trial_refused", print = hex(print).as_str(), cause = "no answer in time"; "the trial is not in the store");
                COME_BACK
            }
        };
        Err(wait)
    }

    /// Notes a call that its endpoint left unanswered.
    pub fn on_unanswered(self: &Arc<Self>, call: Call, endpoint: EndpointHash) {
        let now = clock::now();
        let crashed = self.evidence().on_unanswered(endpoint, call, now);
        if crashed {
            self.blame(&[call], endpoint, now);
        }
    }

    /// Notes that an endpoint crashed, and what showed it.
    pub fn on_crash(self: &Arc<Self>, endpoint: EndpointHash, shown_by: &'static str) {
        let now = clock::now();
        let mut evidence = self.evidence();
        let known = evidence.crashed().any(|e| e == endpoint);
        let calls = evidence.on_crash(endpoint, now);
        drop(evidence);
        if !known {
            self.meter.crashes.with_label_values(&[shown_by]).inc();
            log::info!(
                event = "endpoint_down", endpoint, shown_by, unanswered = calls.len();
                "an endpoint is down without having left"
            );
        }
        self.blame(&calls, endpoint, now);
    }

    /// Notes that an endpoint lives although it left a call on a broken connection unanswered.
    pub fn on_alive(&self, call: Call, endpoint: EndpointHash) {
        self.evidence().on_alive(endpoint, call, clock::now());
    }

    fn blame(self: &Arc<Self>, calls: &[Call], endpoint: EndpointHash, now: Mono) {
        if calls.is_empty() {
            return;
        }
        self.meter.blamed.inc_by(calls.len() as u64);
        self.active.store(true, Ordering::Release);
        for Call { print, trial } in calls.iter().copied() {
            let mut suspicions = self.suspicions();
            suspicions.on_crash(print, endpoint, now);
            let suspected = suspicions.suspected(print);
            drop(suspicions);
            log::info!(
                event = "request_blamed", print = hex(print).as_str(), endpoint, trial, suspected;
                "an endpoint crashed with the request unanswered"
            );
            // An older call may have been left at the endpoint of a trial, which shows nothing of it.
            if trial {
                let trials = self.meter.trials.clone();
                self.keep(move |table, now| {
                    let crashed = table.on_crash(print, endpoint, now);
                    if crashed {
                        trials.with_label_values(&["crashed"]).inc();
                    }
                    crashed
                });
            }
        }
        self.wake.notify_one();
    }

    /// Notes an answer to a request, which ends its suspicion.
    pub fn on_answer(self: &Arc<Self>, print: Print) {
        let cleared = self.suspicions().on_answer(print, clock::now());
        let tried = self.table.load().table.contains(print);
        if tried {
            self.meter.trials.with_label_values(&["answered"]).inc();
            self.keep(move |table, _| table.clear(print));
        }
        if cleared || tried {
            log::info!(event = "request_cleared", print = hex(print).as_str(); "a request in flight at crashes was answered");
        }
    }

    /// What is new, and the revision of the record, for other instances.
    pub fn news(&self) -> (u64, Vec<Sign>) {
        let signs =
            if self.is_active() { self.suspicions().news(SIGNS, clock::now()) } else { Vec::new() };
        (self.table.load().revision, signs)
    }

    /// Takes in what another instance told.
    pub fn merge(&self, revision: u64, signs: &[Sign]) {
        if revision > self.told.fetch_max(revision, Ordering::AcqRel) {
            self.wake.notify_one();
        }
        if !signs.is_empty() {
            self.suspicions().merge(signs, clock::now());
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
        self.evidence.lock().expect("no panic under the lock of the evidence")
    }

    pub(crate) fn suspicions(&self) -> MutexGuard<'_, Suspicions> {
        self.suspicions.lock().expect("no panic under the lock of the suspicions")
    }
}

impl std::fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Quarantine")
    }
}
