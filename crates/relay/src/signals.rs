//! Records what endpoints state about themselves in their responses.

use {
    crate::{
        dialect::{Outgoing, Part},
        endpoint::Endpoint,
        proxy_state::ProxyState,
        serve::Job,
    },
    agate_route::signals::Change,
    agate_transport::exchange::{EndpointResponse, Result},
    http::response::Parts,
    std::sync::atomic::Ordering::Relaxed,
};

/// Stable name of a part of a request's work in logs and metrics.
fn part_label(part: Part<'_>) -> &'static str {
    match part {
        Part::Whole => "whole",
        Part::Prefill => "prefill",
        Part::Decode(_) => "decode",
    }
}

/// Counts a call to an endpoint that is known to limit its rate or to rest.
pub fn count_call(state: &ProxyState, endpoint: &Endpoint, outgoing: &Outgoing<'_>) {
    let (limited, resting) = state.fleet.limited_or_resting(endpoint);
    let part = part_label(outgoing.part);
    if limited {
        state.metrics.limited_calls.with_label_values(&[part]).inc();
    }
    if resting {
        state.metrics.resting_calls.with_label_values(&[part]).inc();
    }
}

/// Applies the statements in the response to a call, if there is one. An endpoint that another
/// process has replaced at its address gets no further calls.
pub fn on_response(
    state: &ProxyState,
    job: &Job,
    endpoint: &Endpoint,
    outgoing: &Outgoing<'_>,
    sent: &Result<EndpointResponse>,
) {
    let head = match sent {
        Ok(response) => Some(&response.head),
        Err(failure) => failure.head.as_deref(),
    };
    let Some(head) = head else { return };
    read(state, job.info.id.as_str(), endpoint, part_label(outgoing.part), head);
}

/// Applies the statements in the head of a response to `part` of the work of `request`.
pub fn read(
    state: &ProxyState,
    request: &str,
    endpoint: &Endpoint,
    part: &'static str,
    head: &Parts,
) {
    // Another endpoint process that listens at the address speaks for itself only.
    if (state.dialect.misdirected)(head) {
        endpoint.stats.replaced.store(true, Relaxed);
        return;
    }
    let signals = (state.dialect.read_signals)(head);
    for change in state.fleet.on_signals(endpoint, &signals) {
        record_change(state, request, endpoint, part, change);
    }
}

fn record_change(
    state: &ProxyState,
    request: &str,
    endpoint: &Endpoint,
    part: &'static str,
    change: Change,
) {
    let name = &*endpoint.entry.name;
    let label = match change {
        Change::RateLimit(rate) => {
            log::info!(
                event = "rate_limit_changed", request = request, endpoint = name,
                per_second = rate, part = part;
                "an endpoint states another rate limit"
            );
            "rate_limit"
        }
        Change::RateMalformed => {
            log::warn!(
                event = "rate_limit_malformed", request = request, endpoint = name;
                "an endpoint's rate limit is not a number; the earlier one stays in force"
            );
            "rate_limit_malformed"
        }
        Change::Rest(rest) => {
            log::info!(
                event = "rest_begun", request = request, endpoint = name,
                for_ms = rest.as_millis() as u64, part = part;
                "an endpoint wants no requests for a while"
            );
            "rest"
        }
        Change::Leaving => {
            log::info!(
                event = "leaving_stated", request = request, endpoint = name,
                part = part,
                roster_age_ms = state.view.roster.age().map(|a| a.as_millis() as u64);
                "an endpoint states that it is leaving"
            );
            "leaving"
        }
        Change::RestMalformed => {
            log::warn!(
                event = "rest_malformed", request = request, endpoint = name;
                "an endpoint's rest is not a number of seconds; only the usual backoff applies"
            );
            "rest_malformed"
        }
    };
    state.metrics.signals.with_label_values(&[label]).inc();
}
