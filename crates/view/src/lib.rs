//! Local view of the state that all instances share, and its age.
//!
//! [`table::Table`] is the configuration as the request path uses it, [`roster`] decides which
//! endpoints may be used, and [`peers`] lists the other instances. The view comes from linearizable
//! reads of the store. Such a read confirms that nothing acknowledged before it was sent is
//! missing. [`clock::now`] keeps running while the machine is suspended, so the age is right after
//! a resume.

mod announce;
pub mod clock;
pub mod follow;
pub mod framing;
pub mod local_view;
pub mod peers;
pub mod roster;
pub mod shared_record;
mod store_health;
pub mod table;

pub use {
    local_view::LocalView,
    roster::{Entry, Stage},
    table::Table,
};
