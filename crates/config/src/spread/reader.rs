//! Decides which instances read chunks from the store, and how fast.
//!
//! The first watcher of an availability zone reads all missing chunks, at a rate that keeps the
//! readers of the whole fleet within their limit. Any other instance reads the chunks of a fetch
//! only if they are few, so that a small change is not delayed. Otherwise it waits until it learns
//! of a peer that holds them. If there is none, the next watchers start to read one after the
//! other, and finally all instances.
//!
//! The number of concurrent readers is estimated from this instance's own view. In a fleet of `n`
//! instances that each know `z` members of their own zone, there are `n / z` first watchers. The
//! estimate also holds at the start, when each instance knows no other and considers itself the
//! first.

use {super::State, agate_core::time, std::time::Duration};

/// Maximum time for which an idle reader accumulates unused rate.
const MAX_CREDIT: Duration = Duration::from_millis(100);

/// When an instance may read from the store, and how many others may do so too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSlot {
    /// Time without a peer that holds the generation after which it reads.
    pub wait: Duration,
    /// Number of instances of the fleet that may read at the same time.
    pub readers: usize,
}

/// Returns the estimated number of availability zones in the fleet, if all have as many members as
/// this instance knows of its own.
pub fn zone_count(s: &State) -> usize {
    s.fleet.div_ceil(s.zone.len().max(1))
}

/// Returns when this instance may read.
pub fn read_slot(s: &State) -> ReadSlot {
    let rank = s.watchers.iter().position(|w| *w == s.own);
    let wait = s.settings.takeover * rank.unwrap_or(s.watchers.len()) as u32;
    let readers = rank.map_or(s.fleet, |rank| zone_count(s) * (rank + 1));
    ReadSlot { wait, readers }
}

/// Returns the interval between two chunks that this instance reads.
pub fn read_interval(s: &State) -> Duration {
    time::seconds(read_slot(s).readers as f64 / s.settings.chunk_rate)
}

/// Returns whether this instance may read all chunks of the running fetch.
pub fn reads_all(s: &State, now: Duration) -> bool {
    s.fetch.as_ref().is_some_and(|f| now >= f.behind_since + read_slot(s).wait)
}

/// Returns whether this instance may read one more chunk now, and counts it against the rate.
pub fn admit(s: &mut State, now: Duration) -> bool {
    let all = reads_all(s, now);
    let few =
        s.fetch.as_ref().is_some_and(|f| f.store_reads + f.unrequested() <= s.settings.direct);
    if !all {
        return few;
    }
    if now < s.next_chunk {
        return false;
    }
    s.next_chunk = s.next_chunk.max(now.saturating_sub(MAX_CREDIT)) + read_interval(s);
    true
}
