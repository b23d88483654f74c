//! Whether a request may be sent to an endpoint again.
//!
//! A request is sent again only if no byte of it was written, if the endpoint stated that it did
//! not run it, or if it is idempotent. Retries draw on a [`Budget`] that refills by a share of the
//! requests of the pool, so failing endpoints cannot multiply the load on the others.

use {
    crate::ranking::mix,
    agate_core::Retry,
    std::{
        sync::atomic::{AtomicU32, Ordering::Relaxed},
        time::Duration,
    },
};

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Time left to the deadline below which no retry is worth while.
pub const MIN_LEFT: Duration = Duration::from_millis(20);
/// Upper bound of the first delay.
pub const DELAY_BASE: Duration = Duration::from_millis(10);
/// Upper bound of any delay.
pub const DELAY_MAX: Duration = Duration::from_millis(250);

/// Units of one retry in the budget.
const UNIT: u32 = 1_000;
/// Units that each first attempt adds: nine retries in a hundred requests.
const REFILL: u32 = 90;
/// Units that the budget holds at most and starts with.
const CAPACITY: u32 = 10 * UNIT;

/// What is known about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether any byte of the request was written.
    pub sent: bool,
    /// Whether the endpoint stated that it did not run the request.
    pub declared_unrun: bool,
}

/// Retries that one pool may still make.
#[derive(Debug)]
pub struct Budget {
    units: AtomicU32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { units: AtomicU32::new(CAPACITY) }
    }
}

impl Budget {
    /// Counts the first attempt of a request.
    pub fn on_request(&self) {
        let add = |units: u32| Some((units + REFILL).min(CAPACITY));
        let _ = self.units.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn take(&self) -> bool {
        self.units.fetch_update(Relaxed, Relaxed, |units| units.checked_sub(UNIT)).is_ok()
    }
}

/// Decides whether a request is sent again after `attempts` attempts, and why it may be.
///
/// A retry that is granted is taken out of the budget.
pub fn may_retry(
    kind: Failure,
    idempotent: bool,
    attempts: u32,
    left: Duration,
    budget: &Budget,
) -> Option<Retry> {
    let reason = if !kind.sent {
        Retry::Unsent
    } else if kind.declared_unrun {
        Retry::DeclaredUnrun
    } else if idempotent {
        Retry::Idempotent
    } else {
        return None;
    };
    if attempts >= MAX_ATTEMPTS || left < MIN_LEFT || !budget.take() {
        return None;
    }
    Some(reason)
}

/// Delay before the retry that follows `attempts` attempts, drawn from `seed`.
///
/// The first retry after an attempt that was not sent goes to another endpoint and needs no delay;
/// the caller decides that. The delay never exceeds half of the time `left`.
pub fn delay(attempts: u32, left: Duration, seed: u64) -> Duration {
    let bound = (DELAY_BASE * (1 << attempts.min(8))).min(DELAY_MAX).min(left / 2);
    let share = (mix(seed, u64::from(attempts)) >> 32) as f64 / f64::from(u32::MAX);
    bound.mul_f64(share.min(1.0))
}
