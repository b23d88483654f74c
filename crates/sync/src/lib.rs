//! State exchange between instances through coordinators.
//!
//! The instances ranked first ([`agate_view::peers::ranked`]) are coordinators. Every instance
//! sends its endpoint load to the first coordinator that responds. The response holds the load of
//! all other instances, the age of the coordinator's own confirmations ([`coordinator`],
//! [`poller`]) and the agreed time of day ([`clocks`]). All instances together therefore read the
//! store about as often as one alone would. Usage counts go to every coordinator. The use of
//! organisations' quotas is summed up in the same way, in messages of its own ([`quota_sums`]).
//!
//! Where organisations have shares, instances also report their work ([`share_exchange`],
//! [`share_sums`]).
//!
//! A confirmation taken from a response is dated back by its stated age from *before* the request
//! was sent, so network delay can only make it look older. Nothing depends on a response: data that
//! is not confirmed in time is read from the store, and usage that is not acknowledged is written
//! there. While the store confirms nothing either, an instance asks others whether most of them have
//! anything newer ([`agreement`]).

pub mod agreement;
pub mod changes;
pub mod clocks;
pub mod coordinator;
pub mod message;
pub mod poller;
mod quota_exchange;
pub mod quota_sums;
pub mod reassembly;
pub mod runner;
pub mod secret;
pub mod sender;
pub mod share_exchange;
pub mod share_sums;
pub mod sums;
mod survey;
mod usage_push;

/// Hash of an endpoint's name.
pub type EndpointHash = u32;
/// Hash of an organisation's name and its quota's unit.
pub type QuotaKey = u64;
/// Number of windows in which the use of quotas is reported.
pub const QUOTA_WINDOWS: usize = 4;
/// Number of a request or usage round; increases within one incarnation.
pub type Round = u64;
