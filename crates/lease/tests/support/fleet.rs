//! Simulation of a fleet that starts at once, in virtual time: configuration reads, head watches
//! and leases.
//!
//! Instances consist of the same pure parts as the real ones: call budgets, start delays, lease
//! machines and candidate ranks, over the model of the service. Peers that have the configuration
//! pass it on after a short delay.

#![allow(dead_code, reason = "tests and measurements use different parts")]

use {
    agate_lease::{
        machine::{self, Action, CallResult, Input, Settings, State, StoredRecord},
        rank, record,
    },
    agate_store::{
        Call, Purpose, StoreResponse,
        backoff::start_delay,
        budget::Budgets,
        metrics::{Counts, Kind},
        model::Model,
        quota,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

pub const STEP: Duration = Duration::from_millis(10);
/// Time in which an instance finds a peer that has the configuration and fetches it.
const PEER_FETCH: Duration = Duration::from_secs(1);
/// Reads of an instance that fetches the whole configuration: the head and its chunks.
const CONFIG_READS: u32 = 12;
/// Number of instances by which an instance divides its rates before it knows their number, and the
/// minimum number that it uses afterwards.
const ASSUMED_INSTANCES: usize = 1_900;
const MIN_FLEET: usize = 8;
/// Time at which the instances learn their number.
const SIZE_KNOWN_AT: Duration = Duration::from_millis(500);
const CANDIDATES: usize = 3;
const WATCHERS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub instances: usize,
    pub zones: usize,
    pub leases: usize,
    /// Disables jitter, peers, budgets and candidate ranks.
    pub naive: bool,
}

struct Instance {
    start_at: Duration,
    reads_left: u32,
    reads: Budgets,
    writes: Budgets,
    config_at: Option<Duration>,
}

struct Candidate {
    who: usize,
    key: String,
    state: State,
    call: Option<(u64, Call)>,
}

pub struct FleetSimulation {
    pub fleet: Fleet,
    pub counts: Counts,
    pub now: Duration,
    model: Model,
    instances: Vec<Instance>,
    candidates: Vec<Candidate>,
}

impl FleetSimulation {
    pub fn start(fleet: Fleet, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let zero = Duration::ZERO;
        let n = fleet.instances;
        let instances = (0..n).map(|_| {
            let delay = start_delay(n, CONFIG_READS, 600, rng.random::<f64>());
            Instance {
                start_at: if fleet.naive { zero } else { delay },
                reads_left: CONFIG_READS,
                reads: Budgets::open(quota::reads(ASSUMED_INSTANCES), zero),
                writes: Budgets::open(quota::writes(ASSUMED_INSTANCES), zero),
                config_at: None,
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
                    state.next_call = state.settings.poll.mul_f64(rng.random::<f64>());
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
            if self.now == SIZE_KNOWN_AT {
                self.learn_size();
            }
            self.read_config();
            self.drive_leases();
        }
    }

    /// Number of instances that have the configuration.
    pub fn ready(&self) -> usize {
        self.instances.iter().filter(|i| i.config_at.is_some()).count()
    }

    /// Number of leases that are held.
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
        let first = self.instances.iter().filter_map(|i| i.config_at).min();
        let peers = !self.fleet.naive && first.is_some_and(|t| t + PEER_FETCH <= now);
        for i in self.instances.iter_mut().filter(|i| i.config_at.is_none()) {
            if peers {
                i.config_at = Some(now);
            }
            while i.config_at.is_none() && now >= i.start_at {
                if !self.fleet.naive && i.reads.take(Purpose::Config, now).is_err() {
                    break;
                }
                self.counts.record(Purpose::Config, Kind::Get, now);
                i.reads_left -= 1;
                i.config_at = (i.reads_left == 0).then_some(now);
            }
        }
        // The first instances of each zone that have the configuration keep a watch on the head.
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
                c.execute(actions);
            }
            let Some((id, call)) = c.call.take() else { continue };
            let own = &mut self.instances[c.who];
            let budget = if call.is_write() { &mut own.writes } else { &mut own.reads };
            if !self.fleet.naive && budget.take(Purpose::Lease, now).is_err() {
                c.call = Some((id, call));
                continue;
            }
            self.counts.record(Purpose::Lease, Kind::of(&call), now);
            let result = apply_call(&mut self.model, &call, now);
            let actions =
                machine::step(&mut c.state, Input::Completed { id, result }, now + STEP / 2);
            c.execute(actions);
        }
    }

    /// Kills the holder of the first lease; returns the time until another instance holds it.
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
        // A new process replaces the killed one.
        let holder = format!("{}'", dead.state.settings.holder);
        let mut state = State::new(Settings { holder, ..(*dead.state.settings).clone() });
        state.next_call = self.now;
        self.candidates.push(Candidate { state, call: None, ..dead });
        Some(took)
    }
}

impl Candidate {
    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            let key = self.key.clone();
            match action {
                Action::Read { id } => self.call = Some((id, Call::Get { key })),
                Action::Write { id, expect, body } => {
                    let value = Some(record::encode(&body));
                    self.call = Some((id, Call::Swap { key, expect, value, lease: None }));
                }
                Action::TermBegan(_) | Action::TermEnded(_) => {}
            }
        }
    }
}

fn apply_call(model: &mut Model, call: &Call, now: Duration) -> CallResult {
    match model.apply(call, now).unwrap() {
        StoreResponse::Swapped(r) => CallResult::Written(r),
        StoreResponse::Value(r) | StoreResponse::Conflict(r) => CallResult::Record(r.map(|r| {
            StoredRecord { revision: r.revision, body: record::decode("lease", &r.value).unwrap() }
        })),
        other => panic!("{other:?}"),
    }
}
