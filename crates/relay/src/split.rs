//! Has a long prompt read by one engine before another one generates the answer.
//!
//! An engine that only reads is faster at it and delays no stream. Reading does not run the request,
//! so it may be repeated and leaves the proof that nothing ran untouched.

use {
    crate::{
        arrivals::{Arrivals, Pass},
        demand::Class,
        dialect::{Kept, Part},
        fleet::Need,
        gate::Gate,
        place::{Choice, Want},
        run::{LEAST_LEFT, send},
        serve::Job,
        shape::{class, late, outgoing, want},
        stay::Stay,
        suspect::{Exposure, may_read_apart, print_text},
    },
    agate_link::{
        exchange::{Failure, Step},
        truth::{Grant, Repeatable},
    },
    agate_quarantine::Work,
    agate_route::health::Kind,
    agate_view::{roster::Stage, table::Name},
    std::{sync::Arc, time::Duration},
};

/// Prompts below this many tokens are read where they run: their reading takes less than the
/// further exchange.
pub const LEAST_TOKENS: u32 = 768;
/// Time that generating takes from the hand-over of the memory to the first token, kept free of the
/// time within which a prompt has to be read.
const GENERATE: Duration = Duration::from_millis(15);
/// Largest answer of an engine that read a prompt, in bytes.
const ANSWER: usize = 16 << 10;
/// Engines that a prompt is given to.
const TRIES: usize = 2;

/// Memory of a prompt that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// What the other engine finds it by.
    pub name: String,
    /// Availability zone in which it lies.
    pub zone: Name,
}

/// Has the prompt read if that pays; `None` if the request shall run whole.
///
/// Errors: the time after which an engine that reads may have room. A long prompt does not run whole
/// instead: engines that generate read slowly, and all their streams wait meanwhile.
pub async fn read_apart(
    gate: &Arc<Gate>,
    job: &Arc<Job>,
    arrivals: &mut Arrivals,
) -> Result<Option<Source>, Duration> {
    let readers = gate.fleet.count_stage(&job.service, Stage::Prefill);
    if class(job) != Some(Class::Long) || readers == 0 {
        return Ok(None);
    }
    // A prompt is read in vain if no engine can generate the answer then.
    if !gate.fleet.has_slot(&job.service, Stage::Decode) {
        return Ok(None);
    }
    let mut tried = Vec::new();
    while tried.len() < TRIES && job.left() > LEAST_LEFT && may_read_apart(gate, job) {
        // If the budget of repeats has one left but not two, the request is rather run whole.
        let needed = arrivals.needs_to_read();
        if !gate.hold_permits(&job.service, arrivals, needed) {
            return Ok(None);
        }
        let stay = match place(gate, job, &tried) {
            Ok(stay) => stay,
            Err(Choice::Full(wait)) if tried.is_empty() => return Err(wait),
            // An engine that generates may still be in time if it reads the prompt itself.
            Err(_) => return Ok(None),
        };
        tried.push(stay.endpoint.entry.name.clone());
        let zone = stay.endpoint.entry.zone.clone();
        let Some(pass) = gate.admit(&job.service, arrivals) else { return Ok(None) };
        match read(gate, job, stay, &pass).await {
            Reading::Kept(name) => {
                gate.accepted(&job.service, arrivals, pass);
                return Ok(Some(Source { name, zone }));
            }
            Reading::Unsent => gate.unsent(&job.service, arrivals, pass),
            Reading::Failed => {}
        }
    }
    Ok(None)
}

fn place(gate: &Gate, job: &Job, tried: &[Name]) -> Result<Stay, Choice> {
    let want = want(job);
    let within = want.within.saturating_sub(GENERATE);
    let want = Want { within, late: late(gate, job), ..want };
    let stage = Some(Stage::Prefill);
    gate.fleet.choose(&Need { service: &job.service, want, stage, tried, avoided: &[], zone: None })
}

/// What came of having one engine read a prompt.
enum Reading {
    /// It keeps the prompt under this name.
    Kept(String),
    /// Nothing reached it; logged.
    Unsent,
    /// It may have been reached and did not keep the prompt; logged.
    Failed,
}

/// Has one engine read the prompt.
async fn read(gate: &Arc<Gate>, job: &Arc<Job>, mut stay: Stay, pass: &Pass) -> Reading {
    let endpoint = stay.endpoint.clone();
    let told = outgoing(job, &stay, None, Part::Read);
    let grant = Repeatable::idempotent(true).map(Grant::Again).expect("reading may be repeated");
    let exposure = Exposure::begin(gate, job, &endpoint, Work::Read, None);
    let sent = send(gate, job, &stay, &told, grant, pass).await;
    let answered = match sent {
        Ok(answer) => answer.collect(ANSWER, job.left()).await,
        Err(failure) => Err(failure),
    };
    let (head, body) = match answered {
        Ok(whole) => whole,
        Err(failure) => {
            fail(gate, job, &stay, &failure);
            exposure.ended(&failure).await;
            return if failure.unsent() { Reading::Unsent } else { Reading::Failed };
        }
    };
    let kept = if head.status.is_success() { (gate.dialect.kept)(&body) } else { None };
    let Some(kept) = kept else {
        exposure.failed();
        gate.fleet.judge(&endpoint, Kind::Failure);
        log::info!(
            event = "reading_failed", request = job.ask.id.as_str(),
            endpoint = &*endpoint.entry.name, status = head.status.as_u16();
            "the engine did not keep the prompt"
        );
        return Reading::Failed;
    };
    log::debug!(
        event = "prompt_read", request = job.ask.id.as_str(), endpoint = &*endpoint.entry.name,
        ahead = stay.ahead(), took_ms = stay.elapsed().as_millis() as u64;
        "an engine read the prompt"
    );
    exposure.answered();
    stay.first_token();
    let engine = stay.reading_time();
    gate.demand(&job.service, |d, _| d.on_read(engine));
    gate.fleet.judge(&endpoint, Kind::Success);
    Reading::Kept(name(gate, &stay, &kept))
}

fn name(gate: &Gate, stay: &Stay, kept: &Kept) -> String {
    (gate.dialect.source)(stay.endpoint.entry.address, kept)
}

fn fail(gate: &Gate, job: &Job, stay: &Stay, failure: &Failure) {
    let endpoint = &stay.endpoint;
    gate.meter.failures.with_label_values(&["read"]).inc();
    if failure.step == Step::Connect {
        gate.fleet.leave_out(endpoint);
    }
    gate.fleet.judge(endpoint, if failure.declared { Kind::Busy } else { Kind::Failure });
    log::info!(
        event = "reading_failed", request = job.ask.id.as_str(),
        print = print_text(job, Work::Read).as_str(), endpoint = &*endpoint.entry.name, cause = failure.cause.as_str(),
        declared = failure.declared, after_ms = stay.elapsed().as_millis() as u64;
        "an engine did not read the prompt"
    );
}
