//! Pending probes: of members in random rounds, of failed or listed instances, of contacts, and on
//! behalf of other members.

use {
    crate::{
        State,
        state::{StepContext, update_of},
    },
    agate_core::Mono,
    agate_wire::{Body, Gossip, Name, Peer, Status},
    rand::{RngExt, seq::SliceRandom},
    std::net::SocketAddr,
};

/// Maximum number of pending probes; further ones are not started.
const MAX_PENDING: usize = 64;
/// Listed instances probed at a time while no live member is known.
const JOIN_FANOUT: usize = 3;

/// Purpose of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Checks a live member.
    Member,
    /// Looks for a failed member or one that the platform lists. Its failure has no effect.
    Seed,
    /// Checks a contact in another scope.
    Contact,
    /// Checks a member on behalf of another member.
    Relay {
        /// Address of the member that requested the probe.
        origin: SocketAddr,
        /// Number of the requester's own probe, for the acknowledgement.
        number: u64,
    },
}

/// A probe that is not acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) number: u64,
    pub(crate) peer: Peer,
    pub(crate) kind: ProbeKind,
    /// When it was first sent.
    pub(crate) since: Mono,
    sends: u8,
    indirect_sent: bool,
}

impl State {
    /// Probes the next live member of the current round, starting a new round if it is used up.
    pub(crate) fn probe_member(&mut self, ctx: &mut StepContext<'_>) {
        let Some(peer) = self.next_member(ctx) else { return };
        self.counts.probes += 1;
        self.start_probe(peer, ProbeKind::Member, ctx);
    }

    fn next_member(&mut self, ctx: &mut StepContext<'_>) -> Option<Peer> {
        if self.round.is_empty() {
            let live = self.view.iter().filter(|(_, e)| e.live());
            self.round = live.map(|(n, _)| n.clone()).collect();
            self.round.shuffle(ctx.rng);
        }
        while let Some(name) = self.round.pop() {
            if let Some(e) = self.view.get(&name).filter(|e| e.live()) {
                return Some(Peer { name, place: e.place.clone() });
            }
        }
        None
    }

    /// Probes a failed member, or an instance that is known only from the platform's list.
    pub(crate) fn reconnect(&mut self, ctx: &mut StepContext<'_>) {
        if self.view.live() == 0 && !self.seeds.is_empty() {
            for _ in 0..JOIN_FANOUT {
                self.probe_seed(ctx);
            }
            return;
        }
        let failed = self.view.random_member(ctx.rng, |_, e| e.status == Status::Dead);
        let failed = failed.map(|(n, e)| Peer { name: n.clone(), place: e.place.clone() });
        match failed {
            Some(peer) if self.seeds.is_empty() || ctx.rng.random::<bool>() => {
                self.start_probe(peer, ProbeKind::Seed, ctx);
            }
            _ => self.probe_seed(ctx),
        }
    }

    fn probe_seed(&mut self, ctx: &mut StepContext<'_>) {
        let view = &self.view;
        self.seeds.retain(|p| !view.is_live(&p.name));
        if self.seeds.is_empty() {
            return;
        }
        let i = ctx.rng.random_range(0..self.seeds.len());
        let peer = self.seeds[i].clone();
        self.start_probe(peer, ProbeKind::Seed, ctx);
    }

    /// Starts a probe and sends it for the first time. Does nothing at [`MAX_PENDING`] probes.
    pub(crate) fn start_probe(&mut self, peer: Peer, kind: ProbeKind, ctx: &mut StepContext<'_>) {
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.send_probe(&peer, number, ctx);
        self.pending.push(PendingProbe {
            number,
            peer,
            kind,
            since: ctx.now,
            sends: 1,
            indirect_sent: false,
        });
    }

    fn send_probe(&mut self, peer: &Peer, number: u64, ctx: &mut StepContext<'_>) {
        let gossip = self.gossip_for(peer, ctx);
        let place = self.settings.peer.place.clone();
        self.send(peer.place.address, Body::Probe { number, place, gossip }, ctx);
    }

    /// Sends a probe without waiting for its acknowledgement.
    pub(crate) fn send_probe_to(&mut self, name: &Name, gossip: Gossip, ctx: &mut StepContext<'_>) {
        let Some(e) = self.view.get(name) else { return };
        let to = e.place.address;
        let place = self.settings.peer.place.clone();
        self.send(to, Body::Probe { number: 0, place, gossip }, ctx);
    }

    /// Returns the gossip for a message to `peer`.
    pub(crate) fn gossip_for(&mut self, peer: &Peer, ctx: &mut StepContext<'_>) -> Gossip {
        if self.in_scope(peer) { self.scope_gossip(&peer.name) } else { self.foreign_gossip(ctx) }
    }

    /// Resends pending probes, requests indirect ones, and ends those that timed out.
    pub(crate) fn check_pending(&mut self, ctx: &mut StepContext<'_>) {
        let mut ended = Vec::new();
        for mut p in std::mem::take(&mut self.pending) {
            let age = ctx.now - p.since;
            if age >= self.timeout(&p.kind) {
                ended.push(p);
                continue;
            }
            self.continue_probe(&mut p, age, ctx);
            self.pending.push(p);
        }
        for p in ended {
            match p.kind {
                ProbeKind::Member => self.probe_failed(&p.peer.name, ctx),
                ProbeKind::Contact => self.contact_failed(&p.peer, ctx),
                ProbeKind::Seed | ProbeKind::Relay { .. } => {}
            }
        }
    }

    fn timeout(&self, kind: &ProbeKind) -> Mono {
        match kind {
            ProbeKind::Contact => self.settings.contact_timeout,
            _ => self.settings.period,
        }
    }

    fn continue_probe(&mut self, p: &mut PendingProbe, age: Mono, ctx: &mut StepContext<'_>) {
        let again = matches!(p.kind, ProbeKind::Member | ProbeKind::Relay { .. });
        if again && p.sends < self.settings.sends && age >= self.settings.resend * p.sends.into() {
            p.sends += 1;
            self.send_probe(&p.peer, p.number, ctx);
        }
        if p.kind == ProbeKind::Member && !p.indirect_sent && age >= self.settings.indirect {
            p.indirect_sent = true;
            self.request_indirect(p, ctx);
        }
    }

    fn request_indirect(&mut self, p: &PendingProbe, ctx: &mut StepContext<'_>) {
        for n in self.view.sample(ctx.rng, self.settings.helpers, &p.peer.name) {
            let to = self.view.get(&n).expect("a sampled member is in the view").place.address;
            let body = Body::ProbeRequest { number: p.number, target: p.peer.clone() };
            self.send(to, body, ctx);
        }
    }

    /// Acknowledges a probe. The gossip tells the sender if it is suspected or declared failed.
    pub(crate) fn acknowledge(
        &mut self,
        to: &Peer,
        source: SocketAddr,
        number: u64,
        ctx: &mut StepContext<'_>,
    ) {
        let gossip = self.gossip_for(to, ctx);
        self.send(source, Body::Ack { number, target: None, gossip }, ctx);
    }

    /// Sends an acknowledgement on to the member that requested the probe.
    pub(crate) fn relay_ack(&mut self, p: &PendingProbe, ctx: &mut StepContext<'_>) {
        let ProbeKind::Relay { origin, number } = p.kind else { return };
        let target = p.peer.name.clone();
        let mut gossip = Gossip { checksum: self.view.checksum(), ..Gossip::default() };
        let alive = self.view.get(&target).filter(|e| e.status == Status::Alive);
        gossip.updates.extend(alive.map(|e| update_of(&target, e)));
        self.send(origin, Body::Ack { number, target: Some(target), gossip }, ctx);
    }
}
