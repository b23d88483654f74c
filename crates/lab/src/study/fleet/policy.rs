//! The controller and the baselines.

use {
    super::{
        shape::{LAG, RATE, Scenario, ZONES, demand},
        world::{Act, Policy, Seen},
    },
    agate_core::Mono,
    agate_fleet::{
        Action, Endpoint, Grant, Input, Inventory, Kind, Life, Mix, Name, Need, Outcome, Record,
        Settings, State, feasible_mix, step,
    },
    indexmap::IndexMap,
    std::time::Duration,
};

/// How far the oracle sees.
pub const SIGHT: Duration = Duration::from_secs(300);
/// Time between two plans of a baseline.
const PERIOD: u64 = 5;

/// Settings of the pool of a scenario.
pub fn settings(scenario: &Scenario) -> Settings {
    Settings { budget: scenario.budget, ..Settings::new("pool", &ZONES, RATE) }
}

/// The controller with its orders and its record of intentions.
pub fn controller<'a>(settings: Settings) -> Policy<'a> {
    let mut state = State::new(settings);
    let grant = Grant { fence: 1, until: Mono::MAX, first_order: Mono::ZERO };
    step(&mut state, Input::Granted(grant, Record::default()), Mono::ZERO);
    Box::new(move |seen| {
        let mut acts = Vec::new();
        let mut feed = |input| {
            for action in step(&mut state, input, seen.now) {
                act(action, &mut acts);
            }
        };
        for (token, outcome) in seen.answers {
            feed(Input::Answered(token.clone(), *outcome));
        }
        seen.idle.iter().for_each(|n| feed(Input::Idle(n.clone())));
        feed(Input::Listed(seen.endpoints.to_vec()));
        feed(Input::Observed { deadline: seen.deadline, long: seen.long });
        feed(Input::Tick);
        let written = acts.iter().find_map(|a| match a {
            Done::Written(n) => Some(*n),
            Done::Act(_) => None,
        });
        // The store answers before the next second.
        if let Some(number) = written {
            step(&mut state, Input::Recorded(number), seen.now);
        }
        let draining = state.draining().cloned().collect();
        let acts = acts.into_iter().filter_map(|a| match a {
            Done::Act(a) => Some(a),
            Done::Written(_) => None,
        });
        acts.chain([Act::Drain(draining)]).collect()
    })
}

enum Done {
    Act(Act),
    Written(u64),
}

fn act(action: Action, acts: &mut Vec<Done>) {
    acts.push(match action {
        Action::Write { number, .. } => Done::Written(number),
        Action::Order { zone, kind, count, token } => {
            Done::Act(Act::Order { zone, kind, count, token })
        }
        Action::Release { endpoint, token } => Done::Act(Act::Release(endpoint, token)),
    });
}

/// No change at all.
pub fn fixed<'a>() -> Policy<'a> {
    Box::new(|_| Vec::new())
}

/// Follows the present demand without hysteresis and without regard to the arrival lag.
pub fn threshold<'a>(settings: Settings) -> Policy<'a> {
    let need = {
        let s = settings.clone();
        move |seen: &Seen<'_>| {
            let deadline = seen.deadline * s.headroom / s.rate;
            Need { deadline, long: seen.long / s.rate }
        }
    };
    steer(settings, move |seen| {
        let need = need(seen);
        (need, need)
    })
}

/// Knows the true demand of the next five minutes, and neither reclaims nor refusals.
pub fn oracle<'a>(scenario: &'a Scenario, settings: Settings) -> Policy<'a> {
    let s = settings.clone();
    let need = move |from: Duration, to: Duration, now: Mono| {
        let points = (0..=10).map(|i| demand(scenario, now + from + (to - from) * i / 10));
        let sums: Vec<[f64; 2]> =
            points.map(|d| [0, 1].map(|kind| d.iter().map(|org| org[kind]).sum::<f64>())).collect();
        let deadline = sums.iter().map(|d| d[0]).fold(0.0, f64::max) * s.headroom / s.rate;
        // Long work may wait, so its mean is enough.
        let long = sums.iter().map(|d| d[1]).sum::<f64>() / sums.len() as f64 / s.rate;
        Need { deadline, long }
    };
    let lag = Duration::from_secs(LAG.1);
    steer(settings, move |seen| {
        let backlog =
            0.0_f64.max(seen.long / RATE - need(Duration::ZERO, Duration::ZERO, seen.now).long);
        let add = |n: Need| Need { long: n.long + backlog, ..n };
        // What is not needed before an order could arrive is let go.
        (add(need(lag, SIGHT, seen.now)), add(need(Duration::ZERO, SIGHT, seen.now)))
    })
}

/// Orders what the first need lacks and releases what the second one leaves over.
fn steer<'a>(s: Settings, mut needs: impl FnMut(&Seen<'_>) -> (Need, Need) + 'a) -> Policy<'a> {
    let mut drains: Vec<Name> = Vec::new();
    let mut refused: IndexMap<String, (Name, Kind)> = IndexMap::new();
    let mut shut: IndexMap<(Name, Kind), Mono> = IndexMap::new();
    let mut number = 0;
    Box::new(move |seen| {
        let mut acts = Vec::new();
        for (token, outcome) in seen.answers {
            let order = refused.swap_remove(token);
            if let (Outcome::Refused, Some(key)) = (outcome, order) {
                shut.insert(key, seen.now + s.backoff.0);
            }
        }
        for name in seen.idle {
            acts.push(Act::Release(name.clone(), format!("release/{name}")));
        }
        drains.retain(|n| seen.endpoints.iter().any(|e| e.name == *n));
        if !seen.now.as_secs().is_multiple_of(PERIOD) {
            return acts;
        }
        let (up, down) = needs(seen);
        let mut live = tally(seen.endpoints, &drains);
        let sum = |k: Kind| live.values().map(|t| t[k as usize]).sum::<usize>();
        let present = Mix {
            standard: sum(Kind::Standard) + seen.coming.standard,
            cheap: sum(Kind::Cheap) + seen.coming.cheap,
        };
        let open = |kind| -> Vec<Name> {
            let free = |z: &&Name| shut.get(&((*z).clone(), kind)).is_none_or(|t| seen.now >= *t);
            s.zones.iter().filter(free).cloned().collect()
        };
        let zones = open(Kind::Cheap).len();
        let peak = live.values().map(|t| t[1]).max().unwrap_or(0);
        let free = Mix::default();
        let (wanted, _) =
            feasible_mix(&s, up, &Inventory { present, free, leaving: free, peak, zones });
        for (kind, count) in [
            (Kind::Standard, wanted.standard - present.standard),
            (Kind::Cheap, wanted.cheap - present.cheap),
        ] {
            let zones = open(kind);
            for i in 0..count.min(count * zones.len()) {
                number += 1;
                let token = format!("order/{number}");
                let zone = zones[(i + number) % zones.len()].clone();
                refused.insert(token.clone(), (zone.clone(), kind));
                acts.push(Act::Order { zone, kind, count: 1, token });
            }
        }
        if wanted == present {
            shed(&s, down, &mut live, seen.endpoints, &mut drains);
        }
        acts.push(Act::Drain(drains.clone()));
        acts
    })
}

type Tally = IndexMap<Name, [usize; 2]>;

fn tally(endpoints: &[Endpoint], drains: &[Name]) -> Tally {
    let mut out: Tally = ZONES.iter().map(|z| ((*z).into(), [0; 2])).collect();
    for e in endpoints.iter().filter(|e| e.life == Life::Live && !drains.contains(&e.name)) {
        out[&e.zone][e.kind as usize] += 1;
    }
    out
}

/// Drains endpoints without which the need is met, standard ones first.
fn shed(s: &Settings, need: Need, live: &mut Tally, list: &[Endpoint], drains: &mut Vec<Name>) {
    loop {
        let before = drains.len();
        for kind in [Kind::Standard, Kind::Cheap] {
            let most = live.iter().max_by_key(|(_, t)| t[kind as usize]);
            let Some(zone) = most.map(|(z, _)| z.clone()) else { return };
            let mut next = live.clone();
            let Some(left) = next[&zone][kind as usize].checked_sub(1) else { continue };
            next[&zone][kind as usize] = left;
            let total = next.values().flatten().sum::<usize>();
            let loss = next.values().map(|t| t[1]).max().unwrap_or(0);
            let free = |e: &&Endpoint| {
                e.life == Life::Live
                    && (&e.zone, e.kind) == (&zone, kind)
                    && !drains.contains(&e.name)
            };
            if total >= s.min && need.met(total, loss) {
                let Some(e) = list.iter().find(free) else { continue };
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
