//! Entry point of the protocol: one step from an input to actions.

use {
    crate::{
        State,
        state::{StepContext, Timers},
    },
    agate_core::Mono,
    agate_wire::{Body, Digest, Envelope, Name, Peer, Status},
    rand::Rng,
    std::net::SocketAddr,
};

/// Ticks during which a leaving instance announces it.
const LEAVE_TICKS: u32 = 8;
/// Members that receive the announcement in each of these ticks.
const LEAVE_FANOUT: usize = 3;
/// Periods without a step after which the process counts as paused.
const PAUSE_PERIODS: u32 = 3;

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name and place of the instance.
    pub peer: Peer,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// An event that the protocol reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Expected once in every [`tick`](crate::Settings::tick).
    Tick,
    /// An authenticated message arrived that is not a replay.
    Received {
        /// Source address of the datagram.
        source: SocketAddr,
        /// The decoded message.
        envelope: Envelope,
    },
    /// An authenticated message arrived from an incarnation below one already seen.
    Outdated {
        /// Source address of the datagram.
        source: SocketAddr,
        /// Greatest incarnation seen of the sender.
        seen: u64,
    },
    /// A new reading of the platform's list.
    Listed(Vec<ListedInstance>),
    /// The instance starts to leave.
    Leave,
}

/// An action that the caller of [`step`] carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a datagram, after the digests of other subsystems are added to its gossip.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to encode and authenticate.
        envelope: Envelope,
    },
    /// The status or the incarnation of a member changed.
    Changed {
        /// Name of the member.
        name: Name,
        /// New incarnation.
        incarnation: u64,
        /// New status.
        status: Status,
    },
    /// Passes the digests of a member to other subsystems.
    Deliver {
        /// Name of the member.
        from: Name,
        /// Digests from its message.
        digests: Vec<Digest>,
        /// Upper bound of the time since they were made; `None` if there is no bound.
        elapsed: Option<Mono>,
    },
    /// The leaving has been announced, so the instance may stop.
    Left,
}

/// Applies one input at the time `now` and returns the actions to carry out.
pub fn step(s: &mut State, input: Input, now: Mono, rng: &mut dyn Rng) -> Vec<Action> {
    let mut ctx = StepContext { now, rng, out: Vec::new() };
    detect_pause(s, &ctx);
    match input {
        Input::Tick => tick(s, &mut ctx),
        Input::Received { source, envelope } => s.receive(source, envelope, &mut ctx),
        Input::Outdated { source, seen } => {
            s.send(source, Body::Outdated { incarnation: seen }, &mut ctx);
        }
        Input::Listed(list) => s.on_list(list, &mut ctx),
        Input::Leave => leave(s, &mut ctx),
    }
    ctx.out
}

/// Detects a pause of the process and restarts pending work and timeouts, so that other members are
/// not suspected because this process did not run.
fn detect_pause(s: &mut State, ctx: &StepContext<'_>) {
    let gap = ctx.now.saturating_sub(s.timers.last_step);
    s.timers.last_step = ctx.now;
    if gap < s.settings.period * PAUSE_PERIODS {
        return;
    }
    s.counts.pauses += 1;
    s.pending.clear();
    s.transfer = None;
    s.timers = Timers {
        last_step: ctx.now,
        probe: ctx.now,
        contact: ctx.now,
        reconnect: ctx.now,
        expiry: ctx.now,
        last_ack: ctx.now,
        differs_since: None,
    };
    s.restart_suspicions(ctx.now);
}

fn tick(s: &mut State, ctx: &mut StepContext<'_>) {
    if let Some(left) = s.leaving {
        announce_leaving(s, left, ctx);
        return;
    }
    s.check_pending(ctx);
    s.check_suspicions(ctx);
    s.check_transfer(ctx);
    if ctx.now >= s.timers.probe {
        s.timers.probe = ctx.now + s.settings.period;
        s.probe_member(ctx);
    }
    if ctx.now >= s.timers.contact {
        s.timers.contact = ctx.now + s.settings.contact_period;
        s.probe_contact(ctx);
    }
    if ctx.now >= s.timers.reconnect {
        let alone = s.view.live() == 0;
        s.timers.reconnect = ctx.now + if alone { s.settings.period } else { s.settings.reconnect };
        s.reconnect(ctx);
    }
    if ctx.now >= s.timers.expiry {
        s.timers.expiry = ctx.now + s.settings.period * 2;
        s.view.expire(ctx.now, s.settings.retention);
        s.update_queue.expire(ctx.now);
    }
}

fn leave(s: &mut State, ctx: &mut StepContext<'_>) {
    if s.leaving.is_some() {
        return;
    }
    log::info!(step = "leave"; "announcing that this instance leaves");
    let left_update = s.own_update(Status::Left);
    s.update_queue.push(left_update, ctx.now);
    s.pending.clear();
    announce_leaving(s, LEAVE_TICKS, ctx);
    s.notify_contacts(ctx);
}

fn announce_leaving(s: &mut State, left: u32, ctx: &mut StepContext<'_>) {
    if left == 0 {
        ctx.out.push(Action::Left);
        return;
    }
    s.leaving = Some(left - 1);
    let left_update = s.own_update(Status::Left);
    for n in s.view.sample(ctx.rng, LEAVE_FANOUT, "") {
        let mut gossip = s.scope_gossip(&n);
        gossip.updates.retain(|u| u.name != left_update.name);
        gossip.updates.push(left_update.clone());
        s.send_probe_to(&n, gossip, ctx);
    }
}
