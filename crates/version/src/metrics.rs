//! Metrics of the versions of streams.

use prometheus::{IntCounterVec, Opts, Registry};

/// Metrics of the streams that callers take up at one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Attempts to take a stream up, by what told its version; see [`crate::resumption::Source`].
    pub taken_up: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let opts = Opts::new(
            "agate_stream_versions_total",
            "streams taken up, by what told their software version",
        );
        let taken_up = IntCounterVec::new(opts, &["source"]).expect("names are valid");
        Self { taken_up }
    }
}

impl Metrics {
    /// Adds the metrics to `registry`.
    pub fn register(&self, registry: &Registry) {
        registry.register(Box::new(self.taken_up.clone())).expect("names of metrics are unique");
    }
}
