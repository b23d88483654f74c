//! Sends a second attempt of a slow request to another endpoint and uses the first good response.
//!
//! The decision is made in [`agate_route::hedge`]. Here are the state of the instance, the two
//! attempts and their accounting:
//!
//! - Only requests of safe routes are sent twice, and only the wait for the response head.
//! - The second attempt has an admission and counts as one of the route's attempts.
//! - Once it was sent, no grant remains that could prove that the request has not run.
//! - The attempt that is not used is dropped, which closes its connection.

use {
    crate::{
        attempt::{self, Attempt, Delivered, deliver},
        crash::{self, CallGuard},
        dialect::{Part, Verdict},
        endpoint::Endpoint,
        metrics::Metrics,
        proxy_state::ProxyState,
        requirements::requirements,
        run::{self, Attempts},
        serve::Job,
        started::PendingCall,
    },
    agate_core::Mono,
    agate_quarantine::{EndpointHash, Work},
    agate_route::{
        health::ExchangeResult,
        hedge::{CallId, Decision, Denial, Facts, Lane, Share},
        ranking::name_hash,
    },
    agate_transport::proof::{Grant, Retryable},
    agate_view::{
        clock,
        table::{Kind, Name},
    },
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard, atomic::Ordering::Relaxed},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Shortest time between two log lines about denials for the same reason.
const DENIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on second attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeLimits {
    /// Second attempts as a fraction of a service's requests.
    pub ratio: f64,
    /// Sliding window over which both are counted.
    pub window: Duration,
}

/// Calls and second attempts of one service.
#[derive(Debug)]
struct ServiceHedges {
    share: Share,
    /// Calls by the label of their kind.
    lanes: IndexMap<&'static str, Lane>,
}

#[derive(Debug, Default)]
struct HedgeState {
    services: IndexMap<Name, ServiceHedges>,
    /// Time of the last log line about each reason, and the number of denials since.
    denials: IndexMap<Denial, (Mono, u32)>,
}

/// Calls and second attempts of all services of an instance.
#[derive(Debug)]
pub struct Hedges {
    limits: Option<HedgeLimits>,
    state: Mutex<HedgeState>,
}

impl Hedges {
    /// Makes the state of an instance; it sends no second attempts if `limits` is `None`.
    pub fn new(limits: Option<HedgeLimits>) -> Self {
        Self { limits, state: Mutex::default() }
    }

    /// Counts a caller's request to `service`, which raises the share.
    pub fn on_request(&self, service: &Name, now: Mono) {
        self.with(service, |hedges| hedges.share.on_request(now));
    }

    /// Whether the calls of a request are followed and may get a second attempt.
    pub fn apply(&self, job: &Job) -> bool {
        self.limits.is_some() && job.route.kind == Kind::Safe
    }

    /// Runs `act` on the state of a service; `None` if there are no second attempts.
    fn with<T>(&self, service: &Name, act: impl FnOnce(&mut ServiceHedges) -> T) -> Option<T> {
        let HedgeLimits { ratio, window } = self.limits?;
        let opened =
            || ServiceHedges { share: Share::new(ratio, window), lanes: IndexMap::default() };
        Some(act(self.lock().services.entry(service.clone()).or_insert_with(opened)))
    }

    /// Counts a denial; returns the number of denials since the last log line about its reason, this
    /// one included, if another line is due.
    fn on_denied(&self, denial: Denial, now: Mono) -> Option<u32> {
        let mut state = self.lock();
        let entry = state.denials.entry(denial);
        let (logged, count) = entry.or_insert((now.saturating_sub(DENIAL_INTERVAL), 0));
        *count += 1;
        let due = now.saturating_sub(*logged) >= DENIAL_INTERVAL;
        due.then(|| {
            *logged = now;
            std::mem::take(count)
        })
    }

    fn lock(&self) -> MutexGuard<'_, HedgeState> {
        self.state.lock().expect("lock of the second attempts is not poisoned")
    }
}

/// A call that its lane follows until dropped.
struct Followed<'a> {
    state: &'a ProxyState,
    job: &'a Job,
    endpoint: Arc<Endpoint>,
    id: CallId,
    sent: Mono,
}

impl<'a> Followed<'a> {
    fn begin(state: &'a ProxyState, job: &'a Job, endpoint: &Arc<Endpoint>) -> Self {
        let (endpoint, sent) = (endpoint.clone(), clock::now());
        let zone = name_hash(&endpoint.entry.zone) as u32;
        let id = state.hedges.with(&job.service, |hedges| {
            let lane = hedges.lanes.entry(job.route.kind.label()).or_default();
            lane.on_sent(endpoint.incarnation, zone, sent)
        });
        Self { state, job, endpoint, id: id.unwrap_or_default(), sent }
    }

    fn lane<T: Default>(&self, act: impl FnOnce(&mut Lane) -> T) -> T {
        let found = self.state.hedges.with(&self.job.service, |hedges| {
            hedges.lanes.get_mut(self.job.route.kind.label()).map(act)
        });
        found.flatten().unwrap_or_default()
    }

    fn elapsed(&self) -> Duration {
        clock::now().saturating_sub(self.sent)
    }

    /// Records how the exchange ended.
    fn end(self, delivered: &Delivered<'_>) {
        let now = clock::now();
        match &delivered.1 {
            Ok(_) if is_good(self.state, delivered) => self.lane(|l| l.on_answer(self.id, now)),
            Err(failure) if failure.declared => self.lane(|l| l.on_rejected(now)),
            Ok(_) | Err(_) => {}
        }
    }

    /// Records that the call was cancelled because the other attempt was answered.
    fn cancel(self) {
        let failing = self.lane(|l| l.on_cancelled(self.id, clock::now()));
        // A call that is cancelled does not time out, so an endpoint that hangs would stay in use.
        let result = if failing { ExchangeResult::Failure } else { ExchangeResult::Neutral };
        self.state.fleet.record_result(&self.endpoint, result);
    }
}

impl Drop for Followed<'_> {
    fn drop(&mut self) {
        self.lane(|l| l.on_ended(self.id));
    }
}

/// Sends `attempt`, and a second one if it is slow; returns the attempt whose response is used.
///
/// The grant in a returned failure still proves that nothing ran only if no second attempt was sent.
pub(crate) async fn send<'a>(
    state: &'a Arc<ProxyState>,
    job: &'a Arc<Job>,
    attempts: &mut Attempts,
    attempt: Attempt<'a>,
    resume: Option<&str>,
    grant: Grant,
) -> Delivered<'a> {
    let call = Followed::begin(state, job, &attempt.assignment.endpoint);
    let mut first = Box::pin(deliver(state, job, attempt, resume, Part::Whole, grant));
    let (second, proof) = loop {
        let decision = decide(state, job, attempts, &call);
        let denial = match decision {
            Decision::Wait(time) | Decision::Recheck(time) => {
                tokio::select! {
                    biased;
                    done = &mut first => {
                        if matches!(decision, Decision::Recheck(_)) {
                            record_denial(state, job, &call, Denial::AllSlow);
                        }
                        call.end(&done);
                        return done;
                    }
                    () = sleep(time) => continue,
                }
            }
            Decision::Deny(denial) => denial,
            Decision::Send(delay) => match begin(state, job, attempts, &call, delay) {
                Ok(begun) => break begun,
                Err(denial) => denial,
            },
        };
        record_denial(state, job, &call, denial);
        let done = first.await;
        call.end(&done);
        return done;
    };
    let other = Followed::begin(state, job, &second.assignment.endpoint);
    let again = Grant::Again(proof);
    let mut second = Box::pin(deliver(state, job, second, resume, Part::Whole, again));
    let (done, won) = tokio::select! {
        done = &mut first => (done, false),
        done = &mut second => (done, true),
    };
    if is_good(state, &done) {
        record_end(state, job, [&call, &other], if won { "won" } else { "lost" });
        let (used, cancelled) = if won { (other, call) } else { (call, other) };
        used.end(&done);
        cancelled.cancel();
        // The cancelled attempt, dropped on return, was sent as well.
        attempts.sent += 1;
        return done;
    }
    let late = if won { first.await } else { second.await };
    let outcome = match (is_good(state, &late), won) {
        (true, true) => "lost",
        (true, false) => "won",
        (false, _) => "failed",
    };
    record_end(state, job, [&call, &other], outcome);
    let (early_call, late_call) = if won { (other, call) } else { (call, other) };
    early_call.end(&done);
    late_call.end(&late);
    let (mut used, unused) =
        if late.1.is_ok() || done.1.is_err() { (late, done) } else { (done, late) };
    attempt::discard(state, job, attempts, unused);
    if let Err(failure) = &mut used.1 {
        failure.grant = failure.grant.take().map(|_| Grant::Again(proof));
    }
    used
}

fn is_good(state: &ProxyState, delivered: &Delivered<'_>) -> bool {
    let good = |head| (state.dialect.classify_response)(head) == Verdict::Good;
    delivered.1.as_ref().is_ok_and(|response| good(&response.head))
}

fn decide(state: &ProxyState, job: &Job, attempts: &Attempts, call: &Followed<'_>) -> Decision {
    let now = clock::now();
    let objective = job.route.objective;
    let passed = call.lane(|l| Some(l.passed(call.id, objective, now)));
    match passed {
        Some(Ok(_)) => {}
        Some(Err(decision)) => return decision,
        None => return Decision::Deny(Denial::FewSamples),
    }
    let share = state.hedges.with(&job.service, |hedges| hedges.share.allows(now));
    let facts = Facts {
        left: job.remaining(),
        objective,
        attempts: attempts.sent + 1 < job.route.attempts && attempts.tried.len() < run::MAX_TRIED,
        suspected: crash::is_suspected(state, job),
        load: load(state, &job.service),
        share: share.unwrap_or_default(),
    };
    let decision = call.lane(|l| Some(l.decide(call.id, &facts, now)));
    decision.unwrap_or(Decision::Deny(Denial::FewSamples))
}

/// Fraction of the slots of a service that are in use, as far as this instance knows.
fn load(state: &ProxyState, service: &Name) -> f64 {
    let services = state.fleet.services();
    let usable = services.get(service).into_iter().flatten().filter(|e| e.takes_work());
    let (mut open, mut slots) = (0, 0);
    for endpoint in usable {
        open += endpoint.stats.open.load(Relaxed) + endpoint.stats.others_open.load(Relaxed);
        slots += endpoint.entry.slots;
    }
    f64::from(open) / f64::from(slots.max(1))
}

/// Chooses an endpoint for the second attempt and admits it, or tells why it is not sent.
fn begin<'a>(
    state: &'a Arc<ProxyState>,
    job: &'a Arc<Job>,
    attempts: &mut Attempts,
    call: &Followed<'_>,
    delay: Duration,
) -> Result<(Attempt<'a>, Retryable), Denial> {
    let proof = Retryable::idempotent(job.route.kind.retryable()).ok_or(Denial::Attempts)?;
    if !run::keys_valid(state, job) {
        return Err(Denial::Stale);
    }
    let needed = attempts.calls.permits_to_run();
    if !state.reserve_permits(&job.service, &mut attempts.calls, needed) {
        return Err(Denial::Budget);
    }
    let avoided = avoided(state, job, call);
    let mut requirements = requirements(state, job, attempts, &avoided, None);
    requirements.workload.needs_slot = true;
    requirements.workload.limit = job.remaining();
    if !state.fleet.has_healthy(&requirements) {
        return Err(Denial::NoEndpoint);
    }
    let assignment = state.fleet.choose(&requirements).map_err(|_| Denial::NoEndpoint)?;
    if !state.fleet.is_healthy(&assignment.endpoint) {
        return Err(Denial::NoEndpoint);
    }
    let now = clock::now();
    let taken = state.hedges.with(&job.service, |h| (h.share.take(now), h.share.counts(now)));
    let Some((true, (requests, sent))) = taken else { return Err(Denial::Share) };
    let admission = state.admit(&job.service, &mut attempts.calls).ok_or(Denial::Budget)?;
    state.metrics.hedges.with_label_values(&["begun"]).inc();
    state.metrics.retries.with_label_values(&["hedged"]).inc();
    log::info!(
        event = "hedge_begun", request = job.info.id.as_str(), service = &*job.service,
        first = &*call.endpoint.entry.name, second = &*assignment.endpoint.entry.name,
        after_ms = call.elapsed().as_millis() as u64, delay_ms = delay.as_millis() as u64,
        left_ms = job.remaining().as_millis() as u64, load = load(state, &job.service),
        avoided = avoided.len(), requests, hedges = sent, arrivals = attempts.calls.counted();
        "the request is sent to a second endpoint while the first is slow"
    );
    attempts.tried.push(assignment.endpoint.entry.name.clone());
    let guard = CallGuard::begin(state, job, &assignment.endpoint, Work::Run, None);
    let waiting = PendingCall::new(state, job);
    Ok((Attempt { assignment, guard, admission, waiting }, proof))
}

/// Endpoints at which no second attempt may be made: those that may be slow for the same cause, have
/// crashed, or run a trial.
fn avoided(state: &ProxyState, job: &Job, call: &Followed<'_>) -> Vec<EndpointHash> {
    let (slow, zones) = call.lane(|l| l.avoided(call.id, clock::now()));
    let services = state.fleet.services();
    let all = services.get(&job.service).into_iter().flatten();
    let in_zones = all.filter(|e| zones.contains(&(name_hash(&e.entry.zone) as u32)));
    let mut out = state.quarantine.trial_exclusions();
    out.extend(slow);
    out.extend(in_zones.map(|e| e.incarnation));
    out
}

fn record_denial(state: &ProxyState, job: &Job, call: &Followed<'_>, denial: Denial) {
    state.metrics.hedge_denials.with_label_values(&[denial.label()]).inc();
    let now = clock::now();
    let Some(denials) = state.hedges.on_denied(denial, now) else { return };
    let (delay, samples) = call.lane(|l| (l.delay(call.endpoint.incarnation, now), l.samples()));
    let counts = state.hedges.with(&job.service, |hedges| hedges.share.counts(now));
    let (requests, sent) = counts.unwrap_or_default();
    log::info!(
        event = "hedge_denied", request = job.info.id.as_str(), service = &*job.service,
        reason = denial.label(), denials, first = &*call.endpoint.entry.name,
        after_ms = call.elapsed().as_millis() as u64,
        delay_ms = delay.map(|d| d.as_millis() as u64), samples,
        left_ms = job.remaining().as_millis() as u64, load = load(state, &job.service),
        requests, hedges = sent;
        "a slow request is not sent to a second endpoint"
    );
}

fn record_end(state: &ProxyState, job: &Job, calls: [&Followed<'_>; 2], outcome: &str) {
    state.metrics.hedges.with_label_values(&[outcome]).inc();
    let [first, second] = calls;
    log::info!(
        event = "hedge_ended", request = job.info.id.as_str(), service = &*job.service, outcome,
        first = &*first.endpoint.entry.name, second = &*second.endpoint.entry.name,
        first_ms = first.elapsed().as_millis() as u64,
        second_ms = second.elapsed().as_millis() as u64;
        "one of two attempts ended"
    );
}

/// Sets the counters of second attempts to zero, so that every outcome and reason is listed.
pub(crate) fn list_counters(metrics: &Metrics) {
    for outcome in ["begun", "won", "lost", "failed"] {
        metrics.hedges.with_label_values(&[outcome]);
    }
    for denial in Denial::ALL {
        metrics.hedge_denials.with_label_values(&[denial.label()]);
    }
}
