//! One request from its caller to an endpoint and back.
//!
//! [`server::Front`] accepts connections and hands each request to [`serve::handle`], which finds
//! route and organisation and checks that the beliefs behind them are fresh. [`run`] sends it to one
//! endpoint after another until there is an answer or nothing may be tried any more; [`split`] has long
//! prompts read by another engine first; [`stream`]
//! passes a stream of events on and resumes it where that is allowed. [`place`] (which endpoint),
//! [`arrivals`], [`spare`] and [`headcount`] (whether a further call may be made) are pure.
//!
//! Invariants: a refusal that says "not run" holds an [`agate_link::truth::Untouched`]; an answer is
//! passed on whole or ends as an error; headers towards endpoints come from the dialect only, which
//! never passes on a key.

pub mod arrivals;
pub mod ask;
pub mod begun;
pub mod demand;
pub mod dialect;
pub mod endpoint;
pub mod events;
pub mod fleet;
pub mod gate;
pub mod headcount;
pub mod load;
pub mod meter;
pub mod note;
pub mod pace;
pub mod place;
pub mod ready;
pub mod refusal;
pub mod run;
pub mod serve;
pub mod server;
pub mod shape;
pub mod spare;
pub mod split;
pub mod stay;
pub mod stream;
mod suspect;
pub mod worth;

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::{convert::Infallible, io},
};

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Body of bytes that are all there.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e: Infallible| match e {}).boxed_unsync()
}
