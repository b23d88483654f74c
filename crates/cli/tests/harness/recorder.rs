//! Records the history of a run for the checker.

use {
    super::Harness,
    agate_audit::history::{
        Accepted, Bounds, Call, Change, Ending, EngineOrder, Fault, FaultScope, History, Install,
        Key, LeaseHold, Leaving, ProcessEnd, ProcessRun, Report, Run, RunEnd, Span, Time,
    },
    agate_standin::engine::RunState,
    http::HeaderMap,
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Header in which a client identifies one request.
pub const CALL: &str = "x-call";
/// Header in which engines receive the organisation.
pub const SALT: &str = "x-cache-salt";
/// Name of the lease of the only usage shard.
const SHARD: &str = "usage/0";
/// Time between two samples of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Organisations of the clients; the key of the last one is revoked.
pub const ORGS: [&str; 4] = ["palmse", "kolga", "vihula", "sagadi"];

/// Limits on delays. Revocation and spread: the maximum age of a freshness proof, plus one second
/// for the last check. Leaving: two seconds until an instance's own copy of the platform's list
/// counts as old, then two reads of a peer's copy.
const BOUNDS: Bounds = Bounds {
    revocation: Duration::from_secs(6),
    leaving: Duration::from_secs(5),
    spread: Duration::from_secs(6),
};

/// API key of an organisation in the built-in document.
pub fn key(org: &str) -> String {
    format!("demo-{org}-key")
}

/// Records the observed events of a run.
pub struct Recorder {
    origin: Instant,
    history: Mutex<History>,
}

impl Default for Recorder {
    fn default() -> Self {
        let given = |org: &&str| Key { value: key(org), org: (*org).into(), revoked: None };
        let keys = ORGS.iter().map(given).collect();
        let history = History { keys, bounds: BOUNDS, ..History::default() };
        Self { origin: Instant::now(), history: Mutex::new(history) }
    }
}

impl Recorder {
    /// Time since the start.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// The history recorded so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no panic while locked")
    }

    /// Records a finished call.
    pub fn record_call(&self, call: Call) {
        self.history().calls.push(call);
    }

    /// Limits that the run is checked against.
    pub fn bounds(&self) -> Bounds {
        self.history().bounds
    }

    /// Number of complete responses through `instance`.
    pub fn count_responses(&self, instance: &str) -> usize {
        let whole = |c: &&Call| c.instance == instance && matches!(c.ending, Ending::Whole(_));
        self.history().calls.iter().filter(whole).count()
    }

    /// Records the start of a fault and returns its index.
    pub fn begin_fault(&self, process: &str, scope: FaultScope, kind: &str) -> usize {
        let span = Span::new(self.now(), None);
        let (process, kind) = (process.to_owned(), kind.to_owned());
        let mut seen = self.history();
        seen.faults.push(Fault { process, scope, kind, span });
        seen.faults.len() - 1
    }

    /// Records the end of a fault.
    pub fn end_fault(&self, number: usize) {
        let now = self.now();
        self.history().faults[number].span.until = Some(now);
    }

    /// Records a planned change that began at `from` and ends now.
    pub fn record_change(&self, kind: String, from: Time) {
        let span = Span::new(from, self.now());
        self.history().changes.push(Change { kind, span });
    }

    /// Records that an endpoint is leaving from now on.
    pub fn record_leaving(&self, endpoint: &str) {
        let span = Span::new(self.now(), None);
        self.history().leaving.push(Leaving { endpoint: endpoint.to_owned(), span });
    }

    /// Records that the key of an organisation is revoked.
    pub fn record_revocation(&self, org: &str) {
        let now = self.now();
        let mut seen = self.history();
        let mut keys = seen.keys.iter_mut();
        keys.find(|k| k.org == org).expect("a known organisation").revoked = Some(now);
    }

    pub(super) fn record_generation(&self, generation: u64) {
        let at = self.now();
        self.history().accepted.push(Accepted { generation, at });
    }

    pub(super) fn record_start(&self, name: &str) {
        let span = Span::new(self.now(), None);
        self.history().process_runs.push(ProcessRun {
            instance: name.into(),
            span,
            end: ProcessEnd::None,
        });
    }

    pub(super) fn record_kill(&self, name: &str) {
        let now = self.now();
        self.begin_fault(name, FaultScope::Whole, "killed");
        self.end_life(name, Some(now), ProcessEnd::Killed);
    }

    /// Records the start of a graceful stop, which counts as failed until
    /// [`Recorder::record_stop`].
    pub(super) fn record_stopping(&self, name: &str) {
        let now = self.now();
        self.end_life(name, None, ProcessEnd::Broken(now));
    }

    pub(super) fn record_stop(&self, name: &str, begin: Time) {
        let now = self.now();
        self.end_life(name, Some(now), ProcessEnd::Stopped(begin));
    }

    fn end_life(&self, name: &str, until: Option<Time>, end: ProcessEnd) {
        let mut seen = self.history();
        let life = seen.process_runs.iter_mut().find(|l| l.instance == name).expect("it lived");
        life.span.until = until;
        life.end = end;
    }

    fn since(&self, then: Instant) -> Time {
        then.saturating_duration_since(self.origin)
    }

    fn record_install(&self, instance: &str, generation: u64) {
        let at = self.now();
        self.history().installs.push(Install { instance: instance.into(), generation, at });
    }

    /// Records that `holder` holds the shard's lease; extends the last span if `again`, else begins
    /// a new one.
    fn record_lease(&self, holder: &str, again: bool) {
        let now = self.now();
        let mut seen = self.history();
        let fence = seen.lease_holds.len() as u64 + 1;
        let last = seen.lease_holds.iter_mut().rev().find(|h| h.holder == holder);
        match last.filter(|_| again) {
            Some(hold) => hold.span.until = Some(now),
            None => seen.lease_holds.push(LeaseHold {
                authority: SHARD.into(),
                holder: holder.into(),
                fence,
                span: Span::new(now, now),
            }),
        }
    }
}

/// Samples the instances periodically and records generations in force and leases held.
pub fn watch(harness: &Arc<Harness>) -> JoinHandle<()> {
    let harness = Arc::downgrade(harness);
    tokio::spawn(async move {
        let mut generations: IndexMap<String, u64> = IndexMap::new();
        let mut holds: IndexMap<String, bool> = IndexMap::new();
        while let Some(harness) = harness.upgrade() {
            for entry in harness.instances() {
                let generation = entry.proxy_state.current.load().generation;
                let known = generations.insert(entry.name.clone(), generation);
                if known != Some(generation) {
                    harness.recorder.record_install(&entry.name, generation);
                }
                let holds_now = entry.usage.is_holder();
                let before = holds.insert(entry.name.clone(), holds_now).unwrap_or_default();
                if holds_now {
                    harness.recorder.record_lease(&entry.name, before);
                }
            }
            drop(harness);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
}

/// Ends the record and adds the executions, orders and usage reports of the stand-ins.
pub fn close(harness: &Harness) -> History {
    let mut history = harness.recorder.history().clone();
    history.end = harness.recorder.now();
    for (name, engine) in &harness.engines {
        history.runs.extend(engine_runs(&harness.recorder, name, engine));
        history.orders.extend(engine_orders(&harness.recorder, name, engine));
    }
    for (name, service) in &harness.services {
        history.runs.extend(service_runs(&harness.recorder, name, service));
    }
    history.orders.sort_by_key(|o| o.span.from);
    let reports = harness.platform.usage().into_iter().map(|r| Report {
        window: r.window,
        shard: r.shard,
        figures: r.figures.to_string(),
    });
    history.reports.extend(reports);
    history
}

fn engine_runs(recorder: &Recorder, name: &str, engine: &agate_standin::Engine) -> Vec<Run> {
    let runs = engine.log().into_iter().map(|entry| Run {
        endpoint: name.to_owned(),
        call: header(&entry.headers, CALL).unwrap_or_default(),
        org: header(&entry.headers, SALT),
        idempotency_key: None,
        headers: plain(&entry.headers),
        span: Span::new(recorder.since(entry.start), entry.end.map(|e| recorder.since(e))),
        end: match entry.state {
            RunState::Finished => RunEnd::Whole,
            RunState::Crashed => RunEnd::Crashed,
            RunState::Evicted => RunEnd::Evicted,
            RunState::Running => RunEnd::Running,
            RunState::Cancelled | RunState::Dropped => RunEnd::Left,
        },
    });
    runs.collect()
}

fn engine_orders(
    recorder: &Recorder,
    name: &str,
    engine: &agate_standin::Engine,
) -> Vec<EngineOrder> {
    let orders = engine.orders().into_iter().map(|order| EngineOrder {
        engine: name.to_owned(),
        authority: format!("piece/{name}"),
        id: order.id,
        kind: format!("{:?}", order.kind),
        fence: order.fence,
        span: Span::new(recorder.since(order.start), order.end.map(|e| recorder.since(e))),
        effect: order.accepted,
    });
    orders.collect()
}

fn service_runs(recorder: &Recorder, name: &str, service: &agate_standin::Service) -> Vec<Run> {
    let runs = service.log().into_iter().map(|entry| {
        let at = recorder.since(entry.at);
        Run {
            endpoint: name.to_owned(),
            call: header(&entry.headers, CALL).unwrap_or_default(),
            org: None,
            idempotency_key: Some(entry.booking).filter(|b| !b.is_empty()),
            headers: plain(&entry.headers),
            span: Span::new(at, at),
            end: RunEnd::Whole,
        }
    });
    runs.collect()
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn plain(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |v: &http::HeaderValue| String::from_utf8_lossy(v.as_bytes()).into_owned();
    headers.iter().map(|(n, v)| (n.to_string(), text(v))).collect()
}
