//! Plans the endpoints of services with engines by demand, without I/O.
//!
//! [`need`] turns the demand into a number of engines and holds it over waves and bursts.
//! [`spread`] distributes them over zones so that the loss of any one zone's spot endpoints leaves
//! enough. This module compares the distribution with the running endpoints. Invariants:
//!
//! - counts of orders are absolute, so each may be repeated;
//! - in a zone, an order never opposes another one of the last boot time;
//! - endpoints are released only while the demand is known, and only if the planned number of
//!   endpoints serves without them. [`release`] first takes them out of service.

pub mod calls;
pub mod need;
pub mod release;
pub mod spread;

use {
    crate::{
        order::{Order, OrderOutcome, OrderTarget, RESEND_DELAY, SCARCE_RETRY},
        stage::EngineDemand,
    },
    agate_core::Mono,
    agate_view::{
        roster::Entry,
        table::{Name, Scaling},
    },
    indexmap::{IndexMap, IndexSet},
    need::{HOLD_TIME, Need, NeedState, Running},
    release::{MAX_RELEASED, Release},
    spread::{Kinds, Zone, covered_need, spread_need},
    std::time::Duration,
};

/// Maximum fraction of a service's endpoints that are released before the spot endpoints that
/// replace them can start, because their zone has no room for both.
const MAX_SWAPPED: f64 = 0.1;

/// Source of the demand and the open requests.
pub struct Sources<'a> {
    /// Returns the engine capacity that callers demand of a service; `None` while it is unknown.
    pub demand: &'a dyn Fn(&Name) -> Option<EngineDemand>,
    /// Returns the open requests of all instances at each endpoint of a service.
    pub open: &'a dyn Fn(&Name) -> IndexMap<Name, u32>,
}

/// Why an order is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// More endpoints are needed.
    Needed,
    /// On-demand endpoints replace spot ones that cannot be had, or fill the minimum.
    Scarce,
    /// Endpoints are not needed any more.
    Unneeded,
    /// Spot endpoints have replaced on-demand ones.
    Replaced,
    /// On-demand endpoints make room for spot ones.
    Room,
    /// The service has no engines whose demand is measured, so the maximum is ordered.
    Maximum,
}

impl Reason {
    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Needed => "needed",
            Reason::Scarce => "scarce",
            Reason::Unneeded => "unneeded",
            Reason::Replaced => "replaced",
            Reason::Room => "room",
            Reason::Maximum => "maximum",
        }
    }
}

/// Planned order with its inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The order.
    pub order: Order,
    /// Why it is sent.
    pub reason: Reason,
    /// Figures of the service.
    pub figures: Figures,
}

/// Figures of a service, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Demand of callers; `None` while it is unknown.
    pub demand: Option<EngineDemand>,
    /// Engines for the present demand.
    pub need: u32,
    /// Engines that should remain after the loss of a zone.
    pub target: u32,
    /// Endpoints that the plan provides in all zones.
    pub ordered: u32,
    /// Endpoints that run and are not leaving.
    pub running: u32,
}

/// Order that the platform may be carrying out.
#[derive(Clone, Copy, Debug)]
struct Sent {
    count: u32,
    running: u32,
    at: Mono,
}

/// Orders for one kind of endpoints in a zone.
#[derive(Clone, Debug, Default)]
struct KindState {
    sent: Option<Sent>,
    /// Number of the latest order that was refused, and when.
    refused: Option<(u32, Mono)>,
    release: Option<Release>,
    running: u32,
}

/// Orders for a zone.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    kinds: [KindState; 2],
    grown_at: Option<Mono>,
    shrunk_at: Option<Mono>,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    need: NeedState,
    zones: IndexMap<Name, ZoneState>,
    /// End of the warm-up of endpoints that had one. The time left in the entries is that of when
    /// they were read, which may be long ago.
    warm_at: IndexMap<Name, Mono>,
    figures: Figures,
}

/// State of the planner from previous rounds.
#[derive(Clone, Debug, Default)]
pub struct CapacityState {
    services: IndexMap<Name, ServiceState>,
}

/// Endpoints of a service in one zone.
#[derive(Clone, Debug, Default)]
struct Group<'a> {
    /// Endpoints that are not leaving.
    running: Kinds,
    /// Those of them that are past their warm-up.
    warm: Kinds,
    entries: Vec<&'a Entry>,
}

/// Service that is planned in one round.
struct Round<'a> {
    service: &'a Name,
    scaling: &'a Scaling,
    slots: u32,
    need: Need,
    /// Endpoints that may be about to be released at the same time.
    releases: u32,
    groups: &'a IndexMap<Name, Group<'a>>,
    now: Mono,
}

impl CapacityState {
    /// Records the outcome of an order.
    pub fn on_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Mono) {
        let service = self.services.entry(order.subject.service.clone()).or_default();
        let zone = service.zones.entry(order.subject.zone.clone()).or_default();
        let kind = &mut zone.kinds[usize::from(order.spot)];
        let running = kind.running;
        match outcome {
            OrderOutcome::Accepted => {
                kind.sent = Some(Sent { count: order.count, running, at: now });
            }
            OrderOutcome::Scarce => kind.refused = Some((order.count, now)),
            OrderOutcome::Unknown => kind.sent = None,
        }
        if outcome != OrderOutcome::Scarce {
            let direction =
                if order.count > running { &mut zone.grown_at } else { &mut zone.shrunk_at };
            *direction = Some(now);
        }
        if outcome == OrderOutcome::Accepted
            && let Some(release) = &mut kind.release
        {
            release.sent = order.count < running;
        }
    }

    /// Endpoints that are about to be released and get no new requests.
    pub fn changing(&self) -> Vec<Name> {
        let kinds = self.services.values().flat_map(|s| s.zones.values()).flat_map(|z| &z.kinds);
        kinds.filter_map(|k| k.release.as_ref()).flat_map(|r| r.names.iter().cloned()).collect()
    }

    /// Figures of each planned service in the last round.
    pub fn figures(&self) -> impl Iterator<Item = (&Name, &Figures)> {
        self.services.iter().map(|(name, service)| (name, &service.figures))
    }

    /// Orders to send now for a service whose engines have `slots` slots; `entries` are those of
    /// all services.
    pub fn plan(
        &mut self,
        service: &Name,
        (scaling, slots): (&Scaling, u32),
        entries: &[Entry],
        sources: &Sources<'_>,
        now: Mono,
    ) -> Vec<Planned> {
        let others = self.services.iter().filter(|(name, _)| *name != service);
        let others = others.map(|(_, s)| s.releasing(|_| true)).sum();
        let state = self.services.entry(service.clone()).or_default();
        let own = |e: &&Entry| e.service == *service && !e.leaving;
        let own: Vec<&Entry> = entries.iter().filter(own).collect();
        state.note_warmups(&own, now);
        let groups = group_entries(scaling, &own, |e| state.is_warm(e, now));
        let demand = (sources.demand)(service);
        let running = groups.values().map(|g| g.running);
        let endpoints = Running {
            covered: covered_need(running.clone()),
            on_demand: running.clone().map(|k| k.on_demand).sum(),
        };
        state.figures.demand = demand;
        state.figures.running = running.map(Kinds::total).sum();
        let Some(need) = state.need.update(demand, (slots, scaling.boot), endpoints, now) else {
            return Vec::new();
        };
        (state.figures.need, state.figures.target) = (need.now, need.target);
        let releases = MAX_RELEASED.saturating_sub(others);
        let round = Round { service, scaling, slots, need, releases, groups: &groups, now };
        state.plan_round(&round, sources)
    }
}

/// Endpoints of a service by zone, with the zones in which they may be ordered.
fn group_entries<'a>(
    scaling: &Scaling,
    entries: &[&'a Entry],
    is_warm: impl Fn(&Entry) -> bool,
) -> IndexMap<Name, Group<'a>> {
    let mut out: IndexMap<Name, Group<'a>> =
        scaling.prices.keys().map(|z| (z.clone(), Group::default())).collect();
    for entry in entries {
        let group = out.entry(entry.zone.clone()).or_default();
        *group.running.of_mut(entry.spot) += 1;
        *group.warm.of_mut(entry.spot) += u32::from(is_warm(entry));
        group.entries.push(entry);
    }
    out
}

impl KindState {
    /// Number of endpoints that the platform provides, or is about to.
    fn expected(&self, boot: Duration, now: Mono) -> u32 {
        let recent = self.sent.filter(|s| {
            let (low, high) = (s.count.min(s.running), s.count.max(s.running));
            // Endpoints that were lost meanwhile are ordered again.
            now.saturating_sub(s.at) < boot + RESEND_DELAY && (low..=high).contains(&self.running)
        });
        recent.map_or(self.running, |s| s.count)
    }

    /// Whether endpoints were refused so lately that other ones must replace them.
    fn is_scarce(&self, now: Mono) -> bool {
        self.refused
            .is_some_and(|(count, at)| self.running < count && now.saturating_sub(at) < HOLD_TIME)
    }

    /// Whether an order would probably be refused again.
    fn is_deferred(&self, now: Mono) -> bool {
        self.refused.is_some_and(|(_, at)| now.saturating_sub(at) < SCARCE_RETRY)
    }
}

impl ServiceState {
    /// Records when endpoints that have just started are past their warm-up.
    fn note_warmups(&mut self, entries: &[&Entry], now: Mono) {
        let present: IndexSet<&Name> = entries.iter().map(|e| &e.name).collect();
        self.warm_at.retain(|name, _| present.contains(name));
        for entry in entries.iter().filter(|e| !e.cold.is_zero()) {
            self.warm_at.entry(entry.name.clone()).or_insert(now + entry.cold);
        }
    }

    fn is_warm(&self, entry: &Entry, now: Mono) -> bool {
        self.warm_at.get(&entry.name).is_none_or(|at| *at <= now)
    }

    fn plan_round(&mut self, round: &Round<'_>, sources: &Sources<'_>) -> Vec<Planned> {
        let Round { scaling, need, groups, .. } = *round;
        self.zones.retain(|name, _| groups.contains_key(name));
        for (name, group) in groups {
            let state = self.zones.entry(name.clone()).or_default();
            for spot in [false, true] {
                state.kinds[usize::from(spot)].running = group.running.of(spot);
            }
        }
        let zones = |limited: bool| -> Vec<Zone> {
            groups.keys().map(|name| self.zone(round, name, limited)).collect()
        };
        let wanted = spread_need(need.target, need.lasting, scaling, &zones(false));
        let possible = spread_need(need.target, need.lasting, scaling, &zones(true));
        self.figures.ordered = possible.iter().map(|z| z.total()).sum();
        let mut out = Vec::new();
        for (index, name) in groups.keys().enumerate() {
            self.grow_zone(round, name, wanted[index], possible[index], &mut out);
        }
        if need.known {
            self.shrink(round, &possible, sources, &mut out);
        } else {
            self.zones.values_mut().flat_map(|z| &mut z.kinds).for_each(|k| k.release = None);
        }
        out
    }

    /// The zone as [`spread_need`] takes it; `limited` by what the platform refused.
    fn zone(&self, round: &Round<'_>, name: &Name, limited: bool) -> Zone {
        let Round { scaling, now, .. } = *round;
        let [on_demand, spot] = &self.zones[name].kinds;
        let limit = |kind: &KindState| match limited && kind.is_scarce(now) {
            true => kind.running,
            false => scaling.max,
        };
        let price = scaling.prices.get(name).copied().unwrap_or(f64::INFINITY);
        let limits = Kinds { spot: limit(spot), on_demand: limit(on_demand) };
        Zone { name: name.clone(), price, limit: limits, scarce: spot.is_scarce(now) }
    }

    /// Orders for more endpoints in a zone, spot before on-demand.
    fn grow_zone(
        &self,
        round: &Round<'_>,
        name: &Name,
        wanted: Kinds,
        possible: Kinds,
        out: &mut Vec<Planned>,
    ) {
        let Round { scaling, now, .. } = *round;
        let zone = &self.zones[name];
        if zone.shrunk_at.is_some_and(|at| now.saturating_sub(at) < scaling.boot) {
            return;
        }
        let mut ordered = Kinds::default();
        for spot in [true, false] {
            let (kind, other) = (&zone.kinds[usize::from(spot)], &zone.kinds[usize::from(!spot)]);
            let retried = kind.is_scarce(now);
            let count = if retried { wanted.of(spot) } else { possible.of(spot) };
            let other = other.expected(scaling.boot, now).max(ordered.of(!spot));
            let room = scaling.max.saturating_sub(other);
            let count = count.min(room);
            if count > kind.expected(scaling.boot, now) && !kind.is_deferred(now) {
                let reason =
                    if scaling.spot.is_some() && !spot { Reason::Scarce } else { Reason::Needed };
                *ordered.of_mut(spot) = count;
                out.push(self.planned(round, name, spot, count, reason));
            }
        }
    }

    fn planned(
        &self,
        round: &Round<'_>,
        zone: &Name,
        spot: bool,
        count: u32,
        reason: Reason,
    ) -> Planned {
        let subject = OrderTarget { service: round.service.clone(), zone: zone.clone() };
        Planned { order: Order { subject, spot, count }, reason, figures: self.figures }
    }
}
