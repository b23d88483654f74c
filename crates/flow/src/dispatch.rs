//! Steps that model and service requests share: admission, choice of endpoint, and the decision
//! whether a failed attempt may be repeated.

use {
    crate::{
        desk::{Denied, Entry, Slot},
        exchange::Failure,
        gate::{Gate, Stay},
        link::{self, Pool},
        reply::{Refused, Result},
        serve::Job,
        truth::{Grant, Repeatable, Untouched},
    },
    agate_core::{EndpointId, PoolId, Refusal, Retry},
    agate_route::{
        choose::{Ask, choose},
        health::Kind,
        retry::{self, may_retry},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Delay that a refusal suggests when no endpoint could take the request.
const COME_BACK: Duration = Duration::from_secs(1);

/// What one attempt goes to.
pub struct Target {
    /// The endpoint.
    pub id: EndpointId,
    /// Connections to it.
    pub links: Arc<Pool>,
    /// Count of the exchange.
    pub stay: Stay,
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
    let weight = job.caller.org().and_then(|o| job.snapshot.org(o)).map_or(1, |o| o.weight);
    let (caller, deadline) = (job.caller.clone(), job.deadline);
    let begin = gate.now();
    let admitted = desk.admit(Entry { caller, weight, cost, deadline }).await;
    gate.meter.queued.observe(gate.now().saturating_sub(begin).as_secs_f64());
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
/// Endpoints that were tried before are taken again only if there is no other.
pub fn pick(gate: &Arc<Gate>, pool: PoolId, shape: &Shape, tried: &[EndpointId]) -> Option<Target> {
    let (table, zone, now) = (gate.table.load(), gate.zone(), gate.now());
    let ask = Ask { pool, zone, prefix: &shape.prefix, tokens: shape.prompt, avoid: tried };
    let chosen =
        choose(&table, &ask, now).or_else(|_| choose(&table, &Ask { avoid: &[], ..ask }, now));
    let id = chosen.inspect_err(|e| log::debug!("{e}")).ok()?;
    let links = gate.links(id)?;
    Some(Target { id, links, stay: Stay::begin(gate, id) })
}

/// Time that a request has left.
pub fn left(gate: &Gate, job: &Job) -> Duration {
    job.deadline.saturating_sub(gate.now())
}

/// Refuses the request if its key was withdrawn since it arrived.
pub fn check_key(gate: &Gate, job: &Job, grant: Grant) -> Result<Grant> {
    if job.caller.in_force(&gate.current) {
        return Ok(grant);
    }
    let text = "the key was withdrawn";
    Err(Refused::either(Refusal::KeyWithdrawn, text, grant.untouched()))
}

/// Decides whether the request may be sent again after `failure`.
///
/// `repeat` is present if the request may run more than once.
pub fn repeat(
    gate: &Gate,
    job: &Job,
    pool: PoolId,
    failure: Failure,
    repeat: Option<Repeatable>,
    attempts: u32,
) -> Result<Grant> {
    let sent = failure.declared || !matches!(failure.grant, Some(Grant::First(_)));
    let kind = retry::Failure { sent, declared_unrun: failure.declared };
    let (desk, left) = (gate.desk(pool), left(gate, job));
    let allowed = attempts < gate.limits.attempts;
    let reason = may_retry(kind, repeat.is_some(), attempts, left, &desk.retries);
    let again = repeat.map(Grant::Again);
    match (reason.filter(|_| allowed), failure.grant.or(again)) {
        (Some(reason), Some(grant)) => {
            gate.meter.retry(if failure.silent { Retry::ConnectionSilent } else { reason });
            Ok(grant)
        }
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

/// Records what a failure says about its endpoint, and retires connections that went silent.
pub async fn blame(gate: &Gate, target: Target, failure: &Failure) {
    let kind = if failure.declared {
        Kind::Busy
    } else if failure.silent {
        gate.meter.silent.inc_by(1 + target.links.purge() as u64);
        // If new connections work, the path lost track of the old one and the endpoint is sound.
        match timeout(gate.limits.probe, link::open(target.links.address())).await {
            Ok(Ok(_)) => Kind::Neutral,
            _ => Kind::Failure,
        }
    } else {
        Kind::Failure
    };
    target.stay.end(kind);
}
