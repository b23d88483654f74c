//! Postcard messages between instances, their framing and their authentication.
//!
//! A sealed message is a version byte, a truncated keyed MAC and the postcard bytes of an
//! [`Envelope`]. Invariants:
//!
//! - nothing is decoded before its length, its version and its MAC were checked, in this order;
//! - the MAC covers the [`Context`], so a message made for one address, or one TCP answer, is
//!   rejected anywhere else;
//! - a [`ReplayTable`] accepts each sequence number of a sender's incarnation at most once, and no
//!   incarnation below the greatest one seen;
//! - every reason for rejection is a variant of [`Reject`], so adapters can count each.

mod keys;
mod message;
mod reject;
mod replay;
mod seal;

pub use {
    keys::{Keys, MIN_SECRET, SecretError},
    message::{
        Answer, Body, Digest, Envelope, Gossip, Name, Peer, Place, Query, Status, Update, UsageRow,
    },
    reject::Reject,
    replay::{REPLAY_WINDOW, ReplayTable},
    seal::{
        Context, MAX_DATAGRAM, MAX_FRAME, MAX_REQUEST, OVERHEAD, SealError, TAG_BYTES, Tag,
        VERSION, open, seal, tag_of,
    },
};
