//! Adapters to the platform over HTTP and JSON: store, fleet, usage and instance list.
//!
//! [`http`] carries one call; the other modules translate a typed port into calls and answers back.
//! The client never repeats a call: what may be repeated is decided by the callers of the ports.

pub mod fleet;
pub mod http;
pub mod instances;
pub mod store;
pub mod usage;
