//! Which endpoints there should be, as a pure function.
//!
//! Reclaimable endpoints cost a small part of a lasting one and may vanish, a zone at a time. A
//! request that runs there ends within the notice, and the other zones go on, so every zone has
//! reclaimable endpoints only. Where none is to be had, lasting ones take their place for a while.

use {
    agate_core::Mono,
    agate_view::{
        roster::Entry,
        table::{Name, Scaling, Table},
    },
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time after which an order that was refused for want of endpoints is tried again.
pub const TRY_AGAIN: Duration = Duration::from_secs(3);
/// Time after which an order whose effect is not seen is given again, beyond the endpoint's boot.
pub const UNSEEN: Duration = Duration::from_secs(4);
/// Lasting endpoints in a zone that gets no reclaimable ones.
const LASTING_ALONE: u32 = 2;

/// A service in a zone, for which orders are given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subject {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub zone: Name,
}

/// An order: so many endpoints of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What it is for.
    pub subject: Subject,
    /// Whether it is for the reclaimable kind.
    pub spot: bool,
    /// Number of endpoints.
    pub count: u32,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// None are to be had there now.
    Scarce,
    /// It is not known whether it was taken.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    ordered: Option<(u32, Mono)>,
    scarce: Option<Mono>,
}

/// What is remembered of the orders given.
#[derive(Clone, Debug, Default)]
pub struct State {
    kinds: IndexMap<(Subject, bool), Kind>,
}

impl State {
    /// Takes the answer to an order in.
    pub fn answered(&mut self, order: &Order, answer: Answer, now: Mono) {
        let kind = self.kinds.entry((order.subject.clone(), order.spot)).or_default();
        match answer {
            Answer::Accepted => {
                kind.ordered = Some((order.count, now));
                kind.scarce = None;
            }
            Answer::Scarce => kind.scarce = Some(now),
            Answer::Unknown => kind.ordered = None,
        }
    }

    fn is_scarce(&self, subject: &Subject, now: Mono) -> bool {
        let kind = self.kinds.get(&(subject.clone(), true));
        let since = kind.and_then(|k| k.scarce);
        since.is_some_and(|at| now.saturating_sub(at) < TRY_AGAIN)
    }

    fn was_scarce(&self, subject: &Subject) -> bool {
        self.kinds.get(&(subject.clone(), true)).is_some_and(|k| k.scarce.is_some())
    }

    /// Whether the same order was given so lately that its effect may not be seen yet.
    fn pending(&self, order: &Order, boot: Duration, now: Mono) -> bool {
        let kind = self.kinds.get(&(order.subject.clone(), order.spot));
        let given = kind.and_then(|k| k.ordered);
        given.is_some_and(|(n, at)| n == order.count && now.saturating_sub(at) < boot + UNSEEN)
    }
}

/// Orders to give now, growing ones first.
pub fn plan(state: &State, table: &Table, entries: &[Entry], now: Mono) -> Vec<Order> {
    let mut out = Vec::new();
    for (service, spec) in &table.services {
        let Some(scaling) = &spec.scaling else { continue };
        for zone in zones(scaling, service, entries) {
            let subject = Subject { service: service.clone(), zone };
            plan_zone(state, scaling, subject, entries, now, &mut out);
        }
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
    state: &State,
    scaling: &Scaling,
    subject: Subject,
    entries: &[Entry],
    now: Mono,
    out: &mut Vec<Order>,
) {
    let here = |e: &&Entry| e.service == subject.service && e.zone == subject.zone && !e.leaving;
    let count = |spot| entries.iter().filter(here).filter(|e| e.spot == spot).count() as u32;
    let (lasting, spot) = (count(false), count(true));
    let alone = LASTING_ALONE.clamp(scaling.min.min(scaling.max), scaling.max);
    let goal = match scaling.spot {
        None => lasting.max(alone),
        Some(_) if state.was_scarce(&subject) => alone,
        Some(_) => 0,
    };
    let most_spot = if scaling.spot.is_some() { scaling.max } else { 0 };
    let want_spot = most_spot.saturating_sub(lasting.max(goal));
    // Lasting endpoints are given back only once reclaimable ones fill the room beside them.
    let keep = if lasting > goal && spot < want_spot { lasting } else { goal };
    let orders = [
        Order { subject: subject.clone(), spot: true, count: want_spot },
        Order { subject: subject.clone(), spot: false, count: keep },
    ];
    for order in orders {
        let there = if order.spot { spot } else { lasting };
        let waits = order.spot && state.is_scarce(&subject, now);
        let exists = !order.spot || scaling.spot.is_some();
        if exists && there != order.count && !waits && !state.pending(&order, scaling.boot, now) {
            out.push(order);
        }
    }
}
