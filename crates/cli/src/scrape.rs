//! Metrics of components that keep their own counters: the store client, membership, the
//! configuration's follower, claims, and the health of endpoints.
//!
//! Those components do not depend on Prometheus. Their counters are copied at each scrape, at a
//! cost proportional to the numbers of endpoints and members and outside the request path.

pub mod store_calls;

use {
    crate::mesh::Mesh,
    agate_core::Mono,
    agate_flow::proxy_state::ProxyState,
    agate_member::{Counts, Handle, Totals},
    agate_route::health,
    agate_store::client::Client,
    agate_wire::{Reject, Status},
    indexmap::IndexMap,
    prometheus::{Gauge, IntCounterVec, IntGaugeVec, Opts, Registry},
    std::sync::{Arc, Mutex, atomic::Ordering},
};

/// Member states and their metric labels.
const MEMBER_STATES: [(Status, &str); 4] = [
    (Status::Alive, "alive"),
    (Status::Suspect, "suspect"),
    (Status::Dead, "dead"),
    (Status::Left, "left"),
];

/// Metric labels of endpoint states.
const ENDPOINT_STATES: [&str; 3] = ["usable", "offline", "leaving"];

/// Sources of the metrics.
pub struct Sources {
    /// Shared state of the instance.
    pub proxy_state: Arc<ProxyState>,
    /// Communication with the other instances.
    pub mesh: Arc<Mesh>,
}

/// Metrics that are updated at each scrape.
pub struct ScrapeMetrics {
    sources: Sources,
    members: IntGaugeVec,
    events: IntCounterVec,
    messages: IntCounterVec,
    rejected: IntCounterVec,
    endpoints: IntGaugeVec,
    claims: IntCounterVec,
    config_events: IntCounterVec,
    proof_age: Gauge,
    /// Serialises concurrent scrapes.
    refresh_lock: Mutex<()>,
}

impl ScrapeMetrics {
    /// Registers the metrics in the instance's registry.
    pub fn open(sources: Sources, client: &Client) -> Self {
        let registry = sources.proxy_state.metrics.registry.clone();
        store_calls::register(&registry, client);
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
            config_events: counter("agatetrack_config_events_total", "Following", &["event"]),
            proof_age: register(&registry, age.expect("metric names are valid")),
            sources,
            refresh_lock: Mutex::default(),
        }
    }

    /// Updates the metrics from their sources.
    pub fn refresh(&self) {
        let _held = self.refresh_lock.lock().expect("no panic while filling metrics");
        self.fill_config();
        self.fill_endpoints();
        for (event, count) in self.sources.proxy_state.once.counters().read() {
            raise_to(&self.claims, &[event], count);
        }
        if let Some(member) = self.sources.mesh.member() {
            self.fill_members(member);
        }
    }

    fn fill_config(&self) {
        let Some(follower) = self.sources.mesh.follower() else { return };
        let (_, age) = follower.digest();
        // Without any proof the age is infinite, so that alerts on it fire.
        self.proof_age.set(age.map_or(f64::INFINITY, |a| a.as_secs_f64()));
        let (counters, refused) = follower.counters();
        let events = [
            ("older", counters.older),
            ("failed", counters.failed),
            ("store_failed", counters.store_failed),
            ("polls", counters.polls),
            ("refused", refused),
        ];
        events.iter().for_each(|(event, count)| raise_to(&self.config_events, &[event], *count));
    }

    fn fill_endpoints(&self) {
        let proxy_state = &self.sources.proxy_state;
        let (snapshot, now) = (proxy_state.current.load(), proxy_state.now());
        let mut counts: IndexMap<(&str, &str), i64> = IndexMap::new();
        for (_, pool) in snapshot.pools() {
            for state in ENDPOINT_STATES {
                counts.insert((&pool.name, state), 0);
            }
        }
        for (id, endpoint) in snapshot.endpoints() {
            let Some(pool) = snapshot.pool(endpoint.pool) else { continue };
            *counts.entry((&pool.name, endpoint_state(proxy_state, id, now))).or_default() += 1;
        }
        self.endpoints.reset();
        for ((pool, state), count) in counts {
            self.endpoints.with_label_values(&[pool, state]).set(count);
        }
    }

    fn fill_members(&self, member: &Handle) {
        let members = member.members();
        for (status, label) in MEMBER_STATES {
            let count = members.iter().filter(|m| m.status == status).count();
            self.members.with_label_values(&[label]).set(count as i64);
        }
        let Counts { probes, failures, withheld, refutations, declared_failed, transfers, pauses } =
            member.counts();
        let events = [
            ("probes", probes),
            ("failures", failures),
            ("withheld", withheld),
            ("refutations", refutations),
            ("verdicts", declared_failed),
            ("transfers", transfers),
            ("pauses", pauses),
        ];
        events.iter().for_each(|(event, count)| raise_to(&self.events, &[event], *count));
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
        messages.iter().for_each(|(what, count)| raise_to(&self.messages, &[what], *count));
        for (reason, count) in Reject::LABELS.iter().zip(totals.rejected) {
            raise_to(&self.rejected, &[reason], count);
        }
    }
}

fn endpoint_state(proxy_state: &ProxyState, id: agate_core::EndpointId, now: Mono) -> &'static str {
    let table = proxy_state.table.load();
    let live = &table.endpoint(id).stats;
    match (live.leaving.load(Ordering::Relaxed), health::usable(&live.health, now)) {
        (true, _) => "leaving",
        (false, true) => "usable",
        (false, false) => "offline",
    }
}

/// Raises a counter to `count`, which must never decrease.
fn raise_to(counter: &IntCounterVec, labels: &[&str], count: u64) {
    let counter = counter.with_label_values(labels);
    counter.inc_by(count.saturating_sub(counter.get()));
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}
