//! Calls to the store by purpose and result, as a metric of both kinds of instance.

use {
    agate_store::{Purpose, client::Client, tally::Event},
    prometheus::{
        IntCounterVec, Opts, Registry,
        core::{Collector, Desc},
        proto::MetricFamily,
    },
    std::sync::Mutex,
};

/// Counts of the store's client, taken over whenever metrics are collected.
struct Calls {
    counter: IntCounterVec,
    client: Client,
    /// Held while the counts are taken over.
    filling: Mutex<()>,
}

/// Registers the counts of `client`.
pub fn register(registry: &Registry, client: &Client) {
    let opts = Opts::new("agatetrack_store_calls_total", "Calls");
    let counter = IntCounterVec::new(opts, &["purpose", "event"]).expect("metric names are valid");
    let calls = Calls { counter, client: client.clone(), filling: Mutex::default() };
    registry.register(Box::new(calls)).expect("metric names are distinct");
}

impl Collector for Calls {
    fn desc(&self) -> Vec<&Desc> {
        self.counter.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let _held = self.filling.lock().expect("no panic while filling metrics");
        for purpose in Purpose::ALL {
            for event in Event::ALL {
                let count = self.client.tally().get(purpose, event);
                super::raise(&self.counter, &[purpose.label(), event.label()], count);
            }
        }
        self.counter.collect()
    }
}
