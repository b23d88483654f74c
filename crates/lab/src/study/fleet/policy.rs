//! The production controller and the baseline policies.

use {
    super::{
        scenario::{LAG, RATE, Scenario, ZONES, demand},
        simulation::{Command, Observed, Policy},
    },
    agate_core::Mono,
    agate_fleet::{
        Action, Endpoint, EndpointState, Grant, Input, Inventory, Kind, Mix, Name, Need, Outcome,
        Record, Settings, State, feasible_mix, step,
    },
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time for which the oracle knows the future demand.
pub const FORESIGHT: Duration = Duration::from_secs(300);
/// Seconds between two plans of a baseline.
const PLAN_INTERVAL: u64 = 5;

/// Controller settings for a scenario.
pub fn settings(scenario: &Scenario) -> Settings {
    Settings { budget: scenario.budget, ..Settings::new("pool", &ZONES, RATE) }
}

/// The production controller; its record is always written successfully.
pub fn controller<'a>(settings: Settings) -> Policy<'a> {
    let mut state = State::new(settings);
    let grant = Grant { fence: 1, until: Mono::MAX, first_order: Mono::ZERO };
    step(&mut state, Input::Granted(grant, Record::default()), Mono::ZERO);
    Box::new(move |view| {
        let mut effects = Vec::new();
        let mut feed = |input| {
            for action in step(&mut state, input, view.now) {
                collect(action, &mut effects);
            }
        };
        for (token, outcome) in view.outcomes {
            feed(Input::Responded(token.clone(), *outcome));
        }
        view.idle.iter().for_each(|n| feed(Input::Idle(n.clone())));
        feed(Input::Listed(view.endpoints.to_vec()));
        feed(Input::Observed { deadline: view.deadline, long: view.long });
        feed(Input::Tick);
        let written = effects.iter().find_map(|a| match a {
            Effect::Written(n) => Some(*n),
            Effect::Command(_) => None,
        });
        // The write succeeds before the next second.
        if let Some(number) = written {
            step(&mut state, Input::Recorded(number), view.now);
        }
        let draining = state.draining().cloned().collect();
        let commands = effects.into_iter().filter_map(|a| match a {
            Effect::Command(a) => Some(a),
            Effect::Written(_) => None,
        });
        commands.chain([Command::Drain(draining)]).collect()
    })
}

enum Effect {
    Command(Command),
    Written(u64),
}

fn collect(action: Action, effects: &mut Vec<Effect>) {
    effects.push(match action {
        Action::Write { number, .. } => Effect::Written(number),
        Action::Order { zone, kind, count, token } => {
            Effect::Command(Command::Order { zone, kind, count, token })
        }
        Action::Release { endpoint, token } => Effect::Command(Command::Release(endpoint, token)),
    });
}

/// Makes no changes.
pub fn fixed<'a>() -> Policy<'a> {
    Box::new(|_| Vec::new())
}

/// Follows the current demand, without hysteresis and without regard to the arrival lag.
pub fn threshold<'a>(settings: Settings) -> Policy<'a> {
    let need = {
        let s = settings.clone();
        move |view: &Observed<'_>| {
            let deadline = view.deadline * s.headroom / s.rate;
            Need { deadline, long: view.long / s.rate }
        }
    };
    follow_need(settings, move |view| {
        let need = need(view);
        (need, need)
    })
}

/// Knows the demand of the next five minutes, but no reclaims or refusals.
pub fn oracle<'a>(scenario: &'a Scenario, settings: Settings) -> Policy<'a> {
    let s = settings.clone();
    let need = move |from: Duration, to: Duration, now: Mono| {
        let points = (0..=10).map(|i| demand(scenario, now + from + (to - from) * i / 10));
        let sums: Vec<[f64; 2]> =
            points.map(|d| [0, 1].map(|kind| d.iter().map(|org| org[kind]).sum::<f64>())).collect();
        let deadline = sums.iter().map(|d| d[0]).fold(0.0, f64::max) * s.headroom / s.rate;
        // Long work may wait, so its mean is sufficient.
        let long = sums.iter().map(|d| d[1]).sum::<f64>() / sums.len() as f64 / s.rate;
        Need { deadline, long }
    };
    let lag = Duration::from_secs(LAG.1);
    follow_need(settings, move |view| {
        let backlog =
            0.0_f64.max(view.long / RATE - need(Duration::ZERO, Duration::ZERO, view.now).long);
        let add = |n: Need| Need { long: n.long + backlog, ..n };
        // Releases endpoints that are not needed before an order could arrive.
        (add(need(lag, FORESIGHT, view.now)), add(need(Duration::ZERO, FORESIGHT, view.now)))
    })
}

/// Orders endpoints that are missing for the first need, and releases those that the second one
/// does not require.
fn follow_need<'a>(
    s: Settings,
    mut needs: impl FnMut(&Observed<'_>) -> (Need, Need) + 'a,
) -> Policy<'a> {
    let mut drains: Vec<Name> = Vec::new();
    let mut orders: IndexMap<String, (Name, Kind)> = IndexMap::new();
    let mut closed: IndexMap<(Name, Kind), Mono> = IndexMap::new();
    let mut number = 0;
    Box::new(move |view| {
        let mut commands = Vec::new();
        for (token, outcome) in view.outcomes {
            let order = orders.swap_remove(token);
            if let (Outcome::Refused, Some(key)) = (outcome, order) {
                closed.insert(key, view.now + s.backoff.0);
            }
        }
        for name in view.idle {
            commands.push(Command::Release(name.clone(), format!("release/{name}")));
        }
        drains.retain(|n| view.endpoints.iter().any(|e| e.name == *n));
        if !view.now.as_secs().is_multiple_of(PLAN_INTERVAL) {
            return commands;
        }
        let (order_need, release_need) = needs(view);
        let mut live = count_by_zone(view.endpoints, &drains);
        let sum = |k: Kind| live.values().map(|t| t[k as usize]).sum::<usize>();
        let present = Mix {
            standard: sum(Kind::Standard) + view.starting.standard,
            cheap: sum(Kind::Cheap) + view.starting.cheap,
        };
        let available = |kind| -> Vec<Name> {
            let free = |z: &&Name| closed.get(&((*z).clone(), kind)).is_none_or(|t| view.now >= *t);
            s.zones.iter().filter(free).cloned().collect()
        };
        let zones = available(Kind::Cheap).len();
        let peak = live.values().map(|t| t[1]).max().unwrap_or(0);
        let free = Mix::default();
        let (target, _) =
            feasible_mix(&s, order_need, &Inventory { present, free, leaving: free, peak, zones });
        for (kind, count) in [
            (Kind::Standard, target.standard - present.standard),
            (Kind::Cheap, target.cheap - present.cheap),
        ] {
            let zones = available(kind);
            for i in 0..count.min(count * zones.len()) {
                number += 1;
                let token = format!("order/{number}");
                let zone = zones[(i + number) % zones.len()].clone();
                orders.insert(token.clone(), (zone.clone(), kind));
                commands.push(Command::Order { zone, kind, count: 1, token });
            }
        }
        if target == present {
            drain_surplus(&s, release_need, &mut live, view.endpoints, &mut drains);
        }
        commands.push(Command::Drain(drains.clone()));
        commands
    })
}

type ZoneCounts = IndexMap<Name, [usize; 2]>;

fn count_by_zone(endpoints: &[Endpoint], drains: &[Name]) -> ZoneCounts {
    let mut out: ZoneCounts = ZONES.iter().map(|z| ((*z).into(), [0; 2])).collect();
    for e in
        endpoints.iter().filter(|e| e.state == EndpointState::Live && !drains.contains(&e.name))
    {
        out[&e.zone][e.kind as usize] += 1;
    }
    out
}

/// Selects endpoints to drain while the need is met without them, standard ones first.
fn drain_surplus(
    s: &Settings,
    need: Need,
    live: &mut ZoneCounts,
    list: &[Endpoint],
    drains: &mut Vec<Name>,
) {
    loop {
        let before = drains.len();
        for kind in [Kind::Standard, Kind::Cheap] {
            let largest = live.iter().max_by_key(|(_, t)| t[kind as usize]);
            let Some(zone) = largest.map(|(z, _)| z.clone()) else { return };
            let mut next = live.clone();
            let Some(count) = next[&zone][kind as usize].checked_sub(1) else { continue };
            next[&zone][kind as usize] = count;
            let total = next.values().flatten().sum::<usize>();
            let loss = next.values().map(|t| t[1]).max().unwrap_or(0);
            let serving = |e: &&Endpoint| {
                e.state == EndpointState::Live
                    && (&e.zone, e.kind) == (&zone, kind)
                    && !drains.contains(&e.name)
            };
            if total >= s.min && need.met(total, loss) {
                let Some(e) = list.iter().find(serving) else { continue };
                drains.push(e.name.clone());
                *live = next;
                break;
            }
        }
        if drains.len() == before {
            return;
        }
    }
}
