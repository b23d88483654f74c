//! Identifiers, time types, refusal and retry reasons, and name interning shared by all crates.
//!
//! Nothing here performs I/O or reads a clock. Decision logic in the other crates takes the
//! current time as a [`Mono`] argument, so the same functions run under virtual time in tests
//! and under the operating system's clock in production.

pub mod forecast;
pub mod grant;
pub mod ids;
pub mod intern;
pub mod reason;
pub mod time;

pub use {
    forecast::Forecast,
    grant::Grant,
    ids::{EndpointId, FenceToken, Generation, ModelId, OrgId, PoolId, RouteId, ZoneId},
    intern::Interner,
    reason::{Outcome, Refusal, Retry},
    time::{Mono, Wall},
};
