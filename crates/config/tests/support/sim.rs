//! Simulation of instances, their datagrams and the store in virtual time, around the distribution
//! state machine.
//!
//! Each instance's clock starts at its own offset, so that a bug that passes an instant to another
//! instance is visible. The name of a chunk starts with the generation that added it. The index
//! chunk that lists it is named in the same way, with the prefix `i`.

#![allow(dead_code, reason = "tests and measurements use different parts")]

mod instance;
mod messages;

pub use {
    instance::{Instance, instance},
    messages::Sizes,
};

use {
    agate_config::{
        freshness::ConfigFreshness,
        spread::{Action, HeadSummary, Input, Proof, Source, sample},
    },
    agate_core::{Generation, Mono},
    messages::chunk,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// One-way delay between two instances or to the store.
const NETWORK_DELAY: Duration = Duration::from_micros(1500);
/// Maximum bytes per second that an instance sends.
const UPLINK: f64 = 12.5e6;
/// Time until a call to an unreachable store fails.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// An event scheduled for an instant.
enum Event {
    Due(usize),
    Input(usize, Input),
    /// A message from one instance to another.
    Packet(usize, usize, Packet),
    StoreRead(usize),
    StoreWatch(usize, u64, Duration),
    WatchEnd(usize, u64),
    StoreChunk(usize, String),
}

#[derive(Clone)]
enum Packet {
    Query(Mono),
    Digest(Generation, Option<Proof>),
    GetHead,
    Head(Generation),
    GetChunk(String),
    Chunk(String),
    Absent,
}

pub struct Sim {
    pub now: Mono,
    pub instances: Vec<Instance>,
    pub head: Generation,
    pub store_up: bool,
    pub loss: f64,
    pub reads: u64,
    /// The current second, its number of reads, and the maximum number of reads in a second, all
    /// including pending watches.
    pub peak: (u64, u64, u64),
    /// Sizes of messages between instances, and of records in the store.
    pub sizes: Sizes,
    pub stored: Sizes,
    /// Number of index chunks of the first generation, and of chunks that each lists. Later
    /// generations add one of each.
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
        let instances = (0..count).map(|i| instance(i, i % zones, &mut rng)).collect();
        let mut sim = Self {
            now: Mono::ZERO,
            instances,
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
            sim.send_members(i);
        }
        sim
    }

    /// Returns instances that do not know each other, only the size of the fleet.
    pub fn isolated(count: usize, zones: usize, sizes: Sizes, seed: u64) -> Self {
        let mut sim = Self::new(0, zones, sizes, seed);
        let mut rng = StdRng::seed_from_u64(seed);
        sim.instances = (0..count).map(|i| instance(i, i % zones, &mut rng)).collect();
        for i in 0..count {
            let zone = vec![sim.instances[i].name.clone()];
            sim.input(i, Input::Members { zone, remote: Vec::new(), fleet: count });
        }
        sim
    }

    /// Sends an instance the members of its zone and two of each other zone.
    pub fn send_members(&mut self, i: usize) {
        let own = self.instances[i].zone;
        let names = |z: usize| {
            let members = self.instances.iter().filter(move |n| n.zone == z);
            members.map(|n| n.name.clone())
        };
        let remote = (0..self.zones).filter(|z| *z != own);
        let remote = remote.map(|z| sample(&self.instances[i].name, names(z).collect(), 2));
        let input = Input::Members {
            zone: names(own).collect(),
            remote: remote.collect(),
            fleet: self.instances.len(),
        };
        self.input(i, input);
    }

    pub fn freshness(&self, i: usize) -> ConfigFreshness {
        let instance = &self.instances[i];
        instance.state.freshness(self.now + instance.offset)
    }

    /// Accepts a new configuration in the store.
    pub fn publish(&mut self) {
        self.head += 1;
        let head = self.head;
        let due_watches: Vec<_> =
            self.watches.extract_if(.., |(_, _, after)| head > *after).collect();
        for (i, ..) in due_watches {
            self.respond_with_head(i);
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
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until `done` returns true, for at most `most`, and returns the time taken.
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
        self.instances.iter().all(|n| n.state.installed() >= generation)
    }

    fn at(&mut self, delay: Duration, event: Event) {
        let id = self.events.len();
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, id as u64, id)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Due(i) => {
                let instance = &mut self.instances[i];
                if instance.scheduled <= self.now + instance.offset {
                    instance.scheduled = Mono::MAX;
                    self.input(i, Input::Due);
                }
            }
            Event::Input(i, input) => self.input(i, input),
            Event::Packet(from, to, packet) => self.deliver(from, to, packet),
            Event::StoreRead(i) if self.store_up => self.respond_with_head(i),
            Event::StoreWatch(i, serial, wait) if self.store_up => self.watch(i, serial, wait),
            Event::StoreRead(i) | Event::StoreWatch(i, ..) => {
                self.at(STORE_TIMEOUT, Event::Input(i, Input::StoreFailed));
            }
            Event::WatchEnd(i, serial) => {
                let waiting = self.watches.len();
                self.watches.retain(|w| w.1 != serial || w.0 != i);
                if waiting > self.watches.len() {
                    let input = if self.store_up { Input::Unchanged } else { Input::StoreFailed };
                    self.at(NETWORK_DELAY, Event::Input(i, input));
                }
            }
            Event::StoreChunk(i, id) => {
                let input = if self.store_up {
                    self.chunk_input(id)
                } else {
                    Input::FetchFailed(Source::Store)
                };
                self.at(NETWORK_DELAY, Event::Input(i, input));
            }
        }
    }

    fn chunk_input(&self, id: String) -> Input {
        let first = id.starts_with("i1.");
        chunk(id, if first { self.tree.1 } else { 1 })
    }

    fn watch(&mut self, i: usize, serial: u64, wait: Duration) {
        let after = self.instances[i].state.seen();
        if self.head > after {
            return self.respond_with_head(i);
        }
        self.watches.push((i, serial, after));
        self.at(wait, Event::WatchEnd(i, serial));
    }

    fn respond_with_head(&mut self, i: usize) {
        self.instances[i].bytes_in += self.stored.head;
        let summary = self.summary(i, self.head);
        self.at(NETWORK_DELAY, Event::Input(i, Input::Head(summary)));
    }

    fn summary(&self, i: usize, generation: Generation) -> HeadSummary {
        let missing = (self.instances[i].held + 1..=generation)
            .flat_map(|g| {
                (0..if g == 1 { self.tree.0 } else { 1 }).map(move |i| format!("i{g}.{i}"))
            })
            .collect();
        HeadSummary { generation, missing }
    }

    /// Delivers an input to an instance. A paused instance handles it after it resumes.
    pub fn input(&mut self, i: usize, input: Input) {
        let instance = &mut self.instances[i];
        if instance.paused {
            instance.backlog.push(input);
            return;
        }
        for earlier in std::mem::take(&mut instance.backlog) {
            self.input(i, earlier);
        }
        let instance = &mut self.instances[i];
        let now = self.now + instance.offset;
        let before = instance.state.installed();
        let actions = instance.state.step(input, now);
        assert!(instance.state.installed() >= before, "the installed generation never decreases");
        if instance.state.installed() > before {
            instance.installed = self.now;
            instance.held = instance.state.installed();
        }
        for action in actions {
            self.execute(i, action);
        }
        let instance = &mut self.instances[i];
        let due = instance.state.due().max(now);
        if due < instance.scheduled {
            instance.scheduled = due;
            let delay = due - now;
            self.at(delay, Event::Due(i));
        }
    }

    fn execute(&mut self, i: usize, action: Action) {
        let now = self.now + self.instances[i].offset;
        match action {
            Action::Read => self.store_call(i, |i, _| Event::StoreRead(i)),
            Action::Watch(wait) => self.store_call(i, |i, s| Event::StoreWatch(i, s, wait)),
            Action::Query(peer) => self.send(i, &peer, Packet::Query(now)),
            Action::Announce(peer) => {
                let generation = self.instances[i].state.installed();
                self.send(i, &peer, Packet::Digest(generation, None));
            }
            Action::FetchHead(peer) => self.send(i, &peer, Packet::GetHead),
            Action::FetchChunk(id, Source::Peer(peer)) => self.send(i, &peer, Packet::GetChunk(id)),
            Action::FetchChunk(id, Source::Store) => {
                self.count();
                self.instances[i].bytes_in += self.stored.of(&id);
                self.at(NETWORK_DELAY, Event::StoreChunk(i, id));
            }
            Action::Alarm(_) => self.instances[i].alarms += 1,
            Action::Install(_) => {}
        }
    }

    fn store_call(&mut self, i: usize, event: impl Fn(usize, u64) -> Event) {
        self.count();
        self.instances[i].serial += 1;
        let serial = self.instances[i].serial;
        if self.instances[i].reaches_store {
            self.at(NETWORK_DELAY, event(i, serial));
        } else {
            self.at(STORE_TIMEOUT, Event::Input(i, Input::StoreFailed));
        }
    }

    fn count(&mut self) {
        self.reads += 1;
        let second = self.now.as_secs();
        if self.peak.0 != second {
            // A watch that is pending when a second begins counts in that second too.
            self.peak = (second, self.watches.len() as u64, self.peak.2);
        }
        self.peak.1 += 1;
        self.peak.2 = self.peak.2.max(self.peak.1);
    }

    fn send(&mut self, from: usize, peer: &str, packet: Packet) {
        let to = peer[1..].parse().expect("names are numbers");
        self.send_message(from, to, packet);
    }

    fn send_message(&mut self, from: usize, to: usize, packet: Packet) {
        let size = match packet {
            Packet::Head(_) => self.sizes.head,
            Packet::Chunk(ref id) => self.sizes.of(id),
            _ => self.sizes.digest,
        };
        let instance = &mut self.instances[from];
        instance.bytes_out += size;
        instance.sent =
            instance.sent.max(self.now) + agate_core::time::seconds(size as f64 / UPLINK);
        let queued = instance.sent - self.now;
        let datagram = matches!(packet, Packet::Query(_) | Packet::Digest(..));
        let lost = datagram && self.loss > 0.0 && self.rng.random_bool(self.loss);
        let (a, b) = (&self.instances[from], &self.instances[to]);
        if lost || a.group != b.group || !a.can_send || !b.can_receive {
            return;
        }
        self.instances[to].bytes_in += size;
        self.at(queued + NETWORK_DELAY, Event::Packet(from, to, packet));
    }

    fn deliver(&mut self, from: usize, to: usize, packet: Packet) {
        let peer = self.instances[from].name.clone();
        match packet {
            // A paused instance does not respond, also not later.
            Packet::Query(_) | Packet::GetHead | Packet::GetChunk(_)
                if self.instances[to].paused => {}
            Packet::Query(sent_at) => {
                let instance = &self.instances[to];
                let age = instance.state.proof_age(self.now + instance.offset);
                let digest =
                    Packet::Digest(instance.state.installed(), Some(Proof { sent_at, age }));
                self.send_message(to, from, digest);
            }
            Packet::Digest(generation, proof) => {
                self.input(to, Input::Digest { peer, generation, proof });
            }
            Packet::GetHead => {
                let generation = self.instances[to].state.installed();
                self.send_message(to, from, Packet::Head(generation));
            }
            Packet::Head(generation) => {
                let summary = self.summary(to, generation);
                self.input(to, Input::PeerHead { peer, summary });
            }
            Packet::GetChunk(id) => {
                let number = id.trim_start_matches('i').split('.').next().unwrap_or_default();
                let generation: Generation = number.parse().expect("chunks are numbers");
                let (instance, now) = (&mut self.instances[to], self.now);
                let held = generation <= instance.held && instance.fetchers.admit(&peer, now);
                self.send_message(to, from, if held { Packet::Chunk(id) } else { Packet::Absent });
            }
            Packet::Chunk(id) => {
                let input = self.chunk_input(id);
                self.input(to, input);
            }
            Packet::Absent => self.input(to, Input::FetchFailed(Source::Peer(peer))),
        }
    }
}
