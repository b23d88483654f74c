//! Prometheus metrics of the request path.

use {
    crate::refusal::Cause,
    prometheus::{
        HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
    },
    std::time::Duration,
};

/// Bucket bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.08, 0.12, 0.2, 0.3, 0.5, 0.8, 1.5, 4.0, 15.0];

/// Metrics of one instance.
pub struct Metrics {
    /// Requests with a route, by kind.
    pub requests: IntCounterVec,
    /// Endpoints' responses forwarded completely, by kind and status class.
    pub responses: IntCounterVec,
    /// Requests not served, by cause and promise ("not_run" or "unknown").
    pub refusals: IntCounterVec,
    /// Attempts beyond the first, by reason.
    pub retries: IntCounterVec,
    /// Second attempts while the first one runs, by outcome.
    pub hedges: IntCounterVec,
    /// Slow requests without a second attempt, by reason.
    pub hedge_denials: IntCounterVec,
    /// Calls to endpoints, by service and rank ("first" or "further"); a call that turns out not to
    /// count for the retry budget is counted a second time as "uncounted".
    pub calls: IntCounterVec,
    /// Retry permits requested, by service and outcome.
    pub permits: IntCounterVec,
    /// Changes of what endpoints state about themselves, by signal, and malformed statements.
    pub signals: IntCounterVec,
    /// Calls to endpoints that state a rate limit, by part of the work.
    pub limited_calls: IntCounterVec,
    /// Calls to endpoints that want no requests for a while, by part of the work.
    pub resting_calls: IntCounterVec,
    /// Failed exchanges with endpoints, by step.
    pub failures: IntCounterVec,
    /// Responses that ended with their connection, by what proves them complete, or why nothing does.
    pub closed_ends: IntCounterVec,
    /// Moves of streams off endpoints that leave, by event: begun, done, or why one failed.
    pub moves: IntCounterVec,
    /// Streams resumed at another endpoint.
    pub resumed: IntCounter,
    /// Time from a request's arrival to the first byte of its response, by kind.
    pub first_byte: HistogramVec,
    /// Time from a request's arrival to the end of its response, by kind.
    pub duration: HistogramVec,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels);
            let made = made.expect("names of metrics are valid");
            registry.register(Box::new(made.clone())).expect("names of metrics are unique");
            made
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let made = HistogramVec::new(opts, &["kind"]).expect("names of metrics are valid");
            registry.register(Box::new(made.clone())).expect("names of metrics are unique");
            made
        };
        let resumed = IntCounter::new("agate_streams_resumed_total", "streams resumed elsewhere")
            .expect("names of metrics are valid");
        registry.register(Box::new(resumed.clone())).expect("names of metrics are unique");
        Self {
            requests: counter("agate_requests_total", "requests taken", &["kind"]),
            responses: counter("agate_answers_total", "answers passed on", &["kind", "class"]),
            refusals: counter("agate_refusals_total", "requests not served", &["cause", "promise"]),
            retries: counter("agate_retries_total", "further attempts", &["reason"]),
            hedges: counter(
                "agate_hedges_total",
                "second attempts beside a slow one",
                &["outcome"],
            ),
            hedge_denials: counter(
                "agate_hedges_denied_total",
                "slow requests without a second attempt",
                &["reason"],
            ),
            calls: counter(
                "agate_calls_total",
                "calls to endpoints by rank; uncounted ones also in a rank",
                &["service", "rank"],
            ),
            permits: counter(
                "agate_repeats_total",
                "repeated attempts asked of the budget",
                &["service", "outcome"],
            ),
            signals: counter(
                "agate_endpoint_signals_total",
                "changes of what endpoints state about themselves",
                &["signal"],
            ),
            limited_calls: counter(
                "agate_limited_calls_total",
                "calls to endpoints that state a rate limit",
                &["part"],
            ),
            resting_calls: counter(
                "agate_resting_calls_total",
                "calls to endpoints that want no requests for a while",
                &["part"],
            ),
            failures: counter("agate_failures_total", "failed exchanges", &["step"]),
            closed_ends: counter(
                "agate_closed_ends_total",
                "responses that ended with their connection, by proof",
                &["proof"],
            ),
            moves: counter(
                "agate_stream_moves_total",
                "moves of streams off endpoints that leave",
                &["event"],
            ),
            resumed,
            first_byte: histogram(
                "agate_first_byte_seconds",
                "arrival to first byte of the answer",
            ),
            duration: histogram("agate_whole_seconds", "arrival to end of the answer"),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a refusal; `not_run` says whether it promises that the request did not run.
    pub fn count_refusal(&self, cause: Cause, not_run: bool) {
        let promise = if not_run { "not_run" } else { "unknown" };
        self.refusals.with_label_values(&[cause.label(), promise]).inc();
    }

    /// Records a time for the given kind of request.
    pub fn observe(histogram: &HistogramVec, kind: &str, time: Duration) {
        histogram.with_label_values(&[kind]).observe(time.as_secs_f64());
    }

    /// Registry, to which other parts of the process add their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All registered metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        if let Err(e) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut out) {
            log::error!("encoding the metrics failed: {e}");
        }
        out
    }
}
