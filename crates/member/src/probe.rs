//! Probes under way: of members in random rounds, of failed members, and for other members.

use {
    crate::{
        State,
        state::{Turn, statement},
    },
    agate_core::Mono,
    agate_wire::{Body, Gossip, Name, Peer, Status},
    rand::{RngExt, seq::SliceRandom},
    std::net::SocketAddr,
};

/// Most probes under way; further ones on behalf of others are not started.
const MAX_PENDING: usize = 64;
/// Seeds probed at a time by an instance that knows no live member.
const JOIN_FANOUT: usize = 3;

/// What a probe is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Aim {
    /// Checks a live member.
    Member,
    /// Looks for a failed member or one that the platform lists; its failure means nothing.
    Seed,
    /// Checks a contact in another scope.
    Contact,
    /// Checks a member on behalf of another.
    Relay {
        /// Who asked.
        origin: SocketAddr,
        /// The number it wants repeated.
        number: u64,
    },
}

/// A probe that was not acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) number: u64,
    pub(crate) peer: Peer,
    pub(crate) aim: Aim,
    /// When it was first sent.
    pub(crate) since: Mono,
    sends: u8,
    helped: bool,
}

impl State {
    /// Probes the next live member of the current round.
    pub(crate) fn probe_member(&mut self, t: &mut Turn<'_>) {
        let Some(peer) = self.next_member(t) else { return };
        self.counts.probes += 1;
        self.start_probe(peer, Aim::Member, t);
    }

    fn next_member(&mut self, t: &mut Turn<'_>) -> Option<Peer> {
        if self.round.is_empty() {
            let live = self.view.iter().filter(|(_, e)| e.live());
            self.round = live.map(|(n, _)| n.clone()).collect();
            self.round.shuffle(t.rng);
        }
        while let Some(name) = self.round.pop() {
            if let Some(e) = self.view.get(&name).filter(|e| e.live()) {
                return Some(Peer { name, place: e.place.clone() });
            }
        }
        None
    }

    /// Probes an instance that is thought failed or that only the platform's list names.
    pub(crate) fn reconnect(&mut self, t: &mut Turn<'_>) {
        if self.view.live() == 0 && !self.seeds.is_empty() {
            for _ in 0..JOIN_FANOUT {
                self.probe_seed(t);
            }
            return;
        }
        let failed = self.view.pick(t.rng, |_, e| e.status == Status::Dead);
        let failed = failed.map(|(n, e)| Peer { name: n.clone(), place: e.place.clone() });
        match failed {
            Some(peer) if self.seeds.is_empty() || t.rng.random::<bool>() => {
                self.start_probe(peer, Aim::Seed, t);
            }
            _ => self.probe_seed(t),
        }
    }

    fn probe_seed(&mut self, t: &mut Turn<'_>) {
        let view = &self.view;
        self.seeds.retain(|p| !view.is_live(&p.name));
        if self.seeds.is_empty() {
            return;
        }
        let i = t.rng.random_range(0..self.seeds.len());
        let peer = self.seeds[i].clone();
        self.start_probe(peer, Aim::Seed, t);
    }

    /// Starts a probe and sends it for the first time.
    pub(crate) fn start_probe(&mut self, peer: Peer, aim: Aim, t: &mut Turn<'_>) {
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        self.number += 1;
        let number = self.number;
        self.send_probe(&peer, number, t);
        self.pending.push(Pending { number, peer, aim, since: t.now, sends: 1, helped: false });
    }

    fn send_probe(&mut self, peer: &Peer, number: u64, t: &mut Turn<'_>) {
        let gossip = self.gossip_for(peer, t);
        let place = self.settings.peer.place.clone();
        self.send(peer.place.address, Body::Probe { number, place, gossip }, t);
    }

    /// Sends a probe whose acknowledgement nobody waits for.
    pub(crate) fn send_probe_to(&mut self, name: &Name, gossip: Gossip, t: &mut Turn<'_>) {
        let Some(e) = self.view.get(name) else { return };
        let to = e.place.address;
        let place = self.settings.peer.place.clone();
        self.send(to, Body::Probe { number: 0, place, gossip }, t);
    }

    /// What rides on a message to `peer`.
    pub(crate) fn gossip_for(&mut self, peer: &Peer, t: &mut Turn<'_>) -> Gossip {
        if self.in_scope(peer) { self.scope_gossip(&peer.name) } else { self.foreign_gossip(t) }
    }

    /// Sends unanswered probes again, asks others for help, and ends those that took too long.
    pub(crate) fn check_pending(&mut self, t: &mut Turn<'_>) {
        let mut ended = Vec::new();
        for mut p in std::mem::take(&mut self.pending) {
            let age = t.now - p.since;
            if age >= self.timeout(&p.aim) {
                ended.push(p);
                continue;
            }
            self.advance(&mut p, age, t);
            self.pending.push(p);
        }
        for p in ended {
            match p.aim {
                Aim::Member => self.probe_failed(&p.peer.name, t),
                Aim::Contact => self.contact_failed(&p.peer, t),
                Aim::Seed | Aim::Relay { .. } => {}
            }
        }
    }

    fn timeout(&self, aim: &Aim) -> Mono {
        match aim {
            Aim::Contact => self.settings.contact_timeout,
            _ => self.settings.period,
        }
    }

    fn advance(&mut self, p: &mut Pending, age: Mono, t: &mut Turn<'_>) {
        let again = matches!(p.aim, Aim::Member | Aim::Relay { .. });
        if again && p.sends < self.settings.sends && age >= self.settings.resend * p.sends.into() {
            p.sends += 1;
            self.send_probe(&p.peer, p.number, t);
        }
        if p.aim == Aim::Member && !p.helped && age >= self.settings.indirect {
            p.helped = true;
            self.ask_helpers(p, t);
        }
    }

    fn ask_helpers(&mut self, p: &Pending, t: &mut Turn<'_>) {
        for n in self.view.sample(t.rng, self.settings.helpers, &p.peer.name) {
            let to = self.view.get(&n).expect("a sampled member is in the view").place.address;
            let body = Body::ProbeRequest { number: p.number, target: p.peer.clone() };
            self.send(to, body, t);
        }
    }

    /// Answers a probe, telling the sender first what is held against it.
    pub(crate) fn acknowledge(
        &mut self,
        to: &Peer,
        source: SocketAddr,
        number: u64,
        t: &mut Turn<'_>,
    ) {
        let gossip = self.gossip_for(to, t);
        self.send(source, Body::Ack { number, target: None, gossip }, t);
    }

    /// Passes an acknowledgement on to the member that asked for the probe.
    pub(crate) fn relay_ack(&mut self, p: &Pending, t: &mut Turn<'_>) {
        let Aim::Relay { origin, number } = p.aim else { return };
        let target = p.peer.name.clone();
        let mut gossip = Gossip { checksum: self.view.checksum(), ..Gossip::default() };
        let alive = self.view.get(&target).filter(|e| e.status == Status::Alive);
        gossip.updates.extend(alive.map(|e| statement(&target, e)));
        self.send(origin, Body::Ack { number, target: Some(target), gossip }, t);
    }
}
