//! Quarantine for requests that crash the endpoints that run them.
//!
//! A request is recognised by its [`property::Property`] values, each with a fingerprint: the whole
//! request, since a retry by the caller has another request ID, and each part of its prompt that
//! other requests may share. The stages on the way to quarantine are:
//!
//! - [`evidence`]: calls that an endpoint left unanswered, and signs that it crashed. Both are
//!   needed: a connection that is reset, closed or times out does not show that the endpoint
//!   crashed.
//! - [`suspicion`]: crashes per property, exchanged between instances. A complete response to a
//!   request that was sent after a crash ends the suspicion of all its properties, so popular ones
//!   that happened to be in flight during crashes are soon cleared.
//! - [`table`]: suspects and their trials, in one record of the store, so that they survive
//!   restarts and all instances share them.
//! - [`quarantine`]: combines these for one instance. [`record`] follows and changes the record;
//!   [`trial`] is the permission to send a request with suspects.
//!
//! Invariants: a request with a suspect is sent only as a trial. The trial is written to the record
//! before the call is sent, and its endpoint has no other trial. So the number of trials of a
//! suspect in the fleet is bounded, whichever instances start, stop or are partitioned, and a crash
//! during a trial identifies its cause.

pub mod evidence;
pub mod metrics;
pub mod property;
pub mod quarantine;
pub mod record;
pub mod suspicion;
pub mod table;
pub mod trial;

pub use {
    property::{Fingerprint, Property, Work, hash_parts, hex},
    quarantine::{Decision, Quarantine},
    trial::Trial,
};

/// Hash of an endpoint's incarnation (its name and start time).
pub type EndpointHash = u32;
