//! Metrics of paths and relayed connections.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of paths and relayed connections.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Connections requested from other instances, by outcome.
    pub requested: IntCounterVec,
    /// Connections that other instances requested, by outcome.
    pub relayed: IntCounterVec,
    /// Endpoints that this instance reaches through others only.
    pub broken: IntGauge,
    /// Connections forwarded for other instances now.
    pub forwarding: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let counter = |name: &str, help: &str| {
            IntCounterVec::new(Opts::new(name, help), &["outcome"]).expect("metric names are valid")
        };
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("valid names");
        Self {
            requested: counter(
                "agatetrack_relayed_connections_total",
                "Connections to endpoints requested from other instances",
            ),
            relayed: counter(
                "agatetrack_relay_requests_total",
                "Connections to endpoints that other instances requested",
            ),
            broken: gauge(
                "agatetrack_broken_paths",
                "Endpoints that are reached through other instances only",
            ),
            forwarding: gauge(
                "agatetrack_forwarded_connections",
                "Connections forwarded for other instances",
            ),
        }
    }
}

impl Metrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &Registry) {
        let names = "metric names are distinct";
        for vec in [&self.requested, &self.relayed] {
            registry.register(Box::new(vec.clone())).expect(names);
        }
        for gauge in [&self.broken, &self.forwarding] {
            registry.register(Box::new(gauge.clone())).expect(names);
        }
    }
}
