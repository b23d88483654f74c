//! Request handling, from the accepted connection to the last byte of the response.
//!
//! [`server::HttpServer`] accepts connections, over [`tls`] if configured, and passes each request to
//! [`serve::handle`]. The request is matched to a route, its caller is identified, its body is
//! read, and [`model`] or [`service`] handles it. Both send it through [`agate_transport::exchange`]
//! over connections of [`agate_transport::link`] to one endpoint after another until one responds or no
//! further attempt is allowed.
//!
//! Invariants: a response says "not run" only if an [`agate_transport::proof::NotRunProof`] proves it; no
//! endpoint receives a caller's key ([`header::for_endpoint`] is the only function that builds the
//! headers of its requests); a model stream ends cleanly only if it is complete ([`token`]).

pub mod admission;
pub mod caller;
mod connection;
pub mod decision;
pub mod dispatch;
pub mod header;
pub mod idempotency;
pub mod metrics;
pub mod model;
pub mod model_request;
pub mod proxy_state;
pub mod quarantine;
pub mod refusal;
mod response_filter;
pub mod serve;
pub mod server;
pub mod service;
pub mod spend;
pub mod sse;
pub mod suspect;
pub mod tls;
pub mod token;
