//! The quarantine on the request path: fingerprints, and the reservation of an endpoint for one
//! suspect at a time. Since no two suspects share an endpoint, a crash can be attributed to one
//! request.
//!
//! Messages that model requests share are suspects too, after several crashes without a response to a
//! request with the message ([`Suspicions`]). One request with a suspected message runs at a time.

use {
    crate::{
        quarantine::{CRASH_LIMIT, Fingerprint, Quarantine, RETENTION, Verdict},
        serve::Job,
    },
    agate_core::{EndpointId, Mono},
    agate_quarantine::{
        EndpointHash, Property, hash_parts,
        suspicion::{Observation, Suspicions},
    },
    agate_route::ranking::mix,
    indexmap::{IndexMap, IndexSet},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Notify,
};

/// Time during which the crash of an endpoint is attributed to the suspect that held its
/// reservation.
const ATTRIBUTION_TIME: Duration = Duration::from_secs(5);

/// Time within which crashes of one endpoint count once against a message: instances notice a crash
/// at different times.
const SAME_CRASH: Duration = Duration::from_secs(4);

/// Called with each new suspicion, to send it to the other instances: fingerprint and number of
/// crashes.
pub type Announce = dyn Fn(Fingerprint, u8) + Send + Sync;
/// Called with observations of shared messages, to send them to the other instances.
pub type Observe = dyn Fn(Vec<Observation>) + Send + Sync;

/// How a request may run.
#[derive(Debug)]
pub struct Judgement {
    /// Most restrictive verdict on the request and its shared messages.
    pub verdict: Verdict,
    /// Whether the request itself is a suspect.
    pub request: bool,
    /// Suspects among its shared messages.
    pub messages: Vec<Fingerprint>,
}

/// Suspected requests of one instance.
pub struct Suspects {
    state: Mutex<Quarantine>,
    reserved: Mutex<IndexSet<EndpointId>>,
    /// Endpoints that crashed while a suspect held their reservation, with the time of the crash.
    attributed: Mutex<IndexMap<EndpointId, Mono>>,
    /// Notified whenever a reservation is released.
    pub released: Notify,
    announce: Box<Announce>,
    messages: Mutex<Suspicions>,
    /// Messages of requests that hold a reservation.
    on_trial: Mutex<IndexSet<Fingerprint>>,
    observe: Box<Observe>,
}

/// Reservation of an endpoint for one suspect; released when dropped.
pub struct Reservation {
    suspects: Arc<Suspects>,
    id: EndpointId,
    messages: Vec<Fingerprint>,
}

impl Suspects {
    /// Creates an empty quarantine; `announce` is called with each new suspicion, `observe` with
    /// crashes and responses of shared messages.
    pub fn open(
        announce: impl Fn(Fingerprint, u8) + Send + Sync + 'static,
        observe: impl Fn(Vec<Observation>) + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            reserved: Mutex::default(),
            attributed: Mutex::default(),
            released: Notify::new(),
            announce: Box::new(announce),
            messages: Mutex::default(),
            on_trial: Mutex::default(),
            observe: Box::new(observe),
        })
    }

    /// Locks the quarantine.
    pub fn state(&self) -> MutexGuard<'_, Quarantine> {
        self.state.lock().expect("no panic under the quarantine lock")
    }

    fn messages(&self) -> MutexGuard<'_, Suspicions> {
        self.messages.lock().expect("no panic under the message lock")
    }

    fn on_trial(&self) -> MutexGuard<'_, IndexSet<Fingerprint>> {
        self.on_trial.lock().expect("no panic under the trial lock")
    }

    fn is_empty(&self) -> bool {
        // One lock at a time: judging a message locks the quarantine while the messages are locked.
        let empty = self.state().is_empty();
        empty && self.messages().is_empty()
    }

    /// Returns how a request may run. `fingerprints` and `messages` are not called while the
    /// quarantine is empty.
    pub fn verdict<'a>(
        &self,
        fingerprints: impl FnOnce() -> &'a [Fingerprint],
        messages: impl FnOnce() -> &'a [Property],
        now: Mono,
    ) -> Judgement {
        if self.is_empty() {
            return Judgement { verdict: Verdict::Allowed, request: false, messages: Vec::new() };
        }
        let own = self.strictest(fingerprints(), now);
        let judged = messages().iter().map(|m| (m.print, self.message_verdict(m.print, now)));
        let suspects: Vec<_> = judged.filter(|(_, v)| *v != Verdict::Allowed).collect();
        let verdict = suspects.iter().map(|(_, v)| *v).fold(own, Verdict::max);
        let messages = suspects.into_iter().map(|(print, _)| print).collect();
        Judgement { verdict, request: own != Verdict::Allowed, messages }
    }

    fn message_verdict(&self, print: Fingerprint, now: Mono) -> Verdict {
        let proved = |p| self.state().verdict(p, now) == Verdict::Refused;
        let suspected = self.messages().suspected(print, proved, now);
        let verdict = self.state().verdict(print, now);
        verdict.max(if suspected { Verdict::Isolated } else { Verdict::Allowed })
    }

    /// Records a complete response to a request that was sent at `sent`. `fingerprints` and
    /// `messages` are not called while the quarantine is empty.
    pub fn clear<'a>(
        &self,
        fingerprints: impl FnOnce() -> &'a [Fingerprint],
        messages: impl FnOnce() -> &'a [Property],
        sent: Mono,
        now: Mono,
    ) {
        if self.is_empty() {
            return;
        }
        fingerprints().iter().for_each(|p| self.state().clear(*p));
        let mut observations = Vec::new();
        for message in messages() {
            self.state().clear_sent(message.print, sent);
            if self.messages().on_response(message.print, sent, now) {
                let age = u32::try_from(now.saturating_sub(sent).as_millis()).unwrap_or(u32::MAX);
                observations.push(Observation { print: message.pack(), crashed: None, age });
            }
        }
        if !observations.is_empty() {
            (self.observe)(observations);
        }
    }

    /// Records that the endpoint `id` crashed while a request with `messages` was in flight there.
    /// `tried` are those of them for which the request was isolated; `reserved` tells whether it held
    /// the reservation.
    pub fn crash_messages(
        &self,
        messages: &[Property],
        tried: &[Fingerprint],
        id: EndpointId,
        reserved: bool,
        now: Mono,
    ) {
        // The suspect that holds the reservation caused the crash.
        if !reserved && self.is_attributed(id, now) {
            return;
        }
        if reserved {
            self.attributed().insert(id, now);
        }
        let endpoint = crash_hash(id);
        let mut known = self.messages();
        known.prune(now);
        messages.iter().for_each(|m| known.on_crash(*m, endpoint, now));
        drop(known);
        let observation =
            |m: &Property| Observation { print: m.pack(), crashed: Some(endpoint), age: 0 };
        if !messages.is_empty() {
            (self.observe)(messages.iter().map(observation).collect());
        }
        for print in tried {
            self.state().record_crash(*print, now);
            let refused = self.state().verdict(*print, now) == Verdict::Refused;
            let crashes = if refused { CRASH_LIMIT } else { CRASH_LIMIT - 1 };
            log::warn!(
                "message {print:016x} was in flight at {crashes} endpoint crashes by itself"
            );
            (self.announce)(*print, crashes);
        }
    }

    /// Merges observations of another instance.
    pub fn merge_messages(&self, observations: &[Observation], now: Mono) {
        self.messages().merge(observations, now);
    }

    /// Most restrictive verdict on any of the fingerprints of one request.
    fn strictest(&self, fingerprints: &[Fingerprint], now: Mono) -> Verdict {
        let state = self.state();
        let verdicts = fingerprints.iter().map(|p| state.verdict(*p, now));
        verdicts.max().unwrap_or(Verdict::Allowed)
    }

    /// Endpoints reserved for a suspect.
    pub fn reserved_endpoints(&self) -> Vec<EndpointId> {
        self.reserved().iter().copied().collect()
    }

    /// Reserves an endpoint for a request with suspected `messages`; `None` if it is reserved already
    /// or another request with one of them has a reservation.
    pub fn reserve(
        self: &Arc<Self>,
        id: EndpointId,
        messages: &[Fingerprint],
    ) -> Option<Reservation> {
        let mut on_trial = self.on_trial();
        if messages.iter().any(|m| on_trial.contains(m)) || !self.reserved().insert(id) {
            return None;
        }
        on_trial.extend(messages.iter().copied());
        Some(Reservation { suspects: self.clone(), id, messages: messages.to_vec() })
    }

    /// Records that an endpoint crashed while the request was in flight there, and that the request
    /// was not a suspect when it was sent. It becomes a suspect with one crash, however many
    /// endpoints crashed: copies of it may have been in flight at several endpoints that crashed
    /// together.
    pub fn suspect(&self, fingerprints: &[Fingerprint], now: Mono) {
        for fingerprint in fingerprints {
            self.state().merge(*fingerprint, 1, RETENTION, now);
            log::warn!("request {fingerprint:016x} was in flight at an endpoint crash");
            (self.announce)(*fingerprint, 1);
        }
    }

    /// Records that the endpoint `id` crashed while a suspect was in flight there. `reserved` tells
    /// whether the suspect held the reservation.
    ///
    /// A suspect releases its reservation after the first token. It is then not held responsible
    /// for the crash if another suspect holds the reservation or held it at a crash just before.
    pub fn crash(&self, fingerprints: &[Fingerprint], id: EndpointId, reserved: bool, now: Mono) {
        if reserved {
            self.attributed().insert(id, now);
        }
        if !reserved && self.is_attributed(id, now) {
            return;
        }
        fingerprints.iter().for_each(|p| self.state().record_crash(*p, now));
        let crashes = match self.strictest(fingerprints, now) {
            Verdict::Refused => CRASH_LIMIT,
            Verdict::Allowed | Verdict::Isolated => CRASH_LIMIT - 1,
        };
        for fingerprint in fingerprints {
            // Another instance may know only one of the keys, so each fingerprint gets the highest
            // count.
            self.state().merge(*fingerprint, crashes, RETENTION, now);
            log::warn!("request {fingerprint:016x} was in flight at {crashes} endpoint crashes");
            (self.announce)(*fingerprint, crashes);
        }
    }

    /// Whether a crash of the endpoint is attributed to the suspect that holds its reservation or held
    /// it at a crash just before.
    fn is_attributed(&self, id: EndpointId, now: Mono) -> bool {
        let at = self.attributed().get(&id).copied();
        self.reserved().contains(&id)
            || at.is_some_and(|t| now.saturating_sub(t) < ATTRIBUTION_TIME)
    }

    fn attributed(&self) -> MutexGuard<'_, IndexMap<EndpointId, Mono>> {
        self.attributed.lock().expect("no panic under the crash lock")
    }

    fn reserved(&self) -> MutexGuard<'_, IndexSet<EndpointId>> {
        self.reserved.lock().expect("no panic under the reservation lock")
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut on_trial = self.suspects.on_trial();
        on_trial.retain(|m| !self.messages.contains(m));
        drop(on_trial);
        self.suspects.reserved().swap_remove(&self.id);
        self.suspects.released.notify_waiters();
    }
}

/// Hash of a crash of an endpoint, equal on all instances that notice it.
fn crash_hash(id: EndpointId) -> EndpointHash {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    mix(id.into(), wall.as_secs() / SAME_CRASH.as_secs()) as EndpointHash
}

/// Computes the fingerprint of a request. It is equal on every instance that has `key`.
pub fn fingerprint(job: &Job, key: &[u8; 32]) -> Fingerprint {
    let parts = [job.org_name().as_bytes(), job.head.uri.path().as_bytes(), &job.body];
    let hash = hash_parts(blake3::Hasher::new_keyed(key), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
}
