//! Plans endpoint orders, without I/O.
//!
//! Spot endpoints cost a small part of an on-demand one but may vanish, a whole zone at a time. A
//! request that runs on one ends within the notice, and the other zones go on, so every zone uses
//! spot endpoints only. Where none are available, on-demand ones replace them for a while.

use {
    crate::capacity::{CapacityState, Figures, Planned, Reason, Sources},
    agate_core::Mono,
    agate_view::{
        roster::Entry,
        table::{Name, Scaling, Table},
    },
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time after which an order refused for lack of capacity is tried again.
pub const SCARCE_RETRY: Duration = Duration::from_secs(3);
/// Time, in addition to the endpoint's boot time, after which an order without visible effect is
/// repeated.
pub const RESEND_DELAY: Duration = Duration::from_secs(4);
/// On-demand endpoints in a zone without spot capacity.
const ON_DEMAND_FALLBACK: u32 = 2;

/// A service in a zone, for which endpoints are ordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderTarget {
    /// Name of the service.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
}

/// Order to set the number of endpoints of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service and zone of the endpoints.
    pub subject: OrderTarget,
    /// Whether it is for spot endpoints.
    pub spot: bool,
    /// Target number of endpoints.
    pub count: u32,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform carries it out.
    Accepted,
    /// No capacity is available now.
    Scarce,
    /// It is unknown whether the order was accepted.
    Unknown,
}

impl OrderOutcome {
    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::Scarce => "scarce",
            OrderOutcome::Unknown => "unknown",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct OrderRecord {
    ordered: Option<(u32, Mono)>,
    scarce: Option<Mono>,
}

/// Outcomes of the latest orders.
#[derive(Clone, Debug, Default)]
pub struct OrderState {
    records: IndexMap<(OrderTarget, bool), OrderRecord>,
    /// Plans by demand; empty unless the endpoints follow it.
    pub capacity: CapacityState,
}

impl OrderState {
    /// Records the outcome of an order.
    pub fn on_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Mono) {
        let record = self.records.entry((order.subject.clone(), order.spot)).or_default();
        match outcome {
            OrderOutcome::Accepted => {
                record.ordered = Some((order.count, now));
                record.scarce = None;
            }
            OrderOutcome::Scarce => record.scarce = Some(now),
            OrderOutcome::Unknown => record.ordered = None,
        }
        self.capacity.on_outcome(order, outcome, now);
    }

    fn is_scarce(&self, subject: &OrderTarget, now: Mono) -> bool {
        let record = self.records.get(&(subject.clone(), true));
        let since = record.and_then(|k| k.scarce);
        since.is_some_and(|at| now.saturating_sub(at) < SCARCE_RETRY)
    }

    fn was_scarce(&self, subject: &OrderTarget) -> bool {
        self.records.get(&(subject.clone(), true)).is_some_and(|k| k.scarce.is_some())
    }

    /// Whether the same order was accepted so recently that its effect may not be visible yet.
    fn pending(&self, order: &Order, boot: Duration, now: Mono) -> bool {
        let record = self.records.get(&(order.subject.clone(), order.spot));
        let last = record.and_then(|k| k.ordered);
        last.is_some_and(|(n, at)| n == order.count && now.saturating_sub(at) < boot + RESEND_DELAY)
    }
}

/// Orders to send now, spot before on-demand in each zone.
pub fn plan_orders(state: &OrderState, table: &Table, entries: &[Entry], now: Mono) -> Vec<Order> {
    let mut out = Vec::new();
    for (service, spec) in &table.services {
        let Some(scaling) = &spec.scaling else { continue };
        for zone in zones(scaling, service, entries) {
            let subject = OrderTarget { service: service.clone(), zone };
            plan_zone(state, scaling, subject, entries, now, &mut out);
        }
    }
    out
}

/// Orders to send now if the endpoints follow the demand.
///
/// The demand is measured for services with engines only; others get the orders of
/// [`plan_orders`].
pub fn plan_by_demand(
    state: &mut OrderState,
    table: &Table,
    entries: &[Entry],
    sources: &Sources<'_>,
    now: Mono,
) -> Vec<Planned> {
    let mut out = Vec::new();
    for (service, spec) in &table.services {
        let Some(scaling) = &spec.scaling else { continue };
        if let Some(engine) = &spec.engine {
            let limits = (scaling, engine.slots);
            out.extend(state.capacity.plan(service, limits, entries, sources, now));
            continue;
        }
        let mut orders = Vec::new();
        for zone in zones(scaling, service, entries) {
            let subject = OrderTarget { service: service.clone(), zone };
            plan_zone(state, scaling, subject, entries, now, &mut orders);
        }
        let planned =
            |order| Planned { order, reason: Reason::Maximum, figures: Figures::default() };
        out.extend(orders.into_iter().map(planned));
    }
    out
}

/// Zones in which the service runs or may be ordered.
fn zones(scaling: &Scaling, service: &Name, entries: &[Entry]) -> Vec<Name> {
    let mut out: Vec<Name> = scaling.prices.keys().cloned().collect();
    let running = entries.iter().filter(|e| e.service == *service).map(|e| e.zone.clone());
    out.extend(running);
    out.sort();
    out.dedup();
    out
}

fn plan_zone(
    state: &OrderState,
    scaling: &Scaling,
    subject: OrderTarget,
    entries: &[Entry],
    now: Mono,
    out: &mut Vec<Order>,
) {
    let in_zone = |e: &&Entry| e.service == subject.service && e.zone == subject.zone && !e.leaving;
    let count = |spot| entries.iter().filter(in_zone).filter(|e| e.spot == spot).count() as u32;
    let (on_demand, spot) = (count(false), count(true));
    let fallback = ON_DEMAND_FALLBACK.clamp(scaling.min.min(scaling.max), scaling.max);
    let min_on_demand = match scaling.spot {
        None => on_demand.max(fallback),
        Some(_) if state.was_scarce(&subject) => fallback,
        Some(_) => 0,
    };
    let max_spot = if scaling.spot.is_some() { scaling.max } else { 0 };
    let target_spot = max_spot.saturating_sub(on_demand.max(min_on_demand));
    // On-demand endpoints are released only after spot ones have filled the remaining capacity.
    let target_on_demand =
        if on_demand > min_on_demand && spot < target_spot { on_demand } else { min_on_demand };
    let orders = [
        Order { subject: subject.clone(), spot: true, count: target_spot },
        Order { subject: subject.clone(), spot: false, count: target_on_demand },
    ];
    for order in orders {
        let running = if order.spot { spot } else { on_demand };
        let deferred = order.spot && state.is_scarce(&subject, now);
        let available = !order.spot || scaling.spot.is_some();
        if available
            && running != order.count
            && !deferred
            && !state.pending(&order, scaling.boot, now)
        {
            out.push(order);
        }
    }
}
