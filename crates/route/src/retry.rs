//! Retry rules: whether a request may be sent to an endpoint again.
//!
//! A request is retried only if no byte of it was written, if the endpoint stated that it did not
//! run the request, or if the request is idempotent. Retries are taken from a [`Budget`] that is
//! refilled by a fraction of the pool's requests, so failing endpoints cannot multiply the load on
//! the others.

use {
    crate::ranking::mix,
    agate_core::Retry,
    std::{
        sync::atomic::{AtomicU32, Ordering::Relaxed},
        time::Duration,
    },
};

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Time to the deadline below which a request is not retried.
pub const MIN_LEFT: Duration = Duration::from_millis(20);
/// Base of the exponential upper bound of delays.
pub const DELAY_BASE: Duration = Duration::from_millis(10);
/// Maximum delay.
pub const DELAY_MAX: Duration = Duration::from_millis(250);

/// Budget units that one retry takes.
const UNIT: u32 = 1_000;
/// Budget units that each first attempt adds: nine retries per hundred requests.
const REFILL: u32 = 90;
/// Maximum and initial number of units in the budget.
const CAPACITY: u32 = 10 * UNIT;

/// How far a failed attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether any byte of the request was written.
    pub sent: bool,
    /// Whether the endpoint stated that it did not run the request.
    pub declared_not_run: bool,
}

/// Retry budget of one pool, as a token bucket.
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
    /// Refills the budget for the first attempt of a request.
    pub fn on_request(&self) {
        let add = |units: u32| Some((units + REFILL).min(CAPACITY));
        let _ = self.units.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn take(&self) -> bool {
        self.units.fetch_update(Relaxed, Relaxed, |units| units.checked_sub(UNIT)).is_ok()
    }
}

/// Decides whether a request may be retried after `attempts` attempts with `left` time to the
/// deadline, and returns the reason that allows it.
///
/// An allowed retry is taken from the budget.
pub fn may_retry(
    kind: Failure,
    idempotent: bool,
    attempts: u32,
    left: Duration,
    budget: &Budget,
) -> Option<Retry> {
    let reason = if !kind.sent {
        Retry::Unsent
    } else if kind.declared_not_run {
        Retry::DeclaredNotRun
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

/// Delay before the retry after `attempts` attempts: exponential backoff with full jitter from
/// `seed`.
///
/// The first retry after an attempt that was not sent goes to another endpoint and needs no delay;
/// the caller decides that. The delay never exceeds half of the time `left`.
pub fn delay(attempts: u32, left: Duration, seed: u64) -> Duration {
    let bound = (DELAY_BASE * (1 << attempts.min(8))).min(DELAY_MAX).min(left / 2);
    let share = (mix(seed, u64::from(attempts)) >> 32) as f64 / f64::from(u32::MAX);
    bound.mul_f64(share.min(1.0))
}
