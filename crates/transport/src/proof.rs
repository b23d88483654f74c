//! Proof that a request was not run.
//!
//! A refusal may say "not run" only if no byte of the request was written to any endpoint, or if
//! the endpoint stated that it ran nothing. [`NotRunProof`] is the proof of this. One value is
//! created when a request is accepted. It cannot be copied, sending the request consumes it, and it
//! is returned only if nothing was written or the endpoint stated that it ran nothing. Responses
//! that say "not run" consume it, so no other code can build one.

use crate::exchange::ResponseMarkers;

/// Proof that no endpoint ran any part of the request it belongs to.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Creates the proof for a request that was just accepted. Called once per request.
    pub fn accept() -> Self {
        Self(())
    }
}

/// Proof that a request may be sent again although it may have run.
#[derive(Clone, Copy, Debug)]
pub struct Retryable(());

impl Retryable {
    /// Returns the proof if the route declares its calls as idempotent.
    pub fn idempotent(declared: bool) -> Option<Self> {
        declared.then_some(Self(()))
    }

    /// Returns the proof for token generation, which has no effect other than its response and may
    /// be resumed.
    pub fn generation() -> Self {
        Self(())
    }
}

/// Permission to send a request to an endpoint.
#[derive(Debug)]
pub enum Grant {
    /// No endpoint has run the request.
    First(NotRunProof),
    /// The request may have run; sending it again has no further effect.
    Again(Retryable),
}

impl Grant {
    /// Returns the permission that remains after a failed exchange that wrote `written` bytes.
    pub fn after(self, written: u64) -> Option<Self> {
        match self {
            Grant::First(proof) => (written == 0).then_some(Grant::First(proof)),
            Grant::Again(r) => Some(Grant::Again(r)),
        }
    }

    /// Returns the proof that nothing ran, if it still holds.
    pub fn not_run_proof(self) -> Option<NotRunProof> {
        match self {
            Grant::First(proof) => Some(proof),
            Grant::Again(_) => None,
        }
    }

    /// Returns the permission that remains after an endpoint stated that it ran nothing in this
    /// exchange.
    pub fn declared(self, _: Declared) -> Self {
        self
    }
}

/// Statement of an endpoint that it ran nothing.
#[derive(Debug)]
pub struct Declared(());

impl Declared {
    /// Reads the statement from the head of an endpoint's response, if it contains one.
    pub fn read(head: &http::response::Parts, markers: &ResponseMarkers) -> Option<Self> {
        (markers.not_run)(head).then_some(Self(()))
    }
}
