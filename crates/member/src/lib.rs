//! Membership of instances: probes, suspicion, leaving, and the UDP adapter.
//!
//! The decision logic is [`step`], a pure function over [`State`] that takes the time and a seeded
//! generator and returns actions; the adapter behind [`bind`] carries them out. Invariants:
//!
//! - an instance holds the full view of its own *scope* (its availability zone, or its region in a
//!   small deployment) and a bounded sample of contacts in every other scope;
//! - statements about a member are ordered by incarnation, and within one by [`Status`]; only the
//!   member itself raises its incarnation, so a failed verdict can be refuted and a restart on the
//!   same address is told from the life before it;
//! - an instance accepts accusations only from members that it holds live, and makes none while no
//!   member acknowledges its own probes;
//! - the age of a digest that arrives on an acknowledgement is counted from when the probe was
//!   sent, so neither a slow network nor a pause makes it look younger;
//! - the platform's list only adds candidates to probe.
//!
//! The parts: `view` holds the members of the scope, `rumour` the statements to pass on, `probe` the
//! probes under way, `suspect` the way from a failed probe to a verdict, `sync` the transfer of
//! whole views, `contact` the sample of other scopes. [`serve`] and [`Client`] carry requests that are
//! too large for datagrams.

mod contact;
mod counters;
mod peer;
mod probe;
mod receive;
mod rumour;
mod settings;
mod state;
mod step;
mod suspect;
mod sync;
mod udp;
mod view;

pub use {
    agate_wire::{Answer, Digest, Keys, Name, Peer, Place, Query, Reject, Status},
    counters::{Counters, Totals},
    peer::{Capacity, Client, FetchError, FetchResult, Server, retired, serve},
    settings::{Scope, Settings},
    state::{Counts, State},
    step::{Action, Input, Listing, step},
    udp::{Deliver, Error, Handle, Hooks, Identity, Result, bind},
    view::Member,
};
