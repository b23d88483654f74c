//! Sends a request to one endpoint after another until there is an answer.

use {
    crate::{
        Body,
        arrivals::{Arrivals, Pass},
        begun::{self, Waiting},
        dialect::{Outgoing, Part, Verdict},
        full,
        gate::Gate,
        note,
        place::Choice,
        refusal::{Cause, Refused},
        serve::Job,
        shape::{class, need, outgoing},
        split::{self, Source},
        stay::Stay,
        stream,
        suspect::{self, Exposure, print_text},
    },
    agate_link::{
        exchange::{self, Answer, Failure, Patience, Step},
        flight::Guard,
        link::IDLE_LIMIT,
        truth::{Grant, Repeatable, Untouched},
    },
    agate_quarantine::{Trial, Work},
    agate_route::health::Kind as Judged,
    agate_view::table::Name,
    http::{Request, Response, header::CONTENT_LENGTH},
    http_body_util::Full,
    std::{
        sync::{Arc, atomic::Ordering::Relaxed},
        time::Duration,
    },
};

/// Time left below which a request is not started any more.
pub const LEAST_LEFT: Duration = Duration::from_millis(10);
/// Time after which a caller may come back when no endpoint is known.
const NO_ENDPOINT_AFTER: Duration = Duration::from_millis(300);
/// Bounds of the time after which a caller may come back to a full service.
const FULL_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Most endpoints that a request is offered to, those that took no connection included.
const MOST_TRIED: usize = 5;
/// Largest plain answer that is held back until it is whole, in bytes.
const HELD_ANSWER: usize = 1 << 20;
/// Sends over connections that had been closed meanwhile, before a request counts as failed.
const STALE_LINKS: usize = 4;

/// Result of a request.
pub type Outcome = Result<Response<Body>, Refused>;

/// Attempts of one request so far.
#[derive(Debug)]
pub struct Attempts {
    /// Permission to send it again.
    grant: Option<Grant>,
    /// Endpoints that it goes to no more.
    pub tried: Vec<Name>,
    /// Endpoints that it was sent to; one that took no connection does not count.
    pub sent: u32,
    /// Its calls to endpoints, as the budget of repeats counts them.
    pub arrivals: Arrivals,
    /// Cause of the newest failure.
    cause: Cause,
}

/// An endpoint's answer that is being passed on, with its place there.
pub struct Leg {
    /// The answer.
    pub answer: Answer,
    /// The request's place at the endpoint.
    pub stay: Stay,
    /// What the call may yet show of the request.
    pub exposure: Exposure,
}

/// Runs a request to the head of its answer, for plain answers to their end.
pub async fn run(gate: &Arc<Gate>, job: Job, guard: Option<Guard>) -> Outcome {
    let job = Arc::new(job);
    if let Some(class) = class(&job) {
        gate.demand(&job.service, |d, now| d.on_request(class, now));
    }
    let mut attempts = Attempts {
        grant: Some(Grant::First(Untouched::accept())),
        tried: Vec::new(),
        sent: 0,
        arrivals: Arrivals::default(),
        cause: Cause::Full,
    };
    loop {
        let source = match split::read_apart(gate, &job, &mut attempts.arrivals).await {
            Ok(source) => source,
            Err(wait) => return Err(no_room(&mut attempts, wait)),
        };
        let resume = job.ask.resume.as_deref();
        let leg = start(gate, &job, &mut attempts, resume, source.as_ref()).await?;
        let verdict = (gate.dialect.judge)(&leg.answer.head);
        if verdict != Verdict::Good {
            begun::note(gate, &job);
        }
        if let Verdict::Spoilt(why) = verdict {
            spoilt(gate, &job, leg, why);
            again(gate, &job, &mut attempts, Cause::Spoilt)?;
            continue;
        }
        let last = !may_go_on(&job, &attempts);
        if verdict == Verdict::Failed && job.route.kind.repeatable() && !last {
            gate.fleet.judge(&leg.stay.endpoint, Judged::Neutral);
            if again(gate, &job, &mut attempts, Cause::Rejected).is_ok() {
                leg.exposure.failed();
                continue;
            }
            attempts.grant = None;
        }
        if job.route.kind.streams() && verdict == Verdict::Good {
            return Ok(stream::pass(gate.clone(), job, leg, attempts, guard));
        }
        match collect(gate, &job, leg).await {
            Ok(response) => return Ok(response),
            Err(cause) => again(gate, &job, &mut attempts, cause)?,
        }
    }
}

/// Refuses a request for which an engine is expected to have room after `wait`.
fn no_room(attempts: &mut Attempts, wait: Duration) -> Refused {
    let grant = attempts.grant.take().expect("a new attempt has a grant");
    refuse(grant, attempts.cause, Some(full_after(wait)))
}

/// Time after which a caller may come back to a service that has room after `wait`.
fn full_after(wait: Duration) -> Duration {
    wait.clamp(FULL_AFTER.0, FULL_AFTER.1)
}

/// Whether the route and the time left allow another attempt.
fn may_go_on(job: &Job, attempts: &Attempts) -> bool {
    attempts.sent < job.route.attempts
        && attempts.tried.len() < MOST_TRIED
        && job.left() > LEAST_LEFT
}

/// Prepares another attempt after one that may have run the request, or ends the request.
pub fn again(gate: &Gate, job: &Job, attempts: &mut Attempts, cause: Cause) -> Result<(), Refused> {
    attempts.cause = cause;
    let repeatable = Repeatable::idempotent(job.route.kind.repeatable());
    let Some(proof) = repeatable.filter(|_| may_go_on(job, attempts)) else {
        return Err(Refused::unknown(cause));
    };
    if !may_repeat(gate, job, attempts) {
        return Err(Refused::unknown(cause));
    }
    gate.meter.retries.with_label_values(&[cause.label()]).inc();
    log::info!(
        event = "retry", request = job.ask.id.as_str(), cause = cause.label(),
        attempts = attempts.tried.len(), arrivals = attempts.arrivals.counted(), left_ms = job.left().as_millis() as u64;
        "the request is sent to another endpoint"
    );
    attempts.grant = Some(Grant::Again(proof));
    Ok(())
}

/// Sends the request until some endpoint begins to answer.
pub async fn start(
    gate: &Arc<Gate>,
    job: &Arc<Job>,
    attempts: &mut Attempts,
    resume: Option<&str>,
    mut source: Option<&Source>,
) -> Result<Leg, Refused> {
    loop {
        let grant = attempts.grant.take().expect("a new attempt has a grant");
        let (suspected, grant) = suspect::judge(gate, job, grant)?;
        let (mut stay, mut grant) = place(gate, job, attempts, grant, source, suspected)?;
        let mut trial = None;
        if suspected {
            let begun = suspect::begin(gate, job, &stay.endpoint, grant).await?;
            trial = Some(begun.0);
            // The store took its time to note the trial.
            grant = still_allowed(gate, job, begun.1)?;
        }
        let Some(pass) = gate.admit(&job.service, &mut attempts.arrivals) else {
            // Other failures hold the permit for the next call before they come here; a rejected reading
            // does not.
            attempts.cause = Cause::Rejected;
            log_denied(job, attempts);
            trial.into_iter().for_each(Trial::unrun);
            return Err(refuse(grant, Cause::Rejected, Some(FULL_AFTER.0)));
        };
        // Memory at another engine can be taken once only.
        let part = source.take().map_or(Part::Whole, |s| Part::Generate(&s.name));
        let outgoing = outgoing(job, &stay, resume, part);
        let waiting = Waiting::new(gate, job);
        let exposure = Exposure::begin(gate, job, &stay.endpoint, Work::Run, trial);
        let sent = send(gate, job, &stay, &outgoing, grant, &pass).await;
        waiting.end(&sent);
        attempts.tried.push(stay.endpoint.entry.name.clone());
        let unsent = matches!(&sent, Err(f) if f.step == Step::Connect);
        attempts.sent += u32::from(!unsent);
        if matches!(&sent, Err(f) if f.unsent()) {
            gate.unsent(&job.service, &mut attempts.arrivals, pass);
        }
        match sent {
            Ok(answer) => {
                if !job.route.kind.streams() {
                    stay.first_token();
                    note::count_start(gate, job, &stay);
                }
                return Ok(Leg { answer, stay, exposure });
            }
            Err(failure) => {
                exposure.ended(&failure).await;
                failed(gate, job, attempts, &stay, *failure)?;
            }
        }
    }
}

/// Chooses an endpoint, after checking that the request may still run.
fn place(
    gate: &Gate,
    job: &Job,
    attempts: &Attempts,
    grant: Grant,
    source: Option<&Source>,
    suspected: bool,
) -> Result<(Stay, Grant), Refused> {
    let grant = still_allowed(gate, job, grant)?;
    let avoided = if suspected { gate.quarantine.unfit() } else { Vec::new() };
    let need = need(job, &attempts.tried, &avoided, source);
    match gate.fleet.choose(&need) {
        Ok(stay) => Ok((stay, grant)),
        Err(Choice::Full(wait)) => Err(refuse(grant, attempts.cause, Some(full_after(wait)))),
        Err(_) => Err(refuse(grant, Cause::NoEndpoint, Some(NO_ENDPOINT_AFTER))),
    }
}

/// Checks that the request may still run.
fn still_allowed(gate: &Gate, job: &Job, grant: Grant) -> Result<Grant, Refused> {
    if job.left() < LEAST_LEFT {
        return Err(refuse(grant, Cause::Late, None));
    }
    if job.key.is_some() && !gate.keys_fresh() {
        return Err(refuse(grant, Cause::ConfigOld, Some(NO_ENDPOINT_AFTER)));
    }
    if !key_in_force(gate, job) {
        return Err(refuse(grant, Cause::KeyUnknown, None));
    }
    Ok(grant)
}

/// Whether the key is still in force in the newest configuration.
fn key_in_force(gate: &Gate, job: &Job) -> bool {
    let Some(key) = &job.key else { return true };
    let table = gate.belief.table.load();
    table.as_ref().is_some_and(|t| t.org(key).is_some())
}

/// Sends the request over a connection that still works; nothing else sends a caller's request to an
/// endpoint.
pub async fn send(
    gate: &Gate,
    job: &Job,
    stay: &Stay,
    outgoing: &Outgoing<'_>,
    mut grant: Grant,
    _pass: &Pass,
) -> exchange::Result<Answer> {
    let pool = &stay.endpoint.pool;
    let mut stale = 0;
    loop {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = (gate.dialect.compose)(&job.headers, outgoing);
        request.headers_mut().remove(CONTENT_LENGTH);
        let patience = Patience { fresh: job.left(), reused: job.left(), rest: IDLE_LIMIT };
        let sent =
            exchange::send(pool, request, &job.ask.id, &gate.dialect.signs, grant, patience).await;
        match sent {
            Err(mut failure) if failure.step == Step::Write && stale < STALE_LINKS => {
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

/// Judges a failed exchange; `Ok` if the request may be sent to another endpoint.
fn failed(
    gate: &Gate,
    job: &Job,
    attempts: &mut Attempts,
    stay: &Stay,
    mut failure: Failure,
) -> Result<(), Refused> {
    let endpoint = &stay.endpoint;
    let cause = match (failure.declared, failure.silent) {
        (true, _) => Cause::Rejected,
        (_, true) => Cause::Late,
        _ => Cause::Lost,
    };
    let misdirected = failure.head.as_deref().is_some_and(gate.dialect.misdirected);
    if misdirected {
        endpoint.live.gone.store(true, Relaxed);
    }
    gate.meter.failures.with_label_values(&[failure.step.label()]).inc();
    log::info!(
        event = "attempt_failed", request = job.ask.id.as_str(),
        print = print_text(job, Work::Run).as_str(), endpoint = &*endpoint.entry.name, step:? = failure.step, cause = failure.cause.as_str(),
        declared = failure.declared, misdirected, unrun = failure.grant.is_some(),
        after_ms = stay.elapsed().as_millis() as u64,
        roster_age_ms = gate.belief.roster.age().map(|a| a.as_millis() as u64);
        "an endpoint did not answer the request"
    );
    let kind = match cause {
        _ if failure.step == Step::Connect => {
            gate.fleet.leave_out(endpoint);
            Judged::Failure
        }
        Cause::Rejected => Judged::Busy,
        Cause::Late if job.left() > LEAST_LEFT || stay.overdue(job.route.objective) => {
            Judged::Failure
        }
        Cause::Late => Judged::Neutral,
        _ => Judged::Failure,
    };
    gate.fleet.judge(endpoint, kind);
    let Some(grant) = failure.grant.take() else { return again(gate, job, attempts, cause) };
    attempts.cause = cause;
    if !may_go_on(job, attempts) || !may_repeat(gate, job, attempts) {
        return Err(refuse(grant, cause, Some(FULL_AFTER.0)));
    }
    gate.meter.retries.with_label_values(&["unrun"]).inc();
    attempts.grant = Some(grant);
    Ok(())
}

/// Whether the budget allows the request to be run once more; a permit for that is then held.
fn may_repeat(gate: &Gate, job: &Job, attempts: &mut Attempts) -> bool {
    let needed = attempts.arrivals.needs_to_run();
    let held = gate.hold_permits(&job.service, &mut attempts.arrivals, needed);
    if !held {
        log_denied(job, attempts);
    }
    held
}

fn log_denied(job: &Job, attempts: &Attempts) {
    log::info!(
        event = "retry_denied", request = job.ask.id.as_str(), cause = attempts.cause.label(),
        arrivals = attempts.arrivals.counted();
        "the budget of repeats has none left"
    );
}

/// Refuses a request, truthfully by what its grant proves.
fn refuse(grant: Grant, cause: Cause, after: Option<Duration>) -> Refused {
    match grant.untouched() {
        Some(proof) => Refused::not_run(cause, after, proof),
        None => Refused::unknown(cause),
    }
}

fn spoilt(gate: &Gate, job: &Job, leg: Leg, why: &str) {
    let endpoint = &leg.stay.endpoint;
    leg.exposure.failed();
    gate.fleet.judge(endpoint, Judged::Failure);
    gate.meter.failures.with_label_values(&["spoilt"]).inc();
    log::info!(
        event = "answer_spoilt", request = job.ask.id.as_str(),
        endpoint = &*endpoint.entry.name, status = leg.answer.head.status.as_u16(), cause = why;
        "the endpoint's bytes are not passed on"
    );
}

/// Reads a plain answer to its end and passes it on.
async fn collect(gate: &Gate, job: &Job, leg: Leg) -> Result<Response<Body>, Cause> {
    let Leg { answer, stay, exposure } = leg;
    let status = answer.head.status;
    let (head, body) = match answer.collect(HELD_ANSWER, job.left()).await {
        Ok(whole) => whole,
        Err(failure) => {
            gate.fleet.judge(&stay.endpoint, Judged::Failure);
            log::info!(
                event = "answer_cut", request = job.ask.id.as_str(), print = print_text(job, Work::Run).as_str(),
                endpoint = &*stay.endpoint.entry.name, cause = failure.cause.as_str();
                "the endpoint's answer is not whole"
            );
            exposure.lost(failure.silent).await;
            return Err(if failure.silent { Cause::Late } else { Cause::Lost });
        }
    };
    // An endpoint that fails requests may do so before it runs them.
    if status.is_server_error() {
        exposure.failed()
    } else {
        exposure.answered()
    }
    gate.fleet.judge(&stay.endpoint, Judged::Success);
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    *response.headers_mut() = (gate.dialect.relay)(&head.headers);
    note::note_answer(gate, job, &stay, status);
    Ok(response)
}
