//! Delays between attempts, and before the first call after a start.

use {agate_core::time, std::time::Duration};

/// Maximum delay before attempt `round` (from zero): `base`, doubled each round, at most `max`.
pub fn ceiling(round: u32, base: Duration, max: Duration) -> Duration {
    let factor = 1u32.checked_shl(round.min(31)).unwrap_or(u32::MAX);
    base.checked_mul(factor).unwrap_or(max).min(max)
}

/// Delay before attempt `round`, with full jitter: `draw` in 0..1 selects a point below the
/// ceiling.
pub fn delay(round: u32, base: Duration, max: Duration, draw: f64) -> Duration {
    ceiling(round, base, max).mul_f64(draw)
}

/// Delay before an instance's own first read after a start.
///
/// If all `instances` start together and no peer has the required data, their `calls` reads each
/// are spread so that together they make `rate` reads per second. In the meantime an instance asks
/// its peers, and reads the store itself only if none has answered when the delay has passed.
pub fn start_delay(instances: usize, calls: u32, rate: u32, draw: f64) -> Duration {
    let window = instances as f64 * f64::from(calls) / f64::from(rate.max(1));
    time::seconds(window * draw)
}
