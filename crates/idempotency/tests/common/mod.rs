//! Instances that share one in-memory store, on virtual time.
#![allow(dead_code)]

use {
    agate_idempotency::{Claim, ClaimCoordinator, ClaimError, Permit, Settings},
    agate_store::memory::Memory,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Opens a store that uses the runtime's clock.
pub fn memory() -> Memory {
    let start = Instant::now();
    Memory::open(move || start.elapsed())
}

/// Settings of the instance with this number, on the runtime's clock.
pub fn settings(instance: u64) -> Settings {
    let start = Instant::now();
    let origin = Duration::from_secs(1_000_000);
    Settings { clock: Arc::new(move || origin + start.elapsed()), ..Settings::new(instance) }
}

/// Starts an instance on the store.
pub fn spawn(memory: &Memory, instance: u64) -> ClaimCoordinator {
    ClaimCoordinator::spawn(memory.store(), settings(instance))
}

/// Claims key `k` for the request with this `fingerprint`.
pub async fn claim(once: &ClaimCoordinator, fingerprint: u8) -> Result<Claim, ClaimError> {
    once.claim("org", "k", [fingerprint; 32]).await
}

/// Claims key `k`; panics if the claim does not succeed.
pub async fn win(once: &ClaimCoordinator) -> Permit {
    match claim(once, 1).await {
        Ok(Claim::Won(permit)) => permit,
        other => panic!("not won: {other:?}"),
    }
}

/// Short name of a result, for assertions.
pub fn label(result: &Result<Claim, ClaimError>) -> &'static str {
    match result {
        Ok(Claim::Won(_)) => "won",
        Ok(Claim::Replay(_)) => "replay",
        Ok(Claim::Conflict) => "conflict",
        Ok(Claim::Unknown) => "unknown",
        Err(ClaimError::Unavailable) => "unavailable",
        Err(ClaimError::Full) => "full",
    }
}
