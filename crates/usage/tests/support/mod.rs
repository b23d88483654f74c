//! Instances, holders, messages, store and platform of one usage shard, under one clock.

#![allow(dead_code, reason = "tests and measurements use different parts")]

use {
    agate_store::{Call, Reply, model::Model},
    agate_usage::{
        clock::WindowClock,
        counter::{Counter, Message},
        figures::{Figures, Source, Window},
        ledger::{Ledger, Part, Want},
        sealed::{self, Sealed},
        sealer::{self, Action, Answer, Context, Head, Input, Sealer, Settings},
    },
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

pub const LENGTH: Duration = Duration::from_secs(60);
const QUIET: Duration = Duration::from_secs(2);
/// A horizon that no run reaches.
pub const FAR: u64 = 1000;

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

#[derive(Clone, Copy, Debug)]
pub enum Mode {
    Fine,
    /// The call takes effect and its answer is lost.
    Lost,
    /// The call has no effect.
    Down,
}

#[derive(Clone, Debug)]
pub enum Op {
    Count(usize, usize, u64),
    Ship(usize),
    Deliver(usize, bool, bool),
    Drop(usize),
    Kill(usize),
    /// Graceful stop: counters and copies are handed to all peers before the instance is replaced.
    Stop(usize),
    /// Hands copies of silent sources to all peers.
    Relay(usize),
    Authority(usize, bool),
    Drive(usize, Mode, u8),
    Wait(u64),
    Jump(usize, i64),
}

/// A fault planted in the store's adapter, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Sound,
    /// Records forget whose counters they contain.
    ForgetEntries,
    /// A holder reports what it proposed, whatever is in the store.
    OwnProposal,
    /// A sealed record may be written over.
    Overwrite,
}

pub struct Node {
    pub name: Source,
    pub counter: Counter,
    pub clock: WindowClock,
    pub copies: Ledger,
    pub gathered: Ledger,
    pub sealer: Sealer,
    pub token: Option<u64>,
    pub skew: i64,
}

pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub starts: u64,
    pub net: Vec<(Source, Message)>,
    pub store: Model,
    pub reports: IndexMap<Window, Sealed>,
    /// Work that ran, by source and organisation.
    pub work: IndexMap<(Source, usize), u64>,
    pub seals: u64,
    /// Time of the first report of each window.
    pub times: IndexMap<Window, Duration>,
    pub plant: Plant,
    pub horizon: u64,
}

fn org(i: usize) -> Arc<str> {
    format!("org{i}").into()
}

impl World {
    pub fn new(plant: Plant, horizon: u64, count: usize) -> Self {
        let mut w = Self {
            now: Duration::from_secs(1_000_000),
            nodes: Vec::new(),
            starts: 0,
            net: Vec::new(),
            store: Model::new(),
            reports: IndexMap::new(),
            work: IndexMap::new(),
            seals: 0,
            times: IndexMap::new(),
            plant,
            horizon,
        };
        (0..count).for_each(|i| {
            let node = w.node(i);
            w.nodes.push(node);
        });
        w.introduce();
        w
    }

    fn node(&mut self, i: usize) -> Node {
        self.starts += 1;
        let name: Source = format!("i{i}@{}", self.starts).into();
        let clock = WindowClock::open(LENGTH, self.now, self.now);
        Node {
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

    /// Tells everyone who its peers are.
    fn introduce(&mut self) {
        let names: Vec<Source> = self.nodes.iter().map(|n| n.name.clone()).collect();
        for n in &mut self.nodes {
            n.counter.set_peers(names.iter().filter(|p| **p != n.name).cloned());
        }
    }

    fn wall(&self, i: usize) -> Duration {
        let base = self.now.as_secs() as i64;
        Duration::from_secs((base + self.nodes[i].skew).max(0) as u64)
    }

    pub fn run(&mut self, op: &Op) {
        match *op {
            Op::Count(i, o, n) => {
                let (wall, now, node) = (self.wall(i), self.now, &mut self.nodes[i]);
                let work = Figures { requests: 1, prompt: 2 * n, output: n };
                node.counter.count(&org(o), &"m".into(), work, wall, now);
                *self.work.entry((node.name.clone(), o)).or_default() += n;
            }
            Op::Ship(i) => {
                let (wall, now) = (self.wall(i), self.now);
                self.net.extend(self.nodes[i].counter.ship(wall, now));
            }
            Op::Deliver(k, again, ack) if !self.net.is_empty() => {
                let k = k % self.net.len();
                let (to, message) =
                    if again { self.net[k].clone() } else { self.net.swap_remove(k) };
                self.deliver(&to, &message, ack);
            }
            Op::Drop(k) if !self.net.is_empty() => {
                self.net.swap_remove(k % self.net.len());
            }
            Op::Deliver(..) | Op::Drop(_) => {}
            Op::Kill(i) => {
                self.nodes[i] = self.node(i);
                self.introduce();
            }
            Op::Stop(i) => {
                let own = self.nodes[i].counter.part(0, 1, 0, Window::MAX - 1);
                self.relay(i, Duration::ZERO, Some(own));
                self.run(&Op::Kill(i));
            }
            Op::Relay(i) => self.relay(i, QUIET, None),
            Op::Authority(i, yes) => {
                self.starts += 1;
                self.nodes[i].token = yes.then_some(self.starts);
            }
            Op::Drive(i, mode, reach) => self.drive(i, mode, reach),
            Op::Wait(s) => self.now += Duration::from_secs(s),
            Op::Jump(i, s) => self.nodes[i].skew = s,
        }
    }

    pub fn deliver(&mut self, to: &Source, message: &Message, ack: bool) {
        let now = self.now;
        let Some(node) = self.nodes.iter_mut().find(|n| n.name == *to) else { return };
        node.copies.merge(message, now);
        let from = self.nodes.iter_mut().find(|n| n.name == message.source);
        if let (Some(from), true) = (from, ack) {
            from.counter.acknowledge(to, message.round);
        }
    }

    /// Steps one sealer and carries out what it asks for.
    pub fn drive(&mut self, i: usize, mode: Mode, reach: u8) {
        let mut input = Input::Tick;
        loop {
            let (wall, now) = (self.wall(i), self.now);
            let node = &mut self.nodes[i];
            let wall = node.clock.read(wall, now);
            let c = Context { now, wall, token: node.token, ledger: &node.gathered };
            let Some((id, action)) = sealer::step(&mut node.sealer, input, &c).pop() else {
                return;
            };
            if let Action::Gather(want) = action {
                self.gather(i, &want, reach);
                return;
            }
            let answer = match mode {
                Mode::Fine => self.carry_out(action),
                Mode::Lost => {
                    self.carry_out(action);
                    Answer::Failed
                }
                Mode::Down => Answer::Failed,
            };
            input = Input::Answer { id, answer };
        }
    }

    fn relay(&mut self, i: usize, quiet: Duration, own: Option<Part>) {
        let node = &mut self.nodes[i];
        node.copies.prune(node.clock.window().saturating_sub(self.horizon));
        let mut parts = node.copies.parts(&Want::everything(0), quiet, self.now);
        parts.extend(own);
        let others = self.nodes.iter_mut().enumerate().filter(|(j, _)| *j != i);
        for (_, n) in others {
            let foreign = parts.iter().filter(|p| p.source != n.name);
            foreign.for_each(|p| n.copies.merge_relayed(p));
        }
    }

    pub fn gather(&mut self, i: usize, want: &Want, reach: u8) {
        for j in (0..self.nodes.len()).filter(|j| reach & (1 << j) != 0) {
            let n = &self.nodes[j];
            let own = n.counter.part(want.shard, want.shards, want.oldest, want.newest);
            let mut parts = n.copies.parts(want, QUIET, self.now);
            parts.push(own);
            for p in &parts {
                self.nodes[i].gathered.merge_part(p, self.now);
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Answer {
        match action {
            Action::ReadHead => Answer::Head(self.read("head")),
            Action::ReadRecord(_) if self.plant == Plant::OwnProposal => Answer::Record(None),
            Action::ReadRecord(w) => Answer::Record(self.read(&sealed::key(0, w)).map(|r| r.1)),
            Action::WriteHead { expect, head } => {
                match self.swap("head", expect, sealed::encode(&head)) {
                    Some(r) => Answer::Written(r),
                    None => Answer::Head(self.read::<Head>("head")),
                }
            }
            Action::Seal(s) => {
                let key = sealed::key(0, s.window);
                let mut s = s;
                if self.plant == Plant::ForgetEntries {
                    s.entries.clear();
                }
                let present = self.read::<Sealed>(&key).map_or(0, |r| r.0);
                let expect = if self.plant == Plant::Overwrite { present } else { 0 };
                match self.swap(&key, expect, sealed::encode(&s)) {
                    Some(r) => {
                        self.seals += 1;
                        Answer::Written(r)
                    }
                    None if self.plant == Plant::OwnProposal => Answer::Written(0),
                    None => Answer::Record(self.read(&key).map(|r| r.1)),
                }
            }
            Action::Delete(w) => {
                let key = sealed::key(0, w);
                if let Some((expect, _)) = self.read::<Sealed>(&key) {
                    let call = Call::Swap { key, expect, value: None, lease: None };
                    self.store.apply(&call, self.now).unwrap();
                }
                Answer::Deleted
            }
            Action::Report(s) => match self.reports.get(&s.window) {
                Some(old) if old.rows != s.rows => Answer::Rejected,
                _ => {
                    self.times.entry(s.window).or_insert(self.now);
                    self.reports.insert(s.window, s);
                    Answer::Reported
                }
            },
            Action::Gather(_) => unreachable!("gathered elsewhere"),
        }
    }

    fn read<T: for<'a> serde::Deserialize<'a>>(&mut self, key: &str) -> Option<(u64, T)> {
        let call = Call::Get { key: key.into() };
        let Ok(Reply::Value(v)) = self.store.apply(&call, self.now) else { panic!() };
        v.map(|r| (r.revision, sealed::decode(key, &r.value).unwrap()))
    }

    fn swap(&mut self, key: &str, expect: u64, value: Vec<u8>) -> Option<u64> {
        let call = Call::Swap { key: key.into(), expect, value: Some(value), lease: None };
        match self.store.apply(&call, self.now).unwrap() {
            Reply::Swapped(r) => Some(r),
            _ => None,
        }
    }

    /// Lets everything work, until two windows after the last count have been reported.
    pub fn recover(&mut self) {
        for i in 0..self.nodes.len() {
            self.run(&Op::Jump(i, 0));
            self.run(&Op::Authority(i, i == 0));
        }
        for _ in 0..40 {
            for i in 0..self.nodes.len() {
                self.run(&Op::Ship(i));
            }
            for (to, m) in std::mem::take(&mut self.net) {
                self.deliver(&to, &m, true);
            }
            self.now += LENGTH / 4;
            (0..4).for_each(|_| {
                self.now += Duration::from_secs(1);
                self.drive(0, Mode::Fine, 7);
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

    /// Work of which a copy is left: all of the live, and what live peers hold of the dead.
    pub fn left(&self, o: usize) -> u64 {
        let mut sum = 0;
        for ((source, w), n) in self.work.iter().filter(|((_, w), _)| *w == o) {
            if self.nodes.iter().any(|x| x.name == *source) {
                sum += n;
                continue;
            }
            let held = |x: &Node| {
                let copy = x.copies.copies().find(|(s, _)| *s == source);
                let rows = copy.into_iter().flat_map(|(_, c)| c.rows.iter());
                rows.filter(|(k, _)| k.org == org(*w)).map(|(_, f)| f.output).sum::<u64>()
            };
            sum += self.nodes.iter().map(held).max().unwrap_or(0);
        }
        sum
    }
}
