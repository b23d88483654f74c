//! Simulated network of membership instances, in virtual time and with a seeded random generator.

#![allow(dead_code, reason = "each target that includes this module uses a part of it")]

use {
    agate_member::{
        Action, Input, ListedInstance, Peer, Place, Scope, Settings, State, Status, step,
    },
    agate_wire::{Body, Context, Digest, Envelope, Gossip, Keys, ReplayTable, open, seal},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Maximum number of datagrams in the socket buffer of a paused instance.
const SOCKET_BUFFER: usize = 256;

/// Size and layout of a fleet.
#[derive(Clone, Copy)]
pub struct Shape {
    pub members: usize,
    pub zones: usize,
    pub regions: usize,
    pub scope: Scope,
}

/// A change of a member's status as one instance observed it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub observer: usize,
    pub subject: usize,
    pub status: Status,
}

pub struct Instance {
    pub state: State,
    pub up: bool,
    pub paused: bool,
    pub left: bool,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    /// Greatest configuration generation that this instance knows.
    pub generation: u64,
    replay: ReplayTable,
    rng: ChaCha8Rng,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
}

enum Scheduled {
    Tick(usize, u32),
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
}

pub struct Net {
    pub now: Duration,
    pub instances: Vec<Instance>,
    pub log: Vec<Event>,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Returns whether datagrams from the first instance to the second are dropped.
    pub blocked: Box<dyn Fn(usize, usize) -> bool>,
    /// Processor time of the protocol with encoding and authentication.
    pub cpu_time: Duration,
    runs: Vec<u32>,
    shape: Shape,
    keys: Keys,
    rng: ChaCha8Rng,
    heap: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Scheduled>>,
    free_slots: Vec<usize>,
    order: u64,
}

pub fn address(i: usize) -> SocketAddr {
    ([10, 0, (i >> 8) as u8, i as u8], 7000).into()
}

fn index(a: SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("the fake network has IPv4 addresses"),
    }
}

pub fn name(i: usize) -> String {
    format!("instance-{i:04}")
}

impl Net {
    /// Starts all instances of a fleet within one second, each with the platform's list.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
            log: Vec::new(),
            loss: 0.0,
            blocked: Box::new(|_, _| false),
            cpu_time: Duration::ZERO,
            runs: vec![0; shape.members],
            shape,
            keys: Keys::new(&["the secret of the fleet"]).unwrap(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            order: 0,
        };
        for i in 0..shape.members {
            let instance = net.instance(i);
            net.instances.push(instance);
            net.start(i);
        }
        net
    }

    pub fn zone(&self, i: usize) -> usize {
        i % self.shape.zones
    }

    pub fn region(&self, i: usize) -> usize {
        self.zone(i) * self.shape.regions / self.shape.zones
    }

    pub fn same_scope(&self, a: usize, b: usize) -> bool {
        match self.shape.scope {
            Scope::Zone => self.zone(a) == self.zone(b),
            Scope::Region => self.region(a) == self.region(b),
        }
    }

    fn place(&self, i: usize) -> Place {
        Place {
            zone: format!("zone-{}", self.zone(i)).into(),
            region: format!("region-{}", self.region(i)).into(),
            address: address(i),
        }
    }

    fn instance(&mut self, i: usize) -> Instance {
        let mut settings = Settings::new(name(i), self.place(i));
        settings.scope = self.shape.scope;
        let incarnation = u64::from(self.runs[i] + 1) << 16;
        Instance {
            state: State::new(settings, incarnation, self.now),
            up: true,
            paused: false,
            left: false,
            sent: 0,
            sent_bytes: 0,
            received_bytes: 0,
            generation: 0,
            replay: ReplayTable::new(512),
            rng: ChaCha8Rng::seed_from_u64(self.rng.random()),
            inbox: Vec::new(),
        }
    }

    fn start(&mut self, i: usize) {
        let delay = Duration::from_micros(self.rng.random_range(0..1_000_000));
        let run = self.runs[i];
        self.schedule(self.now + delay, Scheduled::Tick(i, run));
        let list = self.platform_list();
        self.input(i, Input::Listed(list));
    }

    /// Returns the platform's list: every instance, whether it runs or not.
    pub fn platform_list(&self) -> Vec<ListedInstance> {
        let peer = |i| Peer { name: name(i).into(), place: self.place(i) };
        (0..self.shape.members).map(|i| ListedInstance { peer: peer(i), leaving: false }).collect()
    }

    /// Stops an instance without an announcement.
    pub fn crash(&mut self, i: usize) {
        self.instances[i].up = false;
        self.runs[i] += 1;
    }

    /// Restarts an instance at the same address, optionally with the given incarnation, which may
    /// be below the earlier one.
    pub fn restart(&mut self, i: usize, incarnation: Option<u64>) {
        self.runs[i] += 1;
        let mut instance = self.instance(i);
        instance.generation = self.instances[i].generation;
        if let Some(n) = incarnation {
            instance.state = State::new(settings_for(&instance), n, self.now);
        }
        self.instances[i] = instance;
        self.start(i);
    }

    pub fn pause(&mut self, i: usize) {
        self.instances[i].paused = true;
    }

    pub fn resume(&mut self, i: usize) {
        self.instances[i].paused = false;
        for (source, bytes) in std::mem::take(&mut self.instances[i].inbox) {
            self.deliver(i, source, &bytes);
        }
    }

    pub fn leave(&mut self, i: usize) {
        self.input(i, Input::Leave);
    }

    /// Runs until `done` returns true or `deadline` is reached, and returns the last value of
    /// `done`.
    pub fn run_until(&mut self, deadline: Duration, done: impl Fn(&Net) -> bool) -> bool {
        let mut check = self.now;
        while self.now < deadline {
            if self.now >= check {
                if done(self) {
                    return true;
                }
                check = self.now + Duration::from_millis(100);
            }
            self.advance();
        }
        done(self)
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    fn schedule(&mut self, when: Duration, e: Scheduled) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(e);
        self.order += 1;
        self.heap.push(Reverse((when, self.order, slot)));
    }

    fn advance(&mut self) {
        let Reverse((when, _, slot)) = self.heap.pop().expect("ticks never end");
        self.now = when;
        self.free_slots.push(slot);
        match self.events[slot].take().expect("a queued event is present") {
            Scheduled::Tick(i, run) => self.tick(i, run),
            Scheduled::Datagram { from, to, bytes } => self.receive(from, to, bytes),
        }
    }

    fn tick(&mut self, i: usize, run: u32) {
        let n = &self.instances[i];
        if !n.up || self.runs[i] != run {
            return;
        }
        if !n.paused {
            self.input(i, Input::Tick);
        }
        // Timers of real processes fire slightly late.
        let late = Duration::from_micros(self.rng.random_range(0..5_000));
        self.schedule(self.now + Duration::from_millis(50) + late, Scheduled::Tick(i, run));
    }

    fn receive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let n = &mut self.instances[to];
        if !n.up || n.left {
            return;
        }
        if n.paused {
            if n.inbox.len() < SOCKET_BUFFER {
                n.inbox.push((address(from), bytes));
            }
            return;
        }
        self.deliver(to, address(from), &bytes);
    }

    /// Delivers a datagram to an instance as its UDP adapter does.
    pub fn deliver(&mut self, to: usize, source: SocketAddr, bytes: &[u8]) {
        let n = &mut self.instances[to];
        n.received_bytes += bytes.len() as u64;
        let start = Instant::now();
        let opened = open::<Envelope>(&self.keys, bytes, Context::Datagram(address(to)));
        let Ok(e) = opened else { return };
        let accepted = n.replay.accept(&e.from, e.incarnation, e.sequence);
        self.cpu_time += start.elapsed();
        match accepted {
            Ok(()) => self.input(to, Input::Received { source, envelope: e }),
            Err(agate_wire::Reject::Outdated { seen }) => {
                self.input(to, Input::Outdated { source, seen });
            }
            Err(_) => {}
        }
    }

    fn input(&mut self, i: usize, input: Input) {
        if self.instances[i].left {
            return;
        }
        let start = Instant::now();
        let n = &mut self.instances[i];
        let actions = step(&mut n.state, input, self.now, &mut n.rng);
        self.cpu_time += start.elapsed();
        for a in actions {
            self.apply(i, a);
        }
    }

    fn apply(&mut self, i: usize, a: Action) {
        match a {
            Action::Send { to, envelope } => self.send(i, to, envelope),
            Action::Changed { name, status, .. } => {
                let subject = name[9..].parse().expect("names end in their index");
                self.log.push(Event { at: self.now, observer: i, subject, status });
            }
            Action::Deliver { digests, .. } => {
                for d in digests {
                    if let Digest::Config { generation, .. } = d {
                        let n = &mut self.instances[i];
                        n.generation = n.generation.max(generation);
                    }
                }
            }
            Action::Left => self.instances[i].left = true,
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, mut envelope: Envelope) {
        let age = Some(Duration::from_millis(1_234));
        let generation = self.instances[i].generation;
        if let Some(g) = gossip_of(&mut envelope) {
            g.digests.push(Digest::Config { generation, age });
        }
        let start = Instant::now();
        let bytes = seal(&self.keys, &envelope, Context::Datagram(to)).expect("a datagram fits");
        self.cpu_time += start.elapsed();
        let n = &mut self.instances[i];
        n.sent += 1;
        n.sent_bytes += bytes.len() as u64;
        let target = index(to);
        if (self.blocked)(i, target) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.delay(i, target);
        self.schedule(self.now + delay, Scheduled::Datagram { from: i, to: target, bytes });
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let base = match () {
            () if self.zone(a) == self.zone(b) => 250,
            () if self.region(a) == self.region(b) => 1_500,
            () => 40_000,
        };
        Duration::from_micros(base + self.rng.random_range(0..base / 4))
    }

    /// Returns whether every running instance holds exactly the running ones of its scope live.
    pub fn views_agree(&self) -> bool {
        let running: Vec<bool> = self.instances.iter().map(|n| n.up && !n.left).collect();
        (0..self.instances.len()).filter(|&i| running[i]).all(|i| {
            let live = |m: &agate_member::Member| {
                !m.contact && matches!(m.status, Status::Alive | Status::Suspect)
            };
            let held = self.instances[i].state.members();
            let held = held.iter().filter(|m| live(m));
            let mut count = 0;
            let all_run = held.inspect(|_| count += 1).all(|m| running[index(m.place.address)]);
            let want = (0..running.len()).filter(|&j| running[j] && self.same_scope(i, j)).count();
            all_run && count + 1 == want
        })
    }

    /// Returns the number of declarations as failed, from log position `since` on, of instances
    /// that run.
    pub fn false_failures(&self, since: usize) -> usize {
        let wrong = |e: &&Event| e.status == Status::Dead && self.instances[e.subject].up;
        self.log[since..].iter().filter(wrong).count()
    }
}

fn settings_for(instance: &Instance) -> Settings {
    let p = instance.state.peer().clone();
    let mut s = Settings::new(p.name, p.place);
    s.scope = Scope::Zone;
    s
}

fn gossip_of(e: &mut Envelope) -> Option<&mut Gossip> {
    match &mut e.body {
        Body::Probe { gossip, .. } | Body::Ack { gossip, .. } => Some(gossip),
        _ => None,
    }
}
