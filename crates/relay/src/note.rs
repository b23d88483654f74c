//! Counts and logs how far a request came.

use {
    crate::{begun, gate::Gate, meter::Meter, serve::Job, stay::Stay},
    http::StatusCode,
};

/// Counts and logs an answer that was passed on whole.
pub fn note_answer(gate: &Gate, job: &Job, stay: &Stay, status: StatusCode) {
    let kind = job.route.kind.label();
    let class = if status.is_success() { "success" } else { "failure" };
    gate.meter.answers.with_label_values(&[kind, class]).inc();
    Meter::observe(&gate.meter.whole, kind, job.arrived.elapsed());
    log::debug!(
        event = "answered", request = job.ask.id.as_str(), route = &*job.route.name,
        endpoint = &*stay.endpoint.entry.name, status = status.as_u16(),
        took_ms = job.arrived.elapsed().as_millis() as u64;
        "answer passed on"
    );
}

/// Counts a request that began to run.
pub fn count_start(gate: &Gate, job: &Job, stay: &Stay) {
    log::debug!(
        event = "started", request = job.ask.id.as_str(), route = &*job.route.name,
        endpoint = &*stay.endpoint.entry.name, ahead = stay.ahead(),
        placed_ms = stay.elapsed().as_millis() as u64,
        arrived_ms = job.arrived.elapsed().as_millis() as u64;
        "the endpoint began to answer"
    );
    Meter::observe(&gate.meter.first, job.route.kind.label(), job.arrived.elapsed());
    begun::note(gate, job);
}
