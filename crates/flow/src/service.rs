//! Requests to plain services.
//!
//! An idempotent call may be sent to another endpoint after any failure. Any other call is sent
//! again only if none of it was written or the endpoint stated that it ran nothing.

use {
    crate::{
        dispatch::{
            Shape, Target, admit, allow_retry, check_key, next_target, observe_rest,
            record_failure, time_left,
        },
        header,
        idempotency::{self, Claimed},
        proxy_state::ProxyState,
        refusal::{Refused, Result},
        serve::{Job, unless_aborted},
    },
    agate_core::{EndpointId, Outcome, PoolId, Refusal},
    agate_idempotency::Permit,
    agate_route::health::ExchangeResult,
    agate_transport::{
        exchange::{self, TimeLimits},
        link::IDLE_LIMIT,
        proof::{Grant, NotRunProof, Retryable},
    },
    bytes::Bytes,
    http::{Request, Response, request::Parts},
    http_body_util::Full,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    volo_http::body::Body,
};

/// Divisor of the time to the deadline that gives the wait of an idempotent call on a reused
/// connection.
const REUSED_WAIT_DIVISOR: u32 = 3;
/// Longest idle time of a connection that may carry a call which may not be retried.
const UNSAFE_IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Runs a request on a service route.
///
/// Errors: the organisation has no access, the idempotency key cannot be claimed, or no endpoint
/// gave a complete response in time.
pub async fn run(state: &Arc<ProxyState>, job: Job, proof: NotRunProof) -> Result<Response<Body>> {
    let pool = job.route_entry().pool.expect("a verified service route names its pool");
    let proof = authorise(&job, pool, proof)?;
    let (key, proof) = idempotency::find_key(&job, proof)?;
    let Some(key) = key else {
        let response = run_attempts(state, &job, pool, None, proof).await?;
        return Ok(respond(state, &job, response));
    };
    // The call continues in its own task if its caller disconnects, so that the response is stored
    // when the caller sends the call again.
    let state = state.clone();
    let task = tokio::spawn(async move { run_claimed(&state, &job, pool, &key, proof).await });
    task.await.unwrap_or_else(|_| {
        let text = "the call ended without a known outcome";
        Err(Refused::unknown(Refusal::EndpointFailed, text))
    })
}

/// Runs a call with an idempotency key at most once, or returns the stored response of its run.
async fn run_claimed(
    state: &Arc<ProxyState>,
    job: &Job,
    pool: PoolId,
    key: &str,
    proof: NotRunProof,
) -> Result<Response<Body>> {
    let (mut permit, proof) = match idempotency::claim(state, job, key, proof).await? {
        Claimed::Run(permit, proof) => (permit, proof),
        Claimed::Replay(response) => {
            job.trace.end("replayed", state.now());
            return Ok(response);
        }
    };
    match unless_aborted(state, run_attempts(state, job, pool, Some(&mut permit), proof)).await {
        Ok((head, body)) => {
            idempotency::finish(permit, &head, &body);
            Ok(respond(state, job, (head, body)))
        }
        Err(refused) if refused.outcome() == Outcome::NotRun => {
            permit.release_unrun();
            Err(refused)
        }
        // Dropping the permit records that the outcome is unknown.
        Err(refused) => Err(refused),
    }
}

fn respond(
    state: &ProxyState,
    job: &Job,
    (head, body): (http::response::Parts, Bytes),
) -> Response<Body> {
    state.metrics.responses.inc();
    job.trace.end("answered", state.now());
    let mut out = Response::new(Body::from(body));
    *out.status_mut() = head.status;
    *out.headers_mut() = header::for_caller(&head.headers, &job.id);
    out
}

fn authorise(job: &Job, pool: PoolId, proof: NotRunProof) -> Result<NotRunProof> {
    let allowed = || job.org().is_some_and(|o| o.services.contains(&pool));
    if job.caller.org().is_none() || allowed() {
        return Ok(proof);
    }
    let text = "the organisation has no access to this service";
    Err(Refused::not_run(Refusal::Forbidden, text, proof))
}

async fn run_attempts(
    state: &Arc<ProxyState>,
    job: &Job,
    pool: PoolId,
    mut permit: Option<&mut Permit>,
    proof: NotRunProof,
) -> Result<(http::response::Parts, Bytes)> {
    let shape = Shape { cost: 1, ..Shape::default() };
    let (slot, proof) = admit(state, job, pool, shape.cost, proof).await?;
    // The time in the admission queue does not count towards the time limit for sending the call.
    if let Some(permit) = &mut permit {
        permit.renew(Instant::now());
    }
    let mut grant = Grant::First(proof);
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut silent = false;
    loop {
        grant = check_key(state, job, grant)?;
        let (target, granted) = next_target(state, job, pool, &shape, &tried, grant).await?;
        slot.sent();
        tried.push(target.id);
        let granted = idempotency::check_permit(permit.as_deref(), granted)?;
        let left = time_left(state, job);
        let failure =
            match send_once(state, job, &target, granted, timeouts(job, left, silent)).await {
                Ok(whole) => {
                    target.exchange.end(ExchangeResult::Success);
                    record_usage(state, job, pool);
                    state.admission(pool).settle(&slot, &job.caller, shape.cost, shape.cost);
                    let now = state.now();
                    state.suspects.clear(|| job.fingerprints(&state.secrets), || &[], now, now);
                    return Ok(whole);
                }
                Err(failure) => failure,
            };
        log::info!("request {}: {failure}", job.id);
        silent |= failure.silent;
        let cause = record_failure(state, job, target, &failure).await;
        let again = Retryable::idempotent(job.route_entry().idempotent);
        let attempts = tried.len() as u32;
        let (next, reason) = allow_retry(state, job, pool, (*failure, cause), again, attempts)?;
        state.metrics.retry(reason);
        job.trace.record_retry(reason.code());
        grant = next;
    }
}

/// Records the usage of a call with a complete response. A call that may not have run is not
/// counted.
fn record_usage(state: &ProxyState, job: &Job, pool: PoolId) {
    if let (Some(org), Some(pool)) = (job.org(), job.snapshot.pool(pool)) {
        (state.record_usage)(&org.name, &pool.name, 0, 0);
    }
}

/// Sends the request to one endpoint and reads the complete response.
async fn send_once(
    state: &ProxyState,
    job: &Job,
    target: &Target,
    grant: Grant,
    time_limits: TimeLimits,
) -> exchange::Result<(http::response::Parts, Bytes)> {
    let response = exchange::send(
        &target.connections,
        request(job),
        &job.id,
        &header::RESPONSE_MARKERS,
        grant,
        time_limits,
    )
    .await?;
    state.record_load(target.id, &response.head);
    observe_rest(state, target.id, &response.head);
    response.collect_marked(state.limits().answer, time_limits.fresh).await
}

/// Time limits of one attempt. An idempotent call leaves time for another attempt over a new
/// connection. Any other call cannot be sent twice, so it avoids connections that may have been
/// lost silently while idle. After a `silent` timeout, every call uses only new connections.
fn timeouts(job: &Job, left: Duration, silent: bool) -> TimeLimits {
    let (reused, rest) = match job.route_entry().idempotent {
        true => (left / REUSED_WAIT_DIVISOR, IDLE_LIMIT),
        false => (left, UNSAFE_IDLE_LIMIT),
    };
    let max_idle = if silent { Duration::ZERO } else { rest };
    TimeLimits { fresh: left, reused, max_idle, abandon: false }
}

fn request(job: &Job) -> Request<Full<Bytes>> {
    let mut out = Request::new(Full::new(job.body.clone()));
    *out.method_mut() = job.head.method.clone();
    *out.uri_mut() = target(&job.head);
    *out.headers_mut() = endpoint_headers(job);
    out
}

/// Target of the request in origin form.
fn target(head: &Parts) -> http::Uri {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().expect("the path of a parsed target parses")
}

/// Returns the headers of the request for an endpoint.
pub fn endpoint_headers(job: &Job) -> http::HeaderMap {
    let key = header::find_key(&job.head.headers);
    let mut out = header::for_endpoint(&job.head.headers, key, &job.id);
    out.insert(http::header::HOST, http::HeaderValue::from_static("endpoint"));
    if let Some(org) = job.org()
        && let Ok(name) = http::HeaderValue::from_str(&org.name)
    {
        out.insert(header::CACHE_SALT, name.clone());
        out.insert(header::ORGANISATION, name);
    }
    out
}
