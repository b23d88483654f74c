//! What instances tell each other through a coordinator.
//!
//! The instances ranked first ([`agate_view::peers::ranked`]) are coordinators. Every instance sends
//! its load of the endpoints to the first coordinator that answers; the answer holds the load of all
//! others, how old the coordinator's own proofs are ([`coordinator`], [`asker`]), and the time of day
//! that the instances agree on ([`clocks`]). So the fleet
//! reads the store about as often as one instance alone would. Usage goes to every coordinator.
//!
//! A proof that is taken over is as old as the coordinator said, counted from *before* the question
//! was sent, so delays on the way only make it older. Nothing depends on an answer: a belief that is
//! not confirmed in time is read from the store, and usage that is not acknowledged is written there.

pub mod asker;
pub mod assembly;
pub mod changes;
pub mod clocks;
pub mod coordinator;
pub mod message;
pub mod runner;
pub mod sums;

/// Identifies an endpoint by a hash of its name.
pub type EndpointHash = u32;
/// Number of a question; grows within one incarnation.
pub type Round = u64;
