//! Handling of received messages and of the platform's list.

use {
    crate::{
        Action, Listing, State,
        probe::{Aim, Pending},
        state::Turn,
        suspect::Via,
    },
    agate_core::Mono,
    agate_wire::{Body, Envelope, Gossip, Name, Peer, Place, Status, Update},
    rand::seq::SliceRandom,
    std::net::SocketAddr,
};

/// Most instances of the own scope kept from the platform's list.
const MAX_SEEDS: usize = 64;
/// Most instances of other scopes taken from one reading of the platform's list.
const MAX_OFFERS: usize = 256;

/// Sender of a message.
struct Sender {
    name: Name,
    incarnation: u64,
    source: SocketAddr,
}

impl State {
    /// Takes an authenticated message.
    pub(crate) fn receive(&mut self, source: SocketAddr, e: Envelope, t: &mut Turn<'_>) {
        let Envelope { from, incarnation, body, .. } = e;
        if from == self.settings.peer.name {
            return;
        }
        if !matches!(body, Body::Probe { .. }) {
            self.note_incarnation(&from, incarnation, t);
        }
        match body {
            Body::Probe { number, place, gossip } => {
                let sender = Sender { name: from, incarnation, source };
                self.take_probe(&sender, place, number, gossip, t);
            }
            Body::Ack { number, target, gossip } => {
                let sender = Sender { name: from, incarnation, source };
                self.take_ack(&sender, number, target, gossip, t);
            }
            Body::ProbeRequest { number, target } => {
                if self.view.is_live(&from) && self.leaving.is_none() {
                    self.start_probe(target, Aim::Relay { origin: source, number }, t);
                }
            }
            Body::ViewRequest { after } => self.send_page(&from, source, after, t),
            Body::View { members, more } => self.take_page(&from, members, more, t),
            Body::Outdated { incarnation } => {
                if incarnation >= self.incarnation {
                    self.raise_incarnation(incarnation, t.now);
                }
            }
            Body::Query(_) | Body::Answer(_) => {}
        }
    }

    /// Notes a greater incarnation of a known member.
    fn note_incarnation(&mut self, from: &Name, incarnation: u64, t: &mut Turn<'_>) {
        if self.view.get(from).is_some_and(|e| e.incarnation < incarnation) {
            self.learn(alive(from, incarnation, None), from, Via::Direct, t);
        }
    }

    fn take_probe(
        &mut self,
        sender: &Sender,
        place: Place,
        number: u64,
        gossip: Gossip,
        t: &mut Turn<'_>,
    ) {
        let name = &sender.name;
        let peer = Peer { name: name.clone(), place };
        let local = self.in_scope(&peer);
        if local {
            let place = Some(peer.place.clone());
            self.learn(alive(name, sender.incarnation, place), name, Via::Direct, t);
        } else {
            self.offer_contact(peer.clone(), t);
        }
        self.take_gossip(name, local, gossip, None, t);
        if self.leaving.is_none() {
            self.acknowledge(&peer, sender.source, number, t);
        }
    }

    fn take_ack(
        &mut self,
        sender: &Sender,
        number: u64,
        target: Option<Name>,
        gossip: Gossip,
        t: &mut Turn<'_>,
    ) {
        let Some(i) = self.pending.iter().position(|p| p.number == number) else { return };
        let expected = target.as_ref().unwrap_or(&sender.name) == &self.pending[i].peer.name;
        if !expected {
            self.note_successor(i, sender.source, target.is_some(), t);
            return;
        }
        let p = self.pending.swap_remove(i);
        self.timers.acked = t.now;
        let local = self.in_scope(&p.peer);
        if target.is_none() {
            self.note_answer(&p, sender.incarnation, local, t);
        }
        self.take_gossip(&sender.name, local, gossip, Some(t.now - p.since), t);
        self.relay_ack(&p, t);
    }

    /// Another instance answers at the address of the probed member: that member is gone.
    fn note_successor(&mut self, i: usize, source: SocketAddr, relayed: bool, t: &mut Turn<'_>) {
        let p = &self.pending[i];
        if relayed || p.peer.place.address != source || p.aim != Aim::Member {
            return;
        }
        let name = self.pending.swap_remove(i).peer.name;
        self.probe_failed(&name, t);
    }

    fn note_answer(&mut self, p: &Pending, incarnation: u64, local: bool, t: &mut Turn<'_>) {
        let Peer { name, place } = &p.peer;
        if !local {
            self.contact_acked(name, incarnation);
            return;
        }
        self.learn(alive(name, incarnation, Some(place.clone())), name, Via::Direct, t);
        if let Some(e) = self.view.get_mut(name) {
            e.acked = Some(t.now);
        }
    }

    fn take_gossip(
        &mut self,
        from: &Name,
        local: bool,
        gossip: Gossip,
        elapsed: Option<Mono>,
        t: &mut Turn<'_>,
    ) {
        if !gossip.digests.is_empty() {
            let (from, digests) = (from.clone(), gossip.digests);
            t.out.push(Action::Deliver { from, digests, elapsed });
        }
        if !local {
            if gossip.updates.iter().any(|u| u.name == *from && u.status == Status::Left) {
                self.contact_left(from);
            }
            for peer in gossip.sample {
                if !self.in_scope(&peer) {
                    self.offer_contact(peer, t);
                }
            }
            return;
        }
        for u in gossip.updates {
            self.learn(u, from, Via::Gossip, t);
        }
        self.compare(from, gossip.checksum, t);
    }

    /// Takes candidates from the platform's list; it lags, so nothing is concluded from it.
    pub(crate) fn listed(&mut self, mut list: Vec<Listing>, t: &mut Turn<'_>) {
        list.retain(|l| !l.leaving && l.peer.name != self.settings.peer.name);
        list.shuffle(t.rng);
        self.seeds.clear();
        let mut offers = 0;
        for l in list {
            if !self.in_scope(&l.peer) {
                if offers < MAX_OFFERS {
                    offers += 1;
                    self.offer_contact(l.peer, t);
                }
            } else if !self.view.is_live(&l.peer.name) && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(l.peer);
            }
        }
    }
}

fn alive(name: &Name, incarnation: u64, place: Option<Place>) -> Update {
    Update { name: name.clone(), incarnation, status: Status::Alive, accusers: Vec::new(), place }
}
