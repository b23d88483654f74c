//! Random faults against a model of the work that ran: what is reported is never wrong.

use {
    agate_store::{Call, Reply, model::Model},
    agate_usage::{
        clock::WindowClock,
        counter::{Counter, Message},
        figures::{Figures, Source, Window},
        ledger::{Ledger, Want},
        sealed::{self, Sealed},
        sealer::{self, Action, Answer, Context, Head, Input, Sealer, Settings},
    },
    indexmap::IndexMap,
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const LENGTH: Duration = Duration::from_secs(60);
const QUIET: Duration = Duration::from_secs(2);
const COUNT: usize = 3;
/// A horizon that no run reaches.
const FAR: u64 = 1000;

fn settings(horizon: u64) -> Settings {
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
enum Mode {
    Fine,
    /// The call takes effect and its answer is lost.
    Lost,
    /// The call has no effect.
    Down,
}

#[derive(Clone, Debug)]
enum Op {
    Count(usize, usize, u64),
    Ship(usize),
    Deliver(usize, bool, bool),
    Drop(usize),
    Kill(usize),
    Authority(usize, bool),
    Drive(usize, Mode, u8),
    Wait(u64),
    Jump(usize, i64),
}

/// A fault planted in the store's adapter, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    Sound,
    /// Records forget whose counters they contain.
    ForgetEntries,
    /// A holder reports what it proposed, whatever is in the store.
    OwnProposal,
    /// A sealed record may be written over.
    Overwrite,
}

struct Node {
    name: Source,
    counter: Counter,
    clock: WindowClock,
    copies: Ledger,
    gathered: Ledger,
    sealer: Sealer,
    token: Option<u64>,
    skew: i64,
}

struct World {
    now: Duration,
    nodes: Vec<Node>,
    starts: u64,
    net: Vec<(Source, Message)>,
    store: Model,
    reports: IndexMap<Window, Sealed>,
    /// Work that ran, by source and organisation.
    work: IndexMap<(Source, usize), u64>,
    seals: u64,
    plant: Plant,
    horizon: u64,
}

fn org(i: usize) -> Arc<str> {
    format!("org{i}").into()
}

impl World {
    fn new(plant: Plant, horizon: u64) -> Self {
        let mut w = Self {
            now: Duration::from_secs(1_000_000),
            nodes: Vec::new(),
            starts: 0,
            net: Vec::new(),
            store: Model::new(),
            reports: IndexMap::new(),
            work: IndexMap::new(),
            seals: 0,
            plant,
            horizon,
        };
        (0..COUNT).for_each(|i| {
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

    fn run(&mut self, op: &Op) {
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
            Op::Authority(i, yes) => {
                self.starts += 1;
                self.nodes[i].token = yes.then_some(self.starts);
            }
            Op::Drive(i, mode, reach) => self.drive(i, mode, reach),
            Op::Wait(s) => self.now += Duration::from_secs(s),
            Op::Jump(i, s) => self.nodes[i].skew = s,
        }
    }

    fn deliver(&mut self, to: &Source, message: &Message, ack: bool) {
        let now = self.now;
        let Some(node) = self.nodes.iter_mut().find(|n| n.name == *to) else { return };
        node.copies.merge(message, now);
        let from = self.nodes.iter_mut().find(|n| n.name == message.source);
        if let (Some(from), true) = (from, ack) {
            from.counter.acknowledge(to, message.round);
        }
    }

    /// Steps one sealer and carries out what it asks for.
    fn drive(&mut self, i: usize, mode: Mode, reach: u8) {
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

    fn gather(&mut self, i: usize, want: &Want, reach: u8) {
        for j in (0..COUNT).filter(|j| reach & (1 << j) != 0) {
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
    fn recover(&mut self) {
        for i in 0..COUNT {
            self.run(&Op::Jump(i, 0));
            self.run(&Op::Authority(i, i == 0));
        }
        for _ in 0..40 {
            for i in 0..COUNT {
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

    fn reported(&self, o: usize) -> u64 {
        let rows = self.reports.values().flat_map(|s| &s.rows);
        rows.filter(|r| r.key.org == org(o)).map(|r| r.figures.output).sum()
    }

    fn ran(&self, o: usize) -> u64 {
        self.work.iter().filter(|((_, w), _)| *w == o).map(|(_, n)| n).sum()
    }

    /// Work of which a copy is left: all of the live, and what live peers hold of the dead.
    fn left(&self, o: usize) -> u64 {
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

fn ops(kills: u32) -> impl Strategy<Value = Vec<Op>> {
    let i = 0..COUNT;
    let mode = prop_oneof![3 => Just(Mode::Fine), 1 => Just(Mode::Lost), 1 => Just(Mode::Down)];
    let op = prop_oneof![
        8 => (i.clone(), 0..2usize, 1..50u64).prop_map(|(i, o, n)| Op::Count(i, o, n)),
        4 => i.clone().prop_map(Op::Ship),
        6 => (any::<usize>(), any::<bool>(), any::<bool>()).prop_map(|(k, a, b)| Op::Deliver(k, a, b)),
        2 => any::<usize>().prop_map(Op::Drop),
        kills => i.clone().prop_map(Op::Kill),
        2 => (i.clone(), any::<bool>()).prop_map(|(i, y)| Op::Authority(i, y)),
        10 => (i.clone(), mode, 0..8u8).prop_map(|(i, m, r)| Op::Drive(i, m, r)),
        6 => (1..40u64).prop_map(Op::Wait),
        1 => (i, -300..300i64).prop_map(|(i, s)| Op::Jump(i, s)),
    ];
    prop::collection::vec(op, 1..160)
}

fn check(w: &World, exact: bool) -> Result<(), TestCaseError> {
    prop_assert!(w.nodes.iter().all(|n| n.sealer.rejected == 0), "a window with two figures");
    for o in 0..2 {
        let (reported, ran) = (w.reported(o), w.ran(o));
        prop_assert!(reported <= ran, "org{o}: {reported} reported of {ran}");
        prop_assert!(!exact || reported >= w.left(o), "org{o}: {reported} of {}", w.left(o));
    }
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Without kills, the reports add up to the work that ran.
    #[test]
    fn reports_equal_work(ops in ops(0)) {
        let mut w = World::new(Plant::Sound, FAR);
        for op in &ops {
            w.run(op);
            check(&w, false)?;
        }
        w.recover();
        check(&w, true)?;
        prop_assert_eq!((w.reported(0), w.reported(1)), (w.ran(0), w.ran(1)));
    }

    /// With a short horizon late work may be dropped, records are deleted, and nothing is ever
    /// reported twice or above the work that ran.
    #[test]
    fn horizon_never_above(ops in ops(1)) {
        let mut w = World::new(Plant::Sound, 2);
        for op in &ops {
            w.run(op);
            check(&w, false)?;
        }
        w.recover();
        check(&w, false)?;
        let Reply::Keys(kept) = w.store.apply(&Call::List { prefix: "usage/".into() }, w.now).unwrap()
        else { panic!() };
        prop_assert!(kept.len() <= 6, "{kept:?}");
    }

    /// With kills, only what no live instance had a copy of is missing, and never too much is there.
    #[test]
    fn kills_lose_unshipped(ops in ops(2)) {
        let mut w = World::new(Plant::Sound, FAR);
        for op in &ops {
            w.run(op);
            check(&w, false)?;
        }
        w.recover();
        check(&w, true)?;
    }
}

#[rstest]
#[case(Plant::ForgetEntries)]
#[case(Plant::OwnProposal)]
#[case(Plant::Overwrite)]
fn planted_fault_found(#[case] plant: Plant) {
    let mut runner = TestRunner::new(ProptestConfig { max_shrink_iters: 0, ..config() });
    let found = runner.run(&ops(1), |ops| {
        let mut w = World::new(plant, FAR);
        for op in &ops {
            w.run(op);
            check(&w, false)?;
        }
        w.recover();
        check(&w, true)
    });
    assert!(found.is_err(), "the checks see {plant:?}");
}

/// An instance killed after a round loses what it counted since, and nothing else.
#[test]
fn loss_is_bounded() {
    let mut w = World::new(Plant::Sound, FAR);
    w.run(&Op::Count(1, 0, 30));
    w.run(&Op::Ship(1));
    w.run(&Op::Deliver(0, false, true));
    w.run(&Op::Count(1, 0, 12));
    w.run(&Op::Kill(1));
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (42, 30));
}

/// A holder that dies between seal and report is followed by one that reports the same record.
#[test]
fn successor_reports_again() {
    let mut w = World::new(Plant::Sound, FAR);
    w.run(&Op::Authority(0, true));
    w.run(&Op::Drive(0, Mode::Fine, 7));
    w.run(&Op::Count(1, 0, 30));
    w.run(&Op::Wait(65));
    w.run(&Op::Drive(0, Mode::Fine, 7));
    w.run(&Op::Wait(1));
    while w.seals == 0 {
        w.run(&Op::Wait(1));
        w.run(&Op::Drive(0, Mode::Lost, 7));
    }
    w.run(&Op::Count(1, 0, 5));
    w.run(&Op::Kill(0));
    w.run(&Op::Authority(2, true));
    w.run(&Op::Drive(2, Mode::Lost, 7));
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (35, 35));
    assert_eq!(w.nodes[2].sealer.rejected, 0);
}
