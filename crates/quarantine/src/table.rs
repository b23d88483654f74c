//! Suspects and their trials, stored in one record that the whole fleet shares.
//!
//! Times are wall-clock times on which the instances agree. All functions are pure; a writer that
//! loses a race applies its change again to the latest table.

use {
    crate::{EndpointHash, Fingerprint, property::is_part},
    agate_core::Wall,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Pauses after the first and the second trial of a request that crashed an endpoint. After the
/// third, the request is refused until it expires: the operators allow three trials.
const CRASH_PAUSES: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// The same pauses for a prompt part. The first one is short, because the endpoint may have crashed
/// for another reason, and a pause refuses all requests that share the part.
const PART_CRASH_PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(600)];
/// Additional pause before a trial of several prompt parts at once, whose crash does not tell which
/// of them caused it. Requests with one of them are tried first.
const JOINT_PAUSE: Duration = Duration::from_secs(1);
/// Initial pause after a trial without a result. It is longer than a crashed endpoint's entry stays
/// listed, so that a crash shown only by the entry's removal is known before the next trial.
const UNRESOLVED_PAUSE: Duration = Duration::from_secs(5);
/// Maximum pause after trials without a result.
const MAX_UNRESOLVED_PAUSE: Duration = Duration::from_secs(60);
/// Initial pause after a trial whose caller disconnected: a crash of its endpoint is usually known by
/// then.
const ABANDONED_PAUSE: Duration = Duration::from_secs(1);
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
    /// The caller disconnected before the response was complete.
    Abandoned,
}

impl TrialEnd {
    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRun => "unrun",
            Self::Unresolved => "unresolved",
            Self::Abandoned => "abandoned",
        }
    }
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

/// One suspected property.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    /// Trials that crashed their endpoint.
    crashes: u8,
    /// Trials without a result since the last crash.
    unresolved: u8,
    /// Earliest time of the next trial, in milliseconds since the Unix epoch.
    next: u64,
    /// Last crash, in a trial or before, in milliseconds since the Unix epoch.
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

/// All suspects of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    suspects: IndexMap<Fingerprint, Suspect>,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Table {
    /// Whether the property is a suspect.
    pub fn contains(&self, print: Fingerprint) -> bool {
        self.suspects.contains_key(&print)
    }

    /// Whether the property is a suspect that crashed an endpoint in a trial.
    pub fn proved(&self, print: Fingerprint) -> bool {
        self.suspects.get(&print).is_some_and(|s| s.crashes > 0)
    }

    /// Fingerprints of all suspects.
    pub fn prints(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.keys().copied()
    }

    /// Number of suspects that are prompt parts, and of others.
    pub fn counts(&self) -> (usize, usize) {
        let parts = self.suspects.keys().filter(|p| is_part(**p)).count();
        (parts, self.suspects.len() - parts)
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// All suspects, with their number of trials that crashed an endpoint and the time until the
    /// next trial.
    pub fn suspects(&self, now: Wall) -> impl Iterator<Item = (Fingerprint, u8, Duration)> {
        let wait = move |s: &Suspect| Duration::from_millis(s.next.saturating_sub(millis(now)));
        self.suspects.iter().map(move |(print, s)| (*print, s.crashes, wait(s)))
    }

    /// Time until a request with the properties `prints` may be tried, zero if at once; `None` if
    /// none of them is a suspect.
    pub fn wait(&self, prints: &[Fingerprint], now: Wall) -> Option<Duration> {
        let suspects = || prints.iter().filter_map(|p| Some((*p, self.suspects.get(p)?)));
        let parts = suspects().filter(|(p, _)| is_part(*p)).count();
        let pause = if parts > 1 { millis(JOINT_PAUSE) } else { 0 };
        let now = millis(now);
        let wait = |s: &Suspect| {
            let wait = Duration::from_millis((s.next + pause).saturating_sub(now));
            // Most trials soon end with a response, which clears the suspect, so callers retry early.
            let open = s.attempt.is_some_and(|a| a.until > now);
            if open { wait.min(NOT_RUN_PAUSE) } else { wait }
        };
        suspects().map(|(_, s)| wait(s)).max()
    }

    /// Adds a suspect whose last crash was at `crashed`; returns `false` if it already was one.
    pub fn add(&mut self, print: Fingerprint, crashed: Wall, now: Wall) -> bool {
        let now = millis(now);
        self.suspects.retain(|_, s| !s.is_expired(now));
        if self.suspects.contains_key(&print) {
            return false;
        }
        if self.suspects.len() >= CAPACITY {
            let rank = |s: &Suspect| (s.crashes.min(1), s.crashed);
            let least = self.suspects.values().map(rank).enumerate().min_by_key(|(_, r)| *r);
            if let Some((index, _)) = least {
                self.suspects.shift_remove_index(index);
            }
        }
        let crashed = millis(crashed);
        let suspect = Suspect { crashes: 0, unresolved: 0, next: now, crashed, attempt: None };
        self.suspects.insert(print, suspect);
        true
    }

    /// Adds the suspects of an older copy that are missing. One that was cleared since has to be
    /// cleared again.
    pub fn merge(&mut self, copy: &Self) {
        for (print, suspect) in &copy.suspects {
            if self.suspects.len() < CAPACITY {
                self.suspects.entry(*print).or_insert_with(|| suspect.clone());
            }
        }
    }

    /// Removes a suspect after a response to a request of it that was sent at `sent`; returns
    /// whether it was one. A request sent before the last crash clears nothing.
    pub fn clear(&mut self, print: Fingerprint, sent: Wall) -> bool {
        let clears = self.suspects.get(&print).is_some_and(|s| s.crashed <= millis(sent));
        clears && self.suspects.shift_remove(&print).is_some()
    }

    /// Removes a suspect whatever it did; returns whether it was one.
    pub fn release(&mut self, print: Fingerprint) -> bool {
        self.suspects.shift_remove(&print).is_some()
    }

    /// Begins a trial of at most `length` at `endpoint`, after adding those of `prints` that are no
    /// suspects.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the next trial of one of them is not due or the endpoint has
    /// another trial.
    pub fn begin_trial(
        &mut self,
        prints: &[Fingerprint],
        endpoint: EndpointHash,
        length: Duration,
        now: Wall,
    ) -> Result<(), Duration> {
        for print in prints {
            self.add(*print, now, now);
        }
        let wait = self.wait(prints, now).unwrap_or_default();
        if !wait.is_zero() {
            return Err(wait);
        }
        if self.on_trial(now).any(|e| e == endpoint) {
            return Err(NOT_RUN_PAUSE);
        }
        let until = millis(now + length);
        for print in prints {
            let suspect = self.suspects.get_mut(print).expect("it was added above");
            suspect.attempt = Some(Attempt { endpoint, until, crashed: false });
            // Counts as unresolved until it ends, since the instance may stop before it records the
            // end.
            suspect.next = until + millis(doubled(UNRESOLVED_PAUSE, suspect.unresolved));
            suspect.unresolved = suspect.unresolved.saturating_add(1);
        }
        Ok(())
    }

    /// Ends the trial at `endpoint`; returns whether it was the suspect's open trial.
    pub fn end(
        &mut self,
        print: Fingerprint,
        endpoint: EndpointHash,
        end: TrialEnd,
        now: Wall,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&print) else { return false };
        let Some(attempt) = &mut suspect.attempt else { return false };
        if attempt.endpoint != endpoint || attempt.until == 0 || attempt.crashed {
            return false;
        }
        attempt.until = 0;
        let pause = match end {
            TrialEnd::NotRun => {
                suspect.attempt = None;
                suspect.unresolved = suspect.unresolved.saturating_sub(1);
                NOT_RUN_PAUSE
            }
            TrialEnd::Unresolved => doubled(UNRESOLVED_PAUSE, suspect.unresolved.saturating_sub(1)),
            TrialEnd::Abandoned => doubled(ABANDONED_PAUSE, suspect.unresolved.saturating_sub(1)),
        };
        suspect.next = millis(now + pause);
        true
    }

    /// Records that a trial crashed `endpoint`; returns whether it was the suspect's last trial and
    /// not counted yet.
    pub fn on_crash(&mut self, print: Fingerprint, endpoint: EndpointHash, now: Wall) -> bool {
        let Some(suspect) = self.suspects.get_mut(&print) else { return false };
        let Some(attempt) = &mut suspect.attempt else { return false };
        if attempt.endpoint != endpoint || attempt.crashed {
            return false;
        }
        (attempt.crashed, attempt.until) = (true, 0);
        suspect.crashes = suspect.crashes.saturating_add(1);
        suspect.unresolved = 0;
        suspect.crashed = millis(now);
        let pauses = if is_part(print) { &PART_CRASH_PAUSES } else { &CRASH_PAUSES };
        let pause = pauses.get(usize::from(suspect.crashes) - 1);
        suspect.next = millis(now + pause.copied().unwrap_or(CRASHER_RETENTION));
        true
    }

    /// Suspects whose last trial was at `endpoint`.
    pub fn tried_at(&self, endpoint: EndpointHash) -> impl Iterator<Item = Fingerprint> {
        let tried = move |s: &Suspect| s.attempt.is_some_and(|a| a.endpoint == endpoint);
        self.suspects.iter().filter(move |(_, s)| tried(s)).map(|(print, _)| *print)
    }

    /// Endpoints that have an open trial at `now`.
    pub fn on_trial(&self, now: Wall) -> impl Iterator<Item = EndpointHash> {
        let now = millis(now);
        let attempts = self.suspects.values().filter_map(|s| s.attempt);
        attempts.filter(move |a| a.until > now).map(|a| a.endpoint)
    }
}

/// Pause after a trial without a result that followed `earlier` ones; doubles with each.
fn doubled(pause: Duration, earlier: u8) -> Duration {
    (pause * (1 << u32::from(earlier).min(8))).min(MAX_UNRESOLVED_PAUSE)
}
