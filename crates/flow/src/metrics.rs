//! Counters and histograms of the request path.

use {
    agate_core::{Refusal, Retry},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
    std::time::Duration,
};

/// Histogram bucket bounds for delays, in seconds.
const DELAY_BUCKETS: [f64; 14] =
    [0.001, 0.005, 0.01, 0.02, 0.041, 0.08, 0.15, 0.3, 0.5, 0.78, 1.5, 3.0, 10.0, 30.0];

/// Metrics of one instance.
pub struct Metrics {
    /// Registry of all metrics, served at the operator address.
    pub registry: Registry,
    /// Requests accepted.
    pub requests: IntCounter,
    /// Requests with a complete response.
    pub responses: IntCounter,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Retries, by reason.
    pub retries: IntCounterVec,
    /// Callers that disconnected before their response was complete.
    pub abandoned: IntCounter,
    /// Connections closed because they timed out silently.
    pub silent: IntCounter,
    /// TLS handshakes of callers, by result.
    handshakes: IntCounterVec,
    /// Changed certificates, by result of loading them.
    certificates: IntCounterVec,
    /// Reloads of the settings file, by result.
    reloads: IntCounterVec,
    /// Requests in progress.
    pub open: IntGauge,
    /// Generation of the configuration in force.
    pub generation: IntGauge,
    /// Time from accept to the first token, in seconds.
    pub first: Histogram,
    /// Time between two tokens, in seconds.
    pub between: Histogram,
    /// Time spent in the admission queue, in seconds.
    pub queued: Histogram,
}

impl Metrics {
    /// Registers every metric in a new registry. Each label value starts at zero, so that rates are
    /// defined from the first scrape.
    pub fn open() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            register(&registry, IntCounter::new(name, help).expect("metric names are valid"))
        };
        let gauge = |name: &str, help: &str| {
            register(&registry, IntGauge::new(name, help).expect("metric names are valid"))
        };
        let by = |label: &str, name: &str, help: &str| {
            let vec = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, vec.expect("metric names are valid"))
        };
        let by_reason = |name: &str, help: &str| by("reason", name, help);
        let by_result = |name: &str, help: &str| by("result", name, help);
        let delay = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(DELAY_BUCKETS.to_vec());
            register(&registry, Histogram::with_opts(opts).expect("metric names are valid"))
        };
        let metrics = Self {
            requests: counter("agatetrack_requests_total", "Requests accepted"),
            responses: counter("agatetrack_answers_total", "Requests answered whole"),
            refusals: by_reason("agatetrack_refusals_total", "Requests refused, by reason"),
            retries: by_reason("agatetrack_retries_total", "Attempts repeated, by reason"),
            abandoned: counter("agatetrack_abandoned_total", "Callers that left early"),
            silent: counter("agatetrack_silent_connections_total", "Silent connections retired"),
            handshakes: by_result("agatetrack_handshakes_total", "TLS handshakes, by result"),
            certificates: by_result("agatetrack_certificates_total", "New certificates, by result"),
            reloads: by_result("agatetrack_settings_reloads_total", "Settings read again"),
            open: gauge("agatetrack_requests_open", "Requests in progress"),
            generation: gauge("agatetrack_config_generation", "Configuration in force"),
            first: delay("agatetrack_first_token_seconds", "Time to the first token"),
            between: delay("agatetrack_token_gap_seconds", "Time between two tokens"),
            queued: delay("agatetrack_queue_seconds", "Time in the admission queue"),
            registry: registry.clone(),
        };
        for reason in Refusal::ALL {
            metrics.refusals.with_label_values(&[reason.code()]);
        }
        for reason in Retry::ALL {
            metrics.retries.with_label_values(&[reason.code()]);
        }
        for result in ["done", "failed", "slow"] {
            metrics.handshakes.with_label_values(&[result]);
        }
        for result in ["loaded", "refused"] {
            metrics.certificates.with_label_values(&[result]);
            metrics.reloads.with_label_values(&[result]);
        }
        metrics
    }

    /// Counts a TLS handshake with the result `done`, `failed` or `slow`.
    pub fn handshake(&self, result: &str) {
        self.handshakes.with_label_values(&[result]).inc();
    }

    /// Counts a changed certificate with the result `loaded` or `refused`.
    pub fn certificate(&self, result: &str) {
        self.certificates.with_label_values(&[result]).inc();
    }

    /// Counts a reload of the settings file with the result `loaded` or `refused`.
    pub fn reload(&self, result: &str) {
        self.reloads.with_label_values(&[result]).inc();
    }

    /// Counts a refused request.
    pub fn refuse(&self, reason: Refusal) {
        self.refusals.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a retry.
    pub fn retry(&self, reason: Retry) {
        self.retries.with_label_values(&[reason.code()]).inc();
    }

    /// Records `delay` in a histogram of seconds.
    pub fn observe(histogram: &Histogram, delay: Duration) {
        histogram.observe(delay.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text exposition format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out).expect("metrics encode");
        String::from_utf8(out).expect("the exposition format is UTF-8")
    }
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}
