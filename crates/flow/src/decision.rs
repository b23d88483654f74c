//! Record of the decisions on recent requests, for operators who ask why a request was refused or
//! which endpoint it was sent to.
//!
//! Each request collects its decisions in its own [`Trace`]. The record is added to the instance's
//! log when the request ends, in whichever way. The log keeps the newest [`LOG_CAPACITY`] records. A record
//! holds names and numbers, never a key, a body or a path other than the route's, and at most
//! [`MAX_ATTEMPTS`] attempts.

use {
    crate::refusal::Refused,
    agate_core::{Mono, Outcome},
    agate_route::choose::Choice,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        mem,
        sync::{Arc, Mutex},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Records that an instance keeps. Each takes less than a kilobyte, so all of them take less than a
/// megabyte.
pub const LOG_CAPACITY: usize = 1024;
/// Most attempts in a record; no request makes more.
pub const MAX_ATTEMPTS: usize = 8;

/// One attempt of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the chosen endpoint.
    pub endpoint: Arc<str>,
    /// Name of the endpoint's availability zone.
    pub zone: Arc<str>,
    /// Predicted time to the first token, in microseconds.
    pub predicted: u64,
    /// Prompt tokens that the endpoint was expected to have cached.
    pub cached: u32,
    /// Whether the endpoint had no free slot, and neither had any other.
    pub full: bool,
    /// Code of the reason for the next attempt; absent for the last attempt.
    pub retry: Option<Arc<str>>,
}

/// The decisions on one request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Decision {
    /// Identifier of the request.
    pub id: String,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Name of the organisation that sent it; absent on open routes and before it was identified.
    pub org: Option<Arc<str>>,
    /// Path of the route that it matched.
    pub route: Option<Arc<str>>,
    /// Name of the pool in whose admission queue it waited.
    pub pool: Option<Arc<str>>,
    /// Time in the admission queue, in microseconds.
    pub queued: u64,
    /// Attempts, oldest first.
    pub tries: Vec<Attempt>,
    /// How the request ended: `answered`, `replayed`, `left` if its caller disconnected, or the
    /// code of its refusal.
    pub end: Arc<str>,
    /// Execution outcome stated by a refusal; absent if the request was not refused.
    pub run: Option<Outcome>,
    /// Time from acceptance to the end, in microseconds.
    pub took: u64,
}

/// The newest decision records of one instance.
#[derive(Default)]
pub struct DecisionLog {
    decisions: Mutex<VecDeque<Arc<Decision>>>,
}

impl DecisionLog {
    fn push(&self, decision: Decision) {
        let decision = Arc::new(decision);
        let mut decisions = self.decisions.lock().expect("no panic under the log's lock");
        if decisions.len() == LOG_CAPACITY {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the records of the request or organisation `subject`, newest first, at most `limit`.
    pub fn find(&self, subject: &str, limit: usize) -> Vec<Arc<Decision>> {
        let decisions = self.decisions.lock().expect("no panic under the log's lock");
        let fits = |d: &&Arc<Decision>| d.id == subject || d.org.as_deref() == Some(subject);
        decisions.iter().rev().filter(fits).take(limit).cloned().collect()
    }
}

/// Collects the decisions on one request in progress. Dropping it adds the record to the log.
pub struct Trace {
    log: Arc<DecisionLog>,
    start: Mono,
    decision: Mutex<Decision>,
}

impl Trace {
    /// Begins the record of the request `id`, accepted at `start`. Its end is `left` unless another
    /// one is set.
    pub fn begin(log: &Arc<DecisionLog>, id: &str, start: Mono) -> Arc<Self> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (id, at) = (id.to_owned(), at.as_millis() as u64);
        let decision = Decision { id, at, end: "left".into(), ..Decision::default() };
        Arc::new(Self { log: log.clone(), start, decision: Mutex::new(decision) })
    }

    /// Applies `change` to the record.
    pub fn record(&self, change: impl FnOnce(&mut Decision)) {
        change(&mut self.decision.lock().expect("no panic under the record's lock"));
    }

    /// Records the choice of an endpoint for an attempt.
    pub fn record_choice(&self, endpoint: &Arc<str>, zone: &Arc<str>, choice: &Choice) {
        let (endpoint, zone) = (endpoint.clone(), zone.clone());
        let predicted = choice.delay.as_micros() as u64;
        let Choice { cached, full, .. } = *choice;
        let attempt = Attempt { endpoint, zone, predicted, cached, full, retry: None };
        self.record(|n| {
            if n.tries.len() < MAX_ATTEMPTS {
                n.tries.push(attempt);
            }
        });
    }

    /// Records the reason for which another attempt follows the last one.
    pub fn record_retry(&self, reason: &str) {
        self.record(|n| {
            if let Some(last) = n.tries.last_mut() {
                last.retry = Some(reason.into());
            }
        });
    }

    /// Records how the request ended, at `now`.
    pub fn end(&self, end: &str, now: Mono) {
        let took = now.saturating_sub(self.start).as_micros() as u64;
        self.record(|n| (n.end, n.took) = (end.into(), took));
    }

    /// Records the refusal of the request, at `now`.
    pub fn record_refusal(&self, refused: &Refused, now: Mono) {
        self.end(refused.reason().code(), now);
        self.record(|n| n.run = Some(refused.outcome()));
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let decision = self.decision.get_mut().expect("no panic under the record's lock");
        self.log.push(mem::take(decision));
    }
}
