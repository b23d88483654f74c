//! Counts and logs the progress of requests.

use {
    crate::{
        assignment::Assignment, metrics::Metrics, proxy_state::ProxyState, serve::Job, started,
    },
    http::StatusCode,
};

/// Counts and logs a response that was forwarded completely.
pub fn record_response(state: &ProxyState, job: &Job, assignment: &Assignment, status: StatusCode) {
    let kind = job.route.kind.label();
    let class = if status.is_success() { "success" } else { "failure" };
    state.metrics.responses.with_label_values(&[kind, class]).inc();
    Metrics::observe(&state.metrics.duration, kind, job.arrived.elapsed());
    log::debug!(
        event = "answered", request = job.info.id.as_str(), route = &*job.route.name,
        endpoint = &*assignment.endpoint.entry.name, status = status.as_u16(),
        took_ms = job.arrived.elapsed().as_millis() as u64;
        "response forwarded"
    );
}

/// Counts and logs the first byte of a response, with which a request began to run.
pub fn record_start(state: &ProxyState, job: &Job, assignment: &Assignment) {
    log::debug!(
        event = "started", request = job.info.id.as_str(), route = &*job.route.name,
        endpoint = &*assignment.endpoint.entry.name, ahead = assignment.ahead(),
        placed_ms = assignment.elapsed().as_millis() as u64,
        arrived_ms = job.arrived.elapsed().as_millis() as u64;
        "the endpoint began to respond"
    );
    Metrics::observe(&state.metrics.first_byte, job.route.kind.label(), job.arrived.elapsed());
    started::count_started(state, job);
}
