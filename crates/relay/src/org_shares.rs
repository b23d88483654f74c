//! Shares of organisations in the engines of overloaded services, at one instance.
//!
//! Counts what each organisation asks for and is served, for the coordinator, and decides from the
//! latest totals of all instances before an endpoint is chosen. The decision is
//! [`agate_admit::org_share::decide`].

use {
    crate::{
        proxy_state::ProxyState,
        refusal::{Cause, Refused},
        request_info::Prompt,
        serve::Job,
    },
    agate_admit::org_share::{
        self, Claim, NO_ORG, OrgHash, OwnWork, Refusal, Rule, ServiceHash, ServiceReport,
        ServiceTotals, Unserved,
    },
    agate_core::Mono,
    agate_route::ranking::name_hash,
    agate_transport::proof::NotRunProof,
    agate_view::{clock, table::Name},
    indexmap::IndexMap,
    prometheus::{IntCounterVec, Opts, Registry},
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// Engine time of a prompt token in milliseconds; engines prefill about 50,000 tokens per second.
const PROMPT_TOKEN: f64 = 0.02;
/// Engine time of an output token in milliseconds: 63% of 12,000 engines for 18 million per second.
const OUTPUT_TOKEN: f64 = 0.42;
/// Engine time of a request without a prompt in milliseconds; all are taken to be equal.
const PLAIN_WORK: f64 = 10.0;
/// Bounds of the retry-after time, over which refused callers are spread.
const RETRY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));
/// Minimum time between two log lines on refusals by one rule.
const LOG_INTERVAL: Duration = Duration::from_millis(200);
const RULES: [Rule; 2] = [Rule::Share, Rule::Rank];

#[derive(Default)]
struct Totals {
    services: IndexMap<ServiceHash, ServiceTotals>,
    /// Time of the report that they answer.
    reported: Mono,
}

/// Bounds the log lines of one rule.
#[derive(Clone, Copy, Default)]
struct LogLimit {
    last: Option<Mono>,
    suppressed: u64,
}

/// Work of this instance's organisations, and the totals of all instances.
pub struct OrgShares {
    enabled: bool,
    own: Mutex<IndexMap<Name, OwnWork>>,
    totals: Mutex<Totals>,
    logged: Mutex<[LogLimit; RULES.len()]>,
    refusals: IntCounterVec,
}

impl OrgShares {
    /// Makes the state of an instance without requests; unless `enabled`, nothing is measured or
    /// refused.
    pub fn new(enabled: bool, registry: &Registry) -> Self {
        let opts = Opts::new("agate_share_refusals_total", "requests refused by share or rank");
        let refusals = IntCounterVec::new(opts, &["reason"]).expect("names of metrics are valid");
        if enabled {
            registry.register(Box::new(refusals.clone())).expect("names of metrics are unique");
            RULES.iter().for_each(|rule| drop(refusals.with_label_values(&[rule.label()])));
        }
        Self {
            enabled,
            own: Mutex::default(),
            totals: Mutex::default(),
            logged: Mutex::default(),
            refusals,
        }
    }

    /// Whether organisations have shares.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Work of this instance's organisations in the last [`org_share::WINDOW`], by service.
    pub fn report(&self) -> Vec<ServiceReport> {
        let (mut out, now) = (Vec::new(), clock::now());
        self.lock_own().retain(|service, own| {
            let report = own.report(service_hash(service), now);
            let used = report.requests > 0 || !report.crowded.is_empty();
            if used {
                out.push(report);
            }
            used
        });
        out
    }

    /// Replaces the totals by those that answer the report of the time `reported`.
    pub fn set_totals(&self, services: Vec<ServiceTotals>, reported: Mono) {
        let services = services.into_iter().map(|s| (s.service, s)).collect();
        let mut totals = self.totals.lock().expect("lock of the totals is not poisoned");
        let earlier = std::mem::replace(&mut *totals, Totals { services, reported });
        for service in self.lock_own().keys() {
            let hash = service_hash(service);
            let (before, after) = (earlier.services.get(&hash), totals.services.get(&hash));
            log_overload(service, before, after);
        }
    }

    /// Decides on a request with `draw`, at least 0 and below 1.
    fn decide(&self, job: &Job, claim: Claim, draw: f64) -> Result<(), Refused> {
        let totals = self.totals.lock().expect("lock of the totals is not poisoned");
        let now = clock::now();
        let age = now.saturating_sub(totals.reported);
        let known = totals.services.get(&service_hash(&job.service));
        let Err(refusal) = org_share::decide(known, age, (claim.org, claim.rank), draw) else {
            return Ok(());
        };
        let mut own = self.lock_own();
        own.entry(job.service.clone()).or_default().on_unserved(claim, Unserved::Limited, now);
        drop(own);
        self.refusals.with_label_values(&[refusal.rule.label()]).inc();
        if let Some(suppressed) = self.take_log(refusal.rule, now) {
            log_refusal(job, claim, &refusal, known, age, suppressed);
        }
        let after = RETRY.0 + (RETRY.1 - RETRY.0).mul_f64(rand::random());
        Err(Refused::not_run(Cause::Full, Some(after), NotRunProof::accept()))
    }

    /// Number of suppressed lines if one may be logged now.
    fn take_log(&self, rule: Rule, now: Mono) -> Option<u64> {
        let mut logged = self.logged.lock().expect("lock of the log limits is not poisoned");
        let limit = &mut logged[rule as usize];
        if limit.last.is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL) {
            limit.suppressed += 1;
            return None;
        }
        limit.last = Some(now);
        Some(std::mem::take(&mut limit.suppressed))
    }

    fn lock_own(&self) -> MutexGuard<'_, IndexMap<Name, OwnWork>> {
        self.own.lock().expect("lock of the own work is not poisoned")
    }
}

/// Counts a request, and refuses it if its organisation or rank has no share left.
///
/// # Errors
///
/// Returns the refusal, which promises that the request did not run. The work of a stream that is
/// resumed would be lost, so it is only counted.
pub fn admit(state: &ProxyState, job: &Job) -> Result<(), Refused> {
    let shares = &state.org_shares;
    if !shares.enabled {
        return Ok(());
    }
    let claim = claim(job);
    shares.lock_own().entry(job.service.clone()).or_default().on_request(claim, clock::now());
    if job.info.resume.is_some() {
        return Ok(());
    }
    shares.decide(job, claim, rand::random())
}

/// Counts that an admitted request was refused.
pub fn on_refused(state: &ProxyState, job: &Job, refused: &Refused) {
    let shares = &state.org_shares;
    if !shares.enabled || !refused.is_not_run() {
        return;
    }
    let cause = if refused.cause == Cause::Full { Unserved::Full } else { Unserved::Other };
    let mut own = shares.lock_own();
    own.entry(job.service.clone()).or_default().on_unserved(claim(job), cause, clock::now());
}

fn claim(job: &Job) -> Claim {
    let org = job.org.as_ref();
    Claim {
        org: org.map_or(NO_ORG, |o| org_hash(&o.name)),
        rank: org.and_then(|o| o.rank).unwrap_or(job.route.rank),
        work: job.info.prompt.as_ref().map_or(PLAIN_WORK, work),
    }
}

/// Estimated engine time of a request in milliseconds; shared parts are most often cached.
fn work(prompt: &Prompt) -> f64 {
    let uncached = prompt.input.saturating_sub(prompt.shared());
    f64::from(uncached) * PROMPT_TOKEN + f64::from(prompt.output) * OUTPUT_TOKEN
}

fn service_hash(service: &Name) -> ServiceHash {
    name_hash(service) as u32
}

fn org_hash(org: &Name) -> OrgHash {
    (name_hash(org) as u32).max(NO_ORG + 1)
}

fn log_overload(service: &Name, before: Option<&ServiceTotals>, after: Option<&ServiceTotals>) {
    let overloaded = |totals: Option<&ServiceTotals>| totals.is_some_and(|t| t.overloaded);
    if overloaded(before) == overloaded(after) {
        return;
    }
    let Some(totals) = after.or(before) else { return };
    log::info!(
        event = if overloaded(after) { "overload_began" } else { "overload_ended" },
        service = &**service, capacity_ms = totals.capacity, ranks:? = totals.ranks,
        limited = totals.rows.len();
        "the service's engines are asked for more than they have, or no longer"
    );
}

fn log_refusal(
    job: &Job,
    claim: Claim,
    refusal: &Refusal,
    totals: Option<&ServiceTotals>,
    age: Duration,
    suppressed: u64,
) {
    let Some(totals) = totals else { return };
    let row = totals.rows.iter().find(|r| r.org == claim.org && r.rank == claim.rank);
    log::info!(
        event = "share_refused", request = job.info.id.as_str(), service = &*job.service,
        rule = refusal.rule.label(), org = job.org.as_ref().map(|o| &*o.name), rank = claim.rank, probability = refusal.probability, draw = refusal.draw,
        asked_ms = row.map(|r| r.asked), allowed_ms = row.map(|r| r.allowed),
        capacity_ms = totals.capacity, ranks:? = totals.ranks, overloaded = totals.overloaded,
        age_ms = age.as_millis() as u64, suppressed;
        "refused a request by share or rank"
    );
}
