//! A seeded network of membership machines in virtual time.

#![allow(dead_code, reason = "each target that includes this module uses a part of it")]

use {
    agate_member::{Action, Input, Listing, Peer, Place, Scope, Settings, State, Status, step},
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

/// Datagrams that wait in the socket of a paused instance.
const SOCKET: usize = 256;

/// Shape of a fleet.
#[derive(Clone, Copy)]
pub struct Shape {
    pub members: usize,
    pub zones: usize,
    pub regions: usize,
    pub scope: Scope,
}

/// A change of a member as an observer saw it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub observer: usize,
    pub subject: usize,
    pub status: Status,
}

pub struct Node {
    pub state: State,
    pub up: bool,
    pub paused: bool,
    pub left: bool,
    pub sent: u64,
    pub sent_bytes: u64,
    pub got_bytes: u64,
    /// Greatest configuration generation known here.
    pub generation: u64,
    replay: ReplayTable,
    rng: ChaCha8Rng,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
}

enum Queued {
    Tick(usize, u32),
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
}

pub struct Net {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub log: Vec<Event>,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Whether a datagram from the first instance to the second is cut.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Processor time of the machines with encoding and authentication.
    pub busy: Duration,
    lives: Vec<u32>,
    shape: Shape,
    keys: Keys,
    rng: ChaCha8Rng,
    heap: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Queued>>,
    free: Vec<usize>,
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
    /// Starts all instances of a fleet within a second, each with the platform's list.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            log: Vec::new(),
            loss: 0.0,
            cut: Box::new(|_, _| false),
            busy: Duration::ZERO,
            lives: vec![0; shape.members],
            shape,
            keys: Keys::new(&["the secret of the fleet"]).unwrap(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            order: 0,
        };
        for i in 0..shape.members {
            let node = net.node(i);
            net.nodes.push(node);
            net.begin(i);
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

    fn node(&mut self, i: usize) -> Node {
        let mut settings = Settings::new(name(i), self.place(i));
        settings.scope = self.shape.scope;
        let incarnation = u64::from(self.lives[i] + 1) << 16;
        Node {
            state: State::new(settings, incarnation, self.now),
            up: true,
            paused: false,
            left: false,
            sent: 0,
            sent_bytes: 0,
            got_bytes: 0,
            generation: 0,
            replay: ReplayTable::new(512),
            rng: ChaCha8Rng::seed_from_u64(self.rng.random()),
            inbox: Vec::new(),
        }
    }

    fn begin(&mut self, i: usize) {
        let delay = Duration::from_micros(self.rng.random_range(0..1_000_000));
        let life = self.lives[i];
        self.at(self.now + delay, Queued::Tick(i, life));
        let list = self.list();
        self.input(i, Input::Listed(list));
    }

    /// The platform's list: every instance, whether it runs or not.
    pub fn list(&self) -> Vec<Listing> {
        let peer = |i| Peer { name: name(i).into(), place: self.place(i) };
        (0..self.shape.members).map(|i| Listing { peer: peer(i), leaving: false }).collect()
    }

    /// Stops an instance without a word.
    pub fn crash(&mut self, i: usize) {
        self.nodes[i].up = false;
        self.lives[i] += 1;
    }

    /// Starts a new life at the same address, optionally below its earlier incarnation.
    pub fn restart(&mut self, i: usize, incarnation: Option<u64>) {
        self.lives[i] += 1;
        let mut node = self.node(i);
        node.generation = self.nodes[i].generation;
        if let Some(n) = incarnation {
            node.state = State::new(settings_of(&node), n, self.now);
        }
        self.nodes[i] = node;
        self.begin(i);
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].paused = true;
    }

    pub fn wake(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for (source, bytes) in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(i, source, &bytes);
        }
    }

    pub fn leave(&mut self, i: usize) {
        self.input(i, Input::Leave);
    }

    /// Runs until `deadline` at the latest, and returns whether `done` came true.
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

    fn at(&mut self, when: Duration, e: Queued) {
        let slot = self.free.pop().unwrap_or_else(|| {
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
        self.free.push(slot);
        match self.events[slot].take().expect("a queued event is present") {
            Queued::Tick(i, life) => self.tick(i, life),
            Queued::Datagram { from, to, bytes } => self.arrive(from, to, bytes),
        }
    }

    fn tick(&mut self, i: usize, life: u32) {
        let n = &self.nodes[i];
        if !n.up || self.lives[i] != life {
            return;
        }
        if !n.paused {
            self.input(i, Input::Tick);
        }
        // Timers of real processes fire late by a little.
        let late = Duration::from_micros(self.rng.random_range(0..5_000));
        self.at(self.now + Duration::from_millis(50) + late, Queued::Tick(i, life));
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let n = &mut self.nodes[to];
        if !n.up || n.left {
            return;
        }
        if n.paused {
            if n.inbox.len() < SOCKET {
                n.inbox.push((address(from), bytes));
            }
            return;
        }
        self.deliver(to, address(from), &bytes);
    }

    /// Hands a datagram to an instance as its adapter would.
    pub fn deliver(&mut self, to: usize, source: SocketAddr, bytes: &[u8]) {
        let n = &mut self.nodes[to];
        n.got_bytes += bytes.len() as u64;
        let start = Instant::now();
        let opened = open::<Envelope>(&self.keys, bytes, Context::Datagram(address(to)));
        let Ok(e) = opened else { return };
        let accepted = n.replay.accept(&e.from, e.incarnation, e.sequence);
        self.busy += start.elapsed();
        match accepted {
            Ok(()) => self.input(to, Input::Received { source, envelope: e }),
            Err(agate_wire::Reject::Outdated { seen }) => {
                self.input(to, Input::Outdated { source, seen });
            }
            Err(_) => {}
        }
    }

    fn input(&mut self, i: usize, input: Input) {
        if self.nodes[i].left {
            return;
        }
        let start = Instant::now();
        let n = &mut self.nodes[i];
        let actions = step(&mut n.state, input, self.now, &mut n.rng);
        self.busy += start.elapsed();
        for a in actions {
            self.act(i, a);
        }
    }

    fn act(&mut self, i: usize, a: Action) {
        match a {
            Action::Send { to, envelope } => self.send(i, to, envelope),
            Action::Changed { name, status, .. } => {
                let subject = name[9..].parse().expect("names end in their index");
                self.log.push(Event { at: self.now, observer: i, subject, status });
            }
            Action::Deliver { digests, .. } => {
                for d in digests {
                    if let Digest::Config { generation, .. } = d {
                        let n = &mut self.nodes[i];
                        n.generation = n.generation.max(generation);
                    }
                }
            }
            Action::Left => self.nodes[i].left = true,
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, mut envelope: Envelope) {
        let age = Some(Duration::from_millis(1_234));
        let generation = self.nodes[i].generation;
        if let Some(g) = gossip_of(&mut envelope) {
            g.digests.push(Digest::Config { generation, age });
        }
        let start = Instant::now();
        let bytes = seal(&self.keys, &envelope, Context::Datagram(to)).expect("a datagram fits");
        self.busy += start.elapsed();
        let n = &mut self.nodes[i];
        n.sent += 1;
        n.sent_bytes += bytes.len() as u64;
        let target = index(to);
        if (self.cut)(i, target) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.delay(i, target);
        self.at(self.now + delay, Queued::Datagram { from: i, to: target, bytes });
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let base = match () {
            () if self.zone(a) == self.zone(b) => 250,
            () if self.region(a) == self.region(b) => 1_500,
            () => 40_000,
        };
        Duration::from_micros(base + self.rng.random_range(0..base / 4))
    }

    /// Whether every running instance holds exactly the running ones of its scope live.
    pub fn agreed(&self) -> bool {
        let running: Vec<bool> = self.nodes.iter().map(|n| n.up && !n.left).collect();
        (0..self.nodes.len()).filter(|&i| running[i]).all(|i| {
            let live = |m: &agate_member::Member| {
                !m.contact && matches!(m.status, Status::Alive | Status::Suspect)
            };
            let held = self.nodes[i].state.members();
            let held = held.iter().filter(|m| live(m));
            let mut count = 0;
            let all_run = held.inspect(|_| count += 1).all(|m| running[index(m.place.address)]);
            let want = (0..running.len()).filter(|&j| running[j] && self.same_scope(i, j)).count();
            all_run && count + 1 == want
        })
    }

    /// Verdicts so far against instances that run, as pairs of observer and subject.
    pub fn false_verdicts(&self, since: usize) -> usize {
        let wrong = |e: &&Event| e.status == Status::Dead && self.nodes[e.subject].up;
        self.log[since..].iter().filter(wrong).count()
    }
}

fn settings_of(node: &Node) -> Settings {
    let p = node.state.peer().clone();
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
