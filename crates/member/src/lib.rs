//! Membership of the instances of a fleet: failure detection by gossip over UDP, and requests
//! between instances over TCP.
//!
//! The protocol is [`step`], a pure function over [`State`] that takes the time and a random
//! generator and returns actions. The adapter behind [`bind`] carries them out over UDP.
//! Invariants:
//!
//! - An instance holds the full view of its own *scope* (its availability zone, or its region in a
//!   small deployment) and a bounded sample of contacts in every other scope.
//! - Updates about a member are ordered by incarnation, and within one incarnation by [`Status`].
//!   Only the member itself raises its incarnation, so it can refute a failure declaration, and a
//!   restart at the same address differs from the run before it.
//! - An instance accepts suspicions and failure declarations only from members that it holds live.
//!   It makes none while no member acknowledges its own probes.
//! - The age of a digest that arrives on an acknowledgement is counted from the time at which the
//!   probe was sent, so a slow network or a pause never makes it look younger.
//! - The platform's list only adds candidates to probe.
//!
//! Modules: `view` holds the members of the scope, `gossip` the queue of updates to send, `probe`
//! the pending probes, `suspect` failure detection, `sync` the transfer of whole views, and
//! `contact` the sample of other scopes. [`serve`] and [`Client`] exchange requests that are too
//! large for datagrams.

mod contact;
mod counters;
mod gossip;
mod peer;
mod probe;
mod receive;
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
    peer::{Client, ConnectionLimit, FetchError, FetchResult, Server, retired_addresses, serve},
    settings::{Scope, Settings},
    state::{Counts, State},
    step::{Action, Input, ListedInstance, step},
    udp::{Deliver, Error, Handle, Hooks, Identity, Result, bind},
    view::Member,
};
