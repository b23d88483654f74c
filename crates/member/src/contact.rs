//! A bounded sample of contacts in other scopes.
//!
//! Each instance draws its own sample, so the probes of all spread evenly over the members of a
//! scope whatever the size of the fleet. A contact that fails is replaced by a spare, but the last
//! address known in a scope is never dropped: after regions were parted, probing goes on.

use {
    crate::{Member, State, probe::Aim, state::Turn},
    agate_wire::{Gossip, Name, Peer, Status},
    indexmap::IndexMap,
    rand::RngExt,
    std::sync::Arc,
};

/// Failed probes in a row after which a contact is replaced.
const MAX_FAILS: u8 = 3;
/// Spare addresses kept in each scope.
const SPARES: usize = 4;
/// Most scopes; members of further ones are ignored.
const MAX_SCOPES: usize = 64;

#[derive(Clone, Debug)]
struct Contact {
    peer: Peer,
    incarnation: u64,
    fails: u8,
    answered: bool,
}

#[derive(Clone, Debug, Default)]
struct Sample {
    contacts: Vec<Contact>,
    spares: Vec<Peer>,
}

/// Contacts by the name of their scope.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contacts {
    scopes: IndexMap<Arc<str>, Sample>,
    /// Position of the next contact to probe.
    cursor: usize,
}

impl Contacts {
    /// Contacts that answered their last probes.
    pub(crate) fn members(&self) -> impl Iterator<Item = Member> {
        let all = self.scopes.values().flat_map(|s| &s.contacts);
        all.filter(|c| c.answered && c.fails < MAX_FAILS).map(|c| Member {
            name: c.peer.name.clone(),
            incarnation: c.incarnation,
            status: if c.fails == 0 { Status::Alive } else { Status::Suspect },
            place: c.peer.place.clone(),
            contact: true,
        })
    }

    pub(crate) fn len(&self) -> usize {
        self.scopes.values().map(|s| s.contacts.len()).sum()
    }

    pub(crate) fn bytes(&self) -> usize {
        let one = |s: &Sample| {
            let contacts = s.contacts.capacity() * size_of::<Contact>();
            contacts + s.spares.capacity() * size_of::<Peer>()
        };
        self.scopes.values().map(one).sum()
    }

    /// Offers an address in another scope as a contact or a spare.
    fn offer(&mut self, scope: &Arc<str>, peer: Peer, slots: usize, t: &mut Turn<'_>) {
        if !self.scopes.contains_key(scope) && self.scopes.len() >= MAX_SCOPES {
            return;
        }
        let s = self.scopes.entry(scope.clone()).or_default();
        if let Some(c) = s.contacts.iter_mut().find(|c| c.peer.name == peer.name) {
            c.peer.place = peer.place;
            return;
        }
        if s.contacts.len() < slots {
            s.contacts.push(Contact { peer, incarnation: 0, fails: 0, answered: false });
            return;
        }
        s.spares.retain(|p| p.name != peer.name);
        if s.spares.len() >= SPARES {
            let i = t.rng.random_range(0..s.spares.len());
            s.spares.swap_remove(i);
        }
        s.spares.push(peer);
    }

    fn next(&mut self) -> Option<Peer> {
        let n = self.len();
        if n == 0 {
            return None;
        }
        // A contact that failed its last probe is probed again before the others.
        let mut all = self.scopes.values().flat_map(|s| &s.contacts);
        let failing = all.find(|c| (1..MAX_FAILS).contains(&c.fails)).map(|c| c.peer.clone());
        if failing.is_some() {
            return failing;
        }
        self.cursor = (self.cursor + 1) % n;
        let mut all = self.scopes.values().flat_map(|s| &s.contacts);
        all.nth(self.cursor).map(|c| c.peer.clone())
    }

    fn find(&mut self, name: &str) -> Option<&mut Contact> {
        self.scopes.values_mut().flat_map(|s| &mut s.contacts).find(|c| &*c.peer.name == name)
    }

    /// Replaces a failed contact by a spare and keeps its address as the last resort.
    fn replace(&mut self, scope: &Arc<str>, name: &str) {
        let Some(s) = self.scopes.get_mut(scope) else { return };
        let Some(spare) = s.spares.pop() else { return };
        let Some(c) = s.contacts.iter_mut().find(|c| &*c.peer.name == name) else { return };
        let fresh = Contact { peer: spare, incarnation: 0, fails: 0, answered: false };
        let failed = std::mem::replace(c, fresh);
        s.spares.insert(0, failed.peer);
    }

    fn remove(&mut self, name: &str) {
        for s in self.scopes.values_mut() {
            s.contacts.retain(|c| &*c.peer.name != name);
            s.spares.retain(|p| &*p.name != name);
            if s.contacts.is_empty()
                && let Some(peer) = s.spares.pop()
            {
                s.contacts.push(Contact { peer, incarnation: 0, fails: 0, answered: false });
            }
        }
    }
}

impl State {
    /// Probes the next contact.
    pub(crate) fn probe_contact(&mut self, t: &mut Turn<'_>) {
        if let Some(peer) = self.contacts.next() {
            self.start_probe(peer, Aim::Contact, t);
        }
    }

    /// Offers an instance of another scope as a contact.
    pub(crate) fn offer_contact(&mut self, peer: Peer, t: &mut Turn<'_>) {
        let scope = self.settings.scope.name(&peer.place).clone();
        self.contacts.offer(&scope, peer, self.settings.contact_slots, t);
    }

    /// A contact acknowledged a probe.
    pub(crate) fn contact_acked(&mut self, name: &Name, incarnation: u64) {
        if let Some(c) = self.contacts.find(name) {
            c.fails = 0;
            c.answered = true;
            c.incarnation = incarnation;
        }
    }

    /// A contact did not acknowledge a probe in time.
    pub(crate) fn contact_failed(&mut self, peer: &Peer, _: &mut Turn<'_>) {
        let Some(c) = self.contacts.find(&peer.name) else { return };
        c.fails = c.fails.saturating_add(1);
        if c.fails >= MAX_FAILS {
            let scope = self.settings.scope.name(&peer.place).clone();
            self.contacts.replace(&scope, &peer.name);
        }
    }

    /// Forgets a contact that announced its leaving.
    pub(crate) fn contact_left(&mut self, name: &Name) {
        self.contacts.remove(name);
    }

    /// Tells all contacts that this instance leaves.
    pub(crate) fn tell_contacts(&mut self, t: &mut Turn<'_>) {
        let all = self.contacts.scopes.values().flat_map(|s| &s.contacts);
        let addresses: Vec<_> = all.map(|c| c.peer.place.address).collect();
        let gone = self.own_statement(Status::Left);
        for to in addresses {
            let gossip = Gossip { updates: vec![gone.clone()], ..Gossip::default() };
            let place = self.settings.peer.place.clone();
            self.send(to, agate_wire::Body::Probe { number: 0, place, gossip }, t);
        }
    }
}
