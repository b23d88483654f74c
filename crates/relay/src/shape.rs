//! What a request needs of an endpoint, and what the endpoint is told.

use {
    crate::{
        demand::Class,
        dialect::{Outgoing, Part},
        fleet::Need,
        gate::Gate,
        place::{ADMIT_PART, Want},
        serve::Job,
        split::{self, Source},
        stay::Stay,
        worth::Late,
    },
    agate_quarantine::EndpointHash,
    agate_view::{roster::Stage, table::Name},
    std::time::Duration,
};

/// Usual urgency at an engine.
const USUAL_URGENCY: u8 = 3;
/// Urgency of a long prompt that is read where it runs.
const LONG_URGENCY: u8 = 6;
/// Part of the usual time within which an engine that generates must be expected to read a long
/// prompt itself.
const WHOLE_PART: f64 = 0.6;

/// Class of a model request, `None` for plain work.
pub fn class(job: &Job) -> Option<Class> {
    let prompt = job.ask.prompt.as_ref()?;
    Some(if prompt.input >= split::LEAST_TOKENS { Class::Long } else { Class::Short })
}

/// What the request needs of its endpoint.
pub fn need<'a>(
    job: &'a Job,
    tried: &'a [Name],
    avoided: &'a [EndpointHash],
    source: Option<&'a Source>,
) -> Need<'a> {
    let engine = job.table.services.get(&job.service).is_some_and(|s| s.engine.is_some());
    let stage = engine.then_some(Stage::Decode);
    let apart = class(job) == Some(Class::Long);
    let want = match source {
        // Its prompt was read already, so it rather waits for a slot than be refused.
        Some(_) => Want { within: job.left(), ..Want::default() },
        // An engine that generates for others must not be filled with prompts.
        None if engine && apart => {
            let want = want(job);
            Want { within: want.within.mul_f64(WHOLE_PART), slot: true, ..want }
        }
        None => want(job),
    };
    Need { service: &job.service, want, stage, tried, avoided, zone: source.map(|s| &s.zone) }
}

/// What is placed if the request's prompt still has to be read.
pub fn want(job: &Job) -> Want {
    let prompt = job.ask.prompt.as_ref();
    Want {
        subject: prompt.and_then(|p| p.subject()),
        tokens: prompt.map_or(0, |p| p.input),
        shared: prompt.map_or(0, |p| p.shared()),
        within: within(job),
        ..Want::default()
    }
}

/// What decides whether a prompt that cannot be in time is read by an engine that only reads.
pub fn late(gate: &Gate, job: &Job) -> Late {
    let usual = gate.demand(&job.service, |d, _| d.usual_read());
    let engines = gate.fleet.count_stage(&job.service, Stage::Prefill);
    Late {
        within: job.left().mul_f64(ADMIT_PART),
        slack: job.route.objective.mul_f64(ADMIT_PART).saturating_sub(usual),
        load: gate.all_ask(&job.service).reading / engines.max(1) as f64,
    }
}

/// Longest time to a first token for which the request is worth starting.
fn within(job: &Job) -> Duration {
    let objective = job.route.objective.saturating_sub(job.arrived.elapsed());
    match class(job) {
        // It costs little to start, and an answer behind the objective is still worth something.
        Some(Class::Short) => job.left().mul_f64(ADMIT_PART),
        // A long prompt that cannot be in time takes the time of others that can.
        Some(Class::Long) | None => objective.mul_f64(ADMIT_PART),
    }
}

/// What an endpoint is told besides the caller's own headers.
pub fn outgoing<'a>(
    job: &'a Job,
    stay: &'a Stay,
    resume: Option<&'a str>,
    part: Part<'a>,
) -> Outgoing<'a> {
    Outgoing {
        endpoint: &stay.endpoint.entry.name,
        left: job.left(),
        org: job.org.as_ref().map(|o| &*o.name),
        resume,
        urgency: urgency(job, part),
        part,
    }
}

/// Rank for an engine's own queue, 0 first. A long prompt that is read where it runs yields to all
/// else; everything else is equal, since an engine that is full stops the less urgent of two answers
/// in the middle.
fn urgency(job: &Job, part: Part<'_>) -> u8 {
    match part {
        Part::Whole if class(job) == Some(Class::Long) => LONG_URGENCY,
        Part::Whole | Part::Read | Part::Generate(_) => USUAL_URGENCY,
    }
}
