//! What was decided on recent requests, for operators who ask why one was refused or went where.
//!
//! A request notes its decisions in a [`Trace`] of its own; the note joins the instance's ring when
//! the request ends, however it ends. The ring keeps the newest [`KEPT`] notes. A note holds names
//! and figures, never a key, a body or a path beyond the route's, and at most [`TRIES`] attempts.

use {
    crate::reply::Refused,
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

/// Notes that an instance keeps; at under a kilobyte each, less than a megabyte.
pub const KEPT: usize = 1024;
/// Attempts that a note holds; no request makes more.
pub const TRIES: usize = 8;

/// One attempt of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Try {
    /// Endpoint that was chosen.
    pub endpoint: Arc<str>,
    /// Availability zone of the endpoint.
    pub zone: Arc<str>,
    /// Predicted time to the first token, in microseconds.
    pub predicted: u64,
    /// Tokens of the prompt that it was expected to have cached.
    pub cached: u32,
    /// Whether it had no free slot, and no other endpoint had one either.
    pub full: bool,
    /// Why another attempt followed; absent for the last one.
    pub retry: Option<Arc<str>>,
}

/// Everything that was decided on one request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Decision {
    /// Identifier of the request.
    pub id: String,
    /// When the request was accepted, in milliseconds since 1970.
    pub at: u64,
    /// Organisation that sent it; absent on open routes and before it was identified.
    pub org: Option<Arc<str>>,
    /// Path of the route that it matched.
    pub route: Option<Arc<str>>,
    /// Pool that it waited for.
    pub pool: Option<Arc<str>>,
    /// Time in the admission queue, in microseconds.
    pub queued: u64,
    /// Its attempts, oldest first.
    pub tries: Vec<Try>,
    /// `answered`, `replayed`, `left` if its caller left, or the code of its refusal.
    pub end: Arc<str>,
    /// What a refusal said about the execution.
    pub run: Option<Outcome>,
    /// Time from its acceptance to its end, in microseconds.
    pub took: u64,
}

/// The newest notes of one instance.
#[derive(Default)]
pub struct Ring {
    notes: Mutex<VecDeque<Arc<Decision>>>,
}

impl Ring {
    fn push(&self, note: Decision) {
        let note = Arc::new(note);
        let mut notes = self.notes.lock().expect("no panic under the ring's lock");
        if notes.len() == KEPT {
            notes.pop_front();
        }
        notes.push_back(note);
    }

    /// Notes of the request or the organisation named `of`, newest first, at most `most`.
    pub fn find(&self, of: &str, most: usize) -> Vec<Arc<Decision>> {
        let notes = self.notes.lock().expect("no panic under the ring's lock");
        let fits = |d: &&Arc<Decision>| d.id == of || d.org.as_deref() == Some(of);
        notes.iter().rev().filter(fits).take(most).cloned().collect()
    }
}

/// The note of one request in progress.
pub struct Trace {
    ring: Arc<Ring>,
    start: Mono,
    note: Mutex<Decision>,
}

impl Trace {
    /// Begins the note of the request `id`, accepted at `start`.
    pub fn begin(ring: &Arc<Ring>, id: &str, start: Mono) -> Arc<Self> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (id, at) = (id.to_owned(), at.as_millis() as u64);
        let note = Decision { id, at, end: "left".into(), ..Decision::default() };
        Arc::new(Self { ring: ring.clone(), start, note: Mutex::new(note) })
    }

    /// Notes something.
    pub fn note(&self, change: impl FnOnce(&mut Decision)) {
        change(&mut self.note.lock().expect("no panic under the note's lock"));
    }

    /// Notes the choice of an endpoint.
    pub fn chose(&self, endpoint: &Arc<str>, zone: &Arc<str>, choice: &Choice) {
        let (endpoint, zone) = (endpoint.clone(), zone.clone());
        let predicted = choice.delay.as_micros() as u64;
        let Choice { cached, full, .. } = *choice;
        let attempt = Try { endpoint, zone, predicted, cached, full, retry: None };
        self.note(|n| {
            if n.tries.len() < TRIES {
                n.tries.push(attempt);
            }
        });
    }

    /// Notes why the last attempt is followed by another.
    pub fn retried(&self, reason: &str) {
        self.note(|n| {
            if let Some(last) = n.tries.last_mut() {
                last.retry = Some(reason.into());
            }
        });
    }

    /// Notes the end of the request, at `now`.
    pub fn end(&self, end: &str, now: Mono) {
        let took = now.saturating_sub(self.start).as_micros() as u64;
        self.note(|n| (n.end, n.took) = (end.into(), took));
    }

    /// Notes the refusal of the request, at `now`.
    pub fn refuse(&self, refused: &Refused, now: Mono) {
        self.end(refused.reason().code(), now);
        self.note(|n| n.run = Some(refused.outcome()));
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let note = self.note.get_mut().expect("no panic under the note's lock");
        self.ring.push(mem::take(note));
    }
}
