//! A bounded sample of contacts in other scopes.
//!
//! Each instance draws its own sample, so the probes of all instances spread evenly over the
//! members of a scope at any fleet size. A failed contact is replaced by a spare. The last known
//! address in a scope is never dropped, so that probing goes on during a partition between regions.

use {
    crate::{Member, State, probe::ProbeKind, state::StepContext},
    agate_wire::{Gossip, Name, Peer, Status},
    indexmap::IndexMap,
    rand::RngExt,
    std::sync::Arc,
};

/// Consecutive failed probes after which a contact is replaced.
const MAX_FAILS: u8 = 3;
/// Maximum number of spare addresses in each scope.
const SPARES: usize = 4;
/// Maximum number of other scopes; instances of further ones are ignored.
const MAX_SCOPES: usize = 64;

#[derive(Clone, Debug)]
struct Contact {
    peer: Peer,
    incarnation: u64,
    fails: u8,
    responded: bool,
}

#[derive(Clone, Debug, Default)]
struct ScopeContacts {
    contacts: Vec<Contact>,
    spares: Vec<Peer>,
}

/// Contacts by the name of their scope.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contacts {
    scopes: IndexMap<Arc<str>, ScopeContacts>,
    /// Position of the next contact to probe.
    cursor: usize,
}

impl Contacts {
    /// Returns the contacts that have responded and have not failed since.
    pub(crate) fn members(&self) -> impl Iterator<Item = Member> {
        let all = self.scopes.values().flat_map(|s| &s.contacts);
        all.filter(|c| c.responded && c.fails < MAX_FAILS).map(|c| Member {
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
        let one = |s: &ScopeContacts| {
            let contacts = s.contacts.capacity() * size_of::<Contact>();
            contacts + s.spares.capacity() * size_of::<Peer>()
        };
        self.scopes.values().map(one).sum()
    }

    /// Adds an instance of another scope as a contact or, if all slots are taken, as a spare. A
    /// full list of spares drops a random one.
    fn offer(&mut self, scope: &Arc<str>, peer: Peer, slots: usize, ctx: &mut StepContext<'_>) {
        if !self.scopes.contains_key(scope) && self.scopes.len() >= MAX_SCOPES {
            return;
        }
        let s = self.scopes.entry(scope.clone()).or_default();
        if let Some(c) = s.contacts.iter_mut().find(|c| c.peer.name == peer.name) {
            c.peer.place = peer.place;
            return;
        }
        if s.contacts.len() < slots {
            s.contacts.push(Contact { peer, incarnation: 0, fails: 0, responded: false });
            return;
        }
        s.spares.retain(|p| p.name != peer.name);
        if s.spares.len() >= SPARES {
            let i = ctx.rng.random_range(0..s.spares.len());
            s.spares.swap_remove(i);
        }
        s.spares.push(peer);
    }

    fn next(&mut self) -> Option<Peer> {
        let n = self.len();
        if n == 0 {
            return None;
        }
        // A contact whose last probe failed is probed again before the others.
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

    /// Replaces a failed contact by a spare and keeps the failed one as the last spare to be used.
    fn replace(&mut self, scope: &Arc<str>, name: &str) {
        let Some(s) = self.scopes.get_mut(scope) else { return };
        let Some(spare) = s.spares.pop() else { return };
        let Some(c) = s.contacts.iter_mut().find(|c| &*c.peer.name == name) else { return };
        let replacement = Contact { peer: spare, incarnation: 0, fails: 0, responded: false };
        let failed = std::mem::replace(c, replacement);
        s.spares.insert(0, failed.peer);
    }

    fn remove(&mut self, name: &str) {
        for s in self.scopes.values_mut() {
            s.contacts.retain(|c| &*c.peer.name != name);
            s.spares.retain(|p| &*p.name != name);
            if s.contacts.is_empty()
                && let Some(peer) = s.spares.pop()
            {
                s.contacts.push(Contact { peer, incarnation: 0, fails: 0, responded: false });
            }
        }
    }
}

impl State {
    /// Probes the next contact.
    pub(crate) fn probe_contact(&mut self, ctx: &mut StepContext<'_>) {
        if let Some(peer) = self.contacts.next() {
            self.start_probe(peer, ProbeKind::Contact, ctx);
        }
    }

    /// Adds an instance of another scope as a contact or a spare.
    pub(crate) fn offer_contact(&mut self, peer: Peer, ctx: &mut StepContext<'_>) {
        let scope = self.settings.scope.name(&peer.place).clone();
        self.contacts.offer(&scope, peer, self.settings.contact_slots, ctx);
    }

    /// Records that a contact acknowledged a probe.
    pub(crate) fn contact_acked(&mut self, name: &Name, incarnation: u64) {
        if let Some(c) = self.contacts.find(name) {
            c.fails = 0;
            c.responded = true;
            c.incarnation = incarnation;
        }
    }

    /// Records that a contact did not acknowledge a probe in time, and replaces it after
    /// [`MAX_FAILS`] failures in a row.
    pub(crate) fn contact_failed(&mut self, peer: &Peer, _: &mut StepContext<'_>) {
        let Some(c) = self.contacts.find(&peer.name) else { return };
        c.fails = c.fails.saturating_add(1);
        if c.fails >= MAX_FAILS {
            let scope = self.settings.scope.name(&peer.place).clone();
            self.contacts.replace(&scope, &peer.name);
        }
    }

    /// Removes a contact that announced its leaving.
    pub(crate) fn contact_left(&mut self, name: &Name) {
        self.contacts.remove(name);
    }

    /// Announces to all contacts that this instance leaves.
    pub(crate) fn notify_contacts(&mut self, ctx: &mut StepContext<'_>) {
        let all = self.contacts.scopes.values().flat_map(|s| &s.contacts);
        let addresses: Vec<_> = all.map(|c| c.peer.place.address).collect();
        let left_update = self.own_update(Status::Left);
        for to in addresses {
            let gossip = Gossip { updates: vec![left_update.clone()], ..Gossip::default() };
            let place = self.settings.peer.place.clone();
            self.send(to, agate_wire::Body::Probe { number: 0, place, gossip }, ctx);
        }
    }
}
