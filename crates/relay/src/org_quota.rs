//! Quotas of organisations: weighs requests, decides on them with [`agate_admit::quota`] and exchanges
//! their use with the other instances.

use {
    crate::{instance_count::InstanceCount, request_info::RequestInfo},
    agate_admit::quota::{
        Bound, Charge, Decision, Draw, Group, Key, Ledger, Quota, Reason, Request, Row, Sums,
        Usage, WINDOWS,
    },
    agate_core::Mono,
    agate_route::ranking::{mix, name_hash},
    agate_transport::proof::NotRunProof,
    agate_view::table::{self, Name, Org, Unit},
    indexmap::{IndexMap, map::Entry},
    log::Level,
    prometheus::{IntCounterVec, IntGauge, Opts, Registry},
    std::{
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
        time::Duration,
    },
};

/// Minimum time between two log lines on refusals, or on admitted requests, of one organisation.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which decisions that were not logged are forgotten.
const LOG_RETENTION: Duration = Duration::from_secs(60);

/// How exactly quotas are held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Window in which they are held.
    pub window: Duration,
    /// Fraction of a quota by which all instances together may exceed it.
    pub overage: f64,
    /// Tokens by which they may exceed it in addition.
    pub slack: f64,
}

/// Metrics of the quotas.
struct Metrics {
    decisions: IntCounterVec,
    returned: IntCounterVec,
    organisations: IntGauge,
}

impl Metrics {
    fn new(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str, label: &str| {
            let made = IntCounterVec::new(Opts::new(name, help), &[label]);
            let made = made.expect("names of metrics are valid");
            registry.register(Box::new(made.clone())).expect("names of metrics are unique");
            made
        };
        let organisations =
            IntGauge::new("agate_quota_organisations", "organisations whose quota use is known")
                .expect("names of metrics are valid");
        registry.register(Box::new(organisations.clone())).expect("names of metrics are unique");
        let decisions = counter("agate_quota_decisions_total", "decisions on quotas", "reason");
        // Counters are shown from the start, so that their first increase is seen.
        Reason::ALL.iter().for_each(|r| decisions.with_label_values(&[r.label()]).inc_by(0));
        let returned =
            counter("agate_quota_returned_total", "requests whose weight was returned", "unit");
        Self { decisions, returned, organisations }
    }
}

/// Refused or admitted requests of an organisation since the last log line about them.
#[derive(Clone, Copy, Debug)]
struct Unlogged {
    last: Mono,
    requests: u64,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    count: InstanceCount,
    /// By organisation and whether the requests were admitted.
    unlogged: IndexMap<(Name, bool), Unlogged>,
}

/// Weight of an admitted request.
#[derive(Debug)]
pub struct Admitted {
    charge: Charge,
    unit: &'static str,
}

/// Quotas of all organisations, as one instance knows their use.
pub struct OrgQuotas {
    settings: Settings,
    state: Mutex<State>,
    /// Whether any organisation has a quota.
    active: AtomicBool,
    metrics: Metrics,
}

impl OrgQuotas {
    /// Makes the quotas of an instance that started at `started`.
    pub fn new(settings: Settings, started: Mono, registry: &Registry) -> Self {
        let bound = Bound { window: settings.window, overage: settings.overage };
        let state = State {
            ledger: Ledger::new(bound, started),
            count: InstanceCount::new(settings.window, started),
            unlogged: IndexMap::new(),
        };
        let metrics = Metrics::new(registry);
        Self { settings, state: Mutex::new(state), active: AtomicBool::new(false), metrics }
    }

    /// Records the configuration in force and that `instances` are listed.
    pub fn install(&self, table: Option<&table::Table>, instances: usize, now: Mono) {
        let limited = |table: &table::Table| table.orgs.iter().any(|org| org.quota.is_some());
        self.active.store(table.is_some_and(limited), Relaxed);
        self.lock().count.record(instances, now);
    }

    /// Decides whether a request of `org` may run. Returns its weight, to be taken back if it does not
    /// run, or `None` if the organisation has no quota.
    ///
    /// # Errors
    ///
    /// Returns the Retry-After time if the quota is used up; `None` if the request never fits.
    pub fn admit(
        &self,
        org: Option<&Org>,
        info: &RequestInfo,
        now: Mono,
    ) -> Result<Option<Admitted>, Option<Duration>> {
        let Some((org, quota)) = org.and_then(|org| Some((org, org.quota.as_ref()?))) else {
            return Ok(None);
        };
        let weight = weight(quota, info);
        let slack = match quota.unit {
            Unit::Requests => 0.0,
            Unit::Tokens { .. } => self.settings.slack,
        };
        let limit = Quota { rate: quota.rate, burst: quota.burst, slack };
        let request = Request { key: key(org, quota), quota: limit, weight };
        let draw = Draw { admit: rand::random(), spread: rand::random() };
        let mut state = self.lock();
        let instances = state.count.max(now);
        let (decision, usage, charge) = state.ledger.request(&request, instances, draw, now);
        self.metrics.decisions.with_label_values(&[decision.reason.label()]).inc();
        let level = if charge.is_some() { Level::Debug } else { Level::Info };
        if log::log_enabled!(level)
            && let Some(requests) = state.count_unlogged(&org.name, charge.is_some(), now)
        {
            drop(state);
            let basis = Basis { weight, usage, instances, requests };
            log_decision(level, (org, quota), &decision, &basis);
        }
        let unit = unit_label(quota.unit);
        charge.map(|charge| Some(Admitted { charge, unit })).ok_or(decision.after)
    }

    /// Takes back the weight of a request that did not run.
    pub fn give_back(&self, admitted: Admitted, _: &NotRunProof) {
        self.metrics.returned.with_label_values(&[admitted.unit]).inc();
        self.lock().ledger.give_back(admitted.charge);
    }

    /// Parts of the windows for which this instance has run, and its use of quotas, as reported to the
    /// others; `None` if no organisation has a quota.
    pub fn report(&self, now: Mono) -> Option<(Sums, Vec<Row>)> {
        if !self.active.load(Relaxed) {
            return None;
        }
        let mut state = self.lock();
        let rows = state.ledger.rows(now);
        self.metrics.organisations.set(state.ledger.len() as i64);
        state.unlogged.retain(|_, u| now.saturating_sub(u.last) < LOG_RETENTION);
        Some((state.ledger.member(now), rows))
    }

    /// Takes over the sums of the other instances.
    pub fn on_totals(&self, group: Group, rows: &[Row], now: Mono) {
        self.lock().ledger.on_totals(group, rows, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of the quotas is not poisoned")
    }
}

impl State {
    /// Counts a decision; returns how many a log line should report, or `None` if it is too early for
    /// one.
    fn count_unlogged(&mut self, org: &Name, admitted: bool, now: Mono) -> Option<u64> {
        let known = self.unlogged.entry((org.clone(), admitted));
        let first = matches!(known, Entry::Vacant(_));
        let known = known.or_insert(Unlogged { last: now, requests: 0 });
        known.requests += 1;
        if !first && now.saturating_sub(known.last) < LOG_INTERVAL {
            return None;
        }
        let requests = known.requests;
        *known = Unlogged { last: now, requests: 0 };
        Some(requests)
    }
}

/// Weight of a request in the unit of the quota.
fn weight(quota: &table::Quota, info: &RequestInfo) -> f64 {
    match quota.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { plain } => info
            .prompt
            .as_ref()
            .map_or(plain, |prompt| f64::from(prompt.input) + f64::from(prompt.output)),
    }
}

/// Identifies an organisation and the unit of its quota: weight in different units is never added.
fn key(org: &Org, quota: &table::Quota) -> Key {
    let unit = match quota.unit {
        Unit::Requests => 1,
        Unit::Tokens { .. } => 2,
    };
    mix(name_hash(&org.name), unit)
}

fn unit_label(unit: Unit) -> &'static str {
    match unit {
        Unit::Requests => "requests",
        Unit::Tokens { .. } => "tokens",
    }
}

/// What a decision was based on, apart from the quota.
#[derive(Clone, Copy, Debug)]
struct Basis {
    weight: f64,
    usage: Usage,
    instances: usize,
    /// Requests that were refused, or admitted, since the last log line.
    requests: u64,
}

fn log_decision(
    level: Level,
    (org, quota): (&Org, &table::Quota),
    decision: &Decision,
    basis: &Basis,
) {
    let Basis { weight, usage, instances, requests } = *basis;
    let longest = WINDOWS - 1;
    let admitted = decision.reason == Reason::Within;
    log::log!(
        level,
        event = if admitted { "quota_admitted" } else { "quota_refused" }, organisation = &*org.name, reason = decision.reason.label(),
        unit = unit_label(quota.unit), rate = quota.rate, burst = quota.burst, weight,
        left = decision.left, own:? = usage.own, others:? = usage.others,
        missing = usage.missing[longest], drift = usage.drift(), asked = usage.asked,
        age_ms = usage.age.as_millis() as u64, share = usage.share[longest], instances,
        after_ms = decision.after.map(|a| a.as_millis() as u64), requests;
        "decided on the quota of an organisation"
    );
}
