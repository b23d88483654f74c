//! State of one instance's membership, and helpers shared by the modules of the protocol.

use {
    crate::{
        Member, Settings,
        contact::Contacts,
        gossip::UpdateQueue,
        probe::PendingProbe,
        step::Action,
        sync::Transfer,
        view::{Entry, View},
    },
    agate_core::Mono,
    agate_wire::{Body, Envelope, Gossip, Name, Peer, Status, Update},
    rand::Rng,
    std::net::SocketAddr,
};

/// Maximum bytes of a datagram for membership updates. The rest is for the digests of other
/// subsystems.
pub(crate) const UPDATE_BYTES: usize = 600;
/// Number of live members of the own scope sent to an instance of another scope.
const SAMPLE_SIZE: usize = 3;

/// Counts of protocol events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes started in the regular rounds, of members of the scope.
    pub probes: u64,
    /// Probes of members that were not acknowledged in time.
    pub failures: u64,
    /// Failed probes that raised no suspicion, since this instance was probably cut off itself.
    pub withheld: u64,
    /// Suspicions and failure declarations of this instance that it refuted.
    pub refutations: u64,
    /// Members that this instance declared failed.
    pub declared_failed: u64,
    /// Transfers of a whole view that this instance started.
    pub transfers: u64,
    /// Pauses of this process that it detected.
    pub pauses: u64,
}

/// Membership state of one instance.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) view: View,
    pub(crate) update_queue: UpdateQueue,
    pub(crate) contacts: Contacts,
    /// Members still to be probed in this round, in random order.
    pub(crate) round: Vec<Name>,
    pub(crate) pending: Vec<PendingProbe>,
    pub(crate) last_number: u64,
    pub(crate) transfer: Option<Transfer>,
    /// Instances of the scope that the platform lists and that are not live in the view.
    pub(crate) seeds: Vec<Peer>,
    pub(crate) joined: bool,
    pub(crate) timers: Timers,
    /// Ticks left until a leaving instance is done; `None` if it is not leaving.
    pub(crate) leaving: Option<u32>,
    pub(crate) counts: Counts,
}

/// Times at which periodic work is due, and times of past events.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    pub(crate) last_step: Mono,
    pub(crate) probe: Mono,
    pub(crate) contact: Mono,
    pub(crate) reconnect: Mono,
    pub(crate) expiry: Mono,
    /// When a probe of this instance was last acknowledged.
    pub(crate) last_ack: Mono,
    /// When the view began to differ from those of probed members.
    pub(crate) differs_since: Option<Mono>,
}

/// Time and random generator of one step, and the actions that it produces.
pub(crate) struct StepContext<'a> {
    pub(crate) now: Mono,
    pub(crate) rng: &'a mut dyn Rng,
    pub(crate) out: Vec<Action>,
}

impl State {
    /// Returns the state of an instance that starts at `now` and knows no other instance.
    ///
    /// `incarnation` must be above that of the instance's earlier runs. The low 16 bits are
    /// reserved for refutations; a clock reading in milliseconds shifted left by 16 is suitable.
    pub fn new(settings: Settings, incarnation: u64, now: Mono) -> Self {
        let timers = Timers {
            last_step: now,
            probe: now,
            contact: now,
            reconnect: now,
            expiry: now,
            last_ack: now,
            differs_since: None,
        };
        Self {
            view: View::new(&settings.peer.name),
            settings,
            incarnation,
            sequence: 0,
            update_queue: UpdateQueue::default(),
            contacts: Contacts::default(),
            round: Vec::new(),
            pending: Vec::new(),
            last_number: 0,
            transfer: None,
            seeds: Vec::new(),
            joined: false,
            timers,
            leaving: None,
            counts: Counts::default(),
        }
    }

    /// Returns the name and place of this instance.
    pub fn peer(&self) -> &Peer {
        &self.settings.peer
    }

    /// Returns the current incarnation of this instance.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the counts of events since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the status of the member `name` of the own scope, if it is known.
    pub fn status(&self, name: &str) -> Option<Status> {
        self.view.get(name).map(|e| e.status)
    }

    /// Returns all known instances except this one: the members of the scope, then the responding
    /// contacts.
    pub fn members(&self) -> Vec<Member> {
        let scope = self.view.iter().map(|(n, e)| member(n, e));
        scope.chain(self.contacts.members()).collect()
    }

    /// Returns the approximate size of the state in bytes. Strings shared between entries count
    /// once.
    pub fn bytes(&self) -> usize {
        let entry = size_of::<Entry>() + size_of::<Name>() + size_of::<u64>() + STRING_BYTES;
        let view = self.view.iter().count() * entry;
        let pending = self.pending.capacity() * size_of::<PendingProbe>();
        let seeds = self.seeds.capacity() * size_of::<Peer>();
        let round = self.round.capacity() * size_of::<Name>();
        let rest = self.update_queue.bytes() + self.contacts.bytes() + pending + seeds + round;
        size_of::<Self>() + view + rest
    }

    /// Returns whether `peer` belongs to the own scope.
    pub(crate) fn in_scope(&self, peer: &Peer) -> bool {
        let s = self.settings.scope;
        s.name(&peer.place) == s.name(&self.settings.peer.place)
    }

    /// Adds an action that sends one message.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, ctx: &mut StepContext<'_>) {
        self.sequence += 1;
        let envelope = Envelope {
            from: self.settings.peer.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            body,
        };
        ctx.out.push(Action::Send { to, envelope });
    }

    /// Returns the gossip for a message to a member of the own scope. A member that is not held
    /// alive is told so first, so that it can refute.
    pub(crate) fn scope_gossip(&mut self, to: &Name) -> Gossip {
        let mut updates = Vec::new();
        if let Some(e) = self.view.get(to).filter(|e| e.status != Status::Alive) {
            updates.push(update_of(to, e));
        }
        let live = self.view.live();
        updates.extend(self.update_queue.take(UPDATE_BYTES, live, to));
        Gossip { checksum: self.view.checksum(), updates, ..Gossip::default() }
    }

    /// Returns the gossip for a message to an instance of another scope.
    pub(crate) fn foreign_gossip(&mut self, ctx: &mut StepContext<'_>) -> Gossip {
        let names = self.view.sample(ctx.rng, SAMPLE_SIZE, "");
        let peer = |n: Name| {
            let place = self.view.get(&n).expect("a sampled member is in the view").place.clone();
            Peer { name: n, place }
        };
        Gossip { sample: names.into_iter().map(peer).collect(), ..Gossip::default() }
    }

    /// Returns an update with the given status of this instance.
    pub(crate) fn own_update(&self, status: Status) -> Update {
        Update {
            name: self.settings.peer.name.clone(),
            incarnation: self.incarnation,
            status,
            accusers: Vec::new(),
            place: Some(self.settings.peer.place.clone()),
        }
    }
}

/// Heap bytes of one name, with its reference counts.
const STRING_BYTES: usize = 40;

/// Returns the state of a member as an update without its place.
pub(crate) fn update_of(name: &Name, e: &Entry) -> Update {
    let accusers = e.suspicion.as_ref().map_or_else(Vec::new, |s| s.accusers.clone());
    let (incarnation, status) = (e.incarnation, e.status);
    Update { name: name.clone(), incarnation, status, accusers, place: None }
}

fn member(name: &Name, e: &Entry) -> Member {
    Member {
        name: name.clone(),
        incarnation: e.incarnation,
        status: e.status,
        place: e.place.clone(),
        contact: false,
    }
}
