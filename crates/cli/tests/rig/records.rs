//! Puts a history together from a running rig.

use {
    super::Rig,
    agate_audit::history::{
        Accepted, Bounds, Call, Change, Ending, EngineOrder, Fault, History, Hold, Install, Key,
        Leaving, Life, LifeEnd, Part, Report, Run, RunEnd, Span, Time,
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

/// Header with which a caller names one sending.
pub const CALL: &str = "x-call";
/// Header in which engines are told the organisation.
pub const SALT: &str = "x-cache-salt";
/// Lease of the only usage shard.
const SHARD: &str = "usage/0";
/// Time between two looks at the instances.
const LOOK: Duration = Duration::from_millis(5);
/// Organisations that the callers belong to; the key of the last one is withdrawn.
pub const ORGS: [&str; 4] = ["palmse", "kolga", "vihula", "sagadi"];

/// "Within seconds": the bound on the age of a proof of freshness and a second for the last look,
/// the same for the spread; for the platform's list two seconds until its own copy counts as old,
/// then two reads of a peer's copy.
const BOUNDS: Bounds = Bounds {
    withdrawal: Duration::from_secs(6),
    leaving: Duration::from_secs(5),
    spread: Duration::from_secs(6),
};

/// Key of an organisation of the built-in document.
pub fn key(org: &str) -> String {
    format!("demo-{org}-key")
}

/// What was seen so far.
pub struct Records {
    origin: Instant,
    history: Mutex<History>,
}

impl Default for Records {
    fn default() -> Self {
        let given = |org: &&str| Key { value: key(org), org: (*org).into(), withdrawn: None };
        let keys = ORGS.iter().map(given).collect();
        let history = History { keys, bounds: BOUNDS, ..History::default() };
        Self { origin: Instant::now(), history: Mutex::new(history) }
    }
}

impl Records {
    /// Time since the start.
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// What was seen so far.
    pub fn seen(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no panic while locked")
    }

    /// Notes that a call ended.
    pub fn called(&self, call: Call) {
        self.seen().calls.push(call);
    }

    /// Bounds that the run is held to.
    pub fn bounds(&self) -> Bounds {
        self.seen().bounds
    }

    /// Number of whole answers that came through `instance`.
    pub fn answered(&self, instance: &str) -> usize {
        let whole = |c: &&Call| c.instance == instance && matches!(c.ending, Ending::Whole(_));
        self.seen().calls.iter().filter(whole).count()
    }

    /// Notes a fault that begins now; returns its number.
    pub fn fault(&self, process: &str, part: Part, kind: &str) -> usize {
        let span = Span::new(self.now(), None);
        let (process, kind) = (process.to_owned(), kind.to_owned());
        let mut seen = self.seen();
        seen.faults.push(Fault { process, part, kind, span });
        seen.faults.len() - 1
    }

    /// Notes that a fault ended.
    pub fn healed(&self, number: usize) {
        let now = self.now();
        self.seen().faults[number].span.until = Some(now);
    }

    /// Notes a planned change.
    pub fn changed(&self, kind: String, from: Time) {
        let span = Span::new(from, self.now());
        self.seen().changes.push(Change { kind, span });
    }

    /// Notes that an endpoint leaves from now on.
    pub fn leaving(&self, endpoint: &str) {
        let span = Span::new(self.now(), None);
        self.seen().leaving.push(Leaving { endpoint: endpoint.to_owned(), span });
    }

    /// Notes that the key of an organisation is withdrawn.
    pub fn withdrawn(&self, org: &str) {
        let now = self.now();
        let mut seen = self.seen();
        let mut keys = seen.keys.iter_mut();
        keys.find(|k| k.org == org).expect("a known organisation").withdrawn = Some(now);
    }

    pub(super) fn accepted(&self, generation: u64) {
        let at = self.now();
        self.seen().accepted.push(Accepted { generation, at });
    }

    pub(super) fn born(&self, name: &str) {
        let span = Span::new(self.now(), None);
        self.seen().lives.push(Life { instance: name.into(), span, end: LifeEnd::None });
    }

    pub(super) fn killed(&self, name: &str) {
        let now = self.now();
        self.fault(name, Part::Whole, "killed");
        self.end_life(name, Some(now), LifeEnd::Killed);
    }

    /// Until [`Records::stopped`] is noted, the stop counts as broken.
    pub(super) fn stopping(&self, name: &str) {
        let now = self.now();
        self.end_life(name, None, LifeEnd::Broken(now));
    }

    pub(super) fn stopped(&self, name: &str, begin: Time) {
        let now = self.now();
        self.end_life(name, Some(now), LifeEnd::Stopped(begin));
    }

    fn end_life(&self, name: &str, until: Option<Time>, end: LifeEnd) {
        let mut seen = self.seen();
        let life = seen.lives.iter_mut().find(|l| l.instance == name).expect("it lived");
        life.span.until = until;
        life.end = end;
    }

    fn since(&self, then: Instant) -> Time {
        then.saturating_duration_since(self.origin)
    }

    fn installed(&self, instance: &str, generation: u64) {
        let at = self.now();
        self.seen().installs.push(Install { instance: instance.into(), generation, at });
    }

    /// Notes that `holder` believes to hold the shard's lease, in one span as long as it does.
    fn held(&self, holder: &str, again: bool) {
        let now = self.now();
        let mut seen = self.seen();
        let fence = seen.holds.len() as u64 + 1;
        let last = seen.holds.iter_mut().rev().find(|h| h.holder == holder);
        match last.filter(|_| again) {
            Some(hold) => hold.span.until = Some(now),
            None => seen.holds.push(Hold {
                authority: SHARD.into(),
                holder: holder.into(),
                fence,
                span: Span::new(now, now),
            }),
        }
    }
}

/// Looks at the instances all the time: generations in force, and leases held.
pub fn watch(rig: &Arc<Rig>) -> JoinHandle<()> {
    let rig = Arc::downgrade(rig);
    tokio::spawn(async move {
        let mut generations: IndexMap<String, u64> = IndexMap::new();
        let mut holds: IndexMap<String, bool> = IndexMap::new();
        while let Some(rig) = rig.upgrade() {
            for entry in rig.entries() {
                let generation = entry.gate.current.load().generation;
                let known = generations.insert(entry.name.clone(), generation);
                if known != Some(generation) {
                    rig.records.installed(&entry.name, generation);
                }
                let holds_now = entry.usage.is_holder();
                let before = holds.insert(entry.name.clone(), holds_now).unwrap_or_default();
                if holds_now {
                    rig.records.held(&entry.name, before);
                }
            }
            drop(rig);
            tokio::time::sleep(LOOK).await;
        }
    })
}

/// Closes the records and adds what the stand-ins ran.
pub fn close(rig: &Rig) -> History {
    let mut history = rig.records.seen().clone();
    history.end = rig.records.now();
    for (name, engine) in &rig.engines {
        history.runs.extend(engine_runs(&rig.records, name, engine));
        history.orders.extend(engine_orders(&rig.records, name, engine));
    }
    for (name, service) in &rig.services {
        history.runs.extend(service_runs(&rig.records, name, service));
    }
    history.orders.sort_by_key(|o| o.span.from);
    let reports = rig.platform.usage().into_iter().map(|r| Report {
        window: r.window,
        shard: r.shard,
        figures: r.figures.to_string(),
    });
    history.reports.extend(reports);
    history
}

fn engine_runs(records: &Records, name: &str, engine: &agate_standin::Engine) -> Vec<Run> {
    let runs = engine.log().into_iter().map(|entry| Run {
        endpoint: name.to_owned(),
        call: header(&entry.headers, CALL).unwrap_or_default(),
        org: header(&entry.headers, SALT),
        booking: None,
        headers: plain(&entry.headers),
        span: Span::new(records.since(entry.start), entry.end.map(|e| records.since(e))),
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
    records: &Records,
    name: &str,
    engine: &agate_standin::Engine,
) -> Vec<EngineOrder> {
    let orders = engine.orders().into_iter().map(|order| EngineOrder {
        engine: name.to_owned(),
        authority: format!("piece/{name}"),
        id: order.id,
        kind: format!("{:?}", order.kind),
        fence: order.fence,
        span: Span::new(records.since(order.start), order.end.map(|e| records.since(e))),
        effect: order.taken,
    });
    orders.collect()
}

fn service_runs(records: &Records, name: &str, service: &agate_standin::Service) -> Vec<Run> {
    let runs = service.log().into_iter().map(|entry| {
        let at = records.since(entry.at);
        Run {
            endpoint: name.to_owned(),
            call: header(&entry.headers, CALL).unwrap_or_default(),
            org: None,
            booking: Some(entry.booking).filter(|b| !b.is_empty()),
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
