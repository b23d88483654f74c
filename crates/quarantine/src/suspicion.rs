//! Crashes per request, merged from the observations of all instances; no I/O or clock.
//!
//! Observations are sent with their age, so merging is idempotent and independent of order. Each is
//! sent for at most [`REPORT_TIME`].

use {
    crate::{EndpointHash, Fingerprint},
    agate_core::Mono,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of endpoints that must crash with a request unanswered, without a response to it since,
/// before it is suspected.
pub const SUSPECT_CRASHES: usize = 2;
/// Time for which a crash counts.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time for which an observation is sent to other instances: long enough for several rounds through
/// a coordinator, and for the change to the next coordinator.
pub const REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of requests remembered; the oldest are evicted first.
pub const CAPACITY: usize = 4_096;

/// An observation of a request, as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Endpoint that crashed with the request unanswered; `None` for a response to the request.
    pub crashed: Option<EndpointHash>,
    /// Age of the observation, in milliseconds.
    pub age: u32,
}

#[derive(Clone, Debug, Default)]
struct CrashHistory {
    crashes: Vec<(EndpointHash, Mono)>,
    answered: Option<Mono>,
}

impl CrashHistory {
    fn last_seen(&self) -> Mono {
        let crashed = self.crashes.iter().map(|(_, at)| *at).max();
        crashed.max(self.answered).unwrap_or_default()
    }

    fn on_crash(&mut self, endpoint: EndpointHash, at: Mono) {
        let answered = self.answered.is_some_and(|t| t >= at);
        let known = self.crashes.iter().any(|(e, _)| *e == endpoint);
        if !answered && !known && self.crashes.len() < SUSPECT_CRASHES {
            self.crashes.push((endpoint, at));
        }
    }

    fn on_response(&mut self, at: Mono) {
        self.answered = self.answered.max(Some(at));
        self.crashes.retain(|(_, t)| *t > at);
    }
}

/// Requests that were in flight during crashes.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    histories: IndexMap<Fingerprint, CrashHistory>,
    /// Position of the next observation to send.
    cursor: usize,
}

impl Suspicions {
    /// Records that `endpoint` crashed with the request unanswered.
    pub fn on_crash(&mut self, fingerprint: Fingerprint, endpoint: EndpointHash, at: Mono) {
        if self.histories.len() >= CAPACITY && !self.histories.contains_key(&fingerprint) {
            self.histories.shift_remove_index(0);
        }
        self.histories.entry(fingerprint).or_default().on_crash(endpoint, at);
    }

    /// Records a response to the request; returns whether crashes were recorded before.
    pub fn on_response(&mut self, fingerprint: Fingerprint, at: Mono) -> bool {
        let Some(history) = self.histories.get_mut(&fingerprint) else { return false };
        let changes = !history.crashes.is_empty();
        history.on_response(at);
        changes
    }

    /// Whether at least [`SUSPECT_CRASHES`] crashes count against the request.
    pub fn suspected(&self, fingerprint: Fingerprint) -> bool {
        self.histories.get(&fingerprint).is_some_and(|k| k.crashes.len() >= SUSPECT_CRASHES)
    }

    /// Suspected requests, with the time of the last observation of each.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, Mono)> {
        let suspected = self.histories.iter().filter(|(_, k)| k.crashes.len() >= SUSPECT_CRASHES);
        suspected.map(|(fingerprint, k)| (*fingerprint, k.last_seen()))
    }

    /// Merges the observations of another instance.
    pub fn merge(&mut self, observations: &[Observation], now: Mono) {
        for observation in observations {
            let at = now.saturating_sub(Duration::from_millis(observation.age.into()));
            match observation.crashed {
                Some(endpoint) => self.on_crash(observation.print, endpoint, at),
                // A response to an unknown request changes nothing.
                None => drop(self.on_response(observation.print, at)),
            }
        }
    }

    /// Returns at most `count` observations younger than [`REPORT_TIME`]; the next call continues
    /// after them, so that all get their turn.
    pub fn recent(&mut self, count: usize, now: Mono) -> Vec<Observation> {
        let age = |at: Mono| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let fresh = |at: Mono| now.saturating_sub(at) < REPORT_TIME;
        let mut all = Vec::new();
        for (fingerprint, history) in &self.histories {
            let answered = history.answered.iter().map(|at| (None, *at));
            let crashes = history.crashes.iter().map(|(endpoint, at)| (Some(*endpoint), *at));
            let observations = answered.chain(crashes).filter(|(_, at)| fresh(*at));
            all.extend(observations.map(|(crashed, at)| Observation {
                print: *fingerprint,
                crashed,
                age: age(at),
            }));
        }
        if all.len() > count {
            let from = self.cursor % all.len();
            all.rotate_left(from);
            self.cursor = self.cursor.wrapping_add(count);
            all.truncate(count);
        }
        all
    }

    /// Removes expired observations.
    pub fn prune(&mut self, now: Mono) {
        let within = |at: Mono, limit: Duration| now.saturating_sub(at) < limit;
        self.histories.retain(|_, history| {
            history.crashes.retain(|(_, at)| within(*at, RETENTION));
            !history.crashes.is_empty()
                || history.answered.is_some_and(|at| within(at, REPORT_TIME))
        });
    }

    /// Whether no observation is left.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }
}
