//! Metrics of the control of roles.

use {
    agate_order::Outcome,
    prometheus::{IntCounterVec, IntGauge, Opts, Registry},
};

/// Metrics of the control of roles.
#[derive(Clone)]
pub struct Meter {
    /// Orders, by outcome.
    pub orders: IntCounterVec,
    /// Terms of authority, by event.
    pub terms: IntCounterVec,
    /// Role changes, by result.
    pub changes: IntCounterVec,
    /// Reads of engines' states, by result.
    pub reads: IntCounterVec,
    /// Pieces for which this instance may act.
    pub pieces: IntGauge,
}

impl Meter {
    /// Registers the metrics; each label starts at zero.
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
