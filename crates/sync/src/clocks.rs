//! Agreement on the time of day.
//!
//! The wall clock of a machine may be off by seconds. A running instance is not affected when its
//! machine's clock jumps, since it keeps its earlier time, but an instance that starts on such a
//! machine has no better time. So each instance reports the offset of its clock from the
//! coordinator's and how long it has kept this time. The coordinator responds with the weighted
//! median, in which a time that was kept for long outweighs that of an instance that has just
//! started.
//!
//! The requesting instance measures the offset, and only from a fast response. An offset stays
//! valid however late it arrives, while a reported time would be wrong by the network delay.

use {
    agate_core::{Mono, Wall},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Difference of two times of day in microseconds; positive if the first is later.
pub type ClockOffset = i64;

/// Time for which a clock must have been kept to have full weight; several times as long as the
/// users' machines stay off after a jump.
pub const FULL_WEIGHT: Duration = Duration::from_secs(60);
/// Longest round trip after which the time in a response is used. The error is up to half of the
/// round trip.
pub const MAX_ROUND_TRIP: Duration = Duration::from_millis(200);
/// Percentage of the known instances whose votes are required for an agreement.
const QUORUM_PERCENT: usize = 66;

/// Clock of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Offset from the coordinator's own clock.
    pub ahead: ClockOffset,
    /// Seconds for which the instance has kept this time.
    pub kept: u32,
}

impl Vote {
    /// Creates a vote; `kept` is rounded down to seconds.
    pub fn new(ahead: ClockOffset, kept: Duration) -> Self {
        Self { ahead, kept: u32::try_from(kept.as_secs()).unwrap_or(u32::MAX) }
    }

    fn weight(&self) -> u64 {
        u64::from(self.kept).min(FULL_WEIGHT.as_secs()) + 1
    }
}

/// Clock of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// The coordinator's own time of day in microseconds since the Unix epoch.
    pub wall: u64,
    /// Offset of the agreed time from it; `None` without an agreement.
    pub agreed: Option<ClockOffset>,
}

/// Weighted median of `votes`; `None` if too few of the `known` instances voted.
pub fn weighted_median(mut votes: Vec<Vote>, known: usize) -> Option<ClockOffset> {
    if votes.len() * 100 < known * QUORUM_PERCENT {
        return None;
    }
    votes.sort_by_key(|v| v.ahead);
    let half = votes.iter().map(Vote::weight).sum::<u64>().div_ceil(2);
    let mut sum = 0;
    let median = votes.iter().find(|v| {
        sum += v.weight();
        sum >= half
    });
    median.map(|v| v.ahead)
}

/// A coordinator's time of day at `now`, from a response to the request sent at `sent`. `None` if
/// the round trip took longer than [`MAX_ROUND_TRIP`].
pub fn remote_time(clock: &Clock, sent: Mono, now: Mono) -> Option<Wall> {
    let round_trip = now.saturating_sub(sent);
    (round_trip <= MAX_ROUND_TRIP).then(|| Duration::from_micros(clock.wall) + round_trip / 2)
}

/// Offset of `wall` from `other`.
pub fn offset_from(wall: Wall, other: Wall) -> ClockOffset {
    let by = ClockOffset::try_from(wall.abs_diff(other).as_micros()).unwrap_or(ClockOffset::MAX);
    if wall >= other { by } else { -by }
}

/// The time of day `offset` after `wall`.
pub fn with_offset(wall: Wall, offset: ClockOffset) -> Wall {
    let by = Duration::from_micros(offset.unsigned_abs());
    if offset >= 0 { wall + by } else { wall.saturating_sub(by) }
}
