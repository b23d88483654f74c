//! Metrics of orders and releases of endpoints.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Counters of calls and gauges of ordered endpoints.
pub struct FleetMetrics {
    /// Orders and releases sent, by call and result.
    pub calls: IntCounterVec,
    /// Endpoints ordered and not listed yet, by pool; set by the lease holder.
    pub ordered: IntGaugeVec,
}

impl FleetMetrics {
    /// Registers the metrics; the counter of each call and result starts at zero.
    pub fn open(registry: &Registry) -> Self {
        let opts = Opts::new("agatetrack_fleet_calls_total", "Orders and releases, by result");
        let calls = IntCounterVec::new(opts, &["call", "result"]).expect("metric names are valid");
        let opts = Opts::new("agatetrack_fleet_ordered", "Endpoints ordered and not listed yet");
        let ordered = IntGaugeVec::new(opts, &["pool"]).expect("metric names are valid");
        registry.register(Box::new(calls.clone())).expect("metric names are distinct");
        registry.register(Box::new(ordered.clone())).expect("metric names are distinct");
        for call in ["order", "release"] {
            for result in ["taken", "refused", "unknown"] {
                calls.with_label_values(&[call, result]);
            }
        }
        Self { calls, ordered }
    }
}
