//! Deterministic simulation of the instances, network, store and platform of one usage shard.

#![allow(dead_code, reason = "tests and measurements use different parts")]

use {
    agate_store::{Call, StoreResponse, model::Model},
    agate_usage::{
        clock::WindowClock,
        counter::{Counter, Message},
        figures::{Figures, Source, Window},
        ledger::{Ledger, Part, PartRequest},
        sealed::{self, Sealed},
        sealer::{self, Action, Context, Head, Input, Outcome, Sealer, Settings},
    },
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

pub const LENGTH: Duration = Duration::from_secs(60);
const QUIET: Duration = Duration::from_secs(2);
/// A horizon longer than any run.
pub const LONG_HORIZON: u64 = 1000;

pub fn settings(horizon: u64) -> Settings {
    let s = Duration::from_secs;
    Settings {
        shard: 0,
        shards: 1,
        window: LENGTH,
        gather: s(3),
        grace: s(5),
        horizon,
        retry: s(1),
        timeout: s(2),
    }
}

/// Behaviour of the store and the platform.
#[derive(Clone, Copy, Debug)]
pub enum StoreMode {
    Working,
    /// Calls take effect but their results are lost.
    ResultLost,
    /// Calls have no effect.
    Unavailable,
}

/// An operation of the simulation. The first field of those that concern an instance is its index.
#[derive(Clone, Debug)]
pub enum Op {
    /// Counts work: instance, organisation, number of output tokens.
    Count(usize, usize, u64),
    /// Sends the messages of a replication round.
    Replicate(usize),
    /// Delivers a message: its index, whether it is duplicated, whether the acknowledgement
    /// arrives.
    Deliver(usize, bool, bool),
    /// Loses a message.
    Drop(usize),
    /// Replaces an instance without a graceful stop.
    Kill(usize),
    /// Graceful stop: sends counters and copies to all peers, then replaces the instance.
    Stop(usize),
    /// Sends copies of silent sources to all peers.
    Relay(usize),
    /// Grants or ends the lease.
    SetLease(usize, bool),
    /// Runs the sealer; the bit mask selects the instances that respond to requests for counters.
    RunSealer(usize, StoreMode, u8),
    /// Advances time by a number of seconds.
    Advance(u64),
    /// Sets the skew of the wall clock in seconds.
    SetSkew(usize, i64),
}

/// A deliberate bug in the execution of the sealer's actions, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedBug {
    None,
    /// Records lack their entries.
    ForgetEntries,
    /// A lease holder reports its own record regardless of the one in the store.
    OwnProposal,
    /// A sealed record can be overwritten.
    Overwrite,
}

/// A simulated instance.
pub struct Instance {
    pub name: Source,
    pub counter: Counter,
    pub clock: WindowClock,
    pub copies: Ledger,
    pub gathered: Ledger,
    pub sealer: Sealer,
    pub token: Option<u64>,
    pub skew: i64,
}

/// State of the simulation.
pub struct Simulation {
    pub now: Duration,
    pub instances: Vec<Instance>,
    pub starts: u64,
    pub messages: Vec<(Source, Message)>,
    pub store: Model,
    pub reports: IndexMap<Window, Sealed>,
    /// Output tokens counted, by source and organisation.
    pub work: IndexMap<(Source, usize), u64>,
    pub seals: u64,
    /// Time of the first report of each window.
    pub first_reports: IndexMap<Window, Duration>,
    pub bug: PlantedBug,
    pub horizon: u64,
}

fn org(i: usize) -> Arc<str> {
    format!("org{i}").into()
}

impl Simulation {
    pub fn new(bug: PlantedBug, horizon: u64, count: usize) -> Self {
        let mut w = Self {
            now: Duration::from_secs(1_000_000),
            instances: Vec::new(),
            starts: 0,
            messages: Vec::new(),
            store: Model::new(),
            reports: IndexMap::new(),
            work: IndexMap::new(),
            seals: 0,
            first_reports: IndexMap::new(),
            bug,
            horizon,
        };
        (0..count).for_each(|i| {
            let instance = w.instance(i);
            w.instances.push(instance);
        });
        w.connect_peers();
        w
    }

    fn instance(&mut self, i: usize) -> Instance {
        self.starts += 1;
        let name: Source = format!("i{i}@{}", self.starts).into();
        let clock = WindowClock::open(LENGTH, self.now, self.now);
        Instance {
            counter: Counter::open(name.clone(), clock.clone()),
            name,
            clock,
            copies: Ledger::new(),
            gathered: Ledger::new(),
            sealer: Sealer::open(settings(self.horizon)),
            token: None,
            skew: 0,
        }
    }

    /// Makes each instance a peer of all others.
    fn connect_peers(&mut self) {
        let names: Vec<Source> = self.instances.iter().map(|n| n.name.clone()).collect();
        for n in &mut self.instances {
            n.counter.set_peers(names.iter().filter(|p| **p != n.name).cloned());
        }
    }

    fn wall(&self, i: usize) -> Duration {
        let base = self.now.as_secs() as i64;
        Duration::from_secs((base + self.instances[i].skew).max(0) as u64)
    }

    pub fn run(&mut self, op: &Op) {
        match *op {
            Op::Count(i, o, n) => {
                let (wall, now, instance) = (self.wall(i), self.now, &mut self.instances[i]);
                let work = Figures { requests: 1, prompt: 2 * n, output: n };
                instance.counter.count(&org(o), &"m".into(), work, wall, now);
                *self.work.entry((instance.name.clone(), o)).or_default() += n;
            }
            Op::Replicate(i) => {
                let (wall, now) = (self.wall(i), self.now);
                self.messages.extend(self.instances[i].counter.ship(wall, now));
            }
            Op::Deliver(k, duplicate, ack) if !self.messages.is_empty() => {
                let k = k % self.messages.len();
                let (to, message) =
                    if duplicate { self.messages[k].clone() } else { self.messages.swap_remove(k) };
                self.deliver(&to, &message, ack);
            }
            Op::Drop(k) if !self.messages.is_empty() => {
                self.messages.swap_remove(k % self.messages.len());
            }
            Op::Deliver(..) | Op::Drop(_) => {}
            Op::Kill(i) => {
                self.instances[i] = self.instance(i);
                self.connect_peers();
            }
            Op::Stop(i) => {
                let own = self.instances[i].counter.part(0, 1, 0, Window::MAX - 1);
                self.relay(i, Duration::ZERO, Some(own));
                self.run(&Op::Kill(i));
            }
            Op::Relay(i) => self.relay(i, QUIET, None),
            Op::SetLease(i, granted) => {
                self.starts += 1;
                self.instances[i].token = granted.then_some(self.starts);
            }
            Op::RunSealer(i, mode, responders) => self.run_sealer(i, mode, responders),
            Op::Advance(s) => self.now += Duration::from_secs(s),
            Op::SetSkew(i, s) => self.instances[i].skew = s,
        }
    }

    pub fn deliver(&mut self, to: &Source, message: &Message, ack: bool) {
        let now = self.now;
        let Some(instance) = self.instances.iter_mut().find(|n| n.name == *to) else { return };
        instance.copies.merge(message, now);
        let from = self.instances.iter_mut().find(|n| n.name == message.source);
        if let (Some(from), true) = (from, ack) {
            from.counter.acknowledge(to, message.round);
        }
    }

    /// Runs one sealer and executes its actions until it has none.
    pub fn run_sealer(&mut self, i: usize, mode: StoreMode, responders: u8) {
        let mut input = Input::Tick;
        loop {
            let (wall, now) = (self.wall(i), self.now);
            let instance = &mut self.instances[i];
            let wall = instance.clock.read(wall, now);
            let c = Context { now, wall, token: instance.token, ledger: &instance.gathered };
            let Some((id, action)) = sealer::step(&mut instance.sealer, input, &c).pop() else {
                return;
            };
            if let Action::Gather(want) = action {
                self.gather(i, &want, responders);
                return;
            }
            let outcome = match mode {
                StoreMode::Working => self.execute(action),
                StoreMode::ResultLost => {
                    self.execute(action);
                    Outcome::Failed
                }
                StoreMode::Unavailable => Outcome::Failed,
            };
            input = Input::Outcome { id, outcome };
        }
    }

    fn relay(&mut self, i: usize, quiet: Duration, own: Option<Part>) {
        let instance = &mut self.instances[i];
        instance.copies.prune(instance.clock.window().saturating_sub(self.horizon));
        let mut parts = instance.copies.parts(&PartRequest::everything(0), quiet, self.now);
        parts.extend(own);
        let others = self.instances.iter_mut().enumerate().filter(|(j, _)| *j != i);
        for (_, n) in others {
            let relayed = parts.iter().filter(|p| p.source != n.name);
            relayed.for_each(|p| n.copies.merge_relayed(p));
        }
    }

    pub fn gather(&mut self, i: usize, want: &PartRequest, responders: u8) {
        for j in (0..self.instances.len()).filter(|j| responders & (1 << j) != 0) {
            let n = &self.instances[j];
            let own = n.counter.part(want.shard, want.shards, want.oldest, want.newest);
            let mut parts = n.copies.parts(want, QUIET, self.now);
            parts.push(own);
            for p in &parts {
                self.instances[i].gathered.merge_part(p, self.now);
            }
        }
    }

    fn execute(&mut self, action: Action) -> Outcome {
        match action {
            Action::ReadHead => Outcome::Head(self.read("head")),
            Action::ReadRecord(_) if self.bug == PlantedBug::OwnProposal => Outcome::Record(None),
            Action::ReadRecord(w) => Outcome::Record(self.read(&sealed::key(0, w)).map(|r| r.1)),
            Action::WriteHead { expect, head } => {
                match self.swap("head", expect, sealed::encode(&head)) {
                    Some(r) => Outcome::Written(r),
                    None => Outcome::Head(self.read::<Head>("head")),
                }
            }
            Action::Seal(s) => {
                let key = sealed::key(0, s.window);
                let mut s = s;
                if self.bug == PlantedBug::ForgetEntries {
                    s.entries.clear();
                }
                let present = self.read::<Sealed>(&key).map_or(0, |r| r.0);
                let expect = if self.bug == PlantedBug::Overwrite { present } else { 0 };
                match self.swap(&key, expect, sealed::encode(&s)) {
                    Some(r) => {
                        self.seals += 1;
                        Outcome::Written(r)
                    }
                    None if self.bug == PlantedBug::OwnProposal => Outcome::Written(0),
                    None => Outcome::Record(self.read(&key).map(|r| r.1)),
                }
            }
            Action::Delete(w) => {
                let key = sealed::key(0, w);
                if let Some((expect, _)) = self.read::<Sealed>(&key) {
                    let call = Call::Swap { key, expect, value: None, lease: None };
                    self.store.apply(&call, self.now).unwrap();
                }
                Outcome::Deleted
            }
            Action::Report(s) => match self.reports.get(&s.window) {
                Some(old) if old.rows != s.rows => Outcome::Rejected,
                _ => {
                    self.first_reports.entry(s.window).or_insert(self.now);
                    self.reports.insert(s.window, s);
                    Outcome::Reported
                }
            },
            Action::Gather(_) => unreachable!("handled by the caller"),
        }
    }

    fn read<T: for<'a> serde::Deserialize<'a>>(&mut self, key: &str) -> Option<(u64, T)> {
        let call = Call::Get { key: key.into() };
        let Ok(StoreResponse::Value(v)) = self.store.apply(&call, self.now) else { panic!() };
        v.map(|r| (r.revision, sealed::decode(key, &r.value).unwrap()))
    }

    fn swap(&mut self, key: &str, expect: u64, value: Vec<u8>) -> Option<u64> {
        let call = Call::Swap { key: key.into(), expect, value: Some(value), lease: None };
        match self.store.apply(&call, self.now).unwrap() {
            StoreResponse::Swapped(r) => Some(r),
            _ => None,
        }
    }

    /// Ends all faults and runs long enough for all counted windows to be reported.
    pub fn recover(&mut self) {
        for i in 0..self.instances.len() {
            self.run(&Op::SetSkew(i, 0));
            self.run(&Op::SetLease(i, i == 0));
        }
        for _ in 0..40 {
            for i in 0..self.instances.len() {
                self.run(&Op::Replicate(i));
            }
            for (to, m) in std::mem::take(&mut self.messages) {
                self.deliver(&to, &m, true);
            }
            self.now += LENGTH / 4;
            (0..4).for_each(|_| {
                self.now += Duration::from_secs(1);
                self.run_sealer(0, StoreMode::Working, 7);
            });
        }
    }

    pub fn reported(&self, o: usize) -> u64 {
        let rows = self.reports.values().flat_map(|s| &s.rows);
        rows.filter(|r| r.key.org == org(o)).map(|r| r.figures.output).sum()
    }

    pub fn ran(&self, o: usize) -> u64 {
        self.work.iter().filter(|((_, w), _)| *w == o).map(|(_, n)| n).sum()
    }

    /// Work that is not lost: all work of live instances, and of dead ones what live peers have
    /// copies of.
    pub fn surviving(&self, o: usize) -> u64 {
        let mut sum = 0;
        for ((source, w), n) in self.work.iter().filter(|((_, w), _)| *w == o) {
            if self.instances.iter().any(|x| x.name == *source) {
                sum += n;
                continue;
            }
            let held = |x: &Instance| {
                let copy = x.copies.copies().find(|(s, _)| *s == source);
                let rows = copy.into_iter().flat_map(|(_, c)| c.rows.iter());
                rows.filter(|(k, _)| k.org == org(*w)).map(|(_, f)| f.output).sum::<u64>()
            };
            sum += self.instances.iter().map(held).max().unwrap_or(0);
        }
        sum
    }
}
