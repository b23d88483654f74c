//! Clients of the platform's HTTP interfaces: key-value store, fleet, usage and instance list.
//!
//! [`http`] sends a request; the other modules convert typed calls into requests and the responses
//! into results. Nothing here retries: the callers decide which calls may be retried.

pub mod fleet;
pub mod http;
pub mod instances;
pub mod store;
pub mod usage;
