//! Quarantine of requests that crash the endpoints that run them.
//!
//! Every request in flight at an endpoint that crashes becomes a suspect, identified by a keyed
//! fingerprint of its organisation, route and body. A message that requests share becomes one after
//! several crashes ([`crate::suspect`]). A suspect is sent only to an endpoint that runs
//! no other suspect, so a further crash can be attributed to it. At [`CRASH_LIMIT`] crashes, the
//! request is refused. Entries expire. Crash counts are merged by their maximum, so instances may
//! exchange them in any order and any number of times.
//!
//! This module does no I/O and reads no clock; the owner of a [`Quarantine`] locks it for each
//! operation.

use {agate_core::Mono, indexmap::IndexMap, std::time::Duration};

/// Keyed hash of a request.
pub type Fingerprint = u64;

/// Number of crashes at which a request is refused.
pub const CRASH_LIMIT: u8 = 2;
/// Lifetime of an entry after its last crash.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Most entries kept; the oldest are removed first.
pub const CAPACITY: usize = 4096;

/// Suspicion of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of endpoint crashes while the request was in flight at the endpoint.
    pub crashes: u8,
    /// Time at which the entry expires.
    pub until: Mono,
}

/// How a request may run, from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// On any endpoint.
    Allowed,
    /// Only on an endpoint that runs no other suspect.
    Isolated,
    /// Not at all.
    Refused,
}

/// Suspected requests, by fingerprint.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: IndexMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Returns how a request may run at `now`.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Mono) -> Verdict {
        match self.entries.get(&fingerprint).filter(|e| e.until > now) {
            None => Verdict::Allowed,
            Some(e) if e.crashes < CRASH_LIMIT => Verdict::Isolated,
            Some(_) => Verdict::Refused,
        }
    }

    /// Records that an endpoint crashed while the request was in flight there.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Mono) {
        let known = self.entries.get(&fingerprint).filter(|e| e.until > now);
        let crashes = known.map_or(0, |e| e.crashes).saturating_add(1);
        self.insert(fingerprint, Entry { crashes, until: now + RETENTION });
    }

    /// Records a complete response to the request. This removes its entry, unless it has reached
    /// [`CRASH_LIMIT`].
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.entries.get(&fingerprint).is_some_and(|e| e.crashes < CRASH_LIMIT) {
            self.entries.shift_remove(&fingerprint);
        }
    }

    /// Records a complete response to a request that was sent at `sent`. Unlike
    /// [`Quarantine::clear`], this keeps the entry if its last crash came after that.
    pub fn clear_sent(&mut self, fingerprint: Fingerprint, sent: Mono) {
        let last_crash = |e: &Entry| e.until.saturating_sub(RETENTION);
        if self.entries.get(&fingerprint).is_some_and(|e| last_crash(e) <= sent) {
            self.clear(fingerprint);
        }
    }

    /// Merges an entry of another instance that expires after `left`.
    pub fn merge(&mut self, fingerprint: Fingerprint, crashes: u8, left: Duration, now: Mono) {
        let until = now + left.min(RETENTION);
        let known = self.entries.get(&fingerprint).copied();
        let known = known.unwrap_or(Entry { crashes: 0, until: Duration::ZERO });
        if crashes > known.crashes {
            self.insert(fingerprint, Entry { crashes, until });
        }
    }

    /// Returns the newest unexpired entries, at most `count`, as fingerprint, crashes and time to
    /// expiry.
    pub fn newest(&self, count: usize, now: Mono) -> Vec<(Fingerprint, u8, Duration)> {
        let live = self.entries.iter().rev().filter(|(_, e)| e.until > now);
        live.take(count).map(|(p, e)| (*p, e.crashes, e.until - now)).collect()
    }

    /// Number of entries, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: Entry) {
        // The removal moves the fingerprint to the end, so the first entry is always the oldest.
        self.entries.shift_remove(&fingerprint);
        self.entries.insert(fingerprint, entry);
        if self.entries.len() > CAPACITY {
            self.entries.shift_remove_index(0);
        }
    }
}
