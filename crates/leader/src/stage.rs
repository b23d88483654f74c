//! Assigns engines to prefill or decode, without I/O.
//!
//! The demand says how many engines would be busy with prefill and how many slots with decoding.
//! The engines are divided in this proportion. A change takes an engine out of service for seconds,
//! so changes are made only if the division is off by more than a tolerance, and few at a time.

use {
    agate_core::Mono,
    agate_view::{
        roster::{Entry, Stage, Version},
        table::{Name, Table},
    },
    indexmap::IndexMap,
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
};

/// Minimum number of decode engines of a service, all of one version.
const MIN_DECODE: usize = 2;
/// Minimum number of decode engines of each version, if there are several.
const MIN_DECODE_VERSION: usize = 1;
/// Time, in addition to the engine's switch time, after which an order without visible effect is
/// repeated.
const RESEND_DELAY: Duration = Duration::from_secs(6);
/// Utilisation of decode slots above which requests begin to queue. Long responses hold their slots
/// for seconds and block everything behind them, so the limit is lower than for prefill.
const DECODE_UTILIZATION: f64 = 0.6;
/// Utilisation of prefill engines above which prompts begin to queue.
const PREFILL_UTILIZATION: f64 = 0.65;
/// Time between the announcement of a change and its order. All instances must know of the change
/// by then, since an engine refuses requests that arrive while it changes.
const ANNOUNCE_TIME: Duration = Duration::from_millis(600);
/// Time constant with which a past demand decays. Traffic swings within seconds and a stage change
/// takes about as long, so the stages follow the peaks of both demands.
const DEMAND_DECAY: Duration = Duration::from_secs(8);
/// Number of engines by which the division may be off.
const TOLERANCE: usize = 1;
/// The same for a [`Division::Stable`]: longer than two waves of demand, so that engines which the
/// next wave needs are not changed back and forth.
const STABLE_DECAY: Duration = Duration::from_secs(30);
/// Time after the announcement for which an engine of a [`Division::Stable`] counts as changing. It
/// ends its running responses before it changes, and rejects requests meanwhile.
const STABLE_RETENTION: Duration = Duration::from_secs(10);
/// Maximum fraction of a service's engines that may change at once.
const MAX_CHANGING: f64 = 0.34;

/// Order to an engine to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Incarnation of the engine.
    pub endpoint: Name,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Requested stage.
    pub stage: Stage,
}

/// How engines are divided between prefill and decode.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Division {
    /// In proportion to the demands.
    #[default]
    Proportional,
    /// Unchanged while both stages have the engines that they need. Else the engines that neither
    /// needs are split evenly, so that either demand may jump.
    Stable,
}

impl Division {
    fn decay(self) -> Duration {
        match self {
            Self::Proportional => DEMAND_DECAY,
            Self::Stable => STABLE_DECAY,
        }
    }

    fn retention(self) -> Duration {
        match self {
            Self::Proportional => ANNOUNCE_TIME + RESEND_DELAY,
            Self::Stable => STABLE_RETENTION,
        }
    }
}

/// Demand peaks and pending stage changes.
#[derive(Clone, Debug, Default)]
pub struct StageState {
    division: Division,
    /// Open requests of all instances by engine, as far as known. Idle engines change first, since
    /// an engine ends its running responses before it changes.
    pub open: IndexMap<Name, u32>,
    sent_at: IndexMap<Name, Mono>,
    peaks: IndexMap<Name, (EngineDemand, Mono)>,
    announced: IndexMap<Name, (StageOrder, Mono)>,
}

impl StageState {
    /// Makes the state at the start of a term.
    pub fn new(division: Division) -> Self {
        Self { division, ..Self::default() }
    }

    /// Updates the decaying peak of the demand for `service`; returns the demand that the stages
    /// should serve.
    pub fn peak_demand(&mut self, service: &Name, demand: EngineDemand, now: Mono) -> EngineDemand {
        let decay = self.division.decay().as_secs_f64();
        let (peak, at) = self.peaks.entry(service.clone()).or_insert((demand, now));
        let decay = (-now.saturating_sub(*at).as_secs_f64() / decay).exp();
        *peak = EngineDemand {
            prefill: demand.prefill.max(peak.prefill * decay),
            slots: demand.slots.max(peak.slots * decay),
        };
        *at = now;
        *peak
    }

    /// Announces planned orders; returns those that were announced long enough ago to be sent.
    pub fn announce(&mut self, planned: Vec<StageOrder>, now: Mono) -> Vec<StageOrder> {
        for order in planned {
            self.announced.entry(order.endpoint.clone()).or_insert((order, now));
        }
        let due = self.announced.values().filter(|(order, at)| {
            now.saturating_sub(*at) >= ANNOUNCE_TIME && !self.sent_at.contains_key(&order.endpoint)
        });
        due.map(|(order, _)| order.clone()).collect()
    }

    /// Drops changes that are visible in the entries or did not happen in time; returns the
    /// endpoints that are still about to change.
    pub fn changing(&mut self, entries: &[Entry], now: Mono) -> Vec<Name> {
        let retention = self.division.retention();
        let (announced, sent_at) = (&mut self.announced, &mut self.sent_at);
        announced.retain(|name, (order, at)| {
            let entry = entries.iter().find(|e| e.name == *name);
            let unfinished = entry.is_some_and(|e| e.stage != Some(order.stage));
            let kept = unfinished && now.saturating_sub(*at) < retention;
            if !kept {
                sent_at.shift_remove(name);
            }
            kept
        });
        announced.keys().cloned().collect()
    }

    /// Number of `engines` that decode once the announced changes are done.
    fn count_decoding(&self, engines: &[&Entry]) -> usize {
        let stage = |e: &&&Entry| {
            let announced = self.announced.get(&e.name).map(|(order, _)| order.stage);
            announced.or(e.stage) == Some(Stage::Decode)
        };
        engines.iter().filter(stage).count()
    }

    /// Records that an order was sent, whether it was answered or not.
    pub fn on_sent(&mut self, order: &StageOrder, now: Mono) {
        self.sent_at.insert(order.endpoint.clone(), now);
    }
}

/// Engine capacity that callers demand of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    /// Number of engines that the demand keeps busy with prefill.
    pub prefill: f64,
    /// Number of slots that the demand keeps busy with decoding.
    pub slots: f64,
}

/// Number of `engines`, with `slots` slots each, that should decode. Without demand it is half of
/// them.
pub fn decode_target(engines: usize, slots: u32, demand: EngineDemand) -> usize {
    bounded_target(engines, MIN_DECODE, slots, demand)
}

/// Number of engines that decode, and that prefill, at their target utilisations.
fn needed_engines(slots: u32, demand: EngineDemand) -> (f64, f64) {
    let decode = demand.slots / DECODE_UTILIZATION / f64::from(slots.max(1));
    (decode, demand.prefill / PREFILL_UTILIZATION)
}

/// Number of `engines` that should decode in a [`Division::Stable`] if `decoding` of them do, or will
/// once pending changes are done.
pub fn stable_target(engines: usize, decoding: usize, slots: u32, demand: EngineDemand) -> usize {
    let (decode, prefill) = needed_engines(slots, demand);
    let (decode, prefill) = (decode.ceil() as usize, prefill.ceil() as usize);
    if decode + prefill >= engines {
        return decode_target(engines, slots, demand);
    }
    let least = decode.max(MIN_DECODE);
    let enough = decoding >= least && engines.saturating_sub(decoding) >= prefill.max(1);
    if enough { decoding } else { least.max(decode + (engines - decode - prefill) / 2) }
}

fn bounded_target(engines: usize, min: usize, slots: u32, demand: EngineDemand) -> usize {
    let (decode, prefill) = needed_engines(slots, demand);
    let sum = decode + prefill;
    let part = if sum > 0.0 { decode / sum } else { 0.5 };
    let target = (engines as f64 * part).round() as usize;
    let min = min.min(engines);
    target.clamp(min, engines.saturating_sub(1).max(min))
}

/// Stage changes to announce now.
pub fn plan_stages(
    state: &mut StageState,
    table: &Table,
    entries: &[Entry],
    demand: impl Fn(&Name) -> EngineDemand,
    now: Mono,
) -> Vec<StageOrder> {
    let mut out = Vec::new();
    for (service, spec) in &table.services {
        let Some(engine) = &spec.engine else { continue };
        let assignable = |e: &&Entry| e.service == *service && !e.leaving && e.stage.is_some();
        let engines: Vec<&Entry> = entries.iter().filter(assignable).collect();
        let count = engines.len();
        if engines.len() <= MIN_DECODE {
            continue;
        }
        let peak = state.peak_demand(service, demand(service), now);
        // An engine cannot decode from the KV cache of another version.
        let mut versions: IndexMap<&Version, Vec<&Entry>> = IndexMap::new();
        for entry in engines {
            versions.entry(&entry.version).or_default().push(entry);
        }
        let min = if versions.len() > 1 { MIN_DECODE_VERSION } else { MIN_DECODE };
        for engines in versions.values() {
            let target = match state.division {
                Division::Proportional => bounded_target(engines.len(), min, engine.slots, peak),
                Division::Stable => {
                    let part = engines.len() as f64 / count as f64;
                    let (prefill, slots) = (peak.prefill * part, peak.slots * part);
                    let decoding = state.count_decoding(engines);
                    let demand = EngineDemand { prefill, slots };
                    stable_target(engines.len(), decoding, engine.slots, demand)
                }
            };
            plan_version(state, engine.switch, engines, target, now, &mut out);
        }
    }
    out
}

fn plan_version(
    state: &StageState,
    switch: Duration,
    engines: &[&Entry],
    target: usize,
    now: Mono,
    out: &mut Vec<StageOrder>,
) {
    let pending = |e: &Entry| {
        let sent_at = state.sent_at.get(&e.name);
        let announced = state.announced.contains_key(&e.name);
        announced || sent_at.is_some_and(|at| now.saturating_sub(*at) < switch + RESEND_DELAY)
    };
    let changing = engines.iter().filter(|e| pending(e) && e.stage == Some(Stage::Decode)).count();
    let decode: Vec<&&Entry> = engines.iter().filter(|e| e.stage == Some(Stage::Decode)).collect();
    let limit = ((engines.len() as f64 * MAX_CHANGING) as usize).max(1);
    let surplus = decode.len().saturating_sub(changing).saturating_sub(target + TOLERANCE);
    let mut remaining = surplus.min(limit.saturating_sub(changing));
    // Each zone keeps its share of decode engines, so that key-value caches are transferred within
    // a zone.
    let mut left = by_zone(&decode);
    while remaining > 0 {
        let free = |e: &&&&Entry| !pending(e) && !out.iter().any(|o| o.endpoint == e.name);
        let key = |e: &&&&Entry| {
            let open = state.open.get(&e.name).copied().unwrap_or_default();
            (Reverse(open), left.get(&e.zone).copied().unwrap_or_default())
        };
        let Some(next) = decode.iter().filter(free).max_by_key(key) else { return };
        *left.entry(next.zone.clone()).or_default() -= 1;
        let (endpoint, address) = (next.name.clone(), next.address);
        out.push(StageOrder { endpoint, address, stage: Stage::Prefill });
        remaining -= 1;
    }
    let to_prefill =
        engines.iter().filter(|e| pending(e) && e.stage == Some(Stage::Prefill)).count();
    // A version with no decode engine at all serves nothing.
    let tolerance = TOLERANCE.min(target.saturating_sub(1));
    let shortage = target.saturating_sub(decode.len() + to_prefill + tolerance);
    let prefill = engines.iter().filter(|e| e.stage == Some(Stage::Prefill) && !pending(e));
    let to_decode = prefill
        .take(shortage.min(limit.saturating_sub(to_prefill)))
        .map(|e| StageOrder { endpoint: e.name.clone(), address: e.address, stage: Stage::Decode });
    out.extend(to_decode);
}

fn by_zone(engines: &[&&Entry]) -> IndexMap<Name, i64> {
    let mut out = IndexMap::new();
    for engine in engines {
        *out.entry(engine.zone.clone()).or_default() += 1;
    }
    out
}
