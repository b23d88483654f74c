//! Simulation of a platform, endpoints and work in virtual time, controlled by a policy.

use {
    super::{
        queues::WorkQueues,
        scenario::{LAG, RATE, RECLAIM_NOTICE, RUN_TIME, Scenario, ZONES, demand},
    },
    agate_core::Mono,
    agate_fleet::{Endpoint, EndpointState, Kind, Mix, Name, Outcome, Prices},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Length of a simulation step.
const TICK: Duration = Duration::from_secs(1);
/// Time until a draining endpoint has no requests left.
const DRAIN: Duration = Duration::from_secs(15);
/// Time after a reclaim in which the zone provides no cheap endpoints.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(300);
/// Work in progress at an endpoint, in seconds of its capacity.
const WORK_IN_PROGRESS: f64 = 3.0;
/// Seconds in which the backlog is to be processed; part of [`super::scenario::LONG`].
const BACKLOG_TIME: f64 = 300.0;

/// State that a policy observes each second.
pub struct Observed<'a> {
    /// Current time.
    pub now: Mono,
    /// Endpoints that serve or are leaving.
    pub endpoints: &'a [Endpoint],
    /// Ordered endpoints that do not serve yet, by kind.
    pub starting: Mix,
    /// Demand of deadline work, in tokens per second.
    pub deadline: f64,
    /// Demand of long work with a part of its backlog, in tokens per second.
    pub long: f64,
    /// Outcomes of earlier commands, by token.
    pub outcomes: &'a [(String, Outcome)],
    /// Draining endpoints without requests.
    pub idle: &'a [Name],
}

/// Command of a policy.
pub enum Command {
    /// Orders endpoints.
    Order {
        /// Availability zone in which they are to run.
        zone: Name,
        /// How they are paid for.
        kind: Kind,
        /// Number of endpoints.
        count: u32,
        /// Idempotency token.
        token: String,
    },
    /// Drains exactly these endpoints; others accept work again.
    Drain(Vec<Name>),
    /// Releases a drained endpoint, with an idempotency token.
    Release(Name, String),
}

/// Policy: called each second, returns its commands.
pub type Policy<'a> = Box<dyn FnMut(&Observed<'_>) -> Vec<Command> + 'a>;

struct FakeEndpoint {
    endpoint: Endpoint,
    /// When it begins to serve.
    arrives: Mono,
    /// When it began to drain.
    drained: Option<Mono>,
    /// When it is removed after a reclaim.
    gone: Option<Mono>,
}

/// Sample for the plot.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time since the start, in minutes.
    pub minute: f64,
    /// Demand, in endpoints.
    pub demand: f64,
    /// Numbers of serving standard and cheap endpoints.
    pub fleet: (f64, f64),
    /// Work served, in endpoints.
    pub served: f64,
    /// Cost per hour.
    pub cost: f64,
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Fraction of the offered tokens that were served in time.
    pub goodput: f64,
    /// Endpoint cost per million tokens served in time.
    pub cost: f64,
    /// Number of endpoints ordered and released.
    pub changes: u32,
    /// Lowest goodput of an organisation.
    pub worst: f64,
    /// Fraction of the good tokens that ran on cheap endpoints and were not interrupted.
    pub cheap: f64,
    /// Fraction of the interrupted tokens that were not served in time.
    pub lost: f64,
    /// Highest cost per hour.
    pub peak: f64,
    /// Samples, one every 20 s.
    pub samples: Vec<Sample>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Mono,
    fleet: Vec<FakeEndpoint>,
    queues: WorkQueues,
    rng: ChaCha8Rng,
    name_count: u32,
    tokens: indexmap::IndexSet<String>,
    outcomes: Vec<(String, Outcome)>,
    unavailable: Vec<(usize, Mono)>,
    changes: u32,
    spent: f64,
    cheap: f64,
    out: RunResult,
}

/// Runs a policy in a scenario, starting with the endpoints of `initial`.
pub fn run(
    scenario: &Scenario,
    initial: Mix,
    prices: Prices,
    seed: u64,
    mut policy: Policy<'_>,
) -> RunResult {
    let mut sim = Simulation {
        scenario,
        now: Mono::ZERO,
        fleet: Vec::new(),
        queues: WorkQueues::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        name_count: 0,
        tokens: indexmap::IndexSet::new(),
        outcomes: Vec::new(),
        unavailable: Vec::new(),
        changes: 0,
        spent: 0.0,
        cheap: 0.0,
        out: RunResult::default(),
    };
    for (kind, count) in [(Kind::Standard, initial.standard), (Kind::Cheap, initial.cheap)] {
        (0..count).for_each(|i| sim.add(ZONES[i % ZONES.len()].into(), kind, Mono::ZERO));
    }
    while sim.now < RUN_TIME {
        sim.run_second(&mut policy, &prices);
    }
    sim.finish()
}

impl Simulation<'_> {
    fn add(&mut self, zone: Name, kind: Kind, arrives: Mono) {
        self.name_count += 1;
        let name = format!("e{}", self.name_count).into();
        let endpoint = Endpoint { name, zone, kind, state: EndpointState::Live, declared: false };
        self.fleet.push(FakeEndpoint { endpoint, arrives, drained: None, gone: None });
    }

    fn run_second(&mut self, policy: &mut Policy<'_>, prices: &Prices) {
        self.reclaim();
        let mut demands = demand(self.scenario, self.now);
        for org in &mut demands {
            org.iter_mut().for_each(|w| *w *= self.rng.random_range(0.8..1.2));
        }
        self.queues.arrive(&demands, self.now);
        let now = self.now;
        let serves =
            |u: &&FakeEndpoint| u.arrives <= now && u.gone.is_none() && u.drained.is_none();
        let count = |kind| {
            self.fleet.iter().filter(serves).filter(|u| u.endpoint.kind == kind).count() as f64
        };
        let fleet = (count(Kind::Standard), count(Kind::Cheap));
        let capacity = (fleet.0 + fleet.1) * RATE;
        let served = self.queues.serve(capacity, now);
        self.cheap += served * fleet.1 / (fleet.0 + fleet.1).max(1.0);
        let cost = self.hourly_cost(prices);
        self.spent += cost * TICK.as_secs_f64() / 3600.0;
        self.out.peak = self.out.peak.max(cost);
        if now.as_secs().is_multiple_of(20) {
            let total: f64 = demands.iter().flatten().sum();
            let minute = now.as_secs_f64() / 60.0;
            let (demand, served) = (total / RATE, served / RATE);
            self.out.samples.push(Sample { minute, demand, fleet, served, cost });
        }
        let deadline = demands.iter().map(|w| w[0]).sum();
        let long = demands.iter().map(|w| w[1]).sum::<f64>() + self.queues.backlog() / BACKLOG_TIME;
        self.run_policy(policy, deadline, long);
        self.now += TICK;
    }

    fn hourly_cost(&self, prices: &Prices) -> f64 {
        let present = self.fleet.iter().filter(|u| u.arrives <= self.now);
        present
            .map(|u| match u.endpoint.kind {
                Kind::Standard => prices.standard,
                Kind::Cheap => prices.cheap,
            })
            .sum()
    }

    /// Executes the reclaims that are due; the interrupted work returns to the queues at once.
    fn reclaim(&mut self) {
        let now = self.now;
        self.fleet.retain(|u| u.gone.is_none_or(|t| now < t));
        for (at, zone) in self.scenario.reclaims.clone() {
            if at != now {
                continue;
            }
            self.unavailable.push((zone, now + UNAVAILABLE_TIME));
            let serving = |u: &&FakeEndpoint| u.arrives <= now && u.gone.is_none();
            let all = self.fleet.iter().filter(serving).count() as f64;
            let mut reclaimed = 0.0;
            for u in &mut self.fleet {
                if u.endpoint.kind == Kind::Cheap && &*u.endpoint.zone == ZONES[zone] {
                    reclaimed += f64::from(u8::from(u.arrives <= now));
                    u.gone = Some(now + RECLAIM_NOTICE);
                    u.endpoint.state = EndpointState::Leaving;
                }
            }
            self.queues.interrupt(WORK_IN_PROGRESS * reclaimed / all.max(1.0), now);
        }
    }

    fn run_policy(&mut self, policy: &mut Policy<'_>, deadline: f64, long: f64) {
        let now = self.now;
        let present = |u: &&FakeEndpoint| u.arrives <= now;
        let endpoints: Vec<_> =
            self.fleet.iter().filter(present).map(|u| u.endpoint.clone()).collect();
        let starting =
            |kind| self.fleet.iter().filter(|u| u.arrives > now && u.endpoint.kind == kind).count();
        let starting = Mix { standard: starting(Kind::Standard), cheap: starting(Kind::Cheap) };
        let idle: Vec<Name> = self
            .fleet
            .iter()
            .filter(|u| u.drained.is_some_and(|t| now >= t + DRAIN))
            .map(|u| u.endpoint.name.clone())
            .collect();
        let outcomes = std::mem::take(&mut self.outcomes);
        let (endpoints, outcomes, idle) = (&endpoints[..], &outcomes[..], &idle[..]);
        let observed = Observed { now, endpoints, starting, deadline, long, outcomes, idle };
        for command in policy(&observed) {
            match command {
                Command::Order { zone, kind, count, token } => self.order(zone, kind, count, token),
                Command::Drain(names) => {
                    for u in &mut self.fleet {
                        let draining = names.contains(&u.endpoint.name);
                        u.drained = draining.then(|| u.drained.unwrap_or(now));
                    }
                }
                Command::Release(name, token) => {
                    self.fleet.retain(|u| u.endpoint.name != name);
                    self.changes += 1;
                    self.outcomes.push((token, Outcome::Accepted));
                }
            }
        }
    }

    fn order(&mut self, zone: Name, kind: Kind, count: u32, token: String) {
        let now = self.now;
        let unavailable =
            self.unavailable.iter().any(|(z, until)| ZONES[*z] == &*zone && now < *until);
        let shortage = self.scenario.shortage.is_some_and(|(a, b)| (a..b).contains(&now));
        if kind == Kind::Cheap && (unavailable || shortage) {
            return self.outcomes.push((token, Outcome::Refused));
        }
        if self.tokens.insert(token.clone()) {
            self.changes += count;
            for _ in 0..count {
                let lag = Duration::from_secs(self.rng.random_range(LAG.0..LAG.1));
                self.add(zone.clone(), kind, now + lag);
            }
        }
        self.outcomes.push((token, Outcome::Accepted));
    }

    fn finish(self) -> RunResult {
        let queues = &self.queues;
        let (good, offered) = (queues.good.iter().sum::<f64>(), queues.offered.iter().sum::<f64>());
        let ratios = queues.good.iter().zip(&queues.offered).map(|(g, o)| g / o);
        RunResult {
            goodput: good / offered,
            cost: self.spent / good * 1e6,
            changes: self.changes,
            worst: ratios.fold(f64::INFINITY, f64::min),
            cheap: (self.cheap - queues.interrupted) / good,
            lost: queues.lost / queues.interrupted.max(1.0),
            ..self.out
        }
    }
}
