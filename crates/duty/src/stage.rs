//! Which engines read prompts for others and which generate, as a pure function.
//!
//! The demand of callers says how many engines would read and how many slots would generate all the
//! time. The engines are divided in this proportion. A change takes an engine away for seconds, so
//! one is made only if the division is off by more than a little, and few at a time.

use {
    agate_core::Mono,
    agate_view::{
        roster::{Entry, Stage},
        table::{Name, Table},
    },
    indexmap::IndexMap,
    std::{net::SocketAddr, time::Duration},
};

/// Fewest engines of a service that generate.
const LEAST_DECODE: usize = 2;
/// Time after which an order whose effect is not seen is given again, beyond the engine's switch.
const UNSEEN: Duration = Duration::from_secs(6);
/// Part of the slots that generate beyond which requests begin to wait. Long answers hold theirs for
/// seconds and stop everything behind them, so there is more room here than for reading.
const SLOT_USE: f64 = 0.6;
/// Part of the time that engines read beyond which prompts begin to wait.
const READ_USE: f64 = 0.65;
/// Time between the announcement of a change and its order, in which all instances hear of it: an
/// engine refuses what arrives while it changes.
const NOTICE: Duration = Duration::from_millis(600);
/// Time constant with which a demand that has fallen is forgotten. Traffic swings within seconds, and
/// a change of stage takes about as long, so the stages follow the peaks of both kinds.
const HOLD: Duration = Duration::from_secs(8);
/// Engines by which the division may be off.
const SLACK: usize = 1;
/// Part of a service's engines that may change at once while requests run.
const CHANGING_PART: f64 = 0.34;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Incarnation of the engine.
    pub endpoint: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Stage that it shall have.
    pub stage: Stage,
}

/// What is remembered of the orders given.
#[derive(Clone, Debug, Default)]
pub struct State {
    given: IndexMap<Name, Mono>,
    held: IndexMap<Name, (Asked, Mono)>,
    announced: IndexMap<Name, (StageOrder, Mono)>,
}

impl State {
    /// Takes in what callers ask of `service` now; returns the demand that the stages shall follow.
    pub fn hold(&mut self, service: &Name, asked: Asked, now: Mono) -> Asked {
        let (held, at) = self.held.entry(service.clone()).or_insert((asked, now));
        let kept = (-now.saturating_sub(*at).as_secs_f64() / HOLD.as_secs_f64()).exp();
        *held = Asked {
            reading: asked.reading.max(held.reading * kept),
            slots: asked.slots.max(held.slots * kept),
        };
        *at = now;
        *held
    }

    /// Announces the orders of a plan; returns those that were announced for long enough.
    pub fn announce(&mut self, planned: Vec<StageOrder>, now: Mono) -> Vec<StageOrder> {
        for order in planned {
            self.announced.entry(order.endpoint.clone()).or_insert((order, now));
        }
        let due = self.announced.values().filter(|(order, at)| {
            now.saturating_sub(*at) >= NOTICE && !self.given.contains_key(&order.endpoint)
        });
        due.map(|(order, _)| order.clone()).collect()
    }

    /// Forgets changes that the entries show, and those that never happened; returns the endpoints
    /// that are still about to change.
    pub fn changing(&mut self, entries: &[Entry], now: Mono) -> Vec<Name> {
        let (announced, given) = (&mut self.announced, &mut self.given);
        announced.retain(|name, (order, at)| {
            let entry = entries.iter().find(|e| e.name == *name);
            let open = entry.is_some_and(|e| e.stage != Some(order.stage));
            let kept = open && now.saturating_sub(*at) < NOTICE + UNSEEN;
            if !kept {
                given.shift_remove(name);
            }
            kept
        });
        announced.keys().cloned().collect()
    }

    /// Notes an order that was sent, whether it was answered or not.
    pub fn sent(&mut self, order: &StageOrder, now: Mono) {
        self.given.insert(order.endpoint.clone(), now);
    }
}

/// Engine time that callers ask of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Asked {
    /// Engines that would read all the time.
    pub reading: f64,
    /// Slots that would generate all the time.
    pub slots: f64,
}

/// Number of `engines` with `slots` slots each that should generate.
pub fn generating(engines: usize, slots: u32, asked: Asked) -> usize {
    let generate = asked.slots / SLOT_USE / f64::from(slots.max(1));
    let read = asked.reading / READ_USE;
    let sum = generate + read;
    let part = if sum > 0.0 { generate / sum } else { 0.5 };
    let want = (engines as f64 * part).round() as usize;
    want.clamp(LEAST_DECODE.min(engines), engines.saturating_sub(1).max(1))
}

/// Orders to give now.
pub fn plan(
    state: &mut State,
    table: &Table,
    entries: &[Entry],
    asked: impl Fn(&Name) -> Asked,
    now: Mono,
) -> Vec<StageOrder> {
    let mut out = Vec::new();
    for (service, spec) in &table.services {
        let Some(engine) = &spec.engine else { continue };
        let ours = |e: &&Entry| e.service == *service && !e.leaving && e.stage.is_some();
        let engines: Vec<&Entry> = entries.iter().filter(ours).collect();
        if engines.len() <= LEAST_DECODE {
            continue;
        }
        let held = state.hold(service, asked(service), now);
        let want = generating(engines.len(), engine.slots, held);
        plan_service(state, engine.switch, &engines, want, now, &mut out);
    }
    out
}

fn plan_service(
    state: &State,
    switch: Duration,
    engines: &[&Entry],
    want: usize,
    now: Mono,
    out: &mut Vec<StageOrder>,
) {
    let pending = |e: &Entry| {
        let given = state.given.get(&e.name);
        let announced = state.announced.contains_key(&e.name);
        announced || given.is_some_and(|at| now.saturating_sub(*at) < switch + UNSEEN)
    };
    let changing = engines.iter().filter(|e| pending(e) && e.stage == Some(Stage::Decode)).count();
    let decode: Vec<&&Entry> = engines.iter().filter(|e| e.stage == Some(Stage::Decode)).collect();
    let most = ((engines.len() as f64 * CHANGING_PART) as usize).max(1);
    let surplus = decode.len().saturating_sub(changing).saturating_sub(want + SLACK);
    let mut chosen = surplus.min(most.saturating_sub(changing));
    // Each zone keeps its share of engines that generate, so that memory stays within the zone.
    let mut left = by_zone(&decode);
    while chosen > 0 {
        let free = |e: &&&&Entry| !pending(e) && !out.iter().any(|o| o.endpoint == e.name);
        let most_left = |e: &&&&Entry| left.get(&e.zone).copied().unwrap_or_default();
        let Some(next) = decode.iter().filter(free).max_by_key(most_left) else { return };
        *left.entry(next.zone.clone()).or_default() -= 1;
        let (endpoint, address) = (next.name.clone(), next.address);
        out.push(StageOrder { endpoint, address, stage: Stage::Prefill });
        chosen -= 1;
    }
    let coming = engines.iter().filter(|e| pending(e) && e.stage == Some(Stage::Prefill)).count();
    let short = want.saturating_sub(decode.len() + coming + SLACK);
    let reads = engines.iter().filter(|e| e.stage == Some(Stage::Prefill) && !pending(e));
    let back = reads.take(short.min(most.saturating_sub(coming))).map(|e| StageOrder {
        endpoint: e.name.clone(),
        address: e.address,
        stage: Stage::Decode,
    });
    out.extend(back);
}

fn by_zone(engines: &[&&Entry]) -> IndexMap<Name, i64> {
    let mut out = IndexMap::new();
    for engine in engines {
        *out.entry(engine.zone.clone()).or_default() += 1;
    }
    out
}
