//! Requirements of a request on its endpoint, and the values sent to the endpoint.

use {
    crate::{
        assignment::Assignment,
        demand::PromptClass,
        dialect::{Outgoing, Part},
        fleet::Requirements,
        late::LatePolicy,
        placement::{ADMIT_FRACTION, Workload},
        prefill::{self, KvSource},
        proxy_state::ProxyState,
        run::Attempts,
        serve::Job,
    },
    agate_quarantine::EndpointHash,
    agate_view::roster::Stage,
    std::time::Duration,
};

/// Default urgency at an engine.
const USUAL_URGENCY: u8 = 3;
/// Urgency of a long prompt that is prefilled by the engine that decodes.
const LONG_URGENCY: u8 = 6;
/// Fraction of the usual time limit within which a decode engine must be expected to prefill a long
/// prompt itself.
const WHOLE_FRACTION: f64 = 0.6;

/// Class of a model request; `None` for requests to plain services.
pub fn prompt_class(job: &Job) -> Option<PromptClass> {
    let prompt = job.info.prompt.as_ref()?;
    Some(if prompt.input >= prefill::MIN_TOKENS { PromptClass::Long } else { PromptClass::Short })
}

/// Requirements on the endpoint that runs the request after the `attempts` so far, with or without a
/// remote prefill (`source`).
pub fn requirements<'a>(
    state: &ProxyState,
    job: &'a Job,
    attempts: &'a Attempts,
    avoided: &'a [EndpointHash],
    source: Option<&'a KvSource>,
) -> Requirements<'a> {
    let engine = job.table.services.get(&job.service).is_some_and(|s| s.engine.is_some());
    let stage = engine.then_some(Stage::Decode);
    let long = prompt_class(job) == Some(PromptClass::Long);
    let workload = match source {
        // The prompt is already prefilled, so the request waits for a slot instead of being
        // refused.
        Some(_) => Workload { limit: job.remaining(), ..Workload::default() },
        // Long prompts must not fill up an engine that decodes for others.
        None if engine && long => {
            let workload = workload(job);
            // Its prefill would delay the events of other responses by more than callers accept.
            let idle_only = state.settings.measured_demand;
            let limit = workload.limit.mul_f64(WHOLE_FRACTION);
            Workload { limit, needs_slot: true, idle_only, ..workload }
        }
        None => workload(job),
    };
    let workload = Workload { slot_wait: slot_wait(state, job), ..workload };
    Requirements {
        service: &job.service,
        workload,
        stage,
        version: source.map(|s| &s.version).or(attempts.version.as_ref()),
        tried: &attempts.tried,
        avoided,
        zone: source.map(|s| &s.zone),
    }
}

/// Expected wait for each request that is ahead in the queue of an engine without a free slot; zero
/// if slots do not count in the choice.
fn slot_wait(state: &ProxyState, job: &Job) -> Duration {
    if !state.settings.measured_demand {
        return Duration::ZERO;
    }
    let engine = job.table.services.get(&job.service).and_then(|s| s.engine.as_ref());
    let slot_time = |class| state.demand(&job.service, |d, _| d.usual_slot_time(class));
    engine.map_or(Duration::ZERO, |e| slot_time(PromptClass::Short) / e.slots.max(1))
}

/// The work to place if the prompt is not prefilled yet.
pub fn workload(job: &Job) -> Workload {
    let prompt = job.info.prompt.as_ref();
    Workload {
        prefix: prompt.and_then(|p| p.prefix()),
        tokens: prompt.map_or(0, |p| p.input),
        shared: prompt.map_or(0, |p| p.shared()),
        limit: admit_limit(job),
        ..Workload::default()
    }
}

/// Policy by which a prefill engine takes a prompt that cannot meet its objective.
pub fn late_policy(state: &ProxyState, job: &Job) -> LatePolicy {
    let usual = state.demand(&job.service, |d, _| d.usual_prefill());
    let engines = state.fleet.count_stage(&job.service, Stage::Prefill, None);
    LatePolicy {
        limit: job.remaining().mul_f64(ADMIT_FRACTION),
        slack: job.route.objective.mul_f64(ADMIT_FRACTION).saturating_sub(usual),
        load: state.total_demand(&job.service).prefill / engines.max(1) as f64,
    }
}

/// Maximum expected time to first token at which the request is admitted.
fn admit_limit(job: &Job) -> Duration {
    let objective = job.route.objective.saturating_sub(job.arrived.elapsed());
    match prompt_class(job) {
        // A short prompt costs little, and a response after the objective still has some value.
        Some(PromptClass::Short) => job.remaining().mul_f64(ADMIT_FRACTION),
        // A long prompt that cannot be in time delays others that can.
        Some(PromptClass::Long) | None => objective.mul_f64(ADMIT_FRACTION),
    }
}

/// Values sent to an endpoint in addition to the caller's headers.
pub fn outgoing<'a>(
    job: &'a Job,
    assignment: &'a Assignment,
    resume: Option<&'a str>,
    part: Part<'a>,
) -> Outgoing<'a> {
    Outgoing {
        endpoint: &assignment.endpoint.entry.name,
        left: job.remaining(),
        org: job.org.as_ref().map(|o| &*o.name),
        resume,
        urgency: urgency(job, part),
        part,
    }
}

/// Priority in an engine's own queue; 0 is served first. A long prompt without a remote prefill has
/// the lowest priority. All others are equal, since a full engine preempts the less urgent of two
/// running requests.
fn urgency(job: &Job, part: Part<'_>) -> u8 {
    match part {
        Part::Whole if prompt_class(job) == Some(PromptClass::Long) => LONG_URGENCY,
        Part::Whole | Part::Prefill | Part::Decode(_) => USUAL_URGENCY,
    }
}
