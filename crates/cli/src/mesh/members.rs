//! The live members, the estimated fleet size, and metrics of connections to other instances.

use {
    super::Mesh,
    crate::instance_count::{self, ListedCounts, MemberView},
    agate_config::spread,
    agate_member::{self as member, Member},
    agate_wire::{Name, Status},
    indexmap::{IndexMap, IndexSet},
    prometheus::{IntCounter, IntCounterVec, Opts, Registry},
    std::{sync::Arc, time::Duration},
};

/// Number of members of each other availability zone from which the configuration is requested.
const ZONE_SAMPLE: usize = 4;

/// Cache of the live members of one membership snapshot.
#[derive(Default)]
pub struct LiveMembers {
    source: Arc<Vec<Member>>,
    live: Arc<Vec<Member>>,
}

impl LiveMembers {
    /// Returns the live members of `source`, recomputed only for a different snapshot.
    fn update(&mut self, source: Arc<Vec<Member>>) -> Arc<Vec<Member>> {
        if !Arc::ptr_eq(&self.source, &source) {
            let live = |m: &&Member| matches!(m.status, Status::Alive | Status::Suspect);
            self.live = Arc::new(source.iter().filter(live).cloned().collect());
            self.source = source;
        }
        self.live.clone()
    }
}

/// Metrics of TCP connections between instances.
pub struct ConnectionMetrics {
    opened: IntCounter,
    reused: IntCounter,
    refused: IntCounter,
}

impl ConnectionMetrics {
    fn open(registry: &Registry) -> Self {
        let name = "agatetrack_peer_connections_total";
        let opts = Opts::new(name, "Connections between instances, by event");
        let events = IntCounterVec::new(opts, &["event"]).expect("metric names are valid");
        registry.register(Box::new(events.clone())).expect("metric names are distinct");
        let event = |label| events.with_label_values(&[label]);
        Self { opened: event("opened"), reused: event("reused"), refused: event("refused") }
    }
}

impl Mesh {
    /// Registers the metrics of connections to other instances.
    pub fn register_metrics(&self, registry: &Registry) {
        let _ = self.connection_metrics.set(ConnectionMetrics::open(registry));
    }

    /// Updates the metrics of connections.
    pub fn update_metrics(&self) {
        let Some(metrics) = self.connection_metrics.get() else { return };
        let raise =
            |counter: &IntCounter, to: u64| counter.inc_by(to.saturating_sub(counter.get()));
        if let Some(client) = self.client.get() {
            let (opened, reused, _) = client.usage();
            raise(&metrics.opened, opened);
            raise(&metrics.reused, reused);
        }
        if let Some(capacity) = self.capacity.get() {
            raise(&metrics.refused, capacity.refused());
        }
    }

    /// Other instances that membership considers live; recomputed only when the members change.
    pub fn live(&self) -> Arc<Vec<Member>> {
        let source = self.member.get().map(|m| m.members()).unwrap_or_default();
        self.live.lock().expect("no panic under the members' lock").update(source)
    }

    /// Stores the numbers of instances and availability zones on the platform's list, and notifies
    /// [`Mesh::list_updated`].
    pub fn set_listed(&self, listed: ListedCounts) {
        *self.listed.lock().expect("no panic under the list's lock") = Some(listed);
        self.list_updated.notify_one();
    }

    /// Estimates the number of instances; `stable` is the time since the members last changed.
    pub fn estimate_fleet(&self, stable: Duration) -> usize {
        let live = self.live();
        let zones: IndexSet<&Name> = live.iter().map(|m| &m.place.zone).collect();
        let far = zones.iter().filter(|zone| ***zone != self.zone).count();
        let near = live.iter().filter(|m| m.place.zone == self.zone).count();
        let view = MemberView { zone: near + 1, zones: far + 1, stable };
        instance_count::estimate(view, self.listed())
    }

    /// Passes the members and the estimated fleet size to the configuration's follower, and closes
    /// idle connections to instances of `old` that have left.
    pub fn update_members(&self, own: &Name, old: &[Member], fleet: usize) {
        let mut zone = vec![own.clone()];
        let mut far: IndexMap<Name, Vec<Name>> = IndexMap::new();
        let live = self.live();
        for member in live.iter() {
            if member.place.zone == self.zone {
                zone.push(member.name.clone());
            } else {
                far.entry(member.place.zone.clone()).or_default().push(member.name.clone());
            }
        }
        if let Some(capacity) = self.capacity.get() {
            capacity.set_members(live.len());
        }
        if let (Some(client), Some(member)) = (self.client.get(), self.member.get()) {
            let gone = member::retired_addresses(old, &member.members());
            for address in gone {
                client.retire(address);
            }
        }
        self.add_unreachable_zones(&zone, &mut far);
        zone.sort();
        let far = far.into_values().map(|names| spread::sample(own, names, ZONE_SAMPLE));
        if let Some(follower) = self.follower.get() {
            follower.set_members(zone, far.collect(), fleet);
        }
    }

    /// The counts from the platform's list; `None` before its first read.
    pub fn listed(&self) -> Option<ListedCounts> {
        *self.listed.lock().expect("no panic under the list's lock")
    }
}
