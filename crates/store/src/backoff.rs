//! Delays between attempts and before the first call after a start.

use std::time::Duration;

/// Longest delay before attempt `round` (from zero): `base` doubled each round, at most `max`.
pub fn ceiling(round: u32, base: Duration, max: Duration) -> Duration {
    let factor = 1u32.checked_shl(round.min(31)).unwrap_or(u32::MAX);
    base.checked_mul(factor).unwrap_or(max).min(max)
}

/// Delay before attempt `round`, spread over the whole ceiling by `draw` in 0..1.
pub fn delay(round: u32, base: Duration, max: Duration, draw: f64) -> Duration {
    ceiling(round, base, max).mul_f64(draw)
}

/// Delay before an instance's own first read after a start.
///
/// If all `instances` start together and none finds a peer that has what it needs, their `calls`
/// reads each are spread so that together they take `rate` a second. An instance asks its peers
/// meanwhile, and reads for itself only if none could answer when the delay has passed.
pub fn start_delay(instances: usize, calls: u32, rate: u32, draw: f64) -> Duration {
    let window = instances as f64 * f64::from(calls) / f64::from(rate.max(1));
    Duration::from_secs_f64(window * draw)
}
