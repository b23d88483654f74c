//! Invariants about orders, leases and usage reports.

use {
    crate::history::{EngineOrder, History, LeaseHold, Report},
    indexmap::IndexMap,
};

/// Orders that reached an engine while it was executing a different one.
///
/// An order that the engine refused for its fencing token concerns [`stale_orders`] only.
pub(crate) fn concurrent_orders(history: &History) -> Vec<String> {
    let executed = |o: &&EngineOrder| o.effect;
    let mut out = Vec::new();
    for first in history.orders.iter().filter(executed) {
        for second in &history.orders {
            let same = first.engine == second.engine && first.id != second.id;
            let during = second.span.from >= first.span.from && second.span.overlaps(&first.span);
            let current = second.fence >= first.fence;
            if same && during && current {
                let (engine, a, b) = (&first.engine, &first.id, &second.id);
                out.push(format!(
                    "{engine} received {b} at {:?} while executing {a}",
                    second.span.from
                ));
            }
        }
    }
    out
}

/// Orders that were executed after an order or a lease with a larger fencing token.
pub(crate) fn stale_orders(history: &History) -> Vec<String> {
    let stale = |order: &&EngineOrder| {
        let newer = |o: &EngineOrder| {
            o.authority == order.authority && o.fence > order.fence && o.span.from < order.span.from
        };
        let held = |h: &LeaseHold| {
            h.authority == order.authority && h.fence > order.fence && h.span.from < order.span.from
        };
        let superseded = history.orders.iter().any(newer) || history.lease_holds.iter().any(held);
        order.effect && superseded
    };
    let orders = history.orders.iter().filter(stale);
    orders
        .map(|o| {
            format!(
                "{} executed {} at {:?} with stale fencing token {}",
                o.engine, o.id, o.span.from, o.fence
            )
        })
        .collect()
}

/// Fleet orders of a former lease holder after those of a newer one, and leases held twice.
pub(crate) fn fleet_holders(history: &History) -> Vec<String> {
    let mut newest: IndexMap<&str, u64> = IndexMap::new();
    let mut out = held_twice(history, "fleet/");
    for order in &history.fleet {
        let seen = newest.entry(&order.authority).or_default();
        if order.fence < *seen {
            let (authority, fence, id) = (&order.authority, order.fence, &order.id);
            out.push(format!("{authority} ordered {id} with fencing token {fence} after {seen}"));
        }
        *seen = order.fence.max(*seen);
    }
    out
}

/// Windows that were reported with different figures, and shards whose lease was held twice.
pub(crate) fn usage_reports(history: &History) -> Vec<String> {
    let mut first: IndexMap<(&str, &str), &Report> = IndexMap::new();
    let mut out = held_twice(history, "usage/");
    for report in &history.reports {
        let earlier = first.entry((&report.window, &report.shard)).or_insert(report);
        if earlier.figures != report.figures {
            let Report { window, shard, figures } = report;
            let first = &earlier.figures;
            out.push(format!("window {window} of shard {shard}: {first}, then {figures}"));
        }
    }
    out
}

/// Leases that two processes considered their own at the same time.
fn held_twice(history: &History, class: &str) -> Vec<String> {
    let holds: Vec<&LeaseHold> =
        history.lease_holds.iter().filter(|h| h.authority.starts_with(class)).collect();
    let mut out = Vec::new();
    for (i, a) in holds.iter().enumerate() {
        for b in &holds[i + 1..] {
            let unrelated = a.authority != b.authority || a.holder == b.holder;
            if !unrelated && a.span.overlaps(&b.span) {
                let LeaseHold { authority, span, .. } = b;
                out.push(format!(
                    "{} and {} held {authority} at {:?}",
                    a.holder, b.holder, span.from
                ));
            }
        }
    }
    out
}
