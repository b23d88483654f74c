//! What the controller is told and what it asks for.

use {
    crate::{Kind, Name, Record},
    agate_core::{Grant, Mono},
};

/// State of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Ordered and not serving yet.
    Ordered,
    /// Serving.
    Live,
    /// About to be taken away.
    Leaving,
}

/// An endpoint as the platform lists it or the configuration declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Kind.
    pub kind: Kind,
    /// State.
    pub life: Life,
    /// Whether it is declared in the configuration: it costs nothing here and is never released.
    pub fixed: bool,
}

/// Result of an order or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform took it.
    Taken,
    /// The platform refused it; nothing happened.
    Refused,
    /// It may or may not have been taken.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Demand was observed, in tokens a second: deadline work, and long work with the part of its
    /// backlog that is to be worked off.
    Observed {
        /// Deadline work.
        deadline: f64,
        /// Resumable long work.
        long: f64,
    },
    /// All endpoints of the pool, those that the configuration declares included.
    Listed(Vec<Endpoint>),
    /// Authority was granted to a new holder, with the record of the last one.
    Granted(Grant, Record),
    /// The holder's authority was renewed until this time.
    Renewed(Mono),
    /// Authority was lost.
    Lost,
    /// The record with this number was written.
    Recorded(u64),
    /// Writing the record failed or its result is unknown.
    Unrecorded,
    /// The order or release with this token ended.
    Answered(String, Outcome),
    /// No instance has a request at this endpoint and none sends one, as [`State::draining`]
    /// asked.
    ///
    /// [`State::draining`]: crate::State::draining
    Idle(Name),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes the record under the holder's authority.
    Write {
        /// Number to report back.
        number: u64,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Orders endpoints.
    Order {
        /// Availability zone.
        zone: Name,
        /// Kind.
        kind: Kind,
        /// How many.
        count: u32,
        /// Idempotency token.
        token: String,
    },
    /// Releases an endpoint.
    Release {
        /// The endpoint.
        endpoint: Name,
        /// Idempotency token.
        token: String,
    },
}
