//! Suspected requests and their trials, as the store keeps them for the whole fleet.
//!
//! Times are the time of day that the instances agree on. All decisions are pure; a writer repeats
//! its change on the newest table if another one was faster.

use {
    crate::{EndpointHash, Print},
    agate_core::Wall,
    agate_view::framing,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Pause before the next trial after the first and the second trial that crashed an endpoint. After
/// the third, the request is refused until it is forgotten: the operators allow three repeats.
const CRASHED_PAUSES: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// Pause after a trial without a result; longer than an endpoint's entry outlasts the endpoint, so
/// that a crash which shows only there is known before the next trial.
const UNRESOLVED_PAUSE: Duration = Duration::from_secs(5);
/// Longest such pause.
const UNRESOLVED_MOST: Duration = Duration::from_secs(60);
/// Pause after a trial that the endpoint rejected.
const UNRUN_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a suspect is forgotten that crashed no endpoint in a trial.
const FORGOTTEN: Duration = Duration::from_secs(600);
/// Time after the last crash in a trial after which such a suspect is forgotten.
const CONVICT_FORGOTTEN: Duration = Duration::from_secs(24 * 3_600);
/// Most suspects; those that crashed nothing in a trial are forgotten first, then the oldest.
pub const CAPACITY: usize = 256;

/// How a trial ended, if neither an answer nor a crash decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Nothing of it ran.
    Unrun,
    /// It may have run.
    Unresolved,
}

/// One trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Attempt {
    endpoint: EndpointHash,
    /// Until when it may be going on, in milliseconds; zero once it has ended.
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
    /// Time of the next trial, in milliseconds.
    next: u64,
    /// Newest crash, in milliseconds.
    crashed: u64,
    /// Newest trial.
    attempt: Option<Attempt>,
}

impl Suspect {
    fn forgotten(&self, now: u64) -> bool {
        let limit = if self.crashes > 0 { CONVICT_FORGOTTEN } else { FORGOTTEN };
        now > self.crashed.saturating_add(millis(limit))
    }
}

/// All suspected requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    suspects: IndexMap<Print, Suspect>,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Table {
    /// Bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Reads a record; `None` if another build wrote it or it is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }

    /// Whether the request is a suspect.
    pub fn contains(&self, print: Print) -> bool {
        self.suspects.contains_key(&print)
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Time until a suspect may return, zero if a trial may begin.
    pub fn wait(&self, print: Print, now: Wall) -> Option<Duration> {
        let suspect = self.suspects.get(&print)?;
        let now = millis(now);
        let wait = Duration::from_millis(suspect.next.saturating_sub(now));
        // Most trials end soon with an answer, after which the request is free.
        let open = suspect.attempt.is_some_and(|a| a.until > now);
        Some(if open { wait.min(UNRUN_PAUSE) } else { wait })
    }

    /// Adds a suspect; returns whether it was none before.
    pub fn add(&mut self, print: Print, now: Wall) -> bool {
        let now = millis(now);
        self.suspects.retain(|_, s| !s.forgotten(now));
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
        let suspect = Suspect { crashes: 0, unresolved: 0, next: now, crashed: now, attempt: None };
        self.suspects.insert(print, suspect);
        true
    }

    /// Removes a suspect that was answered; returns whether it was one.
    pub fn clear(&mut self, print: Print) -> bool {
        self.suspects.shift_remove(&print).is_some()
    }

    /// Begins a trial of at most `length` at `endpoint`.
    ///
    /// Errors: the time until the next trial, if it is not due or the endpoint has another one.
    pub fn begin(
        &mut self,
        print: Print,
        endpoint: EndpointHash,
        length: Duration,
        now: Wall,
    ) -> Result<(), Duration> {
        self.add(print, now);
        let wait = self.wait(print, now).unwrap_or_default();
        if !wait.is_zero() {
            return Err(wait);
        }
        if self.on_trial(now).any(|e| e == endpoint) {
            return Err(UNRUN_PAUSE);
        }
        let suspect = self.suspects.get_mut(&print).expect("it was added above");
        let until = millis(now + length);
        suspect.attempt = Some(Attempt { endpoint, until, crashed: false });
        // Counts as unresolved until it ends, since the instance may not live to say how it ended.
        suspect.next = until + millis(unresolved_pause(suspect.unresolved));
        suspect.unresolved = suspect.unresolved.saturating_add(1);
        Ok(())
    }

    /// Ends the trial at `endpoint`; returns whether it was still open.
    pub fn end(&mut self, print: Print, endpoint: EndpointHash, end: End, now: Wall) -> bool {
        let Some(suspect) = self.suspects.get_mut(&print) else { return false };
        let Some(attempt) = &mut suspect.attempt else { return false };
        if attempt.endpoint != endpoint || attempt.until == 0 || attempt.crashed {
            return false;
        }
        attempt.until = 0;
        let pause = match end {
            End::Unrun => {
                suspect.unresolved = suspect.unresolved.saturating_sub(1);
                UNRUN_PAUSE
            }
            End::Unresolved => unresolved_pause(suspect.unresolved.saturating_sub(1)),
        };
        suspect.next = millis(now + pause);
        true
    }

    /// Notes that a trial crashed `endpoint`; returns whether it was the suspect's newest one.
    pub fn on_crash(&mut self, print: Print, endpoint: EndpointHash, now: Wall) -> bool {
        let Some(suspect) = self.suspects.get_mut(&print) else { return false };
        let Some(attempt) = &mut suspect.attempt else { return false };
        if attempt.endpoint != endpoint || attempt.crashed {
            return false;
        }
        (attempt.crashed, attempt.until) = (true, 0);
        suspect.crashes = suspect.crashes.saturating_add(1);
        suspect.unresolved = 0;
        suspect.crashed = millis(now);
        let pause = CRASHED_PAUSES.get(usize::from(suspect.crashes) - 1);
        suspect.next = millis(now + pause.copied().unwrap_or(CONVICT_FORGOTTEN));
        true
    }

    /// Endpoints that have a trial now.
    pub fn on_trial(&self, now: Wall) -> impl Iterator<Item = EndpointHash> {
        let now = millis(now);
        let attempts = self.suspects.values().filter_map(|s| s.attempt);
        attempts.filter(move |a| a.until > now).map(|a| a.endpoint)
    }
}

/// Pause after a trial without a result that followed `earlier` such ones.
fn unresolved_pause(earlier: u8) -> Duration {
    let doublings = u32::from(earlier).min(8);
    (UNRESOLVED_PAUSE * (1 << doublings)).min(UNRESOLVED_MOST)
}
