//! Sends a request to one endpoint after another until one responds.

use {
    crate::{
        Body,
        assignment::Assignment,
        attempt::{Attempt, deliver, record_sent},
        calls::{Admission, CallTracker},
        crash::{self, CallGuard, fingerprint_text, parts_text},
        dialect::{Outgoing, Part, Verdict},
        full, hedge, org_shares,
        placement::Choice,
        prefill::{self, KvSource},
        proxy_state::ProxyState,
        record,
        refusal::{Cause, Refused},
        requirements::{prompt_class, requirements},
        serve::Job,
        signals,
        started::{self, PendingCall},
        stream, stream_version,
    },
    agate_quarantine::{Trial, Work},
    agate_route::{health::ExchangeResult, signals::Withheld},
    agate_transport::{
        exchange::{self, EndpointResponse, Failure, Step, TimeLimits},
        in_flight::Guard,
        link::IDLE_LIMIT,
        proof::{Grant, NotRunProof, Retryable},
    },
    agate_view::{Entry, roster::Version, table::Name},
    http::{Request, Response, header::CONTENT_LENGTH},
    http_body_util::Full,
    std::{sync::Arc, time::Duration},
};

/// Remaining time below which no attempt is started.
pub const MIN_REMAINING: Duration = Duration::from_millis(10);
/// Retry-after time when no endpoint is usable.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(300);
/// Bounds of the retry-after time of a full service.
const FULL_RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Maximum number of endpoints tried for one request, including those that could not be connected.
pub(crate) const MAX_TRIED: usize = 5;
/// Maximum size of a non-streaming response, which is buffered until it is complete, in bytes.
const MAX_BUFFERED: usize = 1 << 20;
/// Number of stale pooled connections after which a failed write counts as a failed attempt.
const MAX_STALE: usize = 4;

/// Cause of a response that ended with its connection, if that does not show that it is complete.
pub const UNPROVEN_END: &str =
    "the end of the connection does not show that the response is complete";

/// Response to the caller, or why there is none.
pub type Outcome = Result<Response<Body>, Refused>;

/// State of the attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    /// Permission for the next attempt; taken while an attempt is in progress.
    grant: Option<Grant>,
    /// Endpoints already tried, which are not tried again.
    pub tried: Vec<Name>,
    /// Version of the endpoints that may serve it; `None` for any.
    pub version: Option<Version>,
    /// Whether the stream began at that version. If not, another one may serve it.
    pub begun: bool,
    /// Number of endpoints it was sent to; failed connects do not count.
    pub sent: u32,
    /// Its calls to endpoints, as the retry budget counts them.
    pub calls: CallTracker,
    /// Cause of the last failure, reported if no attempt is left.
    cause: Cause,
}

/// An endpoint's response whose body is still being received.
pub struct Call {
    /// Response head and the connection that its body comes from.
    pub response: EndpointResponse,
    /// Counts the request at its endpoint until dropped.
    pub assignment: Assignment,
    /// Tracks whether the call crashes its endpoint.
    pub guard: CallGuard,
}

/// Runs a request until the response head is received, or the complete response if it is not a
/// stream.
///
/// # Errors
///
/// Returns the refusal if no endpoint served the request and no further attempt is allowed.
pub async fn run(state: &Arc<ProxyState>, job: Job, guard: Option<Guard>) -> Outcome {
    let job = Arc::new(job);
    if let Some(class) = prompt_class(&job) {
        state.demand(&job.service, |d, now| d.on_request(class, now));
    }
    org_shares::admit(state, &job)?;
    let outcome = run_admitted(state, &job, guard).await;
    if let Err(refused) = &outcome {
        org_shares::on_refused(state, &job, refused);
    }
    outcome
}

async fn run_admitted(state: &Arc<ProxyState>, job: &Arc<Job>, guard: Option<Guard>) -> Outcome {
    let version = stream_version::required(state, job).await?;
    let mut attempts = Attempts {
        grant: Some(Grant::First(NotRunProof::accept())),
        tried: Vec::new(),
        version,
        begun: job.info.resume.is_some(),
        sent: 0,
        calls: CallTracker::default(),
        cause: Cause::Full,
    };
    loop {
        let version = attempts.version.clone();
        let source = match prefill::remote_prefill(
            state,
            job,
            &mut attempts.calls,
            version.as_ref(),
        )
        .await
        {
            Ok(source) => source,
            Err(wait) => return Err(refuse_full(&mut attempts, wait)),
        };
        let resume = job.info.resume.as_deref();
        let call = open_call(state, job, &mut attempts, resume, source.as_ref()).await?;
        let verdict = (state.dialect.classify_response)(&call.response.head);
        if verdict != Verdict::Good {
            started::count_started(state, job);
        }
        if let Verdict::Invalid(why) = verdict {
            on_invalid(state, job, call, why);
            retry(state, job, &mut attempts, Cause::InvalidResponse)?;
            continue;
        }
        let last = !may_continue(job, &attempts);
        if verdict == Verdict::Failed && job.route.kind.retryable() && !last {
            state.fleet.record_result(&call.assignment.endpoint, ExchangeResult::Neutral);
            if retry(state, job, &mut attempts, Cause::Rejected).is_ok() {
                call.guard.on_error_response();
                continue;
            }
            attempts.grant = None;
        }
        if job.route.kind.streams() && verdict == Verdict::Good {
            log_taken_up(job, &call.assignment);
            return Ok(stream::forward(state.clone(), job.clone(), call, attempts, guard));
        }
        match collect(state, job, &mut attempts, call).await {
            Ok(response) => return Ok(response),
            Err(cause) => retry(state, job, &mut attempts, cause)?,
        }
    }
}

/// Refuses a request because all engines are full; one is expected to have room after `wait`.
fn refuse_full(attempts: &mut Attempts, wait: Duration) -> Refused {
    let grant = attempts.grant.take().expect("a new attempt has a grant");
    refuse(grant, attempts.cause, Some(full_retry(wait)))
}

/// Retry-after time of a service that is expected to have room after `wait`.
fn full_retry(wait: Duration) -> Duration {
    wait.clamp(FULL_RETRY.0, FULL_RETRY.1)
}

/// Whether the route and the remaining time allow another attempt.
pub fn may_continue(job: &Job, attempts: &Attempts) -> bool {
    attempts.sent < job.route.attempts
        && attempts.tried.len() < MAX_TRIED
        && job.remaining() > MIN_REMAINING
}

/// Allows another attempt after one that may have run the request.
///
/// # Errors
///
/// Returns a refusal that promises nothing if the request is not idempotent, no attempt or time is
/// left, or the retry budget is spent.
pub fn retry(
    state: &ProxyState,
    job: &Job,
    attempts: &mut Attempts,
    cause: Cause,
) -> Result<(), Refused> {
    attempts.cause = cause;
    let retryable = Retryable::idempotent(job.route.kind.retryable());
    let Some(proof) = retryable.filter(|_| may_continue(job, attempts)) else {
        return Err(Refused::unknown(cause));
    };
    if !reserve_retry(state, job, attempts) {
        return Err(Refused::unknown(cause));
    }
    state.metrics.retries.with_label_values(&[cause.label()]).inc();
    log::info!(
        event = "retry", request = job.info.id.as_str(), cause = cause.label(),
        attempts = attempts.tried.len(), arrivals = attempts.calls.counted(), left_ms = job.remaining().as_millis() as u64;
        "retrying the request at another endpoint"
    );
    attempts.grant = Some(Grant::Again(proof));
    Ok(())
}

/// Sends the request to endpoints until one returns a response head.
///
/// # Errors
///
/// Returns a refusal if the request may not be sent (any more) or no endpoint can take it.
pub async fn open_call(
    state: &Arc<ProxyState>,
    job: &Arc<Job>,
    attempts: &mut Attempts,
    resume: Option<&str>,
    mut source: Option<&KvSource>,
) -> Result<Call, Refused> {
    loop {
        stream_version::relax(state, job, attempts);
        let grant = attempts.grant.take().expect("a new attempt has a grant");
        let (suspects, grant) = crash::check_quarantine(state, job, grant)?;
        let suspected = !suspects.is_empty();
        let (assignment, mut grant) =
            choose_endpoint(state, job, attempts, grant, source, suspected)?;
        let mut trial = None;
        if suspected {
            let begun =
                crash::begin_trial(state, job, suspects, &assignment.endpoint, grant).await?;
            trial = Some(begun.0);
            // Recording the trial in the store takes time, so the deadline and key are checked
            // again.
            grant = check_allowed(state, job, attempts, begun.1)?;
        }
        let Some(admission) = state.admit(&job.service, &mut attempts.calls) else {
            // After other failures a permit was already reserved for this call; after a rejected
            // prefill it was not.
            attempts.cause = Cause::Rejected;
            log_denied(job, attempts);
            trial.into_iter().for_each(Trial::not_run);
            return Err(refuse(grant, Cause::Rejected, Some(FULL_RETRY.0)));
        };
        // KV cache kept at another engine can be fetched only once.
        let part = source.take().map_or(Part::Whole, |s| Part::Decode(&s.name));
        let waiting = PendingCall::new(state, job);
        let guard = CallGuard::begin(state, job, &assignment.endpoint, Work::Run, trial);
        attempts.tried.push(assignment.endpoint.entry.name.clone());
        let attempt = Attempt { assignment, guard, admission, waiting };
        let hedged = !suspected && part == Part::Whole && state.hedges.apply(job);
        let (attempt, sent) = match hedged {
            true => hedge::send(state, job, attempts, attempt, resume, grant).await,
            false => deliver(state, job, attempt, resume, part, grant).await,
        };
        let (mut assignment, guard) = record_sent(state, job, attempts, attempt, &sent);
        match sent {
            Ok(response) => {
                if !job.route.kind.streams() {
                    assignment.on_first_token();
                    record::record_start(state, job, &assignment);
                }
                return Ok(Call { response, assignment, guard });
            }
            Err(failure) => {
                guard.on_failure(&failure).await;
                on_failure(state, job, attempts, &assignment, *failure)?;
            }
        }
    }
}

/// Chooses an endpoint after checking that the request may still run.
fn choose_endpoint(
    state: &ProxyState,
    job: &Job,
    attempts: &Attempts,
    grant: Grant,
    source: Option<&KvSource>,
    suspected: bool,
) -> Result<(Assignment, Grant), Refused> {
    let grant = check_allowed(state, job, attempts, grant)?;
    let avoided = if suspected { state.quarantine.trial_exclusions() } else { Vec::new() };
    let mut requirements = requirements(state, job, attempts, &avoided, source);
    requirements.workload.isolated = suspected;
    match state.fleet.choose(&requirements) {
        Ok(assignment) => Ok((assignment, grant)),
        Err(Choice::Full(wait)) => Err(refuse(grant, attempts.cause, Some(full_retry(wait)))),
        Err(Choice::Withheld(withheld)) => {
            let cause = match withheld {
                Withheld::RateLimit(_) => Cause::RateLimited,
                Withheld::Rest(_) => Cause::Resting,
            };
            Err(refuse(grant, cause, Some(withheld.left().max(FULL_RETRY.0))))
        }
        Err(_) => Err(refuse(grant, Cause::NoEndpoint, Some(NO_ENDPOINT_RETRY))),
    }
}

/// Checks the remaining time, the age of what is known and the API key before an attempt.
fn check_allowed(
    state: &ProxyState,
    job: &Job,
    attempts: &Attempts,
    grant: Grant,
) -> Result<Grant, Refused> {
    if job.remaining() < MIN_REMAINING {
        return Err(refuse(grant, Cause::Late, None));
    }
    if job.key.is_some() && !state.keys_fresh() {
        return Err(refuse(grant, Cause::ConfigOld, Some(NO_ENDPOINT_RETRY)));
    }
    if stream_version::is_outdated(state, job, attempts) {
        return Err(refuse(grant, Cause::EndpointsOld, Some(NO_ENDPOINT_RETRY)));
    }
    if !key_valid(state, job) {
        return Err(refuse(grant, Cause::KeyUnknown, None));
    }
    Ok(grant)
}

/// Whether the API key may still be trusted and is in the current configuration.
pub(crate) fn keys_valid(state: &ProxyState, job: &Job) -> bool {
    (job.key.is_none() || state.keys_fresh()) && key_valid(state, job)
}

/// Whether the API key is still in the current configuration.
fn key_valid(state: &ProxyState, job: &Job) -> bool {
    let Some(key) = &job.key else { return true };
    let table = state.view.table.load();
    table.as_ref().is_some_and(|t| t.org(key).is_some())
}

/// Sends the request over a pooled or new connection, skipping pooled ones that were closed.
///
/// Every call for a caller's request goes through this function, which needs an [`Admission`].
///
/// # Errors
///
/// Returns the failed exchange, with the grant if the endpoint did not run the request.
pub async fn send(
    state: &ProxyState,
    job: &Job,
    assignment: &Assignment,
    outgoing: &Outgoing<'_>,
    mut grant: Grant,
    _admission: &Admission,
) -> exchange::Result<EndpointResponse> {
    let pool = &assignment.endpoint.pool;
    signals::count_call(state, &assignment.endpoint, outgoing);
    let mut stale = 0;
    loop {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = (state.dialect.request_headers)(&job.headers, outgoing);
        request.headers_mut().remove(CONTENT_LENGTH);
        let time_limits = TimeLimits {
            fresh: job.remaining(),
            reused: job.remaining(),
            max_idle: IDLE_LIMIT,
            abandon: job.route.kind.retryable(),
        };
        let sent =
            exchange::send(pool, request, &job.info.id, &state.dialect.markers, grant, time_limits)
                .await;
        signals::on_response(state, job, &assignment.endpoint, outgoing, &sent);
        match sent {
            Err(mut failure) if failure.step == Step::Write && stale < MAX_STALE => {
                stale += 1;
                match failure.grant.take() {
                    Some(kept) => grant = kept,
                    None => return Err(failure),
                }
            }
            other => return other,
        }
    }
}

/// Records a failed exchange; `Ok` if the request may be sent to another endpoint.
fn on_failure(
    state: &ProxyState,
    job: &Job,
    attempts: &mut Attempts,
    assignment: &Assignment,
    mut failure: Failure,
) -> Result<(), Refused> {
    let cause = record_failure(state, job, assignment, &failure);
    let Some(grant) = failure.grant.take() else { return retry(state, job, attempts, cause) };
    attempts.cause = cause;
    if !may_continue(job, attempts) || !reserve_retry(state, job, attempts) {
        return Err(refuse(grant, cause, Some(FULL_RETRY.0)));
    }
    state.metrics.retries.with_label_values(&["unrun"]).inc();
    attempts.grant = Some(grant);
    Ok(())
}

/// Counts and logs a failed exchange and tells the failure detector; returns its cause.
pub(crate) fn record_failure(
    state: &ProxyState,
    job: &Job,
    assignment: &Assignment,
    failure: &Failure,
) -> Cause {
    let endpoint = &assignment.endpoint;
    let cause = match (failure.declared, failure.silent) {
        (true, _) => Cause::Rejected,
        (_, true) => Cause::Late,
        _ => Cause::Lost,
    };
    let misdirected = failure.head.as_deref().is_some_and(state.dialect.misdirected);
    state.metrics.failures.with_label_values(&[failure.step.label()]).inc();
    log::info!(
        event = "attempt_failed", request = job.info.id.as_str(),
        print = fingerprint_text(job, Work::Run).as_str(), parts = parts_text(job, Work::Run).as_str(), endpoint = &*endpoint.entry.name, step:? = failure.step, cause = failure.cause.as_str(),
        declared = failure.declared, misdirected, unrun = failure.grant.is_some(),
        after_ms = assignment.elapsed().as_millis() as u64,
        roster_age_ms = state.view.roster.age().map(|a| a.as_millis() as u64);
        "an attempt failed"
    );
    let kind = match cause {
        _ if failure.step == Step::Connect => {
            state.fleet.back_off(endpoint);
            ExchangeResult::Failure
        }
        Cause::Rejected => ExchangeResult::Busy,
        Cause::Late
            if job.remaining() > MIN_REMAINING || assignment.is_overdue(job.route.objective) =>
        {
            ExchangeResult::Failure
        }
        Cause::Late => ExchangeResult::Neutral,
        _ => ExchangeResult::Failure,
    };
    state.fleet.record_result(endpoint, kind);
    cause
}

/// Reserves a retry permit for another attempt; returns whether the budget allows it.
pub fn reserve_retry(state: &ProxyState, job: &Job, attempts: &mut Attempts) -> bool {
    let needed = attempts.calls.permits_to_run();
    let held = state.reserve_permits(&job.service, &mut attempts.calls, needed);
    if !held {
        log_denied(job, attempts);
    }
    held
}

fn log_denied(job: &Job, attempts: &Attempts) {
    log::info!(
        event = "retry_denied", request = job.info.id.as_str(), cause = attempts.cause.label(),
        arrivals = attempts.calls.counted();
        "the retry budget is spent"
    );
}

/// Refuses a request as "not run" if the grant proves that, else as "unknown".
fn refuse(grant: Grant, cause: Cause, after: Option<Duration>) -> Refused {
    match grant.not_run_proof() {
        Some(proof) => Refused::not_run(cause, after, proof),
        None => Refused::unknown(cause),
    }
}

/// Logs that an endpoint goes on with a stream that the caller takes up.
fn log_taken_up(job: &Job, assignment: &Assignment) {
    let Some(after) = job.info.resume.as_deref() else { return };
    let Entry { name, version, .. } = &assignment.endpoint.entry;
    log::info!(
        event = "stream_taken_up", request = job.info.id.as_str(),
        resumes = job.info.resumes.as_deref(), after, endpoint = &**name, version = &**version;
        "the endpoint goes on with the caller's stream"
    );
}

fn on_invalid(state: &ProxyState, job: &Job, call: Call, why: &str) {
    let endpoint = &call.assignment.endpoint;
    call.guard.on_error_response();
    state.fleet.record_result(endpoint, ExchangeResult::Failure);
    state.metrics.failures.with_label_values(&["spoilt"]).inc();
    log::info!(
        event = "answer_spoilt", request = job.info.id.as_str(),
        endpoint = &*endpoint.entry.name, status = call.response.head.status.as_u16(), cause = why;
        "dropped an invalid response"
    );
}

fn on_cut(
    state: &ProxyState,
    job: &Job,
    assignment: &Assignment,
    cause: &str,
    result: ExchangeResult,
) {
    state.fleet.record_result(&assignment.endpoint, result);
    log::info!(
        event = "answer_cut", request = job.info.id.as_str(),
        print = fingerprint_text(job, Work::Run).as_str(), parts = parts_text(job, Work::Run).as_str(),
        endpoint = &*assignment.endpoint.entry.name, cause;
        "the endpoint's response is incomplete"
    );
}

/// Buffers a complete response and returns it for the caller.
async fn collect(
    state: &ProxyState,
    job: &Job,
    attempts: &mut Attempts,
    call: Call,
) -> Result<Response<Body>, Cause> {
    let Call { response, mut assignment, guard } = call;
    let (status, ending) = (response.head.status, response.ending());
    let (head, body) = match response.collect(MAX_BUFFERED, job.remaining()).await {
        Ok(whole) => whole,
        Err(failure) => {
            on_cut(state, job, &assignment, &failure.cause, ExchangeResult::Failure);
            guard.on_lost(failure.silent).await;
            return Err(if failure.silent { Cause::Late } else { Cause::Lost });
        }
    };
    assignment.release();
    let may_repeat = job.route.kind.retryable() && may_continue(job, attempts);
    let may_repeat = may_repeat.then_some(|| reserve_retry(state, job, attempts));
    let proof = guard.on_end(ending, status, assignment.elapsed(), may_repeat).await;
    if !proof.is_complete() {
        on_cut(state, job, &assignment, UNPROVEN_END, proof.result());
        return Err(Cause::Lost);
    }
    state.fleet.record_result(&assignment.endpoint, ExchangeResult::Success);
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    *response.headers_mut() = (state.dialect.response_headers)(&head.headers);
    record::record_response(state, job, &assignment, status);
    Ok(response)
}
