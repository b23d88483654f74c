//! Metrics of the quarantine.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Quarantine metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Detected endpoint crashes, by what showed them.
    pub crashes: IntCounterVec,
    /// Calls left unanswered by crashed endpoints.
    pub crash_calls: IntCounter,
    /// Trials of suspects, by result.
    pub trials: IntCounterVec,
    /// Number of suspects in the record as last read.
    pub suspects: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("names are valid")
        };
        Self {
            crashes: counters(
                "agate_endpoint_crashes_total",
                "endpoints seen to crash",
                "shown_by",
            ),
            crash_calls: IntCounter::new(
                "agate_crash_calls_total",
                "calls that crashes left unanswered",
            )
            .expect("names are valid"),
            trials: counters("agate_trials_total", "trials of suspected requests", "result"),
            suspects: IntGauge::new("agate_suspects", "suspected requests")
                .expect("names are valid"),
        }
    }
}

impl Metrics {
    /// Registers the metrics in the instance's registry.
    ///
    /// # Panics
    ///
    /// Panics if they are already registered.
    pub fn register(&self, registry: &Registry) {
        let all: [Box<dyn prometheus::core::Collector>; 4] = [
            Box::new(self.crashes.clone()),
            Box::new(self.crash_calls.clone()),
            Box::new(self.trials.clone()),
            Box::new(self.suspects.clone()),
        ];
        for metric in all {
            registry.register(metric).expect("names of metrics are unique");
        }
    }
}
