//! One request from accept to its last byte.
//!
//! [`server::Front`] accepts connections, over [`tls`] if asked, and hands each request to
//! [`serve::handle`]. A request
//! matches a route, its caller is identified, its body read, and it goes the way of [`model`] or
//! [`service`]. Both send it through [`agate_link::exchange`] over a [`agate_link::link`] to one endpoint after another
//! until there is an answer or nothing may be tried any more.
//!
//! Invariants: a reply says "not run" only with a [`agate_link::truth::Untouched`] in hand; no endpoint sees
//! a caller's key ([`header::for_endpoint`] is the only way to build its headers); a model stream
//! ends cleanly only if it is whole ([`token`]).

pub mod booking;
pub mod caller;
mod connection;
pub mod decision;
pub mod desk;
pub mod dispatch;
pub mod gate;
pub mod header;
pub mod meter;
pub mod model;
pub mod prompt;
pub mod quarantine;
pub mod reply;
pub mod serve;
pub mod server;
pub mod service;
pub mod spend;
pub mod sse;
mod stage;
pub mod suspect;
pub mod tls;
pub mod token;
