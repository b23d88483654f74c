//! Compares the controller's goodput and role changes with three other policies while the prefill
//! fraction of the work varies, and measures the cost of a decision. Runs in virtual time.
//!
//! The model has two queues with continuous amounts of work: prefill engines process prompts, then
//! decode engines generate the output. Work that waits longer than a limit in either queue is lost.
//! An engine does not serve while it drains and changes its role. The load is 85% of the capacity
//! of all engines in the best split. Prints two Markdown tables.

use {
    agate_ctl::{
        Action, Demand, Engine, EngineState, Grant, Input, Outcome, Piece, Role, Settings, Split,
        Verb, choose_split, step,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 7;
/// Duration of a run, in virtual seconds.
const RUN: usize = 7_200;
/// Seconds that a drain takes.
const DRAIN: usize = 8;
/// Seconds that a role change takes after the drain.
const CHANGE: usize = 12;
/// Seconds after which work in a queue is lost.
const LIMIT: usize = 5;
/// Load as a fraction of the capacity in the best split.
const LOAD: f64 = 0.85;
/// Seconds between two decisions of the other policies.
const PERIOD: usize = 5;
/// Seconds of future demand that the oracle knows.
const FORESIGHT: usize = 300;

/// Prefill fraction of the work in each second.
fn shares(shape: &str) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut jitter = 0.0;
    let at = |t: usize| match shape {
        "wave of 20 min" => 0.37 + 0.18 * (t as f64 * std::f64::consts::TAU / 1_200.0).sin(),
        "wave of 5 min" => 0.37 + 0.10 * (t as f64 * std::f64::consts::TAU / 300.0).sin(),
        "steps of 10 min" => [0.25, 0.50][t / 600 % 2],
        _ => 0.37,
    };
    let mut draw = |t| {
        jitter = jitter * 0.9 + rng.random_range(-0.02..0.02);
        (at(t) + jitter).clamp(0.05, 0.95)
    };
    (0..RUN + FORESIGHT + 1).map(&mut draw).collect()
}

#[derive(Clone, Copy)]
struct Worker {
    role: Role,
    /// Second at which the drain began.
    draining: Option<usize>,
    /// Second at which the current role change ends, and the new role.
    busy: Option<(usize, Role)>,
}

struct Fleet {
    engines: Vec<Worker>,
    changes: usize,
}

impl Fleet {
    fn new(count: usize, share: f64) -> Self {
        let prefill = (count as f64 * share).round() as usize;
        let role = |i: usize| {
            // Distributes the roles evenly, so that each zone has both.
            if i * prefill / count != (i + 1) * prefill / count {
                Role::Prefill
            } else {
                Role::Decode
            }
        };
        let unit = |i| Worker { role: role(i), draining: None, busy: None };
        Self { engines: (0..count).map(unit).collect(), changes: 0 }
    }

    fn advance(&mut self, t: usize) {
        for u in &mut self.engines {
            if let Some((until, role)) = u.busy
                && t >= until
            {
                (u.role, u.busy) = (role, None);
                self.changes += 1;
            }
        }
    }

    fn serving(&self, role: Role) -> usize {
        let on = |u: &&Worker| u.role == role && u.draining.is_none() && u.busy.is_none();
        self.engines.iter().filter(on).count()
    }

    /// Engines by role; one that is changing counts for its new role.
    fn split(&self) -> Split {
        let to = |u: &Worker| u.busy.map_or(u.role, |(_, r)| r);
        let of = |r| self.engines.iter().filter(|u| to(u) == r).count();
        Split { prefill: of(Role::Prefill), decode: of(Role::Decode) }
    }

    /// Starts all changes that lead to the split `wanted` at once.
    fn change_to(&mut self, wanted: Split, t: usize) {
        let now = self.split();
        let (from, to) = if wanted.prefill < now.prefill {
            (Role::Prefill, Role::Decode)
        } else {
            (Role::Decode, Role::Prefill)
        };
        let count = wanted.prefill.abs_diff(now.prefill);
        let free = self.engines.iter_mut().filter(|u| u.role == from && u.busy.is_none());
        for u in free.take(count) {
            u.busy = Some((t + DRAIN + CHANGE, to));
        }
    }
}

/// Two queues in sequence; an entry holds the second of arrival and the remaining work. A prefill
/// entry also holds the decode work per unit of prefill work.
#[derive(Default)]
struct Queues {
    prefill: VecDeque<(usize, f64, f64)>,
    decode: VecDeque<(usize, f64)>,
    offered: f64,
    done: f64,
}

impl Queues {
    fn advance(&mut self, t: usize, work: (f64, f64), engines: Split) {
        self.offered += work.1;
        self.prefill.push_back((t, work.0, work.1 / work.0));
        self.prefill.retain(|(at, ..)| t - at <= LIMIT);
        let mut room = engines.prefill as f64;
        while room > 0.0
            && let Some((_, left, each)) = self.prefill.front_mut()
        {
            let served = left.min(room);
            room -= served;
            *left -= served;
            self.decode.push_back((t, served * *each));
            if *left <= 1e-9 {
                self.prefill.pop_front();
            }
        }
        self.decode.retain(|(at, _)| t - at <= LIMIT);
        let mut room = engines.decode as f64;
        while room > 0.0
            && let Some((_, left)) = self.decode.front_mut()
        {
            let served = left.min(room);
            room -= served;
            *left -= served;
            self.done += served;
            if *left <= 1e-9 {
                self.decode.pop_front();
            }
        }
    }
}

fn demand(s: &Settings, count: usize, share: f64) -> Demand {
    let work = count as f64 * LOAD;
    Demand { prefill: work * share * s.prefill_rate, decode: work * (1.0 - share) * s.decode_rate }
}

struct Controller {
    piece: Piece,
    rounds: u32,
    spent: Duration,
    longest: Duration,
    writes: usize,
}

impl Controller {
    fn new(fleet: &Fleet) -> Self {
        let engine =
            |(i, u): (usize, &Worker)| Engine::new(format!("engine-{i:04}"), i as u32 % 4, u.role);
        let engines = fleet.engines.iter().enumerate().map(engine).collect();
        let mut piece = Piece::new(Settings::default(), engines);
        let (first_order, until) = (Duration::ZERO, Duration::MAX);
        let grant = Grant { fence: 1, until, first_order };
        step(&mut piece, Input::Granted(grant, Vec::new()), Duration::ZERO);
        let spent = Duration::ZERO;
        Self { piece, rounds: 0, spent, longest: spent, writes: 0 }
    }

    fn advance(&mut self, fleet: &mut Fleet, d: Demand, t: usize) {
        let now = Duration::from_secs(t as u64);
        step(&mut self.piece, Input::Observed(d), now);
        let start = Instant::now();
        let actions = step(&mut self.piece, Input::Tick, now);
        let took = start.elapsed();
        self.rounds += 1;
        self.spent += took;
        self.longest = self.longest.max(took);
        for a in actions {
            let input = self.execute(fleet, a, t);
            step(&mut self.piece, input, now);
        }
    }

    fn execute(&mut self, fleet: &mut Fleet, a: Action, t: usize) -> Input {
        match a {
            Action::Write { number, .. } => {
                self.writes += 1;
                Input::Recorded(number)
            }
            Action::Read { engine, number } => {
                let u = &fleet.engines[engine];
                let running = u.draining.map_or(4, |at| u32::from(t < at + DRAIN));
                let (role, draining, busy) = (u.role, u.draining.is_some(), u.busy.is_some());
                Input::Read(engine, number, Some(EngineState { role, draining, running, busy }))
            }
            Action::Order { engine, number, verb, .. } => {
                let u = &mut fleet.engines[engine];
                match verb {
                    Verb::Drain => u.draining = Some(t),
                    Verb::Undrain => u.draining = None,
                    Verb::Role(r) => u.busy = Some((t + CHANGE, r)),
                }
                Input::Ordered(engine, number, Outcome::Done)
            }
        }
    }
}

fn run(policy: &str, shape: &str, count: usize) -> (f64, usize, Option<Controller>) {
    let shares = shares(shape);
    let s = Settings::default();
    let mean = shares[..RUN].iter().sum::<f64>() / RUN as f64;
    let mut fleet = Fleet::new(count, mean);
    let mut queues = Queues::default();
    let mut control = (policy == "controller").then(|| Controller::new(&fleet));
    for t in 0..RUN {
        fleet.advance(t);
        let d = demand(&s, count, shares[t]);
        if let Some(c) = &mut control {
            c.advance(&mut fleet, d, t);
        } else if t % PERIOD == 0 {
            let wanted = match policy {
                "threshold" => {
                    let prefill = (count as f64 * shares[t]).round() as usize;
                    Split { prefill, decode: count - prefill }
                }
                "oracle" => choose_split(&s, fleet.split(), |horizon| {
                    let later = t + (horizon.as_secs() as usize).min(FORESIGHT);
                    demand(&s, count, shares[later])
                }),
                _ => fleet.split(),
            };
            fleet.change_to(wanted, t);
        }
        let work = count as f64 * LOAD;
        let engines =
            Split { prefill: fleet.serving(Role::Prefill), decode: fleet.serving(Role::Decode) };
        queues.advance(t, (work * shares[t], work * (1.0 - shares[t])), engines);
    }
    (queues.done / queues.offered, fleet.changes, control)
}

fn main() {
    println!("| engines | prefill share | policy | goodput | role changes |");
    println!("|{}", "---|".repeat(5));
    let mut costs = Vec::new();
    for count in [100, 300, 1_000] {
        for shape in ["noise", "wave of 5 min", "wave of 20 min", "steps of 10 min"] {
            for policy in ["fixed split", "threshold", "controller", "oracle"] {
                let (goodput, changes, control) = run(policy, shape, count);
                println!("| {count} | {shape} | {policy} | {:.1}% | {changes} |", goodput * 100.0);
                costs.extend(control.map(|c| (count, shape, c)));
            }
        }
    }
    println!("\n| engines | prefill share | decision µs, mean | longest | state KB | writes/s |");
    println!("|{}", "---|".repeat(6));
    for (count, shape, c) in costs {
        println!(
            "| {count} | {shape} | {:.0} | {} | {:.1} | {:.3} |",
            c.spent.as_secs_f64() * 1e6 / f64::from(c.rounds),
            c.longest.as_micros(),
            c.piece.bytes() as f64 / 1e3,
            c.writes as f64 / RUN as f64,
        );
    }
}
