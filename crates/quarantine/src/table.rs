//! Suspected requests and their trials, stored in one record that the whole fleet shares.
//!
//! Times are wall-clock times on which the instances agree. All functions are pure; a writer that
//! loses a race applies its change again to the latest table.

use {
    crate::{EndpointHash, Fingerprint},
    agate_core::Wall,
    agate_view::framing,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Pauses after the first and the second trial that crashed an endpoint. After the third, the
/// request is refused until it expires: the operators allow three trials.
const CRASH_PAUSES: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// Initial pause after a trial without a result. It is longer than a crashed endpoint's entry stays
/// listed, so that a crash shown only by the entry's removal is known before the next trial.
const UNRESOLVED_PAUSE: Duration = Duration::from_secs(5);
/// Maximum pause after trials without a result.
const MAX_UNRESOLVED_PAUSE: Duration = Duration::from_secs(60);
/// Pause after a trial that did not run, such as one that the endpoint rejected.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a suspect that crashed no endpoint in a trial expires.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// Time after its last crash at which a suspect that crashed an endpoint in a trial expires.
const CRASHER_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of suspects. Beyond it, one that crashed nothing in a trial is evicted first, the
/// oldest of several.
pub const CAPACITY: usize = 256;

/// Result of a trial that ended with neither a response nor a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialEnd {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unresolved,
}

/// One trial of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Attempt {
    endpoint: EndpointHash,
    /// Latest end, in milliseconds since the Unix epoch; zero once it has ended.
    until: u64,
    /// Whether its crash was counted.
    crashed: bool,
}

/// One suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Trials that crashed their endpoint.
    crashes: u8,
    /// Trials without a result since the last crash.
    unresolved: u8,
    /// Earliest time of the next trial, in milliseconds since the Unix epoch.
    next: u64,
    /// Last crash, in milliseconds since the Unix epoch; the time it was added if none yet.
    crashed: u64,
    /// Last trial.
    attempt: Option<Attempt>,
}

impl Suspect {
    fn is_expired(&self, now: u64) -> bool {
        let limit = if self.crashes > 0 { CRASHER_RETENTION } else { SUSPECT_RETENTION };
        now > self.crashed.saturating_add(millis(limit))
    }
}

/// All suspected requests of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    suspects: IndexMap<Fingerprint, Suspect>,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Table {
    /// Encodes the table as the record's bytes.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Decodes a record; `None` if another build wrote it or it is corrupt.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }

    /// Whether the request is a suspect.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Time until the next trial of a suspect, zero if it may begin now; `None` if it is no
    /// suspect.
    pub fn wait(&self, fingerprint: Fingerprint, now: Wall) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let now = millis(now);
        let wait = Duration::from_millis(suspect.next.saturating_sub(now));
        // Most trials soon end with a response, which clears the request, so callers retry early.
        let open = suspect.attempt.is_some_and(|a| a.until > now);
        Some(if open { wait.min(NOT_RUN_PAUSE) } else { wait })
    }

    /// Adds a suspect; returns `false` if it already was one.
    pub fn add(&mut self, fingerprint: Fingerprint, now: Wall) -> bool {
        let now = millis(now);
        self.suspects.retain(|_, s| !s.is_expired(now));
        if self.suspects.contains_key(&fingerprint) {
            return false;
        }
        if self.suspects.len() >= CAPACITY {
            let rank = |s: &Suspect| (s.crashes.min(1), s.crashed);
            let least = self.suspects.values().map(rank).enumerate().min_by_key(|(_, r)| *r);
            if let Some((index, _)) = least {
                self.suspects.shift_remove_index(index);
            }
        }
        let suspect = Suspect { crashes: 0, unresolved: 0, next: now, crashed: now, attempt: None };
        self.suspects.insert(fingerprint, suspect);
        true
    }

    /// Removes a suspect after a response to it; returns whether it was one.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.suspects.shift_remove(&fingerprint).is_some()
    }

    /// Begins a trial of at most `length` at `endpoint`, after adding the request if it is no
    /// suspect.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the next trial is not due or the endpoint has another trial.
    pub fn begin_trial(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        length: Duration,
        now: Wall,
    ) -> Result<(), Duration> {
        self.add(fingerprint, now);
        let wait = self.wait(fingerprint, now).unwrap_or_default();
        if !wait.is_zero() {
            return Err(wait);
        }
        if self.on_trial(now).any(|e| e == endpoint) {
            return Err(NOT_RUN_PAUSE);
        }
        let suspect = self.suspects.get_mut(&fingerprint).expect("it was added above");
        let until = millis(now + length);
        suspect.attempt = Some(Attempt { endpoint, until, crashed: false });
        // Counts as unresolved until it ends, since the instance may stop before it records the
        // end.
        suspect.next = until + millis(unresolved_pause(suspect.unresolved));
        suspect.unresolved = suspect.unresolved.saturating_add(1);
        Ok(())
    }

    /// Ends the trial at `endpoint`; returns whether it was the suspect's open trial.
    pub fn end(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        end: TrialEnd,
        now: Wall,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let Some(attempt) = &mut suspect.attempt else { return false };
        if attempt.endpoint != endpoint || attempt.until == 0 || attempt.crashed {
            return false;
        }
        attempt.until = 0;
        let pause = match end {
            TrialEnd::NotRun => {
                suspect.unresolved = suspect.unresolved.saturating_sub(1);
                NOT_RUN_PAUSE
            }
            TrialEnd::Unresolved => unresolved_pause(suspect.unresolved.saturating_sub(1)),
        };
        suspect.next = millis(now + pause);
        true
    }

    /// Records that a trial crashed `endpoint`; returns whether it was the suspect's last trial and
    /// not counted yet.
    pub fn on_crash(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: EndpointHash,
        now: Wall,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let Some(attempt) = &mut suspect.attempt else { return false };
        if attempt.endpoint != endpoint || attempt.crashed {
            return false;
        }
        (attempt.crashed, attempt.until) = (true, 0);
        suspect.crashes = suspect.crashes.saturating_add(1);
        suspect.unresolved = 0;
        suspect.crashed = millis(now);
        let pause = CRASH_PAUSES.get(usize::from(suspect.crashes) - 1);
        suspect.next = millis(now + pause.copied().unwrap_or(CRASHER_RETENTION));
        true
    }

    /// Endpoints that have an open trial at `now`.
    pub fn on_trial(&self, now: Wall) -> impl Iterator<Item = EndpointHash> {
        let now = millis(now);
        let attempts = self.suspects.values().filter_map(|s| s.attempt);
        attempts.filter(move |a| a.until > now).map(|a| a.endpoint)
    }
}

/// Pause after a trial without a result that followed `earlier` ones; doubles with each.
fn unresolved_pause(earlier: u8) -> Duration {
    let doublings = u32::from(earlier).min(8);
    (UNRESOLVED_PAUSE * (1 << doublings)).min(MAX_UNRESOLVED_PAUSE)
}
