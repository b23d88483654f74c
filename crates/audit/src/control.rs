//! Lines about orders, leases and reports.

use {
    crate::history::{EngineOrder, History, Hold, Report},
    indexmap::IndexMap,
};

/// Orders that reached an engine while a different one was under way there.
///
/// One that the engine refused for its old token is judged by [`old_orders`] alone.
pub(crate) fn crossed_orders(history: &History) -> Vec<String> {
    let taken = |o: &&EngineOrder| o.effect;
    let mut out = Vec::new();
    for first in history.orders.iter().filter(taken) {
        for second in &history.orders {
            let same = first.engine == second.engine && first.id != second.id;
            let amid = second.span.from >= first.span.from && second.span.overlaps(&first.span);
            let current = second.fence >= first.fence;
            if same && amid && current {
                let (engine, a, b) = (&first.engine, &first.id, &second.id);
                out.push(format!("{engine} got {b} at {:?} amid {a}", second.span.from));
            }
        }
    }
    out
}

/// Orders that had an effect after an order or a lease of a greater fencing token.
pub(crate) fn old_orders(history: &History) -> Vec<String> {
    let overtaken = |order: &&EngineOrder| {
        let newer = |o: &EngineOrder| {
            o.authority == order.authority && o.fence > order.fence && o.span.from < order.span.from
        };
        let held = |h: &Hold| {
            h.authority == order.authority && h.fence > order.fence && h.span.from < order.span.from
        };
        let late = history.orders.iter().any(newer) || history.holds.iter().any(held);
        order.effect && late
    };
    let old = history.orders.iter().filter(overtaken);
    old.map(|o| {
        format!("{} took {} at {:?} with old token {}", o.engine, o.id, o.span.from, o.fence)
    })
    .collect()
}

/// Orders to the fleet by an older holder after a newer one, and leases held twice.
pub(crate) fn fleet_holders(history: &History) -> Vec<String> {
    let mut newest: IndexMap<&str, u64> = IndexMap::new();
    let mut out = held_twice(history, "fleet/");
    for order in &history.fleet {
        let seen = newest.entry(&order.authority).or_default();
        if order.fence < *seen {
            let (authority, fence, id) = (&order.authority, order.fence, &order.id);
            out.push(format!("{authority} took {id} with token {fence} after {seen}"));
        }
        *seen = order.fence.max(*seen);
    }
    out
}

/// Windows that were reported with different figures, and shards held twice.
pub(crate) fn usage_reports(history: &History) -> Vec<String> {
    let mut first: IndexMap<(&str, &str), &Report> = IndexMap::new();
    let mut out = held_twice(history, "usage/");
    for report in &history.reports {
        let kept = first.entry((&report.window, &report.shard)).or_insert(report);
        if kept.figures != report.figures {
            let Report { window, shard, figures } = report;
            let first = &kept.figures;
            out.push(format!("window {window} of shard {shard}: {first}, then {figures}"));
        }
    }
    out
}

/// Leases that two processes believed to hold at the same time.
fn held_twice(history: &History, class: &str) -> Vec<String> {
    let holds: Vec<&Hold> =
        history.holds.iter().filter(|h| h.authority.starts_with(class)).collect();
    let mut out = Vec::new();
    for (i, a) in holds.iter().enumerate() {
        for b in &holds[i + 1..] {
            let apart = a.authority != b.authority || a.holder == b.holder;
            if !apart && a.span.overlaps(&b.span) {
                let Hold { authority, span, .. } = b;
                out.push(format!(
                    "{} and {} held {authority} at {:?}",
                    a.holder, b.holder, span.from
                ));
            }
        }
    }
    out
}
