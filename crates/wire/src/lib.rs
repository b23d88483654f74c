//! Messages between instances in postcard encoding, with their framing and authentication.
//!
//! A sealed message is a version byte, a truncated keyed MAC and the postcard bytes of an
//! [`Envelope`]. Invariants:
//!
//! - Nothing is decoded before its length, its version and its MAC were checked, in this order.
//! - The MAC covers the [`Context`], so a message for one address, or a response to one TCP
//!   request, is rejected anywhere else.
//! - A [`ReplayTable`] accepts each sequence number of a sender's incarnation at most once, and no
//!   incarnation below the highest one seen.
//! - Every reason for a rejection is a variant of [`Reject`], so that callers can count each one.

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
        Context, MAX_DATAGRAM, MAX_REQUEST, MAX_RESPONSE, OVERHEAD, SealError, TAG_BYTES, Tag,
        VERSION, open, seal, tag_of,
    },
};
