//! Connections to endpoints, and single exchanges over them.
//!
//! [`link`] opens connections and keeps idle ones, [`tally`] counts the bytes that left the process, [`flight`] the requests in progress,
//! [`truth`] is the proof that a request was not run, and [`exchange`] sends one request over one
//! connection and gives back what may still be done with it. Which headers an interface uses is
//! passed in as [`exchange::Signs`].

pub mod call;
pub mod exchange;
pub mod flight;
pub mod link;
pub mod tally;
pub mod truth;
