//! A fleet that starts at once, in virtual time: configuration reads, head watches and leases.
//!
//! Instances are the pure parts that the real ones are made of: call budgets, start delays, lease
//! machines and candidate ranks over the service's model. Peers that have the configuration hand it
//! on after a short while.

#![allow(dead_code, reason = "tests and measurements use different parts")]

use {
    agate_lease::{
        machine::{self, Action, Answer, Found, Input, Settings, State},
        rank, record,
    },
    agate_store::{
        Call, Purpose, Reply,
        backoff::start_delay,
        budget::Budgets,
        meter::{Counts, Kind},
        model::Model,
        quota,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

pub const STEP: Duration = Duration::from_millis(10);
/// Time in which an instance learns of a peer that has the configuration and fetches it.
const GOSSIP: Duration = Duration::from_secs(1);
/// Reads of one instance that fetches the whole configuration: the head and its chunks.
const CONFIG_READS: u32 = 12;
/// Instances for which an instance divides its rates before it knows how many there are, and the
/// fewest for which it does so afterwards.
const UNKNOWN: usize = 1_900;
const MIN_FLEET: usize = 8;
/// When the instances learn how many there are.
const LEARNT: Duration = Duration::from_millis(500);
const CANDIDATES: usize = 3;
const WATCHERS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub instances: usize,
    pub zones: usize,
    pub leases: usize,
    /// Without jitter, peers, budgets and candidate ranks.
    pub naive: bool,
}

struct Instance {
    at: Duration,
    left: u32,
    reads: Budgets,
    writes: Budgets,
    has: Option<Duration>,
}

struct Candidate {
    who: usize,
    key: String,
    state: State,
    call: Option<(u64, Call)>,
}

pub struct Storm {
    pub fleet: Fleet,
    pub counts: Counts,
    pub now: Duration,
    model: Model,
    instances: Vec<Instance>,
    candidates: Vec<Candidate>,
}

impl Storm {
    pub fn start(fleet: Fleet, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let zero = Duration::ZERO;
        let n = fleet.instances;
        let instances = (0..n).map(|_| {
            let delay = start_delay(n, CONFIG_READS, 600, rng.random::<f64>());
            Instance {
                at: if fleet.naive { zero } else { delay },
                left: CONFIG_READS,
                reads: Budgets::open(quota::reads(UNKNOWN), zero),
                writes: Budgets::open(quota::writes(UNKNOWN), zero),
                has: None,
            }
        });
        let instances = instances.collect();
        let names: Vec<String> = (0..n).map(|i| format!("i{i}")).collect();
        let mut candidates = Vec::new();
        for lease in 0..fleet.leases {
            let name = format!("l{lease}");
            let count = if fleet.naive { n } else { CANDIDATES };
            for holder in rank::candidates(&name, names.iter().map(String::as_str), count) {
                let who = holder[1..].parse().unwrap();
                let mut state = State::new(Settings::new(&name, holder));
                if !fleet.naive {
                    state.next = state.settings.poll.mul_f64(rng.random::<f64>());
                }
                let key = record::key(&name);
                candidates.push(Candidate { who, key, state, call: None });
            }
        }
        let (counts, model) = (Counts::default(), Model::new());
        Self { fleet, counts, now: zero, model, instances, candidates }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self.now == LEARNT {
                self.learn_size();
            }
            self.read_config();
            self.drive_leases();
        }
    }

    /// Instances that have the configuration.
    pub fn ready(&self) -> usize {
        self.instances.iter().filter(|i| i.has.is_some()).count()
    }

    /// Leases that somebody may use.
    pub fn held(&self) -> usize {
        self.candidates.iter().filter(|c| machine::may_act(&c.state, self.now).is_some()).count()
    }

    fn learn_size(&mut self) {
        let (n, now) = (self.fleet.instances.max(MIN_FLEET), self.now);
        for i in &mut self.instances {
            i.reads.set_rates(quota::reads(n), now);
            i.writes.set_rates(quota::writes(n), now);
        }
    }

    fn read_config(&mut self) {
        let now = self.now;
        let first = self.instances.iter().filter_map(|i| i.has).min();
        let peers = !self.fleet.naive && first.is_some_and(|t| t + GOSSIP <= now);
        for i in self.instances.iter_mut().filter(|i| i.has.is_none()) {
            if peers {
                i.has = Some(now);
            }
            while i.has.is_none() && now >= i.at {
                if !self.fleet.naive && i.reads.take(Purpose::Config, now).is_err() {
                    break;
                }
                self.counts.record(Purpose::Config, Kind::Get, now);
                i.left -= 1;
                i.has = (i.left == 0).then_some(now);
            }
        }
        // The first instances of each zone to have it keep a watch on the head.
        let watchers = (WATCHERS * self.fleet.zones).min(self.ready());
        let watchers = if self.fleet.naive { self.ready() } else { watchers };
        while self.counts.waiting < watchers as u64 {
            self.counts.record(Purpose::Config, Kind::Watch, now);
            self.counts.waiting += 1;
        }
    }

    fn drive_leases(&mut self) {
        let now = self.now;
        for c in &mut self.candidates {
            if machine::next_wake(&c.state).is_some_and(|at| at <= now) {
                let actions = machine::step(&mut c.state, Input::Tick, now);
                c.take(actions);
            }
            let Some((id, call)) = c.call.take() else { continue };
            let own = &mut self.instances[c.who];
            let budget = if call.is_write() { &mut own.writes } else { &mut own.reads };
            if !self.fleet.naive && budget.take(Purpose::Lease, now).is_err() {
                c.call = Some((id, call));
                continue;
            }
            self.counts.record(Purpose::Lease, Kind::of(&call), now);
            let answer = answer(&mut self.model, &call, now);
            let actions = machine::step(&mut c.state, Input::Answer { id, answer }, now + STEP / 2);
            c.take(actions);
        }
    }

    /// Kills the holder of the first lease, and returns the time until another holds it.
    pub fn kill_holder(&mut self) -> Option<Duration> {
        let now = self.now;
        let holds = |c: &Candidate| machine::may_act(&c.state, now).is_some();
        let victim = self.candidates.iter().position(|c| c.key == "lease/l0" && holds(c))?;
        let dead = self.candidates.remove(victim);
        while !self
            .candidates
            .iter()
            .any(|c| c.key == dead.key && machine::may_act(&c.state, self.now).is_some())
        {
            self.run(STEP);
        }
        let took = self.now - now;
        // A new process takes the place of the killed one.
        let holder = format!("{}'", dead.state.settings.holder);
        let mut state = State::new(Settings { holder, ..(*dead.state.settings).clone() });
        state.next = self.now;
        self.candidates.push(Candidate { state, call: None, ..dead });
        Some(took)
    }
}

impl Candidate {
    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            let key = self.key.clone();
            match action {
                Action::Read { id } => self.call = Some((id, Call::Get { key })),
                Action::Write { id, expect, body } => {
                    let value = Some(record::encode(&body));
                    self.call = Some((id, Call::Swap { key, expect, value, lease: None }));
                }
                Action::Gained(_) | Action::Lost(_) => {}
            }
        }
    }
}

fn answer(model: &mut Model, call: &Call, now: Duration) -> Answer {
    match model.apply(call, now).unwrap() {
        Reply::Swapped(r) => Answer::Written(r),
        Reply::Value(r) | Reply::Conflict(r) => Answer::Record(r.map(|r| Found {
            revision: r.revision,
            body: record::decode("lease", &r.value).unwrap(),
        })),
        other => panic!("{other:?}"),
    }
}
