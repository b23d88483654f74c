//! Metric of store calls by purpose and result, used by both kinds of instance.

use {
    agate_store::{Purpose, client::Client, tally::Event},
    prometheus::{
        IntCounterVec, Opts, Registry,
        core::{Collector, Desc},
        proto::MetricFamily,
    },
    std::sync::Mutex,
};

/// Collector that copies the store client's counters whenever metrics are collected.
struct StoreCalls {
    counter: IntCounterVec,
    client: Client,
    /// Serialises concurrent collections.
    refresh_lock: Mutex<()>,
}

/// Registers the call counters of `client`.
pub fn register(registry: &Registry, client: &Client) {
    let opts = Opts::new("agatetrack_store_calls_total", "Calls");
    let counter = IntCounterVec::new(opts, &["purpose", "event"]).expect("metric names are valid");
    let calls = StoreCalls { counter, client: client.clone(), refresh_lock: Mutex::default() };
    registry.register(Box::new(calls)).expect("metric names are distinct");
}

impl Collector for StoreCalls {
    fn desc(&self) -> Vec<&Desc> {
        self.counter.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let _held = self.refresh_lock.lock().expect("no panic while filling metrics");
        for purpose in Purpose::ALL {
            for event in Event::ALL {
                let count = self.client.tally().get(purpose, event);
                super::raise_to(&self.counter, &[purpose.label(), event.label()], count);
            }
        }
        self.counter.collect()
    }
}
