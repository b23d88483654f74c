//! The entry point of the decision logic.

use {
    crate::{
        State,
        state::{Timers, Turn},
    },
    agate_core::Mono,
    agate_wire::{Body, Digest, Envelope, Name, Peer, Status},
    rand::Rng,
    std::net::SocketAddr,
};

/// Ticks during which a leaving instance announces it.
const LEAVE_TICKS: u32 = 8;
/// Members told of the leaving in each of these ticks.
const LEAVE_FANOUT: usize = 3;
/// Periods without a tick that count as a pause of the process.
const PAUSE_PERIODS: u32 = 3;

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The instance.
    pub peer: Peer,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; expected once in every [`tick`](crate::Settings::tick).
    Tick,
    /// An authenticated message arrived that is no replay.
    Received {
        /// Address that it came from.
        source: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// An authenticated message arrived from an incarnation below one already seen.
    Outdated {
        /// Address that it came from.
        source: SocketAddr,
        /// Greatest incarnation seen of the sender.
        seen: u64,
    },
    /// The platform's list was read.
    Listed(Vec<Listing>),
    /// The instance is to leave.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a datagram, after adding the digests of other subsystems to its gossip.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Message.
        envelope: Envelope,
    },
    /// A member changed its state or its incarnation.
    Changed {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: u64,
        /// Its state.
        status: Status,
    },
    /// Hands the digests of a member to other subsystems.
    Deliver {
        /// The member.
        from: Name,
        /// Its digests.
        digests: Vec<Digest>,
        /// Time since before they were made; `None` if there is no bound.
        elapsed: Option<Mono>,
    },
    /// The leaving has been announced; the instance may stop.
    Left,
}

/// Takes one input and returns what is to be done.
pub fn step(s: &mut State, input: Input, now: Mono, rng: &mut dyn Rng) -> Vec<Action> {
    let mut t = Turn { now, rng, out: Vec::new() };
    notice_pause(s, &t);
    match input {
        Input::Tick => tick(s, &mut t),
        Input::Received { source, envelope } => s.receive(source, envelope, &mut t),
        Input::Outdated { source, seen } => {
            s.send(source, Body::Outdated { incarnation: seen }, &mut t);
        }
        Input::Listed(list) => s.listed(list, &mut t),
        Input::Leave => leave(s, &mut t),
    }
    t.out
}

/// Restarts everything that waited while the process was paused, so that its own silence is not
/// held against others.
fn notice_pause(s: &mut State, t: &Turn<'_>) {
    let gap = t.now.saturating_sub(s.timers.last);
    s.timers.last = t.now;
    if gap < s.settings.period * PAUSE_PERIODS {
        return;
    }
    s.counts.pauses += 1;
    s.pending.clear();
    s.transfer = None;
    s.timers = Timers {
        last: t.now,
        probe: t.now,
        contact: t.now,
        reconnect: t.now,
        expiry: t.now,
        acked: t.now,
        differs: None,
    };
    s.restart_suspicions(t.now);
}

fn tick(s: &mut State, t: &mut Turn<'_>) {
    if let Some(left) = s.leaving {
        announce_leaving(s, left, t);
        return;
    }
    s.check_pending(t);
    s.check_suspicions(t);
    s.check_transfer(t);
    if t.now >= s.timers.probe {
        s.timers.probe = t.now + s.settings.period;
        s.probe_member(t);
    }
    if t.now >= s.timers.contact {
        s.timers.contact = t.now + s.settings.contact_period;
        s.probe_contact(t);
    }
    if t.now >= s.timers.reconnect {
        let alone = s.view.live() == 0;
        s.timers.reconnect = t.now + if alone { s.settings.period } else { s.settings.reconnect };
        s.reconnect(t);
    }
    if t.now >= s.timers.expiry {
        s.timers.expiry = t.now + s.settings.period * 2;
        s.view.expire(t.now, s.settings.retention);
        s.rumours.expire(t.now);
    }
}

fn leave(s: &mut State, t: &mut Turn<'_>) {
    if s.leaving.is_some() {
        return;
    }
    log::info!(step = "leave"; "announcing that this instance leaves");
    let gone = s.own_statement(Status::Left);
    s.rumours.push(gone, t.now);
    s.pending.clear();
    announce_leaving(s, LEAVE_TICKS, t);
    s.tell_contacts(t);
}

fn announce_leaving(s: &mut State, left: u32, t: &mut Turn<'_>) {
    if left == 0 {
        t.out.push(Action::Left);
        return;
    }
    s.leaving = Some(left - 1);
    let gone = s.own_statement(Status::Left);
    for n in s.view.sample(t.rng, LEAVE_FANOUT, "") {
        let mut gossip = s.scope_gossip(&n);
        gossip.updates.retain(|u| u.name != gone.name);
        gossip.updates.push(gone.clone());
        s.send_probe_to(&n, gossip, t);
    }
}
