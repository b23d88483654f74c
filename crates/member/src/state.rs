//! State of one instance's membership and the helpers that all its parts use.

use {
    crate::{
        Member, Settings,
        contact::Contacts,
        probe::Pending,
        rumour::Rumours,
        step::Action,
        sync::Transfer,
        view::{Entry, View},
    },
    agate_core::Mono,
    agate_wire::{Body, Envelope, Gossip, Name, Peer, Status, Update},
    rand::Rng,
    std::net::SocketAddr,
};

/// Bytes of a datagram that statements may fill; the rest is for other subsystems.
pub(crate) const UPDATE_BYTES: usize = 600;
/// Live members of the own scope that are named to an instance of another.
const SAMPLE: usize = 3;

/// Numbers of events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes of members started.
    pub probes: u64,
    /// Probes of members that nobody acknowledged.
    pub failures: u64,
    /// Probe failures that raised no suspicion since no member acknowledged anything.
    pub withheld: u64,
    /// Accusations of this instance that it refuted.
    pub refutations: u64,
    /// Verdicts that this instance gave.
    pub verdicts: u64,
    /// Views asked for from another member.
    pub transfers: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
}

/// Membership as one instance sees it.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) view: View,
    pub(crate) rumours: Rumours,
    pub(crate) contacts: Contacts,
    /// Members still to be probed in this round, in random order.
    pub(crate) round: Vec<Name>,
    pub(crate) pending: Vec<Pending>,
    pub(crate) number: u64,
    pub(crate) transfer: Option<Transfer>,
    /// Instances of the scope that the platform lists and the view does not hold live.
    pub(crate) seeds: Vec<Peer>,
    pub(crate) joined: bool,
    pub(crate) timers: Timers,
    /// Ticks left until a leaving instance is done.
    pub(crate) leaving: Option<u32>,
    pub(crate) counts: Counts,
}

/// Times at which periodic work is due, and times of past events.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    pub(crate) last: Mono,
    pub(crate) probe: Mono,
    pub(crate) contact: Mono,
    pub(crate) reconnect: Mono,
    pub(crate) expiry: Mono,
    /// When any member last acknowledged a probe.
    pub(crate) acked: Mono,
    /// Since when views have differed from those of probed members.
    pub(crate) differs: Option<Mono>,
}

/// Time, randomness and the actions of one step.
pub(crate) struct Turn<'a> {
    pub(crate) now: Mono,
    pub(crate) rng: &'a mut dyn Rng,
    pub(crate) out: Vec<Action>,
}

impl State {
    /// Returns the state of an instance that starts at `now` and knows nobody.
    ///
    /// `incarnation` must be above that of the instance's earlier lives; the low 16 bits are left
    /// for refutations, so a clock reading shifted by 16 serves.
    pub fn new(settings: Settings, incarnation: u64, now: Mono) -> Self {
        let timers = Timers {
            last: now,
            probe: now,
            contact: now,
            reconnect: now,
            expiry: now,
            acked: now,
            differs: None,
        };
        Self {
            view: View::new(&settings.peer.name),
            settings,
            incarnation,
            sequence: 0,
            rumours: Rumours::default(),
            contacts: Contacts::default(),
            round: Vec::new(),
            pending: Vec::new(),
            number: 0,
            transfer: None,
            seeds: Vec::new(),
            joined: false,
            timers,
            leaving: None,
            counts: Counts::default(),
        }
    }

    /// This instance.
    pub fn peer(&self) -> &Peer {
        &self.settings.peer
    }

    /// Incarnation of this instance.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Numbers of events since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// State of the member `name` of the own scope.
    pub fn status(&self, name: &str) -> Option<Status> {
        self.view.get(name).map(|e| e.status)
    }

    /// All known members without this instance: those of the scope, then the contacts.
    pub fn members(&self) -> Vec<Member> {
        let scope = self.view.iter().map(|(n, e)| member(n, e));
        scope.chain(self.contacts.members()).collect()
    }

    /// Approximate bytes of the state, strings shared between entries counted once.
    pub fn bytes(&self) -> usize {
        let entry = size_of::<Entry>() + size_of::<Name>() + size_of::<u64>() + STRING_BYTES;
        let view = self.view.iter().count() * entry;
        let pending = self.pending.capacity() * size_of::<Pending>();
        let seeds = self.seeds.capacity() * size_of::<Peer>();
        let round = self.round.capacity() * size_of::<Name>();
        let rest = self.rumours.bytes() + self.contacts.bytes() + pending + seeds + round;
        size_of::<Self>() + view + rest
    }

    /// Whether an instance at this place belongs to the own scope.
    pub(crate) fn in_scope(&self, peer: &Peer) -> bool {
        let s = self.settings.scope;
        s.name(&peer.place) == s.name(&self.settings.peer.place)
    }

    /// Sends one message.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, t: &mut Turn<'_>) {
        self.sequence += 1;
        let envelope = Envelope {
            from: self.settings.peer.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            body,
        };
        t.out.push(Action::Send { to, envelope });
    }

    /// What rides on a message to a member of the own scope.
    pub(crate) fn scope_gossip(&mut self, to: &Name) -> Gossip {
        let mut updates = Vec::new();
        if let Some(e) = self.view.get(to).filter(|e| e.status != Status::Alive) {
            updates.push(statement(to, e));
        }
        let live = self.view.live();
        updates.extend(self.rumours.take(UPDATE_BYTES, live, to));
        Gossip { checksum: self.view.checksum(), updates, ..Gossip::default() }
    }

    /// What rides on a message to an instance of another scope.
    pub(crate) fn foreign_gossip(&mut self, t: &mut Turn<'_>) -> Gossip {
        let names = self.view.sample(t.rng, SAMPLE, "");
        let peer = |n: Name| {
            let place = self.view.get(&n).expect("a sampled member is in the view").place.clone();
            Peer { name: n, place }
        };
        Gossip { sample: names.into_iter().map(peer).collect(), ..Gossip::default() }
    }

    /// The statement that this instance is alive.
    pub(crate) fn own_statement(&self, status: Status) -> Update {
        Update {
            name: self.settings.peer.name.clone(),
            incarnation: self.incarnation,
            status,
            accusers: Vec::new(),
            place: Some(self.settings.peer.place.clone()),
        }
    }
}

/// Heap bytes of one name with its counters.
const STRING_BYTES: usize = 40;

/// What is known about a member, as a statement without its place.
pub(crate) fn statement(name: &Name, e: &Entry) -> Update {
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
