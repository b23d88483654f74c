//! Inputs and actions of the controller.

use {
    crate::{Kind, Name, Record},
    agate_core::{Grant, Mono},
};

/// Lifecycle state of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Ordered and not serving yet.
    Ordered,
    /// Serving requests.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// An endpoint as the platform lists it or the configuration declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, unique in the pool.
    pub name: Name,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// How it is paid for.
    pub kind: Kind,
    /// Lifecycle state.
    pub state: EndpointState,
    /// Whether the configuration declares it. Such an endpoint does not count towards the budget
    /// and is never released.
    pub declared: bool,
}

/// Result of an order or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted it.
    Accepted,
    /// The platform refused it, and it had no effect.
    Refused,
    /// The platform may or may not have accepted it.
    Unknown,
}

/// Event that the controller processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; plans, sends and writes that are due follow.
    Tick,
    /// Demand was observed, in tokens per second.
    Observed {
        /// Work with a deadline.
        deadline: f64,
        /// Resumable long work, with the part of its backlog that is to be processed.
        long: f64,
    },
    /// All endpoints of the pool, including those that the configuration declares.
    Listed(Vec<Endpoint>),
    /// The lease was acquired; the record is that of the previous holder.
    Granted(Grant, Record),
    /// The lease was renewed until this time.
    Renewed(Mono),
    /// The lease was lost.
    Lost,
    /// The record with this number was written.
    Recorded(u64),
    /// Writing the record failed, or its result is unknown.
    RecordFailed,
    /// The call for the order or release with this token ended.
    Responded(String, Outcome),
    /// No instance has a request at this endpoint or sends further ones to it. The endpoint is one
    /// of [`State::draining`].
    ///
    /// [`State::draining`]: crate::State::draining
    Idle(Name),
}

/// Operation that the caller executes for the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes the record, on condition that the lease is still held.
    Write {
        /// Number for [`Input::Recorded`].
        number: u64,
        /// Encoded record.
        bytes: Vec<u8>,
    },
    /// Orders endpoints from the platform.
    Order {
        /// Availability zone in which they are to run.
        zone: Name,
        /// How they are paid for.
        kind: Kind,
        /// Number of endpoints.
        count: u32,
        /// Idempotency token, for [`Input::Responded`].
        token: String,
    },
    /// Releases an endpoint to the platform.
    Release {
        /// Name of the endpoint.
        endpoint: Name,
        /// Idempotency token, for [`Input::Responded`].
        token: String,
    },
}
