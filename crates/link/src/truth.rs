//! Proof that a request was not run.
//!
//! A refusal may say "not run" only while no byte of the request has been written to any endpoint,
//! or when the endpoint itself stated that it ran nothing. [`Untouched`] is that proof: one value
//! is made when a request is accepted, it cannot be copied, a dispatch consumes it, and it comes
//! back only if the dispatch wrote nothing or the endpoint declared that it ran nothing. Replies
//! that say "not run" consume it, so the type system rejects any other way to build one.

use crate::exchange::Signs;

/// Proof that no endpoint ran any part of the request that it belongs to.
#[derive(Debug)]
pub struct Untouched(());

impl Untouched {
    /// Makes the proof for a request that was just accepted. Called once per request.
    pub fn accept() -> Self {
        Self(())
    }
}

/// Proof that a request may be sent again although it may have run.
#[derive(Clone, Copy, Debug)]
pub struct Repeatable(());

impl Repeatable {
    /// The route declares its calls idempotent.
    pub fn idempotent(declared: bool) -> Option<Self> {
        declared.then_some(Self(()))
    }

    /// Token generation has no effect beyond its answer, so it may be resumed.
    pub fn generation() -> Self {
        Self(())
    }
}

/// Permission to send a request to an endpoint.
#[derive(Debug)]
pub enum Grant {
    /// The request has not been run by anyone.
    First(Untouched),
    /// The request may have run; sending it again does no harm.
    Again(Repeatable),
}

impl Grant {
    /// Permission left after an exchange that wrote `written` bytes and failed.
    pub fn after(self, written: u64) -> Option<Self> {
        match self {
            Grant::First(proof) => (written == 0).then_some(Grant::First(proof)),
            Grant::Again(r) => Some(Grant::Again(r)),
        }
    }

    /// The proof that nothing ran, if it still holds.
    pub fn untouched(self) -> Option<Untouched> {
        match self {
            Grant::First(proof) => Some(proof),
            Grant::Again(_) => None,
        }
    }

    /// Permission left after an endpoint stated that it ran nothing in this exchange.
    pub fn declared(self, _: Declared) -> Self {
        self
    }
}

/// An endpoint's own statement that it ran nothing.
#[derive(Debug)]
pub struct Declared(());

impl Declared {
    /// Reads the statement from the head of an endpoint's answer.
    pub fn read(head: &http::response::Parts, signs: &Signs) -> Option<Self> {
        (signs.unrun)(head).then_some(Self(()))
    }
}
