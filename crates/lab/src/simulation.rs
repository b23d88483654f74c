//! Simulation of entry instances and engines in virtual time.
//!
//! Each instance has its own endpoint table and queue. Engines publish their load, and instances
//! exchange their counts of outstanding requests; both arrive with a delay.

use {
    crate::{
        baseline::{Order, WaitQueue},
        engine::{Engine, Output},
        results::{Results, Status},
        setup::Setup,
        workload::{RESPONSE_TOKENS, Request},
    },
    agate_admit::{Event as QueueEvent, Share, Ticket, queue::cost, share::Exchange},
    agate_core::{EndpointId, Mono, PoolId},
    agate_route::{
        Distances, LoadReport, Role, RouteQuery, Spec, Table, health::ExchangeResult, ranking::mix,
    },
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        sync::{Arc, atomic::Ordering::Relaxed},
        time::Duration,
    },
};

/// Interval at which engines publish their load and instances exchange counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an instance checks its queue if no other event triggers it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum number of uncached prompt tokens for a measurement of the prefill speed.
const MIN_MEASURED_PROMPT: u32 = 512;

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
    waiting: WaitQueue,
    tickets: IndexMap<Ticket, usize>,
    share: Share,
}

struct Simulation<'a> {
    setup: Setup,
    requests: &'a [Request],
    engines: Vec<Engine>,
    busy: Vec<bool>,
    entries: Vec<Entry>,
    // Endpoint and send time of each request.
    sent: Vec<Option<(EndpointId, Mono)>>,
    events: BinaryHeap<Reverse<(Mono, u64)>>,
    payloads: IndexMap<u64, Event>,
    count: u64,
    results: Results,
}

/// Runs `requests`, which must be sorted by arrival, until `tail` after the last arrival.
pub fn run(setup: Setup, requests: &[Request], tail: Duration) -> Results {
    let mut simulation = Simulation::new(setup, requests);
    let end = requests.last().map_or(Mono::ZERO, |r| r.at) + tail;
    simulation.schedule(Mono::ZERO, Event::Publish);
    simulation.schedule(Mono::ZERO, Event::Tick);
    if !requests.is_empty() {
        simulation.schedule(requests[0].at, Event::Arrive(0));
    }
    while let Some(Reverse((now, key))) = simulation.events.pop() {
        if now > end {
            break;
        }
        let event = simulation.payloads.swap_remove(&key).expect("an event is handled once");
        simulation.handle(event, now);
    }
    simulation.results
}

/// Expected execution time of a request after it is granted.
fn expected_run(request: &Request) -> Duration {
    Duration::from_millis(40) * RESPONSE_TOKENS.2 + Duration::from_micros(125) * request.prompt
}

impl<'a> Simulation<'a> {
    fn new(setup: Setup, requests: &'a [Request]) -> Self {
        let entries = (0..setup.entries).map(|i| new_entry(&setup, i)).collect();
        let engines = (0..setup.engines).map(|i| Engine::new(setup.engine_config(i))).collect();
        Self {
            setup,
            requests,
            engines,
            busy: vec![false; setup.engines as usize],
            entries,
            sent: vec![None; requests.len()],
            events: BinaryHeap::new(),
            payloads: IndexMap::new(),
            count: 0,
            results: Results::new(requests, setup.engine),
        }
    }

    fn schedule(&mut self, time: Mono, event: Event) {
        self.count += 1;
        self.payloads.insert(self.count, event);
        self.events.push(Reverse((time, self.count)));
    }

    fn handle(&mut self, event: Event, now: Mono) {
        match event {
            Event::Arrive(id) => self.on_arrival(id, now),
            Event::Step(engine, outputs) => self.step(engine, outputs, now),
            Event::Publish => self.publish(now),
            Event::Reports(reports) => self.on_reports(&reports, now),
            Event::Counts(counts) => self.on_counts(&counts, now),
            Event::Cached { engine, stored, evicted } => {
                for entry in &self.entries {
                    entry.table.cache_event(engine as EndpointId, &stored, &evicted);
                }
            }
            Event::Transferred(id) => {
                let mut decode = self.requests[id].clone();
                decode.imported = true;
                decode.output -= 1;
                self.send_to(0, decode, now);
            }
            Event::Tick => {
                (0..self.entries.len()).for_each(|i| self.dispatch(i, now));
                self.schedule(now + POLL_INTERVAL, Event::Tick);
            }
        }
    }

    fn on_arrival(&mut self, id: usize, now: Mono) {
        if let Some(next) = self.requests.get(id + 1) {
            self.schedule(next.at, Event::Arrive(id + 1));
        }
        let request = &self.requests[id];
        if self.setup.order.is_none() {
            return self.send(id, now);
        }
        let latest = (request.at + request.deadline).saturating_sub(expected_run(request));
        let cost = cost(request.prompt, RESPONSE_TOKENS.2);
        let entry = &mut self.entries[request.entry];
        match entry.waiting.push(request.org, cost, latest, now) {
            Ok(ticket) => {
                entry.tickets.insert(ticket, id);
                self.dispatch(request.entry, now);
            }
            Err(_) => self.results.statuses[id] = Status::Refused,
        }
    }

    fn dispatch(&mut self, i: usize, now: Mono) {
        let entry = &mut self.entries[i];
        if entry.waiting.is_empty() {
            return;
        }
        let limit = if self.setup.shared { entry.share.allowed().min(16) } else { 16 };
        let room = entry.table.count_free(0, limit, now);
        for event in entry.waiting.pop(now, room) {
            let (QueueEvent::Granted(ticket) | QueueEvent::Expired(ticket)) = event;
            let id = self.entries[i]
                .tickets
                .swap_remove(&ticket)
                .expect("the ticket belongs to a waiting request");
            match event {
                QueueEvent::Granted(_) => {
                    self.entries[i].share.take(1);
                    self.send(id, now);
                }
                QueueEvent::Expired(_) => self.results.statuses[id] = Status::Expired,
            }
        }
    }

    /// Sends a granted request; a dossier goes to a dedicated prefill engine if one has a free
    /// slot.
    fn send(&mut self, id: usize, now: Mono) {
        let mut request = self.requests[id].clone();
        self.results.waits[id] = Some(now - request.at);
        let table = &self.entries[request.entry].table;
        let prefill_first = !request.urgent && self.setup.split.is_some();
        if prefill_first && table.free_slots(1, 1, now) > 0 {
            request.output = 1;
            self.send_to(1, request, now);
        } else {
            self.send_to(0, request, now);
        }
    }

    fn send_to(&mut self, pool: PoolId, request: Request, now: Mono) {
        let table = &self.entries[request.entry].table;
        let (prefix, tokens) = (&request.prefix[..], request.prompt);
        let ask = RouteQuery { pool, zone: 0, prefix, tokens, avoid: &[] };
        let random = mix(self.setup.seed, request.id as u64);
        let to = self.setup.choice.pick(table, &ask, random, now).expect("an endpoint is usable");
        table.start(to);
        self.sent[request.id] = Some((to, now));
        let engine = to as usize;
        self.engines[engine].push(request);
        if !self.busy[engine] {
            self.busy[engine] = true;
            self.schedule(now, Event::Step(engine, Vec::new()));
        }
    }

    fn step(&mut self, engine: usize, outputs: Vec<Output>, now: Mono) {
        for output in outputs {
            match output {
                Output::First { id, cached } => self.on_first_token(id, cached, now),
                Output::Done { id } => self.on_done(id, now),
            }
        }
        match self.engines[engine].iterate() {
            Some((time, decoding, outputs)) => {
                self.results.on_iteration(time, decoding);
                self.schedule(now + time, Event::Step(engine, outputs));
            }
            None => self.busy[engine] = false,
        }
    }

    fn on_first_token(&mut self, id: usize, cached: u32, now: Mono) {
        let request = &self.requests[id];
        self.results.on_first_token(id, cached, now - request.at);
        let (to, sent) = self.sent[id].expect("a request with output was sent");
        let uncached = request.prompt - cached;
        let table = &self.entries[request.entry].table;
        table.note_cached(to, &request.prefix, cached);
        if uncached >= MIN_MEASURED_PROMPT {
            table.endpoint(to).stats.note_prefill(uncached, now - sent);
        }
        self.publish_cached(to as usize, request, now);
    }

    /// Publishes the blocks that a request added to a cache and the evicted ones, unless the event
    /// is lost.
    fn publish_cached(&mut self, engine: usize, request: &Request, now: Mono) {
        let evicted = std::mem::take(&mut self.engines[engine].evicted);
        let Some(events) = self.setup.cache_events else { return };
        if mix(self.setup.seed, request.id as u64) % 100 >= events.lost {
            let stored = request.prefix.clone();
            self.schedule(now + events.lag, Event::Cached { engine, stored, evicted });
        }
    }

    fn on_done(&mut self, id: usize, now: Mono) {
        let request = &self.requests[id];
        let (to, sent) = self.sent[id].expect("a request with output was sent");
        if let Some(split) = self.setup.split.filter(|s| to < s.engines) {
            self.entries[request.entry].table.finish(to, ExchangeResult::Success, now - sent, now);
            return self.schedule(now + split.transfer * request.prompt, Event::Transferred(id));
        }
        self.results.on_done(id, now - request.at);
        let entry = &mut self.entries[request.entry];
        entry.table.finish(to, ExchangeResult::Success, now - sent, now);
        entry.share.on_finish();
        let estimate = cost(request.prompt, RESPONSE_TOKENS.2);
        entry.waiting.settle(request.org, estimate, cost(request.prompt, request.output));
        self.dispatch(request.entry, now);
    }

    fn publish(&mut self, now: Mono) {
        self.schedule(now + PUBLISH_INTERVAL, Event::Publish);
        let report = |e: &Engine| LoadReport {
            running: e.running(),
            waiting: e.waiting(),
            slots: e.config.slots,
            at: now,
        };
        let reports: Vec<_> = self.engines.iter().map(report).collect();
        self.results.sample_loads(&reports);
        self.schedule(now + self.setup.report_lag, Event::Reports(reports));
        if let Some(lag) = self.setup.gossip_lag {
            let ids = 0..self.setup.engines;
            let count = |t: &Table, id| t.endpoint(id).stats.outstanding.load(Relaxed);
            let counts_of = |e: &Entry| ids.clone().map(|id| count(&e.table, id)).collect();
            let counts = self.entries.iter().map(counts_of).collect();
            self.schedule(now + lag, Event::Counts(counts));
        }
    }

    fn on_reports(&mut self, reports: &[LoadReport], now: Mono) {
        for i in 0..self.entries.len() {
            for (id, report) in reports.iter().enumerate() {
                self.entries[i].table.endpoint(id as EndpointId).stats.set_load(*report);
            }
            self.dispatch(i, now);
        }
    }

    fn on_counts(&mut self, counts: &[Vec<u32>], now: Mono) {
        let engines = self.setup.engines as usize;
        let totals: Vec<u32> = (0..engines).map(|e| counts.iter().map(|c| c[e]).sum()).collect();
        let sharers = self.entries.len() as u32;
        let slots = self.engines.iter().map(|e| e.config.slots).sum();
        let lag = self.setup.gossip_lag.unwrap_or_default();
        let pending = 1 + (lag.as_millis() / PUBLISH_INTERVAL.as_millis()) as u32;
        for (entry, own) in self.entries.iter_mut().zip(counts) {
            for (id, total) in totals.iter().enumerate() {
                let live = &entry.table.endpoint(id as EndpointId).stats;
                live.others_open.store(total - own[id], Relaxed);
            }
            let free = entry.table.free_slots(0, u32::MAX, now);
            entry.share.on_exchange(Exchange { free, slots, sharers, pending });
        }
    }
}

fn new_entry(setup: &Setup, index: usize) -> Entry {
    let seed = mix(setup.seed, 1000 + index as u64);
    let names: Vec<_> = (0..setup.engines).map(|i| format!("worker-{i}")).collect();
    let specs = names.iter().enumerate().map(|(i, name)| Spec {
        id: i as EndpointId,
        name,
        pool: PoolId::from(setup.split.is_some_and(|s| (i as u32) < s.engines)),
        zone: 0,
        slots: setup.engine_config(i as u32).slots,
        role: Role::Whole,
        leaving: false,
    });
    let table = Table::rebuild(&Table::new(0, Distances::default(), seed), specs);
    let waiting = WaitQueue::new(setup.order.unwrap_or(Order::Fifo));
    Entry { table, waiting, tickets: IndexMap::new(), share: Share::default() }
}
