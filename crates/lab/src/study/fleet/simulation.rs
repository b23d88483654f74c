//! A platform, endpoints and work in virtual time, run by a policy.

use {
    super::{
        shape::{LAG, LENGTH, NOTICE, RATE, Scenario, ZONES, demand},
        work::Works,
    },
    agate_core::Mono,
    agate_fleet::{Endpoint, Kind, Life, Mix, Name, Outcome, Prices},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// One step of the world.
const TICK: Duration = Duration::from_secs(1);
/// Time until a draining endpoint has no request left.
const DRAIN: Duration = Duration::from_secs(15);
/// Time after a reclaim for which its availability zone has no cheap endpoint.
const GONE: Duration = Duration::from_secs(300);
/// Work under way at an endpoint, in seconds of its time.
const FLIGHT: f64 = 3.0;
/// Part of [`super::shape::LONG`] in which backlog should be worked off, in seconds.
const WORK_OFF: f64 = 300.0;

/// What a policy sees each second.
pub struct Seen<'a> {
    /// The time.
    pub now: Mono,
    /// Endpoints that serve or leave.
    pub endpoints: &'a [Endpoint],
    /// Endpoints under way, by kind.
    pub coming: Mix,
    /// Deadline work, in tokens a second.
    pub deadline: f64,
    /// Long work and its backlog, in tokens a second.
    pub long: f64,
    /// Answers to earlier acts.
    pub answers: &'a [(String, Outcome)],
    /// Draining endpoints without a request.
    pub idle: &'a [Name],
}

/// What a policy does.
pub enum Act {
    /// Orders endpoints under an idempotency token.
    Order {
        /// Availability zone.
        zone: Name,
        /// Kind.
        kind: Kind,
        /// How many.
        count: u32,
        /// Token.
        token: String,
    },
    /// Lets exactly these endpoints take no new work.
    Drain(Vec<Name>),
    /// Releases a drained endpoint.
    Release(Name, String),
}

/// A policy.
pub type Policy<'a> = Box<dyn FnMut(&Seen<'_>) -> Vec<Act> + 'a>;

struct Unit {
    endpoint: Endpoint,
    arrives: Mono,
    drained: Option<Mono>,
    gone: Option<Mono>,
}

/// One sample for the plot.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time in minutes.
    pub minute: f64,
    /// Demand, in endpoints.
    pub demand: f64,
    /// Standard and cheap endpoints that serve.
    pub fleet: (f64, f64),
    /// Served work, in endpoints.
    pub served: f64,
    /// Cost in an hour.
    pub cost: f64,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Outturn {
    /// Share of the offered tokens that was served in time.
    pub goodput: f64,
    /// Endpoint cost of a million good tokens.
    pub cost: f64,
    /// Endpoints ordered and released.
    pub changes: u32,
    /// Goodput of the worst-served organisation.
    pub worst: f64,
    /// Share of the served work that ran on cheap endpoints and was not interrupted.
    pub cheap: f64,
    /// Share of the interrupted work that was lost.
    pub lost: f64,
    /// Greatest cost in an hour.
    pub peak: f64,
    /// One sample each 20 s.
    pub samples: Vec<Sample>,
}

struct World<'a> {
    scenario: &'a Scenario,
    now: Mono,
    units: Vec<Unit>,
    works: Works,
    rng: ChaCha8Rng,
    named: u32,
    tokens: indexmap::IndexSet<String>,
    answers: Vec<(String, Outcome)>,
    shut: Vec<(usize, Mono)>,
    changes: u32,
    spent: f64,
    cheap: f64,
    out: Outturn,
}

/// Runs a policy, which starts with `first` endpoints of each kind.
pub fn run(
    scenario: &Scenario,
    first: Mix,
    prices: Prices,
    seed: u64,
    mut policy: Policy<'_>,
) -> Outturn {
    let mut w = World {
        scenario,
        now: Mono::ZERO,
        units: Vec::new(),
        works: Works::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        named: 0,
        tokens: indexmap::IndexSet::new(),
        answers: Vec::new(),
        shut: Vec::new(),
        changes: 0,
        spent: 0.0,
        cheap: 0.0,
        out: Outturn::default(),
    };
    for (kind, count) in [(Kind::Standard, first.standard), (Kind::Cheap, first.cheap)] {
        (0..count).for_each(|i| w.add(ZONES[i % ZONES.len()].into(), kind, Mono::ZERO));
    }
    while w.now < LENGTH {
        w.second(&mut policy, &prices);
    }
    w.finish()
}

impl World<'_> {
    fn add(&mut self, zone: Name, kind: Kind, arrives: Mono) {
        self.named += 1;
        let name = format!("e{}", self.named).into();
        let endpoint = Endpoint { name, zone, kind, life: Life::Live, fixed: false };
        self.units.push(Unit { endpoint, arrives, drained: None, gone: None });
    }

    fn second(&mut self, policy: &mut Policy<'_>, prices: &Prices) {
        self.reclaim();
        let mut asked = demand(self.scenario, self.now);
        for org in &mut asked {
            org.iter_mut().for_each(|w| *w *= self.rng.random_range(0.8..1.2));
        }
        self.works.arrive(&asked, self.now);
        let now = self.now;
        let serves = |u: &&Unit| u.arrives <= now && u.gone.is_none() && u.drained.is_none();
        let count = |kind| {
            self.units.iter().filter(serves).filter(|u| u.endpoint.kind == kind).count() as f64
        };
        let fleet = (count(Kind::Standard), count(Kind::Cheap));
        let capacity = (fleet.0 + fleet.1) * RATE;
        let served = self.works.serve(capacity, now);
        self.cheap += served * fleet.1 / (fleet.0 + fleet.1).max(1.0);
        let cost = self.hourly(prices);
        self.spent += cost * TICK.as_secs_f64() / 3600.0;
        self.out.peak = self.out.peak.max(cost);
        if now.as_secs().is_multiple_of(20) {
            let total: f64 = asked.iter().flatten().sum();
            let minute = now.as_secs_f64() / 60.0;
            let (demand, served) = (total / RATE, served / RATE);
            self.out.samples.push(Sample { minute, demand, fleet, served, cost });
        }
        let deadline = asked.iter().map(|w| w[0]).sum();
        let long = asked.iter().map(|w| w[1]).sum::<f64>() + self.works.backlog() / WORK_OFF;
        self.act(policy, deadline, long);
        self.now += TICK;
    }

    fn hourly(&self, prices: &Prices) -> f64 {
        let there = self.units.iter().filter(|u| u.arrives <= self.now);
        there
            .map(|u| match u.endpoint.kind {
                Kind::Standard => prices.standard,
                Kind::Cheap => prices.cheap,
            })
            .sum()
    }

    /// Reclaims availability zones whose time has come; their work is resumed elsewhere at once.
    fn reclaim(&mut self) {
        let now = self.now;
        self.units.retain(|u| u.gone.is_none_or(|t| now < t));
        for (at, zone) in self.scenario.reclaims.clone() {
            if at != now {
                continue;
            }
            self.shut.push((zone, now + GONE));
            let serving = |u: &&Unit| u.arrives <= now && u.gone.is_none();
            let all = self.units.iter().filter(serving).count() as f64;
            let mut taken = 0.0;
            for u in &mut self.units {
                if u.endpoint.kind == Kind::Cheap && &*u.endpoint.zone == ZONES[zone] {
                    taken += f64::from(u8::from(u.arrives <= now));
                    u.gone = Some(now + NOTICE);
                    u.endpoint.life = Life::Leaving;
                }
            }
            self.works.interrupt(FLIGHT * taken / all.max(1.0), now);
        }
    }

    fn act(&mut self, policy: &mut Policy<'_>, deadline: f64, long: f64) {
        let now = self.now;
        let there = |u: &&Unit| u.arrives <= now;
        let endpoints: Vec<_> =
            self.units.iter().filter(there).map(|u| u.endpoint.clone()).collect();
        let coming =
            |kind| self.units.iter().filter(|u| u.arrives > now && u.endpoint.kind == kind).count();
        let coming = Mix { standard: coming(Kind::Standard), cheap: coming(Kind::Cheap) };
        let idle: Vec<Name> = self
            .units
            .iter()
            .filter(|u| u.drained.is_some_and(|t| now >= t + DRAIN))
            .map(|u| u.endpoint.name.clone())
            .collect();
        let answers = std::mem::take(&mut self.answers);
        let (endpoints, answers, idle) = (&endpoints[..], &answers[..], &idle[..]);
        let seen = Seen { now, endpoints, coming, deadline, long, answers, idle };
        for act in policy(&seen) {
            match act {
                Act::Order { zone, kind, count, token } => self.order(zone, kind, count, token),
                Act::Drain(names) => {
                    for u in &mut self.units {
                        let draining = names.contains(&u.endpoint.name);
                        u.drained = draining.then(|| u.drained.unwrap_or(now));
                    }
                }
                Act::Release(name, token) => {
                    self.units.retain(|u| u.endpoint.name != name);
                    self.changes += 1;
                    self.answers.push((token, Outcome::Taken));
                }
            }
        }
    }

    fn order(&mut self, zone: Name, kind: Kind, count: u32, token: String) {
        let now = self.now;
        let shut = self.shut.iter().any(|(z, until)| ZONES[*z] == &*zone && now < *until);
        let dry = self.scenario.drought.is_some_and(|(a, b)| (a..b).contains(&now));
        if kind == Kind::Cheap && (shut || dry) {
            return self.answers.push((token, Outcome::Refused));
        }
        if self.tokens.insert(token.clone()) {
            self.changes += count;
            for _ in 0..count {
                let lag = Duration::from_secs(self.rng.random_range(LAG.0..LAG.1));
                self.add(zone.clone(), kind, now + lag);
            }
        }
        self.answers.push((token, Outcome::Taken));
    }

    fn finish(self) -> Outturn {
        let w = &self.works;
        let (good, offered) = (w.good.iter().sum::<f64>(), w.offered.iter().sum::<f64>());
        let ratios = w.good.iter().zip(&w.offered).map(|(g, o)| g / o);
        Outturn {
            goodput: good / offered,
            cost: self.spent / good * 1e6,
            changes: self.changes,
            worst: ratios.fold(f64::INFINITY, f64::min),
            cheap: (self.cheap - w.moved) / good,
            lost: w.lost / w.moved.max(1.0),
            ..self.out
        }
    }
}
