//! Counts requests that began to run, for usage: each once, however many attempts it took.

use {
    crate::{proxy_state::ProxyState, serve::Job},
    agate_transport::exchange::{Failure, Result, Step},
    std::sync::atomic::{AtomicBool, Ordering::Relaxed},
};

/// Whether a request was already counted as started.
#[derive(Debug, Default)]
pub struct StartFlag(AtomicBool);

/// Counts the request as started unless it already was or has no organisation.
pub fn count_started(state: &ProxyState, job: &Job) {
    if let Some(org) = &job.org
        && !job.start_flag.0.swap(true, Relaxed)
    {
        (state.on_started)(&org.name);
    }
}

/// A request sent to an endpoint that has not responded yet; on drop it may count as started.
///
/// A plain service runs what it accepts, so a plain request counts also if the caller disconnects
/// first. A model request counts from its first token, so a stream whose caller disconnects before
/// that does not. An endpoint that took a request and closed the connection without a response, or
/// responded without stating that it ran nothing, has most often run the request, so both count.
pub struct PendingCall<'a> {
    state: &'a ProxyState,
    job: &'a Job,
    counts: bool,
}

impl<'a> PendingCall<'a> {
    /// Begins to wait for the response to `job`.
    pub fn new(state: &'a ProxyState, job: &'a Job) -> Self {
        Self { state, job, counts: !job.route.kind.streams() }
    }

    /// Ends the wait with the result of the exchange.
    pub fn end<T>(mut self, sent: &Result<T>) {
        // A stream with a response counts from its first bytes, elsewhere.
        self.counts = sent.as_ref().map_or_else(|failure| response_lost(failure), |_| self.counts);
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if self.counts {
            count_started(self.state, self.job);
        }
    }
}

/// Whether the endpoint took the request and the response was lost. A timeout does not show that:
/// the endpoint may have been gone before the request was sent.
fn response_lost(failure: &Failure) -> bool {
    let arrived = matches!(failure.step, Step::Head | Step::Match);
    arrived && !failure.declared && !failure.silent
}
