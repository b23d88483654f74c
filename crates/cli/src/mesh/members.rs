//! The other instances: who is live, how many there are, and the connections to them.

use {
    super::Mesh,
    crate::census::{self, Listed, View},
    agate_config::spread,
    agate_member::{self as member, Member},
    agate_wire::{Name, Status},
    indexmap::{IndexMap, IndexSet},
    prometheus::{IntCounter, IntCounterVec, Opts, Registry},
    std::{sync::Arc, time::Duration},
};

/// Members of each other availability zone that the configuration is asked of.
const SAMPLE: usize = 4;

/// Members of one snapshot that are live.
#[derive(Default)]
pub struct Live {
    source: Arc<Vec<Member>>,
    live: Arc<Vec<Member>>,
}

impl Live {
    /// Live members of `source`; made anew only for another snapshot.
    fn of(&mut self, source: Arc<Vec<Member>>) -> Arc<Vec<Member>> {
        if !Arc::ptr_eq(&self.source, &source) {
            let live = |m: &&Member| matches!(m.status, Status::Alive | Status::Suspect);
            self.live = Arc::new(source.iter().filter(live).cloned().collect());
            self.source = source;
        }
        self.live.clone()
    }
}

/// Metrics of connections between instances.
pub struct LinkMeter {
    opened: IntCounter,
    reused: IntCounter,
    refused: IntCounter,
}

impl LinkMeter {
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
    pub fn meter(&self, registry: &Registry) {
        let _ = self.links.set(LinkMeter::open(registry));
    }

    /// Renews the metrics of connections.
    pub fn count_links(&self) {
        let Some(meter) = self.links.get() else { return };
        let raise =
            |counter: &IntCounter, to: u64| counter.inc_by(to.saturating_sub(counter.get()));
        if let Some(client) = self.client.get() {
            let (opened, reused, _) = client.usage();
            raise(&meter.opened, opened);
            raise(&meter.reused, reused);
        }
        if let Some(capacity) = self.capacity.get() {
            raise(&meter.refused, capacity.refused());
        }
    }

    /// Other instances that are live as far as is known; made anew only when the members changed.
    pub fn live(&self) -> Arc<Vec<Member>> {
        let source = self.member.get().map(|m| m.members()).unwrap_or_default();
        self.live.lock().expect("no panic under the members' lock").of(source)
    }

    /// Notes how many instances and availability zones the platform's list names.
    pub fn note_list(&self, listed: Listed) {
        *self.listed.lock().expect("no panic under the list's lock") = Some(listed);
        self.listing.notify_one();
    }

    /// Estimates the size of the fleet; `since` is the time without a change of the members.
    pub fn fleet(&self, since: Duration) -> usize {
        let live = self.live();
        let zones: IndexSet<&Name> = live.iter().map(|m| &m.place.zone).collect();
        let far = zones.iter().filter(|zone| ***zone != self.zone).count();
        let near = live.iter().filter(|m| m.place.zone == self.zone).count();
        let view = View { zone: near + 1, zones: far + 1, since };
        census::estimate(view, self.listed())
    }

    /// Hands the members and the size of the fleet to the follower, and drops connections to
    /// instances of `old` that ended.
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
            let gone = member::retired(old, &member.members());
            for address in gone {
                client.retire(address);
            }
        }
        self.add_unheard(&zone, &mut far);
        zone.sort();
        let far = far.into_values().map(|names| spread::sample(own, names, SAMPLE));
        if let Some(follower) = self.follower.get() {
            follower.set_members(zone, far.collect(), fleet);
        }
    }

    /// What the platform's list named last.
    pub fn listed(&self) -> Option<Listed> {
        *self.listed.lock().expect("no panic under the list's lock")
    }
}
