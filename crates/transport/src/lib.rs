//! Connections to endpoints, and single exchanges over them.
//!
//! [`link`] opens connections and pools idle ones, [`counting_stream`] counts the bytes written to
//! a connection, [`in_flight`] counts the requests in progress, [`proof`] has the proof that a request
//! was not run, [`retry_after`] reads for how long a rejection asks for rest, [`exchange`] sends one request to an endpoint and returns the permission that
//! remains after a failure, [`buffer_budget`] limits what all responses together may buffer, and [`call`] is a client for the services of the platform. The markers
//! in an interface's responses are passed in as [`exchange::ResponseMarkers`].
//!
//! [`memory_budget`] limits what is held for callers, [`caller_choice`] decides who gives way, [`intake`] reads
//! the bodies of requests, and [`caller_stream`] tells whether callers send and read.

pub mod buffer_budget;
pub mod call;
pub mod caller_choice;
pub mod caller_stream;
pub mod counting_stream;
pub mod exchange;
pub mod in_flight;
pub mod intake;
pub mod link;
pub mod memory_budget;
pub mod proof;
pub mod retry_after;
