//! Metrics of parts that count by themselves: the store's client, membership, the following of
//! the configuration, claims, and the health of endpoints.
//!
//! Those parts know nothing of Prometheus. Their counts are taken over at each scrape; the work
//! grows with the endpoints and members and is none of the request path's.

pub mod calls;

use {
    crate::mesh::Mesh,
    agate_core::Mono,
    agate_flow::gate::Gate,
    agate_member::{Counts, Handle, Totals},
    agate_route::health,
    agate_store::client::Client,
    agate_wire::{Reject, Status},
    indexmap::IndexMap,
    prometheus::{Gauge, IntCounterVec, IntGaugeVec, Opts, Registry},
    std::sync::{Arc, Mutex, atomic::Ordering},
};

/// States of a member with their labels.
const STATES: [(Status, &str); 4] = [
    (Status::Alive, "alive"),
    (Status::Suspect, "suspect"),
    (Status::Dead, "dead"),
    (Status::Left, "left"),
];

/// States of an endpoint as this instance sees them.
const HEALTH: [&str; 3] = ["usable", "offline", "leaving"];

/// What the figures are taken from.
pub struct Sources {
    /// Shared state of the instance.
    pub gate: Arc<Gate>,
    /// Its connection to the other instances.
    pub mesh: Arc<Mesh>,
}

/// Metrics that are filled at each scrape.
pub struct Figures {
    sources: Sources,
    members: IntGaugeVec,
    events: IntCounterVec,
    messages: IntCounterVec,
    rejected: IntCounterVec,
    endpoints: IntGaugeVec,
    claims: IntCounterVec,
    spread: IntCounterVec,
    age: Gauge,
    /// Held while the metrics are filled.
    filling: Mutex<()>,
}

impl Figures {
    /// Registers the metrics with the instance's others.
    pub fn open(sources: Sources, client: &Client) -> Self {
        let registry = sources.gate.meter.registry.clone();
        calls::register(&registry, client);
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, vec.expect("metric names are valid"))
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntGaugeVec::new(Opts::new(name, help), labels);
            register(&registry, vec.expect("metric names are valid"))
        };
        let age = Gauge::new("agatetrack_config_proof_age_seconds", "Age of the newest proof");
        Self {
            members: gauge("agatetrack_members", "Other instances known", &["status"]),
            events: counter("agatetrack_member_events_total", "Membership", &["event"]),
            messages: counter("agatetrack_member_messages_total", "Datagrams", &["what"]),
            rejected: counter("agatetrack_member_rejects_total", "Dropped", &["reason"]),
            endpoints: gauge("agatetrack_endpoints", "Endpoints", &["pool", "state"]),
            claims: counter("agatetrack_claims_total", "Writers of claims", &["event"]),
            spread: counter("agatetrack_config_events_total", "Following", &["event"]),
            age: register(&registry, age.expect("metric names are valid")),
            sources,
            filling: Mutex::default(),
        }
    }

    /// Takes over what was counted since the last scrape.
    pub fn refresh(&self) {
        let _held = self.filling.lock().expect("no panic while filling metrics");
        self.fill_config();
        self.fill_endpoints();
        for (event, count) in self.sources.gate.once.tally().read() {
            raise(&self.claims, &[event], count);
        }
        if let Some(member) = self.sources.mesh.member() {
            self.fill_members(member);
        }
    }

    fn fill_config(&self) {
        let Some(follower) = self.sources.mesh.follower() else { return };
        let (_, age) = follower.digest();
        // Without any proof the age is without end, which alerts on it must see.
        self.age.set(age.map_or(f64::INFINITY, |a| a.as_secs_f64()));
        let (counters, refused) = follower.counters();
        let events = [
            ("older", counters.older),
            ("failed", counters.failed),
            ("store_failed", counters.store_failed),
            ("polls", counters.polls),
            ("refused", refused),
        ];
        events.iter().for_each(|(event, count)| raise(&self.spread, &[event], *count));
    }

    fn fill_endpoints(&self) {
        let gate = &self.sources.gate;
        let (snapshot, now) = (gate.current.load(), gate.now());
        let mut counts: IndexMap<(&str, &str), i64> = IndexMap::new();
        for (_, pool) in snapshot.pools() {
            for state in HEALTH {
                counts.insert((&pool.name, state), 0);
            }
        }
        for (id, endpoint) in snapshot.endpoints() {
            let Some(pool) = snapshot.pool(endpoint.pool) else { continue };
            *counts.entry((&pool.name, state(gate, id, now))).or_default() += 1;
        }
        self.endpoints.reset();
        for ((pool, state), count) in counts {
            self.endpoints.with_label_values(&[pool, state]).set(count);
        }
    }

    fn fill_members(&self, member: &Handle) {
        let members = member.members();
        for (status, label) in STATES {
            let count = members.iter().filter(|m| m.status == status).count();
            self.members.with_label_values(&[label]).set(count as i64);
        }
        let Counts { probes, failures, withheld, refutations, verdicts, transfers, pauses } =
            member.counts();
        let events = [
            ("probes", probes),
            ("failures", failures),
            ("withheld", withheld),
            ("refutations", refutations),
            ("verdicts", verdicts),
            ("transfers", transfers),
            ("pauses", pauses),
        ];
        events.iter().for_each(|(event, count)| raise(&self.events, &[event], *count));
        self.fill_messages(&member.counters().totals());
    }

    fn fill_messages(&self, totals: &Totals) {
        let messages = [
            ("sent", totals.sent),
            ("sent_bytes", totals.sent_bytes),
            ("received", totals.received),
            ("received_bytes", totals.received_bytes),
            ("unsent", totals.unsent),
        ];
        messages.iter().for_each(|(what, count)| raise(&self.messages, &[what], *count));
        for (reason, count) in Reject::LABELS.iter().zip(totals.rejected) {
            raise(&self.rejected, &[reason], count);
        }
    }
}

fn state(gate: &Gate, id: agate_core::EndpointId, now: Mono) -> &'static str {
    let table = gate.table.load();
    let live = &table.endpoint(id).live;
    match (live.leaving.load(Ordering::Relaxed), health::usable(&live.health, now)) {
        (true, _) => "leaving",
        (false, true) => "usable",
        (false, false) => "offline",
    }
}

/// Raises a counter to a count that never falls.
fn raise(counter: &IntCounterVec, labels: &[&str], count: u64) {
    let counter = counter.with_label_values(labels);
    counter.inc_by(count.saturating_sub(counter.get()));
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}
