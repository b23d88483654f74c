//! Metrics of the quarantine.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters of one instance.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Endpoints seen to crash, by what showed it.
    pub crashes: IntCounterVec,
    /// Calls that crashed endpoints left unanswered.
    pub blamed: IntCounter,
    /// Trials of suspects, by result.
    pub trials: IntCounterVec,
    /// Suspects in the record of the store, as last read.
    pub suspects: IntGauge,
}

impl Default for Meter {
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
            blamed: IntCounter::new(
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

impl Meter {
    /// Adds the metrics to those of the instance.
    pub fn register(&self, registry: &Registry) {
        let all: [Box<dyn prometheus::core::Collector>; 4] = [
            Box::new(self.crashes.clone()),
            Box::new(self.blamed.clone()),
            Box::new(self.trials.clone()),
            Box::new(self.suspects.clone()),
        ];
        for metric in all {
            registry.register(metric).expect("names of metrics are unique");
        }
    }
}
