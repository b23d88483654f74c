//! Steps shared by model and service requests: admission, choice of an endpoint, and the decision
//! whether a failed attempt may be retried.

use {
    crate::{
        admission::{Denied, Entry, Slot},
        metrics::Metrics,
        proxy_state::{ActiveExchange, ProxyState},
        quarantine::{Fingerprint, Verdict},
        refusal::{Refused, Result},
        serve::Job,
        suspect::Reservation,
    },
    agate_core::{EndpointId, PoolId, Refusal, Retry},
    agate_route::{
        choose::{Choice, RouteQuery, evaluate},
        health::ExchangeResult,
        retry::{self, may_retry},
        signals::MAX_REST,
    },
    agate_transport::{
        exchange::{Failure, Step},
        link::{self, Pool},
        proof::{Grant, NotRunProof, Retryable},
        retry_after::{self, RetryAfter},
    },
    http::response::Parts,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Delay for `Retry-After` in refusals for lack of an endpoint.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Endpoint of one attempt, with the resources held for it.
pub struct Target {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Connection pool of the endpoint.
    pub connections: Arc<Pool>,
    /// Counts the exchange at the endpoint until it ends.
    pub exchange: ActiveExchange,
    /// Figures on which the endpoint was chosen.
    pub chosen: Choice,
    /// Exclusive right of a suspected request to run at this endpoint.
    pub reservation: Option<Reservation>,
    /// Whether the request was suspected when the endpoint was chosen.
    pub suspected: bool,
    /// Its shared messages that were suspected then.
    pub messages: Vec<Fingerprint>,
}

/// Size of a request, as used for admission and the choice of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Shape {
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// Estimated length of the prompt, in tokens.
    pub prompt: u32,
    /// Estimated cost of the whole request, in tokens.
    pub cost: u32,
}

/// Waits for admission to `pool` and records the time in the queue.
///
/// Errors: the queue rejects the request, its deadline passes, or its key is revoked while it
/// waits.
pub async fn admit(
    state: &ProxyState,
    job: &Job,
    pool: PoolId,
    cost: u32,
    proof: NotRunProof,
) -> Result<(Slot, NotRunProof)> {
    let admission = state.admission(pool);
    let weight = job.org().map_or(1, |o| o.weight);
    let (caller, deadline) = (job.caller.clone(), job.deadline);
    let begin = state.now();
    let admitted = admission.admit(Entry { caller, weight, cost, deadline }).await;
    let queued = state.now().saturating_sub(begin);
    Metrics::observe(&state.metrics.queued, queued);
    job.trace.record(|n| {
        n.queued = queued.as_micros() as u64;
        n.pool = job.snapshot.pool(pool).map(|p| p.name.clone());
    });
    match admitted {
        Ok(slot) => {
            admission.retries.on_request();
            Ok((slot, proof))
        }
        Err(denied) => Err(admission_refusal(denied, proof)),
    }
}

fn admission_refusal(denied: Denied, proof: NotRunProof) -> Refused {
    match denied {
        Denied::Refused(r) => {
            let text = "the queue cannot serve the request in time";
            Refused::not_run(r.reason, text, proof).retry_after(r.after)
        }
        Denied::Expired => {
            let text = "the deadline passed while the request waited";
            Refused::not_run(Refusal::DeadlineUnmet, text, proof).retry_after(RETRY_AFTER)
        }
        Denied::Revoked => {
            let text = "the key was withdrawn while the request waited";
            Refused::not_run(Refusal::KeyRevoked, text, proof)
        }
    }
}

/// Chooses the endpoint of the next attempt and counts the exchange there.
///
/// A request that was in flight when an endpoint crashed is sent only to an endpoint that runs no
/// other such request; it waits for one if necessary. A quarantined request is refused.
///
/// Errors: the deadline has passed, the request is quarantined, or no endpoint can take it.
pub async fn next_target(
    state: &Arc<ProxyState>,
    job: &Job,
    pool: PoolId,
    shape: &Shape,
    tried: &[EndpointId],
    grant: Grant,
) -> Result<(Target, Grant)> {
    loop {
        let left = time_left(state, job);
        if left.is_zero() {
            return Err(exhausted(grant.not_run_proof(), left));
        }
        let judged = state.suspects.verdict(
            || job.fingerprints(&state.secrets),
            || job.shared_messages(),
            state.now(),
        );
        match judged.verdict {
            Verdict::Refused => {
                let text = "the request crashed endpoints before and is refused for some minutes";
                return Err(Refused::with_proof(Refusal::Quarantined, text, grant.not_run_proof()));
            }
            Verdict::Allowed => {
                let target = choose_endpoint(state, pool, shape, tried, &[]);
                if target.is_none() {
                    return Err(no_target(state, pool, grant, left));
                }
                return record_target(job, target, grant, left);
            }
            Verdict::Isolated => {}
        }
        let released = state.suspects.released.notified();
        let reserved = state.suspects.reserved_endpoints();
        let target = choose_endpoint(state, pool, shape, tried, &reserved);
        if reserved.is_empty() && target.is_none() {
            return Err(exhausted(grant.not_run_proof(), left));
        }
        if let Some(mut target) = target {
            target.suspected = judged.request;
            target.reservation = state.suspects.reserve(target.id, &judged.messages);
            target.messages = judged.messages;
            if target.reservation.is_some() {
                return record_target(job, Some(target), grant, left);
            }
        }
        let _ = timeout(left, released).await;
    }
}

/// Refusal of a request that no endpoint can take now. If endpoints rest, it states when the first
/// one can.
fn no_target(state: &ProxyState, pool: PoolId, grant: Grant, left: Duration) -> Refused {
    let refused = exhausted(grant.not_run_proof(), left);
    match state.table.load().rest_left(pool, state.now()) {
        Some(rest) => refused.retry_after(rest),
        None => refused,
    }
}

fn record_target(
    job: &Job,
    target: Option<Target>,
    grant: Grant,
    left: Duration,
) -> Result<(Target, Grant)> {
    let Some(target) = target else { return Err(exhausted(grant.not_run_proof(), left)) };
    if let Some(endpoint) = job.snapshot.endpoint(target.id)
        && let Some(zone) = job.snapshot.zone(endpoint.zone)
    {
        job.trace.record_choice(&endpoint.name, &zone.name, &target.chosen);
    }
    Ok((target, grant))
}

/// Chooses an endpoint that is not in `excluded`. Endpoints in `tried` are used only if there is no
/// other.
fn choose_endpoint(
    state: &Arc<ProxyState>,
    pool: PoolId,
    shape: &Shape,
    tried: &[EndpointId],
    excluded: &[EndpointId],
) -> Option<Target> {
    let (table, now) = (state.table.load(), state.now());
    let zone = table.home();
    let avoid = [tried, excluded].concat();
    let ask = RouteQuery { pool, zone, prefix: &shape.prefix, tokens: shape.prompt, avoid: &avoid };
    let chosen = evaluate(&table, &ask, now);
    let chosen = chosen.or_else(|_| evaluate(&table, &RouteQuery { avoid: excluded, ..ask }, now));
    let chosen = chosen.inspect_err(|e| log::debug!("{e}")).ok()?;
    let id = chosen.id;
    let connections = state.connections(id)?;
    Some(Target {
        id,
        connections,
        exchange: ActiveExchange::begin(state, id),
        reservation: None,
        suspected: false,
        messages: Vec::new(),
        chosen,
    })
}

/// Time to the deadline of the request; zero if it has passed.
pub fn time_left(state: &ProxyState, job: &Job) -> Duration {
    job.deadline.saturating_sub(state.now())
}

/// Checks that the caller's key is still valid before an attempt.
///
/// Errors: `ConfigStale` if the configuration is too old to tell, `KeyRevoked` if the key was
/// revoked.
pub fn check_key(state: &ProxyState, job: &Job, grant: Grant) -> Result<Grant> {
    if !state.is_fresh_for(&job.caller) {
        let text = "this instance cannot tell whether the key is still in force";
        return Err(Refused::with_proof(Refusal::ConfigStale, text, grant.not_run_proof()));
    }
    if job.caller.in_force(&state.current) {
        return Ok(grant);
    }
    let text = "the key was withdrawn";
    Err(Refused::with_proof(Refusal::KeyRevoked, text, grant.not_run_proof()))
}

/// Cause of a failed attempt, as far as it matters for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The endpoint crashed during the exchange.
    Crash,
    /// The endpoint was marked as leaving and was removed during the exchange.
    Removed,
    /// Any other failure.
    Other,
}

/// Decides whether the request may be sent again after `failure`.
///
/// Returns the permission to send and the reason to count. `retryable` is present if the request may
/// run more than once. A crash or an announced removal does not use the pool's retry budget: it
/// breaks each exchange of an endpoint once, and the endpoint is offline afterwards.
///
/// Errors: the request may not be retried, or its deadline, the attempts or the retry budget are
/// used up.
pub fn allow_retry(
    state: &ProxyState,
    job: &Job,
    pool: PoolId,
    (failure, cause): (Failure, Cause),
    retryable: Option<Retryable>,
    attempts: u32,
) -> Result<(Grant, Retry)> {
    let sent = failure.declared || !matches!(failure.grant, Some(Grant::First(_)));
    let kind = retry::Failure { sent, declared_not_run: failure.declared };
    let (admission, left) = (state.admission(pool), time_left(state, job));
    let free = retry::Budget::default();
    let budget = if cause == Cause::Other { &admission.retries } else { &free };
    let allowed = attempts < state.limits().attempts;
    let reason = may_retry(kind, retryable.is_some(), attempts, left, budget);
    let again = retryable.map(Grant::Again);
    match (reason.filter(|_| allowed), failure.grant.or(again)) {
        (Some(_), Some(grant)) if failure.silent => Ok((grant, Retry::ConnectionSilent)),
        (Some(Retry::Unsent), Some(grant)) if failure.step == Step::Connect => {
            Ok((grant, Retry::ConnectFailed))
        }
        (Some(reason), Some(grant)) => Ok((grant, reason)),
        (_, Some(Grant::First(proof))) => Err(exhausted(Some(proof), left)),
        _ => Err(exhausted(None, left)),
    }
}

/// Refusal of a request that cannot be attempted again. It says "not run" if `proof` is present.
pub fn exhausted(proof: Option<NotRunProof>, left: Duration) -> Refused {
    let (reason, text) = match (&proof, left.is_zero()) {
        (Some(_), true) => (Refusal::DeadlineUnmet, "the deadline passed before an attempt"),
        (Some(_), false) => (Refusal::NoEndpoint, "no endpoint could take the request"),
        (None, true) => (Refusal::DeadlinePassed, "the deadline passed during the work"),
        (None, false) => {
            (Refusal::EndpointFailed, "the endpoint failed after it may have run the request")
        }
    };
    Refused::with_proof(reason, text, proof).retry_after(RETRY_AFTER)
}

/// Withholds requests from an endpoint that asks for rest when it rejects a request.
pub fn observe_rest(state: &ProxyState, id: EndpointId, head: &Parts) {
    match retry_after::read(head) {
        RetryAfter::Absent => {}
        RetryAfter::After(rest) => {
            let rest = rest.min(MAX_REST);
            log::debug!("endpoint {id} wants no requests for {rest:?}");
            state.table.load().endpoint(id).stats.set_rest(state.now() + rest);
        }
        RetryAfter::Malformed => {
            log::debug!("endpoint {id} asks for a rest that is not a number of seconds");
        }
    }
}

/// Records a failure in the health of the endpoint and in the suspicion of the request, and closes
/// the idle connections if one timed out silently.
pub async fn record_failure(
    state: &ProxyState,
    job: &Job,
    target: Target,
    failure: &Failure,
) -> Cause {
    if let Some(head) = &failure.head {
        observe_rest(state, target.id, head);
    }
    let (kind, cause) = match failure {
        f if f.declared => (ExchangeResult::Busy, Cause::Other),
        f if f.silent => {
            state.metrics.silent.inc_by(1 + target.connections.purge() as u64);
            // If a new connection works, the network lost track of the old one and the endpoint
            // itself is healthy.
            let kind = if reachable(state, &target).await {
                ExchangeResult::Neutral
            } else {
                ExchangeResult::Failure
            };
            (kind, Cause::Other)
        }
        f if matches!(f.step, Step::Head | Step::Body) && !reachable(state, &target).await => {
            let table = state.table.load();
            match table.endpoint(target.id).stats.leaving.load(Ordering::Relaxed) {
                true => (ExchangeResult::Neutral, Cause::Removed),
                false => (ExchangeResult::Failure, Cause::Crash),
            }
        }
        _ => (ExchangeResult::Failure, Cause::Other),
    };
    if cause == Cause::Crash {
        target.connections.purge();
        let fingerprints = job.fingerprints(&state.secrets);
        state.suspects.crash_messages(
            job.shared_messages(),
            &target.messages,
            target.id,
            target.reservation.is_some(),
            state.now(),
        );
        if target.suspected {
            state.suspects.crash(
                fingerprints,
                target.id,
                target.reservation.is_some(),
                state.now(),
            );
        } else {
            state.suspects.suspect(fingerprints, state.now());
        }
    }
    target.exchange.end(kind);
    cause
}

/// Whether the endpoint accepts a new connection.
async fn reachable(state: &ProxyState, target: &Target) -> bool {
    let opened = timeout(state.limits().probe, link::open(target.connections.address())).await;
    matches!(opened, Ok(Ok(_)))
}
