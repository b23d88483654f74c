//! Who reads chunks from the store, and how fast.
//!
//! The first watcher of an availability zone reads whatever lacks, at a pace that keeps the readers
//! of the whole fleet within its rate. Any other instance reads the chunks of a fetch if they are
//! few, so a small change takes no detour, and else waits until it hears of a holder. If none appears, the next
//! watchers take over one after the other, and at last any instance reads.
//!
//! How many others read is estimated from this instance's own view: a fleet of `n` in which everyone
//! knows `z` members of the own availability zone has `n / z` first watchers. The estimate also holds
//! at a start, when an instance knows nobody yet and each believes itself the first.

use {super::State, std::time::Duration};

/// Longest time of which an idle reader keeps its unused pace.
const CREDIT: Duration = Duration::from_millis(100);

/// An instance's turn to read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Time without a holder after which it reads.
    pub wait: Duration,
    /// Instances of the fleet that may read at the same time.
    pub crowd: usize,
}

/// Availability zones, or views as small as this instance's own, that make up the fleet.
pub fn views(s: &State) -> usize {
    s.fleet.div_ceil(s.zone.len().max(1))
}

/// Returns this instance's turn.
pub fn turn(s: &State) -> Turn {
    let rank = s.watchers.iter().position(|w| *w == s.own);
    let wait = s.settings.takeover * rank.unwrap_or(s.watchers.len()) as u32;
    let crowd = rank.map_or(s.fleet, |rank| views(s) * (rank + 1));
    Turn { wait, crowd }
}

/// Time between two chunks that this instance reads.
pub fn pace(s: &State) -> Duration {
    Duration::from_secs_f64(turn(s).crowd as f64 / s.settings.chunk_rate)
}

/// Whether this instance reads more than a few chunks of the fetch under way.
pub fn reads_all(s: &State, now: Duration) -> bool {
    s.fetch.as_ref().is_some_and(|f| now >= f.lacking + turn(s).wait)
}

/// Takes the leave to read one more chunk, if it is given now.
pub fn admit(s: &mut State, now: Duration) -> bool {
    let all = reads_all(s, now);
    let few = s.fetch.as_ref().is_some_and(|f| f.reads + f.unasked() <= s.settings.direct);
    if !all {
        return few;
    }
    if now < s.next_chunk {
        return false;
    }
    s.next_chunk = s.next_chunk.max(now.saturating_sub(CREDIT)) + pace(s);
    true
}
