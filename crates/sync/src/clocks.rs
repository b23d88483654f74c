//! What time of day the instances agree on.
//!
//! The time of day of a machine may be off by seconds. A running instance keeps the time that it
//! knew before a jump, but one that starts on such a machine knows nothing better. So each instance
//! tells by how much its own time differs from the coordinator's and for how long it has kept it, and
//! the coordinator answers with the median, in which a long-kept time weighs more than that of an
//! instance that has just started.
//!
//! A difference is measured at the asking instance, by an answer that came soon, and stays true
//! however late the coordinator hears of it; a time that is told would be off by its delay.

use {
    agate_core::{Mono, Wall},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Difference of two times of day in microseconds.
pub type Ahead = i64;

/// Time for which a time of day must have been kept to have full weight; several times as long as
/// clocks of the users' machines stay off after a jump.
pub const FULL_WEIGHT: Duration = Duration::from_secs(60);
/// Longest way of a question and its answer for which the answer's time is used: half of it may be
/// the error.
pub const LONGEST_WAY: Duration = Duration::from_millis(200);
/// Part of the known instances, in percent, whose votes an agreement needs.
const QUORUM_PERCENT: usize = 66;

/// What an instance takes the time of day to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// By how much it is ahead of the coordinator's own time.
    pub ahead: Ahead,
    /// Seconds for which the instance has kept this time.
    pub kept: u32,
}

impl Vote {
    /// Makes a vote.
    pub fn new(ahead: Ahead, kept: Duration) -> Self {
        Self { ahead, kept: u32::try_from(kept.as_secs()).unwrap_or(u32::MAX) }
    }

    fn weight(&self) -> u64 {
        u64::from(self.kept).min(FULL_WEIGHT.as_secs()) + 1
    }
}

/// What a coordinator tells of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// Its own time of day in microseconds since the Unix epoch.
    pub wall: u64,
    /// By how much the agreed time is ahead of it; `None` without an agreement.
    pub agreed: Option<Ahead>,
}

/// The weighted median of `votes`, if enough of the `known` instances voted.
pub fn agreed(mut votes: Vec<Vote>, known: usize) -> Option<Ahead> {
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

/// A coordinator's own time of day at `now` by its answer to a question that was sent at `sent`;
/// `None` if the answer was under way for too long.
pub fn answered(clock: &Clock, sent: Mono, now: Mono) -> Option<Wall> {
    let way = now.saturating_sub(sent);
    (way <= LONGEST_WAY).then(|| Duration::from_micros(clock.wall) + way / 2)
}

/// By how much `wall` is ahead of `other`.
pub fn ahead(wall: Wall, other: Wall) -> Ahead {
    let by = Ahead::try_from(wall.abs_diff(other).as_micros()).unwrap_or(Ahead::MAX);
    if wall >= other { by } else { -by }
}

/// The time of day that is `ahead` of `wall`.
pub fn shifted(wall: Wall, ahead: Ahead) -> Wall {
    let by = Duration::from_micros(ahead.unsigned_abs());
    if ahead >= 0 { wall + by } else { wall.saturating_sub(by) }
}
