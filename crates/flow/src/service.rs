//! Requests to plain services.
//!
//! An idempotent call may be sent to another endpoint after a failure; any other call is sent
//! again only while nothing of it was written or the endpoint stated that it ran nothing.

use {
    crate::{
        booking::{self, Claimed},
        dispatch::{Shape, Target, admit, blame, check_key, left, next_target, repeat},
        gate::Gate,
        header,
        reply::{Refused, Result},
        serve::{Job, unless_cut},
    },
    agate_core::{EndpointId, Outcome, PoolId, Refusal},
    agate_link::{
        exchange::{self, Patience},
        link::IDLE_LIMIT,
        truth::{Grant, Repeatable, Untouched},
    },
    agate_once::Permit,
    agate_route::health::Kind,
    bytes::Bytes,
    http::{Request, Response, request::Parts},
    http_body_util::Full,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    volo_http::body::Body,
};

/// Share of the time left that an idempotent call waits on a connection that was idle before.
const RETRY_SHARE: u32 = 3;
/// Longest idle time of a connection that carries a call which may not be repeated.
const BOOKING_REST: Duration = Duration::from_secs(1);

/// Runs a request on a service route.
pub async fn run(gate: &Arc<Gate>, job: Job, proof: Untouched) -> Result<Response<Body>> {
    let pool = job.entry().pool.expect("a verified service route names its pool");
    let proof = authorise(&job, pool, proof)?;
    let (key, proof) = booking::find_key(&job, proof)?;
    let Some(key) = key else {
        let answer = attempt(gate, &job, pool, None, proof).await?;
        return Ok(respond(gate, &job, answer));
    };
    // The call goes on if its caller leaves, so that the answer is there when it asks again.
    let gate = gate.clone();
    let task = tokio::spawn(async move { booked(&gate, &job, pool, &key, proof).await });
    task.await.unwrap_or_else(|_| {
        let text = "the call ended without a known outcome";
        Err(Refused::unknown(Refusal::EndpointFailed, text))
    })
}

/// Runs a call with a booking key: at most once, or answers what its one run answered.
async fn booked(
    gate: &Arc<Gate>,
    job: &Job,
    pool: PoolId,
    key: &str,
    proof: Untouched,
) -> Result<Response<Body>> {
    let (mut permit, proof) = match booking::claim(gate, job, key, proof).await? {
        Claimed::Run(permit, proof) => (permit, proof),
        Claimed::Answer(answer) => {
            job.trace.end("replayed", gate.now());
            return Ok(answer);
        }
    };
    match unless_cut(gate, attempt(gate, job, pool, Some(&mut permit), proof)).await {
        Ok((head, body)) => {
            booking::finish(permit, &head, &body);
            Ok(respond(gate, job, (head, body)))
        }
        Err(refused) if refused.outcome() == Outcome::NotRun => {
            permit.release_unrun();
            Err(refused)
        }
        // Dropping the permit states that the outcome will never be known.
        Err(refused) => Err(refused),
    }
}

fn respond(gate: &Gate, job: &Job, (head, body): (http::response::Parts, Bytes)) -> Response<Body> {
    gate.meter.answers.inc();
    job.trace.end("answered", gate.now());
    let mut out = Response::new(Body::from(body));
    *out.status_mut() = head.status;
    *out.headers_mut() = header::for_caller(&head.headers, &job.id);
    out
}

fn authorise(job: &Job, pool: PoolId, proof: Untouched) -> Result<Untouched> {
    let allowed = || job.org().is_some_and(|o| o.services.contains(&pool));
    if job.caller.org().is_none() || allowed() {
        return Ok(proof);
    }
    let text = "the organisation has no access to this service";
    Err(Refused::not_run(Refusal::Forbidden, text, proof))
}

async fn attempt(
    gate: &Arc<Gate>,
    job: &Job,
    pool: PoolId,
    mut permit: Option<&mut Permit>,
    proof: Untouched,
) -> Result<(http::response::Parts, Bytes)> {
    let shape = Shape { cost: 1, ..Shape::default() };
    let (slot, proof) = admit(gate, job, pool, shape.cost, proof).await?;
    // The wait in the queue does not count against the time to dispatch.
    if let Some(permit) = &mut permit {
        permit.renew(Instant::now());
    }
    let mut grant = Grant::First(proof);
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut silent = false;
    loop {
        grant = check_key(gate, job, grant)?;
        let (target, granted) = next_target(gate, job, pool, &shape, &tried, grant).await?;
        slot.sent();
        tried.push(target.id);
        let granted = booking::check_permit(permit.as_deref(), granted)?;
        let left = left(gate, job);
        let failure = match once(gate, job, &target, granted, patience(job, left, silent)).await {
            Ok(whole) => {
                target.stay.end(Kind::Success);
                count(gate, job, pool);
                gate.desk(pool).settle(&slot, &job.caller, shape.cost, shape.cost);
                gate.suspects.clear(|| job.prints(&gate.secrets));
                return Ok(whole);
            }
            Err(failure) => failure,
        };
        log::info!("request {}: {failure}", job.id);
        silent |= failure.silent;
        let cause = blame(gate, job, target, &failure).await;
        let again = Repeatable::idempotent(job.entry().idempotent);
        let attempts = tried.len() as u32;
        let (next, reason) = repeat(gate, job, pool, (*failure, cause), again, attempts)?;
        gate.meter.retry(reason);
        job.trace.retried(reason.code());
        grant = next;
    }
}

/// Counts a call that was answered whole; one that may not have run is not counted.
fn count(gate: &Gate, job: &Job, pool: PoolId) {
    if let (Some(org), Some(pool)) = (job.org(), job.snapshot.pool(pool)) {
        (gate.count)(&org.name, &pool.name, 0, 0);
    }
}

/// Sends the request to one endpoint and reads the whole answer.
async fn once(
    gate: &Gate,
    job: &Job,
    target: &Target,
    grant: Grant,
    patience: Patience,
) -> exchange::Result<(http::response::Parts, Bytes)> {
    let answer =
        exchange::send(&target.links, request(job), &job.id, &header::SIGNS, grant, patience)
            .await?;
    gate.note_load(target.id, &answer.head);
    answer.collect(gate.limits().answer, patience.fresh).await
}

/// An idempotent call leaves time to try again over a new connection. Any other call cannot be
/// sent twice, so it avoids connections that may have gone silent while they were idle; so does
/// every call that met a `silent` one already.
fn patience(job: &Job, left: Duration, silent: bool) -> Patience {
    let (reused, rest) = match job.entry().idempotent {
        true => (left / RETRY_SHARE, IDLE_LIMIT),
        false => (left, BOOKING_REST),
    };
    Patience { fresh: left, reused, rest: if silent { Duration::ZERO } else { rest } }
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

/// Headers of the request as the endpoint may see them.
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
