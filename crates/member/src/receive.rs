//! Handles received messages and the platform's list.

use {
    crate::{
        Action, ListedInstance, State,
        probe::{PendingProbe, ProbeKind},
        state::StepContext,
        suspect::UpdateSource,
    },
    agate_core::Mono,
    agate_wire::{Body, Envelope, Gossip, Name, Peer, Place, Status, Update},
    rand::seq::SliceRandom,
    std::net::SocketAddr,
};

/// Maximum number of instances of the own scope kept from the platform's list.
const MAX_SEEDS: usize = 64;
/// Maximum number of instances of other scopes used from one reading of the platform's list.
const MAX_OFFERS: usize = 256;

/// Sender of a message, with the address that the datagram came from.
struct Sender {
    name: Name,
    incarnation: u64,
    source: SocketAddr,
}

impl State {
    /// Handles an authenticated message.
    pub(crate) fn receive(&mut self, source: SocketAddr, e: Envelope, ctx: &mut StepContext<'_>) {
        let Envelope { from, incarnation, body, .. } = e;
        if from == self.settings.peer.name {
            return;
        }
        if !matches!(body, Body::Probe { .. }) {
            self.update_incarnation(&from, incarnation, ctx);
        }
        match body {
            Body::Probe { number, place, gossip } => {
                let sender = Sender { name: from, incarnation, source };
                self.on_probe(&sender, place, number, gossip, ctx);
            }
            Body::Ack { number, target, gossip } => {
                let sender = Sender { name: from, incarnation, source };
                self.on_ack(&sender, number, target, gossip, ctx);
            }
            Body::ProbeRequest { number, target } => {
                if self.view.is_live(&from) && self.leaving.is_none() {
                    self.start_probe(target, ProbeKind::Relay { origin: source, number }, ctx);
                }
            }
            Body::ViewRequest { after } => self.send_page(&from, source, after, ctx),
            Body::View { members, more } => self.apply_page(&from, members, more, ctx),
            Body::Outdated { incarnation } => {
                if incarnation >= self.incarnation {
                    self.raise_incarnation(incarnation, ctx.now);
                }
            }
            Body::Query(_) | Body::Answer(_) => {}
        }
    }

    /// Applies a greater incarnation of a known member.
    fn update_incarnation(&mut self, from: &Name, incarnation: u64, ctx: &mut StepContext<'_>) {
        if self.view.get(from).is_some_and(|e| e.incarnation < incarnation) {
            self.apply_update(
                alive_update(from, incarnation, None),
                from,
                UpdateSource::Direct,
                ctx,
            );
        }
    }

    fn on_probe(
        &mut self,
        sender: &Sender,
        place: Place,
        number: u64,
        gossip: Gossip,
        ctx: &mut StepContext<'_>,
    ) {
        let name = &sender.name;
        let peer = Peer { name: name.clone(), place };
        let local = self.in_scope(&peer);
        if local {
            let place = Some(peer.place.clone());
            self.apply_update(
                alive_update(name, sender.incarnation, place),
                name,
                UpdateSource::Direct,
                ctx,
            );
        } else {
            self.offer_contact(peer.clone(), ctx);
        }
        self.apply_gossip(name, local, gossip, None, ctx);
        if self.leaving.is_none() {
            self.acknowledge(&peer, sender.source, number, ctx);
        }
    }

    fn on_ack(
        &mut self,
        sender: &Sender,
        number: u64,
        target: Option<Name>,
        gossip: Gossip,
        ctx: &mut StepContext<'_>,
    ) {
        let Some(i) = self.pending.iter().position(|p| p.number == number) else { return };
        let expected = target.as_ref().unwrap_or(&sender.name) == &self.pending[i].peer.name;
        if !expected {
            self.check_successor(i, sender.source, target.is_some(), ctx);
            return;
        }
        let p = self.pending.swap_remove(i);
        self.timers.last_ack = ctx.now;
        let local = self.in_scope(&p.peer);
        if target.is_none() {
            self.on_direct_ack(&p, sender.incarnation, local, ctx);
        }
        self.apply_gossip(&sender.name, local, gossip, Some(ctx.now - p.since), ctx);
        self.relay_ack(&p, ctx);
    }

    /// Fails a probe that another instance answered at the probed address: the probed member is
    /// gone. Relayed acknowledgements and other kinds of probe are ignored.
    fn check_successor(
        &mut self,
        i: usize,
        source: SocketAddr,
        relayed: bool,
        ctx: &mut StepContext<'_>,
    ) {
        let p = &self.pending[i];
        if relayed || p.peer.place.address != source || p.kind != ProbeKind::Member {
            return;
        }
        let name = self.pending.swap_remove(i).peer.name;
        self.probe_failed(&name, ctx);
    }

    fn on_direct_ack(
        &mut self,
        p: &PendingProbe,
        incarnation: u64,
        local: bool,
        ctx: &mut StepContext<'_>,
    ) {
        let Peer { name, place } = &p.peer;
        if !local {
            self.contact_acked(name, incarnation);
            return;
        }
        self.apply_update(
            alive_update(name, incarnation, Some(place.clone())),
            name,
            UpdateSource::Direct,
            ctx,
        );
        if let Some(e) = self.view.get_mut(name) {
            e.acked = Some(ctx.now);
        }
    }

    fn apply_gossip(
        &mut self,
        from: &Name,
        local: bool,
        gossip: Gossip,
        elapsed: Option<Mono>,
        ctx: &mut StepContext<'_>,
    ) {
        if !gossip.digests.is_empty() {
            let (from, digests) = (from.clone(), gossip.digests);
            ctx.out.push(Action::Deliver { from, digests, elapsed });
        }
        if !local {
            if gossip.updates.iter().any(|u| u.name == *from && u.status == Status::Left) {
                self.contact_left(from);
            }
            for peer in gossip.sample {
                if !self.in_scope(&peer) {
                    self.offer_contact(peer, ctx);
                }
            }
            return;
        }
        for u in gossip.updates {
            self.apply_update(u, from, UpdateSource::Gossip, ctx);
        }
        self.compare_views(from, gossip.checksum, ctx);
    }

    /// Adds candidates from the platform's list. The list lags behind, so nothing else is concluded
    /// from it.
    pub(crate) fn on_list(&mut self, mut list: Vec<ListedInstance>, ctx: &mut StepContext<'_>) {
        list.retain(|l| !l.leaving && l.peer.name != self.settings.peer.name);
        list.shuffle(ctx.rng);
        self.seeds.clear();
        let mut offers = 0;
        for l in list {
            if !self.in_scope(&l.peer) {
                if offers < MAX_OFFERS {
                    offers += 1;
                    self.offer_contact(l.peer, ctx);
                }
            } else if !self.view.is_live(&l.peer.name) && self.seeds.len() < MAX_SEEDS {
                self.seeds.push(l.peer);
            }
        }
    }
}

fn alive_update(name: &Name, incarnation: u64, place: Option<Place>) -> Update {
    Update { name: name.clone(), incarnation, status: Status::Alive, accusers: Vec::new(), place }
}
