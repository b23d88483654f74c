//! Callbacks through which the endpoints follow the demand, and the metrics of what is planned.

use {
    agate_leader::{
        capacity::{Figures, calls::CapacityCalls},
        stage,
    },
    agate_relay::proxy_state::ProxyState,
    agate_view::table::Name,
    prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry},
    std::sync::Arc,
};

/// Creates the callbacks and registers the metrics with the metrics of the request path.
pub fn capacity_calls(proxy_state: &Arc<ProxyState>) -> CapacityCalls {
    let asking = proxy_state.clone();
    let (gauge, counter) = register(proxy_state.metrics.registry());
    CapacityCalls {
        demand: Box::new(move |service| {
            let demand = asking.known_demand(service)?;
            Some(stage::EngineDemand { prefill: demand.prefill, slots: demand.slots })
        }),
        on_figures: Box::new(move |service, figures| set_gauges(&gauge, service, figures)),
        on_order: Box::new(move |reason, outcome| {
            counter.with_label_values(&[reason.label(), outcome.label()]).inc();
        }),
    }
}

fn register(registry: &Registry) -> (IntGaugeVec, IntCounterVec) {
    let opts = Opts::new("agate_planned_engines", "engines needed, planned and running");
    let gauge = IntGaugeVec::new(opts, &["service", "of"]).expect("names of metrics are valid");
    registry.register(Box::new(gauge.clone())).expect("names of metrics are unique");
    let opts =
        Opts::new("agate_endpoint_orders_total", "orders for endpoints by reason and outcome");
    let counter = IntCounterVec::new(opts, &["reason", "outcome"]);
    let counter = counter.expect("names of metrics are valid");
    registry.register(Box::new(counter.clone())).expect("names of metrics are unique");
    (gauge, counter)
}

fn set_gauges(gauge: &IntGaugeVec, service: &Name, figures: &Figures) {
    let Figures { need, target, ordered, running, .. } = *figures;
    let rows = [("need", need), ("target", target), ("ordered", ordered), ("running", running)];
    for (of, count) in rows {
        gauge.with_label_values(&[&**service, of]).set(i64::from(count));
    }
}
