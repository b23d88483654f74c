//! Requests that crash the endpoints that run them.
//!
//! Every request in flight at an endpoint that crashed is suspected, by a keyed fingerprint of its
//! organisation, route and body. A suspect runs again only on an endpoint that runs no other one,
//! so the next crash names the one that caused it: a second crash quarantines its fingerprint.
//! Entries expire. Crash counts are merged by their maximum, so they spread between instances in
//! any order and any number of times.
//!
//! This is a pure state machine; [`Quarantine`] is locked by its caller for each step.

use {agate_core::Mono, indexmap::IndexMap, std::time::Duration};

/// Keyed hash of a request.
pub type Fingerprint = u64;

/// Crashes at which a request is refused.
pub const CRASH_LIMIT: u8 = 2;
/// Time for which a suspicion is remembered.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Most fingerprints remembered; the oldest are forgotten first.
pub const CAPACITY: usize = 4096;

/// What is known about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Endpoint crashes during which it was in flight.
    pub crashes: u8,
    /// When the entry expires.
    pub until: Mono,
}

/// How a request may run, the mildest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Beside any others.
    Free,
    /// Only on an endpoint that runs no other suspect.
    Alone,
    /// Not at all.
    Refused,
}

/// Suspected requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: IndexMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Decides how a request may run.
    pub fn judge(&self, print: Fingerprint, now: Mono) -> Verdict {
        match self.entries.get(&print).filter(|e| e.until > now) {
            None => Verdict::Free,
            Some(e) if e.crashes < CRASH_LIMIT => Verdict::Alone,
            Some(_) => Verdict::Refused,
        }
    }

    /// Records that an endpoint crashed while the request was in flight there.
    pub fn crash(&mut self, print: Fingerprint, now: Mono) {
        let known = self.entries.get(&print).filter(|e| e.until > now);
        let crashes = known.map_or(0, |e| e.crashes).saturating_add(1);
        self.put(print, Entry { crashes, until: now + MEMORY });
    }

    /// Records that the request was answered whole, which clears it unless it is refused.
    pub fn clear(&mut self, print: Fingerprint) {
        if self.entries.get(&print).is_some_and(|e| e.crashes < CRASH_LIMIT) {
            self.entries.shift_remove(&print);
        }
    }

    /// Takes in what another instance knows.
    pub fn merge(&mut self, print: Fingerprint, crashes: u8, left: Duration, now: Mono) {
        let until = now + left.min(MEMORY);
        let known = self.entries.get(&print).copied();
        let known = known.unwrap_or(Entry { crashes: 0, until: Duration::ZERO });
        if crashes > known.crashes {
            self.put(print, Entry { crashes, until });
        }
    }

    /// The newest entries, at most `count`, for other instances.
    pub fn newest(&self, count: usize, now: Mono) -> Vec<(Fingerprint, u8, Duration)> {
        let live = self.entries.iter().rev().filter(|(_, e)| e.until > now);
        live.take(count).map(|(p, e)| (*p, e.crashes, e.until - now)).collect()
    }

    /// Number of fingerprints remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn put(&mut self, print: Fingerprint, entry: Entry) {
        // Removing first moves the fingerprint to the new end, so the first entry is the oldest.
        self.entries.shift_remove(&print);
        self.entries.insert(print, entry);
        if self.entries.len() > CAPACITY {
            self.entries.shift_remove_index(0);
        }
    }
}
