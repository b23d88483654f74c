//! Counts for usage which requests began to run, each once however many attempts it took.

use {
    crate::{gate::Gate, serve::Job},
    agate_link::exchange::{Failure, Result, Step},
    std::sync::atomic::{AtomicBool, Ordering::Relaxed},
};

/// Whether a request was counted.
#[derive(Debug, Default)]
pub struct Begun(AtomicBool);

/// Counts the request unless it was counted before.
pub fn note(gate: &Gate, job: &Job) {
    if let Some(org) = &job.org
        && !job.begun.0.swap(true, Relaxed)
    {
        (gate.started)(&org.name);
    }
}

/// A request that an endpoint has and did not answer yet.
///
/// A plain service runs what it accepts, so a plain request also counts if this is dropped because the
/// caller left. A model engine's request counts from its first token, so a stream whose caller leaves
/// before that does not. An endpoint that took either and closes the connection without an answer has
/// most often run it, and so has one that answers without stating that it ran nothing.
pub struct Waiting<'a> {
    gate: &'a Gate,
    job: &'a Job,
    counts: bool,
}

impl<'a> Waiting<'a> {
    /// Begins to wait for the answer to `job`.
    pub fn new(gate: &'a Gate, job: &'a Job) -> Self {
        Self { gate, job, counts: !job.route.kind.streams() }
    }

    /// Ends the wait with what came of it.
    pub fn end<T>(mut self, sent: &Result<T>) {
        // A stream that is answered counts with its first bytes.
        self.counts = sent.as_ref().map_or_else(|failure| was_lost(failure), |_| self.counts);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.counts {
            note(self.gate, self.job);
        }
    }
}

/// Whether the endpoint took the request and its answer was lost, as far as the exchange shows.
/// Silence shows nothing: the endpoint may have been gone before.
fn was_lost(failure: &Failure) -> bool {
    let arrived = matches!(failure.step, Step::Head | Step::Match);
    arrived && !failure.declared && !failure.silent
}
