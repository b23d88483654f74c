//! Metrics of role control.

use {
    agate_order::Outcome,
    prometheus::{IntCounterVec, IntGauge, Opts, Registry},
};

/// Counters and gauges of role control.
#[derive(Clone)]
pub struct RoleMetrics {
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Terms of control over pieces, by event.
    pub terms: IntCounterVec,
    /// Finished role changes, by result.
    pub changes: IntCounterVec,
    /// Reads of engine states, by result.
    pub reads: IntCounterVec,
    /// Pieces whose lease this instance holds.
    pub pieces: IntGauge,
}

impl RoleMetrics {
    /// Registers the metrics; the counter of each label value starts at zero.
    pub fn open(registry: &Registry) -> Self {
        let vec = |name: &str, help: &str, label: &str, values: &[&str]| {
            let out = IntCounterVec::new(Opts::new(name, help), &[label]);
            let out = out.expect("metric names are valid");
            registry.register(Box::new(out.clone())).expect("metric names are distinct");
            for value in values {
                out.with_label_values(&[*value]);
            }
            out
        };
        let pieces = IntGauge::new("agatetrack_role_pieces", "Pieces controlled here");
        let pieces = pieces.expect("metric names are valid");
        registry.register(Box::new(pieces.clone())).expect("metric names are distinct");
        let text = "Role orders, by outcome";
        let orders = vec("agatetrack_role_orders_total", text, "outcome", &Outcome::LABELS);
        let text = "Authority over pieces of engines gained and lost";
        let events = ["gained", "lost", "refused"];
        let terms = vec("agatetrack_role_authority_total", text, "event", &events);
        let (text, results) = ("Role changes, by result", ["done", "undone", "dropped"]);
        let changes = vec("agatetrack_role_changes_total", text, "result", &results);
        let (text, results) = ("Reads of engine states, by result", ["answered", "failed"]);
        let reads = vec("agatetrack_role_reads_total", text, "result", &results);
        Self { orders, terms, changes, reads, pieces }
    }
}
