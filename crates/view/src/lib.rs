//! What an instance believes of the state that all instances share, and how old each belief is.
//!
//! [`table::Table`] is the configuration as the request path uses it, [`roster`] decides which
//! endpoints may be used, and [`peers`] which other instances there are. Beliefs come from
//! linearizable reads of the store, so the time before such a read was sent is a proof: nothing
//! acknowledged earlier can be missing. [`clock::now`] keeps running while the machine is suspended,
//! so a woken process knows how old its beliefs are.

mod announce;
pub mod belief;
pub mod clock;
pub mod follow;
pub mod framing;
pub mod peers;
mod reach;
pub mod roster;
pub mod table;

pub use {
    belief::Belief,
    roster::{Entry, Stage},
    table::Table,
};
