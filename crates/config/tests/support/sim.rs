//! Instances, their datagrams and the store in virtual time, around the spread machine.
//!
//! Each instance's clock starts at its own offset, so an instant that crosses to another instance
//! by mistake shows. A chunk is named after the generation that brought it, and the index chunk that
//! lists it is named so too, with an `i` before.

#![allow(dead_code, reason = "tests and measurements use different parts")]

mod messages;
mod node;

pub use {
    messages::Sizes,
    node::{Node, node},
};

use {
    agate_config::{
        freshness::Standing,
        spread::{Action, Found, Input, Proof, Source, sample},
    },
    agate_core::{Generation, Mono},
    messages::chunk,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// One-way delay between two instances or to the store.
const HOP: Duration = Duration::from_micros(1500);
/// Bytes a second that an instance sends at most.
const UPLINK: f64 = 12.5e6;
/// Time until a store call to an unreachable store fails.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens at an instant.
enum Event {
    Due(usize),
    Input(usize, Input),
    /// A message that takes the way from one instance to another.
    Mail(usize, usize, Mail),
    StoreRead(usize),
    StoreWatch(usize, u64, Duration),
    WatchEnd(usize, u64),
    StoreChunk(usize, String),
}

#[derive(Clone)]
enum Mail {
    Ask(Mono),
    Digest(Generation, Option<Proof>),
    HeadQuery,
    Head(Generation),
    ChunkQuery(String),
    Chunk(String),
    Absent,
}

pub struct Sim {
    pub now: Mono,
    pub nodes: Vec<Node>,
    pub head: Generation,
    pub store_up: bool,
    pub loss: f64,
    pub reads: u64,
    /// Reads, waiting watches included, in the present and in the busiest second.
    pub peak: (u64, u64, u64),
    /// Bytes of messages between instances, and of records in the store.
    pub sizes: Sizes,
    pub stored: Sizes,
    /// Index chunks of the first generation, and chunks that each lists; later ones bring one each.
    pub tree: (usize, usize),
    zones: usize,
    watches: Vec<(usize, u64, Generation)>,
    queue: BinaryHeap<Reverse<(Mono, u64, usize)>>,
    events: Vec<Option<Event>>,
    rng: StdRng,
}

impl Sim {
    pub fn new(count: usize, zones: usize, sizes: Sizes, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..count).map(|i| node(i, i % zones, &mut rng)).collect();
        let mut sim = Self {
            now: Mono::ZERO,
            nodes,
            head: 1,
            store_up: true,
            loss: 0.0,
            reads: 0,
            peak: (0, 0, 0),
            sizes,
            stored: sizes,
            tree: (1, 1),
            zones,
            watches: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rng,
        };
        for i in 0..count {
            sim.introduce(i);
        }
        sim
    }

    /// Instances that start without knowing each other, only how many they are.
    pub fn strangers(count: usize, zones: usize, sizes: Sizes, seed: u64) -> Self {
        let mut sim = Self::new(0, zones, sizes, seed);
        let mut rng = StdRng::seed_from_u64(seed);
        sim.nodes = (0..count).map(|i| node(i, i % zones, &mut rng)).collect();
        for i in 0..count {
            let zone = vec![sim.nodes[i].name.clone()];
            sim.input(i, Input::Members { zone, far: Vec::new(), fleet: count });
        }
        sim
    }

    /// Tells an instance its zone's members, and two of each other zone.
    pub fn introduce(&mut self, i: usize) {
        let own = self.nodes[i].zone;
        let names = |z: usize| {
            let members = self.nodes.iter().filter(move |n| n.zone == z);
            members.map(|n| n.name.clone())
        };
        let far = (0..self.zones).filter(|z| *z != own);
        let far = far.map(|z| sample(&self.nodes[i].name, names(z).collect(), 2));
        let input = Input::Members {
            zone: names(own).collect(),
            far: far.collect(),
            fleet: self.nodes.len(),
        };
        self.input(i, input);
    }

    pub fn standing(&self, i: usize) -> Standing {
        let node = &self.nodes[i];
        node.state.standing(self.now + node.offset)
    }

    /// Accepts a new configuration in the store.
    pub fn publish(&mut self) {
        self.head += 1;
        let head = self.head;
        let told: Vec<_> = self.watches.extract_if(.., |(_, _, after)| head > *after).collect();
        for (i, ..) in told {
            self.answer_head(i);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events[id].take().expect("an event happens once");
            self.happen(event);
        }
        self.now = end;
    }

    /// Runs until `done`, at most for `most`; returns the time taken.
    pub fn run_until(&mut self, most: Duration, done: impl Fn(&Sim) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(Duration::from_millis(5));
        }
        Some(self.now - start)
    }

    pub fn all_at(&self, generation: Generation) -> bool {
        self.nodes.iter().all(|n| n.state.installed() >= generation)
    }

    fn at(&mut self, delay: Duration, event: Event) {
        let id = self.events.len();
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, id as u64, id)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Due(i) => {
                let node = &mut self.nodes[i];
                if node.scheduled <= self.now + node.offset {
                    node.scheduled = Mono::MAX;
                    self.input(i, Input::Due);
                }
            }
            Event::Input(i, input) => self.input(i, input),
            Event::Mail(from, to, mail) => self.deliver(from, to, mail),
            Event::StoreRead(i) if self.store_up => self.answer_head(i),
            Event::StoreWatch(i, serial, wait) if self.store_up => self.watch(i, serial, wait),
            Event::StoreRead(i) | Event::StoreWatch(i, ..) => {
                self.at(STORE_TIMEOUT, Event::Input(i, Input::StoreFailed));
            }
            Event::WatchEnd(i, serial) => {
                let waiting = self.watches.len();
                self.watches.retain(|w| w.1 != serial || w.0 != i);
                if waiting > self.watches.len() {
                    let input = if self.store_up { Input::Unchanged } else { Input::StoreFailed };
                    self.at(HOP, Event::Input(i, input));
                }
            }
            Event::StoreChunk(i, id) => {
                let input = if self.store_up {
                    self.arrival(id)
                } else {
                    Input::FetchFailed(Source::Store)
                };
                self.at(HOP, Event::Input(i, input));
            }
        }
    }

    fn arrival(&self, id: String) -> Input {
        let first = id.starts_with("i1.");
        chunk(id, if first { self.tree.1 } else { 1 })
    }

    fn watch(&mut self, i: usize, serial: u64, wait: Duration) {
        let after = self.nodes[i].state.seen();
        if self.head > after {
            return self.answer_head(i);
        }
        self.watches.push((i, serial, after));
        self.at(wait, Event::WatchEnd(i, serial));
    }

    fn answer_head(&mut self, i: usize) {
        self.nodes[i].bytes_in += self.stored.head;
        let found = self.found(i, self.head);
        self.at(HOP, Event::Input(i, Input::Head(found)));
    }

    fn found(&self, i: usize, generation: Generation) -> Found {
        let missing = (self.nodes[i].held + 1..=generation)
            .flat_map(|g| {
                (0..if g == 1 { self.tree.0 } else { 1 }).map(move |i| format!("i{g}.{i}"))
            })
            .collect();
        Found { generation, missing }
    }

    /// Hands an input to an instance; one that is paused finds it when it wakes.
    pub fn input(&mut self, i: usize, input: Input) {
        let node = &mut self.nodes[i];
        if node.paused {
            node.backlog.push(input);
            return;
        }
        for late in std::mem::take(&mut node.backlog) {
            self.input(i, late);
        }
        let node = &mut self.nodes[i];
        let now = self.now + node.offset;
        let before = node.state.installed();
        let actions = node.state.step(input, now);
        assert!(node.state.installed() >= before, "the generation in force never falls");
        if node.state.installed() > before {
            node.installed = self.now;
            node.held = node.state.installed();
        }
        for action in actions {
            self.act(i, action);
        }
        let node = &mut self.nodes[i];
        let due = node.state.due().max(now);
        if due < node.scheduled {
            node.scheduled = due;
            let delay = due - now;
            self.at(delay, Event::Due(i));
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let now = self.now + self.nodes[i].offset;
        match action {
            Action::Read => self.store_call(i, |i, _| Event::StoreRead(i)),
            Action::Watch(wait) => self.store_call(i, |i, s| Event::StoreWatch(i, s, wait)),
            Action::Ask(peer) => self.send(i, &peer, Mail::Ask(now)),
            Action::Announce(peer) => {
                let generation = self.nodes[i].state.installed();
                self.send(i, &peer, Mail::Digest(generation, None));
            }
            Action::FetchHead(peer) => self.send(i, &peer, Mail::HeadQuery),
            Action::FetchChunk(id, Source::Peer(peer)) => self.send(i, &peer, Mail::ChunkQuery(id)),
            Action::FetchChunk(id, Source::Store) => {
                self.count();
                self.nodes[i].bytes_in += self.stored.of(&id);
                self.at(HOP, Event::StoreChunk(i, id));
            }
            Action::Alarm(_) => self.nodes[i].alarms += 1,
            Action::Install(_) => {}
        }
    }

    fn store_call(&mut self, i: usize, event: impl Fn(usize, u64) -> Event) {
        self.count();
        self.nodes[i].serial += 1;
        let serial = self.nodes[i].serial;
        if self.nodes[i].reaches_store {
            self.at(HOP, event(i, serial));
        } else {
            self.at(STORE_TIMEOUT, Event::Input(i, Input::StoreFailed));
        }
    }

    fn count(&mut self) {
        self.reads += 1;
        let second = self.now.as_secs();
        if self.peak.0 != second {
            // A watch that waits over the turn of a second counts in the new one too.
            self.peak = (second, self.watches.len() as u64, self.peak.2);
        }
        self.peak.1 += 1;
        self.peak.2 = self.peak.2.max(self.peak.1);
    }

    fn send(&mut self, from: usize, peer: &str, mail: Mail) {
        let to = peer[1..].parse().expect("names are numbers");
        self.mail(from, to, mail);
    }

    fn mail(&mut self, from: usize, to: usize, mail: Mail) {
        let size = match mail {
            Mail::Head(_) => self.sizes.head,
            Mail::Chunk(ref id) => self.sizes.of(id),
            _ => self.sizes.digest,
        };
        let node = &mut self.nodes[from];
        node.bytes_out += size;
        node.sent = node.sent.max(self.now) + Duration::from_secs_f64(size as f64 / UPLINK);
        let queued = node.sent - self.now;
        let datagram = matches!(mail, Mail::Ask(_) | Mail::Digest(..));
        let lost = datagram && self.loss > 0.0 && self.rng.random_bool(self.loss);
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        if lost || a.group != b.group || !a.heard || !b.hears {
            return;
        }
        self.nodes[to].bytes_in += size;
        self.at(queued + HOP, Event::Mail(from, to, mail));
    }

    fn deliver(&mut self, from: usize, to: usize, mail: Mail) {
        let peer = self.nodes[from].name.clone();
        match mail {
            // A paused instance answers what it finds when it wakes; it is simply silent here.
            Mail::Ask(_) | Mail::HeadQuery | Mail::ChunkQuery(_) if self.nodes[to].paused => {}
            Mail::Ask(asked) => {
                let node = &self.nodes[to];
                let age = node.state.proof_age(self.now + node.offset);
                let digest = Mail::Digest(node.state.installed(), Some(Proof { asked, age }));
                self.mail(to, from, digest);
            }
            Mail::Digest(generation, proof) => {
                self.input(to, Input::Digest { peer, generation, proof });
            }
            Mail::HeadQuery => {
                let generation = self.nodes[to].state.installed();
                self.mail(to, from, Mail::Head(generation));
            }
            Mail::Head(generation) => {
                let found = self.found(to, generation);
                self.input(to, Input::PeerHead { peer, found });
            }
            Mail::ChunkQuery(id) => {
                let number = id.trim_start_matches('i').split('.').next().unwrap_or_default();
                let generation: Generation = number.parse().expect("chunks are numbers");
                let (node, now) = (&mut self.nodes[to], self.now);
                let held = generation <= node.held && node.fetchers.admit(&peer, now);
                self.mail(to, from, if held { Mail::Chunk(id) } else { Mail::Absent });
            }
            Mail::Chunk(id) => {
                let input = self.arrival(id);
                self.input(to, input);
            }
            Mail::Absent => self.input(to, Input::FetchFailed(Source::Peer(peer))),
        }
    }
}
