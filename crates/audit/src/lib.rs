//! Checks the recorded history of a test run against the system's invariants.
//!
//! A [`History`] contains the requests and responses of callers, the executions by endpoints, the
//! orders to engines and to the platform, and the injected faults. [`check`] tests each invariant
//! below and returns the violations with their evidence. This crate depends on none of the crates
//! that it checks.
//!
//! | invariant | rule |
//! | --- | --- |
//! | [`Invariant::Orders`] | an engine receives no order while it executes a different one |
//! | [`Invariant::Changes`] | no planned change other than a stop interrupts a request |
//! | [`Invariant::Authority`] | an engine executes no order of a holder after one of a newer holder |
//! | [`Invariant::Owner`] | except on open routes, a request runs only for its key's organisation |
//! | [`Invariant::Secrecy`] | no endpoint receives an API key |
//! | [`Invariant::Revocation`] | no request starts with a revoked key after the time limit |
//! | [`Invariant::Fleet`] | the fleet receives orders from one lease holder at a time |
//! | [`Invariant::Usage`] | a window has one set of figures, and a shard one lease holder at a time |
//! | [`Invariant::Responses`] | a caller gets the complete response to its own request, except in a fault |
//! | [`Invariant::NotRun`] | a request whose response says "not run" was not executed |
//! | [`Invariant::Idempotency`] | a request with an idempotency key is executed at most once |
//! | [`Invariant::Leaving`] | a leaving endpoint gets no new requests after the time limit |
//! | [`Invariant::Stops`] | a planned stop completes and interrupts no request |
//! | [`Invariant::Generations`] | all instances install an accepted generation in time and keep it |
//!
//! A fault explains a failed call only if it affected the call's instance, or an endpoint that
//! executed the call, during the call or an earlier one with the same idempotency key. Faults of
//! the store explain only calls with an idempotency key, since no others depend on the store.

mod access;
mod control;
mod deadlines;
mod executions;
mod failures;

pub mod history;
pub mod rate_limits;
pub mod rests;
pub mod retries;

pub use history::History;

/// Rule that must always hold; see the table of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// An engine executes one order at a time.
    Orders,
    /// Planned changes interrupt no requests.
    Changes,
    /// Orders of former lease holders have no effect.
    Authority,
    /// Requests run for the organisation of their API key.
    Owner,
    /// Endpoints receive no API keys.
    Secrecy,
    /// Revoked keys stop working in time.
    Revocation,
    /// The fleet has one lease holder at a time.
    Fleet,
    /// Usage figures of a window do not change.
    Usage,
    /// Responses are complete and belong to the request.
    Responses,
    /// A "not run" statement is true.
    NotRun,
    /// Requests with an idempotency key are executed at most once.
    Idempotency,
    /// Leaving endpoints get no new requests after the time limit.
    Leaving,
    /// Planned stops complete and interrupt no requests.
    Stops,
    /// Accepted generations are installed in time and kept.
    Generations,
}

impl Invariant {
    /// Every invariant, in the order of the table.
    pub const ALL: [Invariant; 14] = [
        Invariant::Orders,
        Invariant::Changes,
        Invariant::Authority,
        Invariant::Owner,
        Invariant::Secrecy,
        Invariant::Revocation,
        Invariant::Fleet,
        Invariant::Usage,
        Invariant::Responses,
        Invariant::NotRun,
        Invariant::Idempotency,
        Invariant::Leaving,
        Invariant::Stops,
        Invariant::Generations,
    ];

    /// Evidence of each violation of this invariant.
    fn evidence(self, history: &History) -> Vec<String> {
        match self {
            Invariant::Orders => control::concurrent_orders(history),
            Invariant::Changes => failures::by_changes(history),
            Invariant::Authority => control::stale_orders(history),
            Invariant::Owner => access::wrong_organisations(history),
            Invariant::Secrecy => access::leaked_keys(history),
            Invariant::Revocation => access::revoked_keys(history),
            Invariant::Fleet => control::fleet_holders(history),
            Invariant::Usage => control::usage_reports(history),
            Invariant::Responses => failures::responses(history),
            Invariant::NotRun => executions::false_not_run(history),
            Invariant::Idempotency => executions::repeated_runs(history),
            Invariant::Leaving => deadlines::late_starts(history),
            Invariant::Stops => failures::by_stops(history),
            Invariant::Generations => deadlines::generations(history),
        }
    }
}

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that was violated.
    pub invariant: Invariant,
    /// Calls, runs or orders that violate it, with their times.
    pub evidence: String,
}

/// Returns every violation in `history`, by invariant.
pub fn check(history: &History) -> Vec<Violation> {
    let of = |invariant: Invariant| {
        let all = invariant.evidence(history).into_iter();
        all.map(move |evidence| Violation { invariant, evidence })
    };
    Invariant::ALL.into_iter().flat_map(of).collect()
}
