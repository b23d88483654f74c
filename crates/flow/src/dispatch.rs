//! Steps that model and service requests share: admission, choice of endpoint, and the decision
//! whether a failed attempt may be repeated.

use {
    crate::{
        desk::{Denied, Entry, Slot},
        gate::{Gate, Stay},
        meter::Meter,
        quarantine::Verdict,
        reply::{Refused, Result},
        serve::Job,
        suspect::Seat,
    },
    agate_core::{EndpointId, PoolId, Refusal, Retry},
    agate_link::{
        exchange::{Failure, Step},
        link::{self, Pool},
        truth::{Grant, Repeatable, Untouched},
    },
    agate_route::{
        choose::{Ask, Choice, weigh},
        health::Kind,
        retry::{self, may_retry},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Delay that a refusal suggests when no endpoint could take the request.
pub const COME_BACK: Duration = Duration::from_secs(1);

/// What one attempt goes to.
pub struct Target {
    /// The endpoint.
    pub id: EndpointId,
    /// Connections to it.
    pub links: Arc<Pool>,
    /// Count of the exchange.
    pub stay: Stay,
    /// What it was chosen by.
    pub chosen: Choice,
    /// The endpoint's seat for a suspected request, if this is one.
    pub seat: Option<Seat>,
    /// Whether the request was suspected when it was sent.
    pub suspected: bool,
}

/// Size of a request as the choice of its endpoint sees it.
#[derive(Clone, Debug, Default)]
pub struct Shape {
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// Estimated tokens of the prompt.
    pub prompt: u32,
    /// Estimated cost of the whole request, in tokens.
    pub cost: u32,
}

/// Waits for admission to `pool`.
pub async fn admit(
    gate: &Gate,
    job: &Job,
    pool: PoolId,
    cost: u32,
    proof: Untouched,
) -> Result<(Slot, Untouched)> {
    let desk = gate.desk(pool);
    let weight = job.org().map_or(1, |o| o.weight);
    let (caller, deadline) = (job.caller.clone(), job.deadline);
    let begin = gate.now();
    let admitted = desk.admit(Entry { caller, weight, cost, deadline }).await;
    let queued = gate.now().saturating_sub(begin);
    Meter::observe(&gate.meter.queued, queued);
    job.trace.note(|n| {
        n.queued = queued.as_micros() as u64;
        n.pool = job.snapshot.pool(pool).map(|p| p.name.clone());
    });
    match admitted {
        Ok(slot) => {
            desk.retries.on_request();
            Ok((slot, proof))
        }
        Err(denied) => Err(refuse(denied, proof)),
    }
}

fn refuse(denied: Denied, proof: Untouched) -> Refused {
    match denied {
        Denied::Refused(r) => {
            let text = "the queue cannot serve the request in time";
            Refused::not_run(r.reason, text, proof).retry_after(r.after)
        }
        Denied::Expired => {
            let text = "the deadline passed while the request waited";
            Refused::not_run(Refusal::DeadlineUnmet, text, proof).retry_after(COME_BACK)
        }
        Denied::Withdrawn => {
            let text = "the key was withdrawn while the request waited";
            Refused::not_run(Refusal::KeyWithdrawn, text, proof)
        }
    }
}

/// Chooses the endpoint of the next attempt and counts the exchange there.
///
/// A request that was in flight at a crash goes only to an endpoint that runs no other such request,
/// and waits for one; a quarantined one is refused.
pub async fn next_target(
    gate: &Arc<Gate>,
    job: &Job,
    pool: PoolId,
    shape: &Shape,
    tried: &[EndpointId],
    grant: Grant,
) -> Result<(Target, Grant)> {
    loop {
        let left = left(gate, job);
        if left.is_zero() {
            return Err(exhausted(grant.untouched(), left));
        }
        let verdict = gate.suspects.judge(|| job.prints(&gate.secrets), gate.now());
        match verdict {
            Verdict::Refused => {
                let text = "the request crashed endpoints before and is refused for some minutes";
                return Err(Refused::either(Refusal::Quarantined, text, grant.untouched()));
            }
            Verdict::Free => {
                let target = pick(gate, pool, shape, tried, &[]);
                return found(job, target, grant, left);
            }
            Verdict::Alone => {}
        }
        let freed = gate.suspects.freed.notified();
        let seated = gate.suspects.seated();
        let target = pick(gate, pool, shape, tried, &seated);
        if seated.is_empty() && target.is_none() {
            return Err(exhausted(grant.untouched(), left));
        }
        if let Some(mut target) = target {
            target.suspected = true;
            target.seat = gate.suspects.sit(target.id);
            if target.seat.is_some() {
                return found(job, Some(target), grant, left);
            }
        }
        let _ = timeout(left, freed).await;
    }
}

fn found(
    job: &Job,
    target: Option<Target>,
    grant: Grant,
    left: Duration,
) -> Result<(Target, Grant)> {
    let Some(target) = target else { return Err(exhausted(grant.untouched(), left)) };
    if let Some(endpoint) = job.snapshot.endpoint(target.id)
        && let Some(zone) = job.snapshot.zone(endpoint.zone)
    {
        job.trace.chose(&endpoint.name, &zone.name, &target.chosen);
    }
    Ok((target, grant))
}

/// Chooses an endpoint outside of `never`; those `tried` before only if there is no other.
fn pick(
    gate: &Arc<Gate>,
    pool: PoolId,
    shape: &Shape,
    tried: &[EndpointId],
    never: &[EndpointId],
) -> Option<Target> {
    let (table, now) = (gate.table.load(), gate.now());
    let zone = table.home();
    let avoid = [tried, never].concat();
    let ask = Ask { pool, zone, prefix: &shape.prefix, tokens: shape.prompt, avoid: &avoid };
    let chosen = weigh(&table, &ask, now);
    let chosen = chosen.or_else(|_| weigh(&table, &Ask { avoid: never, ..ask }, now));
    let chosen = chosen.inspect_err(|e| log::debug!("{e}")).ok()?;
    let id = chosen.id;
    let links = gate.links(id)?;
    Some(Target { id, links, stay: Stay::begin(gate, id), seat: None, suspected: false, chosen })
}

/// Time that a request has left.
pub fn left(gate: &Gate, job: &Job) -> Duration {
    job.deadline.saturating_sub(gate.now())
}

/// Refuses the request if its key was withdrawn since it arrived.
pub fn check_key(gate: &Gate, job: &Job, grant: Grant) -> Result<Grant> {
    if !gate.trusts(&job.caller) {
        let text = "this instance cannot tell whether the key is still in force";
        return Err(Refused::either(Refusal::ConfigStale, text, grant.untouched()));
    }
    if job.caller.in_force(&gate.current) {
        return Ok(grant);
    }
    let text = "the key was withdrawn";
    Err(Refused::either(Refusal::KeyWithdrawn, text, grant.untouched()))
}

/// What a failed attempt means for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The endpoint went down during the exchange.
    Crash,
    /// The endpoint, known to be leaving, was taken away during the exchange.
    Left,
    /// Anything else.
    Other,
}

/// Decides whether the request may be sent again after `failure`.
///
/// Returns the permission and the reason to count. `repeat` is present if the request may run more
/// than once. A crash or an announced departure does not draw on the pool's
/// retry budget: it breaks each exchange of an endpoint once, and the endpoint is then offline.
pub fn repeat(
    gate: &Gate,
    job: &Job,
    pool: PoolId,
    (failure, cause): (Failure, Cause),
    repeat: Option<Repeatable>,
    attempts: u32,
) -> Result<(Grant, Retry)> {
    let sent = failure.declared || !matches!(failure.grant, Some(Grant::First(_)));
    let kind = retry::Failure { sent, declared_unrun: failure.declared };
    let (desk, left) = (gate.desk(pool), left(gate, job));
    let free = retry::Budget::default();
    let budget = if cause == Cause::Other { &desk.retries } else { &free };
    let allowed = attempts < gate.limits().attempts;
    let reason = may_retry(kind, repeat.is_some(), attempts, left, budget);
    let again = repeat.map(Grant::Again);
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

/// Ends a request for which nothing may be tried any more.
pub fn exhausted(proof: Option<Untouched>, left: Duration) -> Refused {
    let (reason, text) = match (&proof, left.is_zero()) {
        (Some(_), true) => (Refusal::DeadlineUnmet, "the deadline passed before an attempt"),
        (Some(_), false) => (Refusal::NoEndpoint, "no endpoint could take the request"),
        (None, true) => (Refusal::DeadlinePassed, "the deadline passed during the work"),
        (None, false) => {
            (Refusal::EndpointFailed, "the endpoint failed after it may have run the request")
        }
    };
    Refused::either(reason, text, proof).retry_after(COME_BACK)
}

/// Records what a failure says about its endpoint and the request, and retires connections that
/// went silent.
pub async fn blame(gate: &Gate, job: &Job, target: Target, failure: &Failure) -> Cause {
    let (kind, cause) = match failure {
        f if f.declared => (Kind::Busy, Cause::Other),
        f if f.silent => {
            gate.meter.silent.inc_by(1 + target.links.purge() as u64);
            // If new connections work, the path lost track of the old one and the endpoint is sound.
            let kind = if reachable(gate, &target).await { Kind::Neutral } else { Kind::Failure };
            (kind, Cause::Other)
        }
        f if matches!(f.step, Step::Head | Step::Body) && !reachable(gate, &target).await => {
            let table = gate.table.load();
            match table.endpoint(target.id).live.leaving.load(Ordering::Relaxed) {
                true => (Kind::Neutral, Cause::Left),
                false => (Kind::Failure, Cause::Crash),
            }
        }
        _ => (Kind::Failure, Cause::Other),
    };
    if cause == Cause::Crash {
        target.links.purge();
        let prints = job.prints(&gate.secrets);
        if target.suspected {
            gate.suspects.crash(prints, target.id, target.seat.is_some(), gate.now());
        } else {
            gate.suspects.suspect(prints, gate.now());
        }
    }
    target.stay.end(kind);
    cause
}

/// Whether the endpoint accepts a new connection.
async fn reachable(gate: &Gate, target: &Target) -> bool {
    let opened = timeout(gate.limits().probe, link::open(target.links.address())).await;
    matches!(opened, Ok(Ok(_)))
}
