//! Entry instances and engines run against each other in virtual time.
//!
//! Each instance has its own table of endpoints and its own queue. Engines publish their load with
//! a lag; instances tell each other their outstanding counts with a lag.

use {
    crate::{
        baseline::{Order, Waiting},
        engine::{Engine, Output},
        figures::{Figures, Record},
        setup::Setup,
        workload::{ANSWER, Request},
    },
    agate_admit::{Event as Ended, Share, Ticket, queue::cost, share::Exchange},
    agate_core::{EndpointId, Mono, PoolId},
    agate_route::{Ask, Distances, LoadReport, Role, Spec, Table, health::Kind, ranking::mix},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        sync::{Arc, atomic::Ordering::Relaxed},
        time::Duration,
    },
};

/// Interval at which engines publish their load and instances gossip.
const PUBLISH: Duration = Duration::from_millis(100);
/// Interval at which an instance looks at its queue without another cause.
const TICK: Duration = Duration::from_millis(20);
/// Prompt tokens from which a prefill is long enough to measure its speed.
const MEASURED_PROMPT: u32 = 512;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Step(usize, Vec<Output>),
    Publish,
    Reports(Vec<LoadReport>),
    Counts(Vec<Vec<u32>>),
    Cached { engine: usize, stored: Arc<[u64]>, evicted: Vec<u64> },
    Transferred(usize),
    Tick,
}

struct Entry {
    table: Table,
    waiting: Waiting,
    tickets: IndexMap<Ticket, usize>,
    share: Share,
}

struct World<'a> {
    setup: Setup,
    requests: &'a [Request],
    engines: Vec<Engine>,
    busy: Vec<bool>,
    entries: Vec<Entry>,
    // Endpoint and time of sending of each request.
    sent: Vec<Option<(EndpointId, Mono)>>,
    events: BinaryHeap<Reverse<(Mono, u64)>>,
    bodies: IndexMap<u64, Event>,
    count: u64,
    figures: Figures,
}

/// Runs `requests`, which are sorted by arrival, and `tail` longer.
pub fn run(setup: Setup, requests: &[Request], tail: Duration) -> Figures {
    let mut world = World::new(setup, requests);
    let end = requests.last().map_or(Mono::ZERO, |r| r.at) + tail;
    world.at(Mono::ZERO, Event::Publish);
    world.at(Mono::ZERO, Event::Tick);
    if !requests.is_empty() {
        world.at(requests[0].at, Event::Arrive(0));
    }
    while let Some(Reverse((now, key))) = world.events.pop() {
        if now > end {
            break;
        }
        let event = world.bodies.swap_remove(&key).expect("an event is taken once");
        world.handle(event, now);
    }
    world.figures
}

/// Expected time that a request runs once it was granted.
fn expected_run(request: &Request) -> Duration {
    Duration::from_millis(40) * ANSWER.2 + Duration::from_micros(125) * request.prompt
}

impl<'a> World<'a> {
    fn new(setup: Setup, requests: &'a [Request]) -> Self {
        let entries = (0..setup.entries).map(|i| entry(&setup, i)).collect();
        let engines = (0..setup.engines).map(|i| Engine::new(setup.shape_of(i))).collect();
        Self {
            setup,
            requests,
            engines,
            busy: vec![false; setup.engines as usize],
            entries,
            sent: vec![None; requests.len()],
            events: BinaryHeap::new(),
            bodies: IndexMap::new(),
            count: 0,
            figures: Figures::new(requests, setup.shape),
        }
    }

    fn at(&mut self, time: Mono, event: Event) {
        self.count += 1;
        self.bodies.insert(self.count, event);
        self.events.push(Reverse((time, self.count)));
    }

    fn handle(&mut self, event: Event, now: Mono) {
        match event {
            Event::Arrive(id) => self.arrive(id, now),
            Event::Step(engine, outputs) => self.step(engine, outputs, now),
            Event::Publish => self.publish(now),
            Event::Reports(reports) => self.report(&reports, now),
            Event::Counts(counts) => self.gossip(&counts, now),
            Event::Cached { engine, stored, evicted } => {
                for entry in &self.entries {
                    entry.table.cache_event(engine as EndpointId, &stored, &evicted);
                }
            }
            Event::Transferred(id) => {
                let mut rest = self.requests[id].clone();
                rest.imported = true;
                rest.output -= 1;
                self.send_to(0, rest, now);
            }
            Event::Tick => {
                (0..self.entries.len()).for_each(|i| self.pump(i, now));
                self.at(now + TICK, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, id: usize, now: Mono) {
        if let Some(next) = self.requests.get(id + 1) {
            self.at(next.at, Event::Arrive(id + 1));
        }
        let request = &self.requests[id];
        if self.setup.order.is_none() {
            return self.send(id, now);
        }
        let latest = (request.at + request.deadline).saturating_sub(expected_run(request));
        let cost = cost(request.prompt, ANSWER.2);
        let entry = &mut self.entries[request.entry];
        match entry.waiting.push(request.org, cost, latest, now) {
            Ok(ticket) => {
                entry.tickets.insert(ticket, id);
                self.pump(request.entry, now);
            }
            Err(_) => self.figures.records[id] = Record::Refused,
        }
    }

    fn pump(&mut self, i: usize, now: Mono) {
        let entry = &mut self.entries[i];
        if entry.waiting.is_empty() {
            return;
        }
        let limit = if self.setup.shared { entry.share.allowed().min(16) } else { 16 };
        let room = entry.table.room(0, limit, now);
        for event in entry.waiting.pop(now, room) {
            let (Ended::Granted(ticket) | Ended::Expired(ticket)) = event;
            let id = self.entries[i].tickets.swap_remove(&ticket).expect("a known ticket");
            match event {
                Ended::Granted(_) => {
                    self.entries[i].share.take(1);
                    self.send(id, now);
                }
                Ended::Expired(_) => self.figures.records[id] = Record::Expired,
            }
        }
    }

    /// Sends a granted request, a dossier to an engine set apart if one has room.
    fn send(&mut self, id: usize, now: Mono) {
        let mut request = self.requests[id].clone();
        self.figures.waits[id] = Some(now - request.at);
        let table = &self.entries[request.entry].table;
        let apart = !request.urgent && self.setup.split.is_some();
        if apart && table.free_slots(1, 1, now) > 0 {
            request.output = 1;
            self.send_to(1, request, now);
        } else {
            self.send_to(0, request, now);
        }
    }

    fn send_to(&mut self, pool: PoolId, request: Request, now: Mono) {
        let table = &self.entries[request.entry].table;
        let (prefix, tokens) = (&request.prefix[..], request.prompt);
        let ask = Ask { pool, zone: 0, prefix, tokens, avoid: &[] };
        let draw = mix(self.setup.seed, request.id as u64);
        let to = self.setup.choice.pick(table, &ask, draw, now).expect("a usable endpoint");
        table.start(to);
        self.sent[request.id] = Some((to, now));
        let engine = to as usize;
        self.engines[engine].push(request);
        if !self.busy[engine] {
            self.busy[engine] = true;
            self.at(now, Event::Step(engine, Vec::new()));
        }
    }

    fn step(&mut self, engine: usize, outputs: Vec<Output>, now: Mono) {
        for output in outputs {
            match output {
                Output::First { id, cached } => self.first(id, cached, now),
                Output::Done { id } => self.done(id, now),
            }
        }
        match self.engines[engine].iterate() {
            Some((time, decoding, outputs)) => {
                self.figures.gap(time, decoding);
                self.at(now + time, Event::Step(engine, outputs));
            }
            None => self.busy[engine] = false,
        }
    }

    fn first(&mut self, id: usize, cached: u32, now: Mono) {
        let request = &self.requests[id];
        self.figures.first(id, cached, now - request.at);
        let (to, sent) = self.sent[id].expect("an answered request was sent");
        let uncached = request.prompt - cached;
        let table = &self.entries[request.entry].table;
        table.note_cached(to, &request.prefix, cached);
        if uncached >= MEASURED_PROMPT {
            table.endpoint(to).live.note_prefill(uncached, now - sent);
        }
        self.publish_cached(to as usize, request, now);
    }

    /// Publishes the blocks of an answered request, and those evicted meanwhile, or loses them.
    fn publish_cached(&mut self, engine: usize, request: &Request, now: Mono) {
        let evicted = std::mem::take(&mut self.engines[engine].evicted);
        let Some(events) = self.setup.cache_events else { return };
        if mix(self.setup.seed, request.id as u64) % 100 >= events.lost {
            let stored = request.prefix.clone();
            self.at(now + events.lag, Event::Cached { engine, stored, evicted });
        }
    }

    fn done(&mut self, id: usize, now: Mono) {
        let request = &self.requests[id];
        let (to, sent) = self.sent[id].expect("an answered request was sent");
        if let Some(split) = self.setup.split.filter(|s| to < s.engines) {
            self.entries[request.entry].table.finish(to, Kind::Success, now - sent, now);
            return self.at(now + split.transfer * request.prompt, Event::Transferred(id));
        }
        self.figures.done(id, now - request.at);
        let entry = &mut self.entries[request.entry];
        entry.table.finish(to, Kind::Success, now - sent, now);
        entry.share.on_finish();
        let estimate = cost(request.prompt, ANSWER.2);
        entry.waiting.settle(request.org, estimate, cost(request.prompt, request.output));
        self.pump(request.entry, now);
    }

    fn publish(&mut self, now: Mono) {
        self.at(now + PUBLISH, Event::Publish);
        let report = |e: &Engine| LoadReport {
            running: e.running(),
            waiting: e.waiting(),
            slots: e.shape.slots,
            at: now,
        };
        let reports: Vec<_> = self.engines.iter().map(report).collect();
        self.figures.imbalance(&reports);
        self.at(now + self.setup.report_lag, Event::Reports(reports));
        if let Some(lag) = self.setup.gossip_lag {
            let ids = 0..self.setup.engines;
            let count = |t: &Table, id| t.endpoint(id).live.outstanding.load(Relaxed);
            let own = |e: &Entry| ids.clone().map(|id| count(&e.table, id)).collect();
            let counts = self.entries.iter().map(own).collect();
            self.at(now + lag, Event::Counts(counts));
        }
    }

    fn report(&mut self, reports: &[LoadReport], now: Mono) {
        for i in 0..self.entries.len() {
            for (id, report) in reports.iter().enumerate() {
                self.entries[i].table.endpoint(id as EndpointId).live.set_load(*report);
            }
            self.pump(i, now);
        }
    }

    fn gossip(&mut self, counts: &[Vec<u32>], now: Mono) {
        let engines = self.setup.engines as usize;
        let totals: Vec<u32> = (0..engines).map(|e| counts.iter().map(|c| c[e]).sum()).collect();
        let sharers = self.entries.len() as u32;
        let slots = self.engines.iter().map(|e| e.shape.slots).sum();
        let lag = self.setup.gossip_lag.unwrap_or_default();
        let pending = 1 + (lag.as_millis() / PUBLISH.as_millis()) as u32;
        for (entry, own) in self.entries.iter_mut().zip(counts) {
            for (id, total) in totals.iter().enumerate() {
                let live = &entry.table.endpoint(id as EndpointId).live;
                live.foreign.store(total - own[id], Relaxed);
            }
            let free = entry.table.free_slots(0, u32::MAX, now);
            entry.share.on_exchange(Exchange { free, slots, sharers, pending });
        }
    }
}

fn entry(setup: &Setup, index: usize) -> Entry {
    let seed = mix(setup.seed, 1000 + index as u64);
    let names: Vec<_> = (0..setup.engines).map(|i| format!("worker-{i}")).collect();
    let specs = names.iter().enumerate().map(|(i, name)| Spec {
        id: i as EndpointId,
        name,
        pool: PoolId::from(setup.split.is_some_and(|s| (i as u32) < s.engines)),
        zone: 0,
        slots: setup.shape_of(i as u32).slots,
        role: Role::Whole,
        leaving: false,
    });
    let table = Table::rebuild(&Table::new(0, Distances::default(), seed), specs);
    let waiting = Waiting::new(setup.order.unwrap_or(Order::Fifo));
    Entry { table, waiting, tickets: IndexMap::new(), share: Share::default() }
}
