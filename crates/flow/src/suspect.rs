//! The quarantine on the request path: fingerprints, and the reservation of an endpoint for one
//! suspect at a time. Since no two suspects share an endpoint, a crash can be attributed to one
//! request.

use {
    crate::{
        quarantine::{CRASH_LIMIT, Fingerprint, Quarantine, RETENTION, Verdict},
        serve::Job,
    },
    agate_core::{EndpointId, Mono},
    agate_quarantine::hash_parts,
    indexmap::{IndexMap, IndexSet},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Time during which the crash of an endpoint is attributed to the suspect that held its
/// reservation.
const ATTRIBUTION_TIME: Duration = Duration::from_secs(5);

/// Called with each new suspicion, to send it to the other instances: fingerprint and number of
/// crashes.
pub type Announce = dyn Fn(Fingerprint, u8) + Send + Sync;

/// Suspected requests of one instance.
pub struct Suspects {
    state: Mutex<Quarantine>,
    reserved: Mutex<IndexSet<EndpointId>>,
    /// Endpoints that crashed while a suspect held their reservation, with the time of the crash.
    attributed: Mutex<IndexMap<EndpointId, Mono>>,
    /// Notified whenever a reservation is released.
    pub released: Notify,
    announce: Box<Announce>,
}

/// Reservation of an endpoint for one suspect; released when dropped.
pub struct Reservation {
    suspects: Arc<Suspects>,
    id: EndpointId,
}

impl Suspects {
    /// Creates an empty quarantine; `announce` is called with each new suspicion.
    pub fn open(announce: impl Fn(Fingerprint, u8) + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            reserved: Mutex::default(),
            attributed: Mutex::default(),
            released: Notify::new(),
            announce: Box::new(announce),
        })
    }

    /// Locks the quarantine.
    pub fn state(&self) -> MutexGuard<'_, Quarantine> {
        self.state.lock().expect("no panic under the quarantine lock")
    }

    /// Returns how a request may run. `fingerprints` is not called while the quarantine is empty.
    pub fn verdict<'a>(
        &self,
        fingerprints: impl FnOnce() -> &'a [Fingerprint],
        now: Mono,
    ) -> Verdict {
        if self.state().is_empty() {
            return Verdict::Allowed;
        }
        self.strictest(fingerprints(), now)
    }

    /// Records a complete response to a request. `fingerprints` is not called while the quarantine
    /// is empty.
    pub fn clear<'a>(&self, fingerprints: impl FnOnce() -> &'a [Fingerprint]) {
        if self.state().is_empty() {
            return;
        }
        let fingerprints = fingerprints();
        let mut state = self.state();
        fingerprints.iter().for_each(|p| state.clear(*p));
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

    /// Reserves an endpoint for a suspect; `None` if it is reserved already.
    pub fn reserve(self: &Arc<Self>, id: EndpointId) -> Option<Reservation> {
        self.reserved().insert(id).then(|| Reservation { suspects: self.clone(), id })
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
        let attributed = || {
            let at = self.attributed().get(&id).copied();
            self.reserved().contains(&id)
                || at.is_some_and(|t| now.saturating_sub(t) < ATTRIBUTION_TIME)
        };
        if !reserved && attributed() {
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

    fn attributed(&self) -> MutexGuard<'_, IndexMap<EndpointId, Mono>> {
        self.attributed.lock().expect("no panic under the crash lock")
    }

    fn reserved(&self) -> MutexGuard<'_, IndexSet<EndpointId>> {
        self.reserved.lock().expect("no panic under the reservation lock")
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.suspects.reserved().swap_remove(&self.id);
        self.suspects.released.notify_waiters();
    }
}

/// Computes the fingerprint of a request. It is equal on every instance that has `key`.
pub fn fingerprint(job: &Job, key: &[u8; 32]) -> Fingerprint {
    let parts = [job.org_name().as_bytes(), job.head.uri.path().as_bytes(), &job.body];
    let hash = hash_parts(blake3::Hasher::new_keyed(key), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
}
