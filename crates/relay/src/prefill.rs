//! Remote prefill: one engine prefills a long prompt before another one decodes.
//!
//! An engine that only prefills is faster at it and delays no stream. A prefill does not run the
//! request, so it may be retried, and the proof that nothing ran stays valid.

use {
    crate::{
        assignment::Assignment,
        calls::{Admission, CallTracker},
        crash::{self, CallGuard, fingerprint_text, parts_text},
        demand::PromptClass,
        dialect::{Part, PrefillHandle},
        fleet::Requirements,
        placement::{Choice, Workload},
        proxy_state::ProxyState,
        requirements::{late_policy, outgoing, prompt_class, workload},
        run::{MIN_REMAINING, send},
        serve::Job,
    },
    agate_quarantine::{Trial, Work},
    agate_route::health::ExchangeResult,
    agate_transport::{
        exchange::{Ending, Failure, Step},
        proof::{Grant, Retryable},
    },
    agate_view::{
        roster::{Stage, Version},
        table::Name,
    },
    rand::seq::SliceRandom,
    std::{sync::Arc, time::Duration},
};

/// Shorter prompts, in tokens, are prefilled by the engine that decodes: their prefill takes less
/// time than another exchange.
pub const MIN_TOKENS: u32 = 768;
/// Time from the transfer of the KV cache to the first token, subtracted from the time limit of a
/// prefill.
const DECODE_MARGIN: Duration = Duration::from_millis(15);
/// Maximum size of the response to a prefill, in bytes.
const MAX_RESPONSE: usize = 16 << 10;
/// Maximum number of engines tried for one prefill.
const MAX_TRIES: usize = 2;

/// KV cache of a prefilled prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Name by which the other engine fetches it.
    pub name: String,
    /// Availability zone of the engine that has it.
    pub zone: Name,
    /// Version of that engine's software; one of another version cannot read it.
    pub version: Version,
}

/// Has the prompt prefilled if that is worthwhile, by an engine of `version` if there is one; `None` if
/// one engine shall do prefill and decode.
///
/// # Errors
///
/// Returns the time after which a prefill engine may have room, if all are full. The prompt is not
/// prefilled by a decode engine instead: that is slow, and all its streams wait meanwhile.
pub async fn remote_prefill(
    state: &Arc<ProxyState>,
    job: &Arc<Job>,
    calls: &mut CallTracker,
    version: Option<&Version>,
) -> Result<Option<KvSource>, Duration> {
    if prompt_class(job) != Some(PromptClass::Long) {
        return Ok(None);
    }
    // The prefill would be wasted if no engine can decode afterwards.
    let usable = |v: &&Version| {
        state.fleet.count_stage(&job.service, Stage::Prefill, Some(v)) > 0
            && state.fleet.has_free_slot(&job.service, Stage::Decode, Some(v))
    };
    let mut versions =
        version.map_or_else(|| state.fleet.versions(&job.service), |v| vec![v.clone()]);
    versions.shuffle(&mut rand::rng());
    let Some(version) = versions.iter().find(usable) else { return Ok(None) };
    let mut tried = Vec::new();
    while tried.len() < MAX_TRIES && job.remaining() > MIN_REMAINING {
        let Some(suspects) = crash::check_prefill(state, job) else { return Ok(None) };
        // If the retry budget allows one more call but not two, one engine does the whole request.
        let needed = calls.permits_to_prefill();
        if !state.reserve_permits(&job.service, calls, needed) {
            return Ok(None);
        }
        let assignment = match choose_engine(state, job, version, &tried, !suspects.is_empty()) {
            Ok(assignment) => assignment,
            Err(Choice::Full(wait)) if tried.is_empty() && !state.settings.measured_demand => {
                return Err(wait);
            }
            // A decode engine may still be in time if it prefills the prompt itself.
            Err(_) => return Ok(None),
        };
        tried.push(assignment.endpoint.entry.name.clone());
        let zone = assignment.endpoint.entry.zone.clone();
        let mut trial = None;
        if !suspects.is_empty() {
            let endpoint = assignment.endpoint.incarnation;
            let begun = state.quarantine.begin_trial(suspects, endpoint, job.remaining());
            let Ok(begun) = begun.await else { return Ok(None) };
            trial = Some(begun);
        }
        let Some(admission) = state.admit(&job.service, calls) else {
            trial.into_iter().for_each(Trial::not_run);
            return Ok(None);
        };
        match prefill(state, job, assignment, trial, &admission).await {
            PrefillOutcome::Stored(name) => {
                state.on_prefill_accepted(&job.service, calls, admission);
                return Ok(Some(KvSource { name, zone, version: version.clone() }));
            }
            PrefillOutcome::Unsent => state.on_unsent(&job.service, calls, admission),
            PrefillOutcome::Failed => {}
        }
    }
    Ok(None)
}

fn choose_engine(
    state: &ProxyState,
    job: &Job,
    version: &Version,
    tried: &[Name],
    isolated: bool,
) -> Result<Assignment, Choice> {
    let workload = workload(job);
    let limit = workload.limit.saturating_sub(DECODE_MARGIN);
    let workload = Workload { limit, late: late_policy(state, job), isolated, ..workload };
    let avoided = if isolated { state.quarantine.trial_exclusions() } else { Vec::new() };
    let stage = Some(Stage::Prefill);
    state.fleet.choose(&Requirements {
        service: &job.service,
        workload,
        stage,
        version: Some(version),
        tried,
        avoided: &avoided,
        zone: None,
    })
}

/// Result of one prefill call.
enum PrefillOutcome {
    /// The engine keeps the KV cache under this name.
    Stored(String),
    /// Nothing reached the engine; already logged.
    Unsent,
    /// The engine may have been reached but keeps no KV cache; already logged.
    Failed,
}

/// Has one engine prefill the prompt.
async fn prefill(
    state: &Arc<ProxyState>,
    job: &Arc<Job>,
    mut assignment: Assignment,
    trial: Option<Trial>,
    admission: &Admission,
) -> PrefillOutcome {
    let endpoint = assignment.endpoint.clone();
    let outgoing = outgoing(job, &assignment, None, Part::Prefill);
    let grant = Retryable::idempotent(true).map(Grant::Again).expect("a prefill may be retried");
    let guard = CallGuard::begin(state, job, &endpoint, Work::Prefill, trial);
    let sent = send(state, job, &assignment, &outgoing, grant, admission).await;
    let ending = sent.as_ref().map_or(Ending::Marked, |response| response.ending());
    let answered = match sent {
        Ok(response) => response.collect(MAX_RESPONSE, job.remaining()).await,
        Err(failure) => Err(failure),
    };
    let (head, body) = match answered {
        Ok(whole) => whole,
        Err(failure) => {
            on_failure(state, job, &assignment, &failure);
            guard.on_failure(&failure).await;
            return if failure.unsent() { PrefillOutcome::Unsent } else { PrefillOutcome::Failed };
        }
    };
    let handle = if head.status.is_success() { (state.dialect.parse_prefill)(&body) } else { None };
    let Some(handle) = handle else {
        match ending {
            Ending::Marked => guard.on_error_response(),
            Ending::Closed | Ending::Unknown => guard.on_lost(false).await,
        }
        state.fleet.record_result(&endpoint, ExchangeResult::Failure);
        log::info!(
            event = "reading_failed", request = job.info.id.as_str(),
            endpoint = &*endpoint.entry.name, status = head.status.as_u16();
            "the engine did not keep the KV cache"
        );
        return PrefillOutcome::Failed;
    };
    log::debug!(
        event = "prompt_read", request = job.info.id.as_str(), endpoint = &*endpoint.entry.name,
        ahead = assignment.ahead(), took_ms = assignment.elapsed().as_millis() as u64;
        "prompt prefilled"
    );
    guard.on_response(assignment.elapsed());
    assignment.on_first_token();
    let time = assignment.prefill_time();
    state.demand(&job.service, |d, _| d.on_prefill(time));
    state.fleet.record_result(&endpoint, ExchangeResult::Success);
    PrefillOutcome::Stored(kv_name(state, &assignment, &handle))
}

fn kv_name(state: &ProxyState, assignment: &Assignment, handle: &PrefillHandle) -> String {
    (state.dialect.kv_source)(assignment.endpoint.entry.address, handle)
}

fn on_failure(state: &ProxyState, job: &Job, assignment: &Assignment, failure: &Failure) {
    let endpoint = &assignment.endpoint;
    state.metrics.failures.with_label_values(&["read"]).inc();
    if failure.step == Step::Connect {
        state.fleet.back_off(endpoint);
    }
    state.fleet.record_result(
        endpoint,
        if failure.declared { ExchangeResult::Busy } else { ExchangeResult::Failure },
    );
    log::info!(
        event = "reading_failed", request = job.info.id.as_str(),
        print = fingerprint_text(job, Work::Prefill).as_str(), parts = parts_text(job, Work::Prefill).as_str(), endpoint = &*endpoint.entry.name, cause = failure.cause.as_str(),
        declared = failure.declared, after_ms = assignment.elapsed().as_millis() as u64;
        "prefill failed"
    );
}
