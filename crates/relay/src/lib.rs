//! Proxies one request from a caller to an endpoint and back.
//!
//! [`server::HttpServer`] accepts connections and passes each request to [`serve::handle`], which finds
//! its route and organisation and checks that the configuration behind them is fresh. [`run`] sends
//! the request to one endpoint after another until one responds or no further attempt is allowed.
//! [`prefill`] first has long prompts prefilled by another engine. [`stream`] forwards a stream of
//! events and resumes it where that is allowed; [`evacuation`] decides which ones are moved off endpoints
//! that leave. [`hedge`] sends a slow request to a second endpoint if a setting allows it.
//! [`placement`] (which endpoint), [`calls`],
//! [`retry_budget`] and [`instance_count`] (whether another call may be made) are pure.
//! [`org_quota`] holds the quotas of organisations, [`org_shares`] divides the engines of an overloaded service between organisations.
//! [`signal_store`] remembers what endpoints state about themselves in their responses: rate limits,
//! rests and that they are leaving.
//!
//! Invariants:
//!
//! - A refusal that says "not run" holds an [`agate_transport::proof::NotRunProof`].
//! - A response is forwarded completely or ends as an error.
//! - Headers sent to endpoints come from the dialect only, which never forwards an API key.

pub mod announced_changes;
pub mod assignment;
mod attempt;
pub mod calls;
mod crash;
pub mod demand;
pub mod dialect;
pub mod endpoint;
pub mod evacuation;
pub mod events;
pub mod fleet;
pub mod hedge;
pub mod instance_count;
pub mod late;
pub mod latency;
pub mod load;
pub mod metrics;
mod moving;
pub mod org_quota;
pub mod org_shares;
pub mod path_watch;
pub mod placement;
pub mod prefill;
pub mod proxy_state;
mod rate_share;
pub mod ready;
pub mod record;
pub mod refusal;
pub mod reporters;
pub mod request_info;
pub mod requirements;
pub mod retry_budget;
pub mod run;
pub mod serve;
pub mod server;
pub mod signal_store;
mod signals;
pub mod started;
pub mod stream;
mod stream_version;
mod survival;

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::{convert::Infallible, io},
};

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Makes a body from bytes that are all in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e: Infallible| match e {}).boxed_unsync()
}
