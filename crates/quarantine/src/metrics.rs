//! Metrics of the quarantine.

use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Quarantine metrics of one instance.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Detected endpoint crashes, by what showed them.
    pub crashes: IntCounterVec,
    /// Calls left unanswered by crashed endpoints.
    pub crash_calls: IntCounter,
    /// Trials of suspects, by result and kind of suspect.
    pub trials: IntCounterVec,
    /// Number of suspects in the record as last read, by kind.
    pub suspects: IntGaugeVec,
    /// Requests that were refused because of a suspect, by its kind.
    pub held: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("names are valid")
        };
        let suspects = Opts::new("agate_suspects", "suspected requests and prompt parts");
        Self {
            crashes: counters(
                "agate_endpoint_crashes_total",
                "endpoints seen to crash",
                &["shown_by"],
            ),
            crash_calls: IntCounter::new(
                "agate_crash_calls_total",
                "calls that crashes left unanswered",
            )
            .expect("names are valid"),
            trials: counters(
                "agate_trials_total",
                "trials of suspected requests and prompt parts",
                &["result", "kind"],
            ),
            suspects: IntGaugeVec::new(suspects, &["kind"]).expect("names are valid"),
            held: counters(
                "agate_held_requests_total",
                "requests refused for a suspected request or prompt part",
                &["kind"],
            ),
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
        let all: [Box<dyn prometheus::core::Collector>; 5] = [
            Box::new(self.crashes.clone()),
            Box::new(self.crash_calls.clone()),
            Box::new(self.trials.clone()),
            Box::new(self.suspects.clone()),
            Box::new(self.held.clone()),
        ];
        for metric in all {
            registry.register(metric).expect("names of metrics are unique");
        }
    }
}
