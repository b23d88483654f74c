//! The quarantine on the request path: fingerprints, and the one seat for a suspect that each
//! endpoint has. Since no two suspects share an endpoint, a crash names the one that caused it.

use {
    crate::{
        quarantine::{CRASH_LIMIT, Fingerprint, MEMORY, Quarantine, Verdict},
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

/// Time for which a crash counts as explained by the suspect that had the seat.
const EXPLAINED: Duration = Duration::from_secs(5);

/// Called with each new suspicion, to spread it: fingerprint and crashes.
pub type Announce = dyn Fn(Fingerprint, u8) + Send + Sync;

/// Suspected requests of one instance.
pub struct Suspects {
    state: Mutex<Quarantine>,
    seats: Mutex<IndexSet<EndpointId>>,
    /// Endpoints that crashed while a suspect had their seat, and when.
    explained: Mutex<IndexMap<EndpointId, Mono>>,
    /// Told each time that a seat is given up.
    pub freed: Notify,
    announce: Box<Announce>,
}

/// Presence of the one suspect that an endpoint may run; given up when dropped.
pub struct Seat {
    suspects: Arc<Suspects>,
    id: EndpointId,
}

impl Suspects {
    /// Makes the state; `announce` is called with each new suspicion.
    pub fn open(announce: impl Fn(Fingerprint, u8) + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            seats: Mutex::default(),
            explained: Mutex::default(),
            freed: Notify::new(),
            announce: Box::new(announce),
        })
    }

    /// State for judging, merging and spreading.
    pub fn state(&self) -> MutexGuard<'_, Quarantine> {
        self.state.lock().expect("no panic under the quarantine lock")
    }

    /// Decides how a request may run; `prints` are not made while nothing is suspected.
    pub fn judge<'a>(&self, prints: impl FnOnce() -> &'a [Fingerprint], now: Mono) -> Verdict {
        if self.state().is_empty() {
            return Verdict::Free;
        }
        self.worst(prints(), now)
    }

    /// Records that a request was answered whole; `prints` are not made while nothing is suspected.
    pub fn clear<'a>(&self, prints: impl FnOnce() -> &'a [Fingerprint]) {
        if self.state().is_empty() {
            return;
        }
        let prints = prints();
        let mut state = self.state();
        prints.iter().for_each(|p| state.clear(*p));
    }

    /// What is known under any of the prints of one request.
    fn worst(&self, prints: &[Fingerprint], now: Mono) -> Verdict {
        let state = self.state();
        let verdicts = prints.iter().map(|p| state.judge(*p, now));
        verdicts.max().unwrap_or(Verdict::Free)
    }

    /// Endpoints that run a suspect.
    pub fn seated(&self) -> Vec<EndpointId> {
        self.seats().iter().copied().collect()
    }

    /// Takes the seat for a suspect at an endpoint; `None` if another has it.
    pub fn sit(self: &Arc<Self>, id: EndpointId) -> Option<Seat> {
        self.seats().insert(id).then(|| Seat { suspects: self.clone(), id })
    }

    /// Records that an endpoint crashed with the request in flight, which was not suspected when it was
    /// sent. Copies of it may be in flight at many endpoints that crash together, so this makes it a
    /// suspect and no more.
    pub fn suspect(&self, prints: &[Fingerprint], now: Mono) {
        for print in prints {
            self.state().merge(*print, 1, MEMORY, now);
            log::warn!("request {print:016x} was in flight at an endpoint crash");
            (self.announce)(*print, 1);
        }
    }

    /// Records that the endpoint `id` crashed with a suspect in flight; `seated` tells whether it had the
    /// seat there.
    ///
    /// A suspect that gave its seat up, because it got past the point at which it was in flight
    /// before, is not blamed for the crash if another one has the seat.
    pub fn crash(&self, prints: &[Fingerprint], id: EndpointId, seated: bool, now: Mono) {
        if seated {
            self.explained().insert(id, now);
        }
        let explained = || {
            let at = self.explained().get(&id).copied();
            self.seats().contains(&id) || at.is_some_and(|t| now.saturating_sub(t) < EXPLAINED)
        };
        if !seated && explained() {
            return;
        }
        prints.iter().for_each(|p| self.state().crash(*p, now));
        let crashes = match self.worst(prints, now) {
            Verdict::Refused => CRASH_LIMIT,
            Verdict::Free | Verdict::Alone => CRASH_LIMIT - 1,
        };
        for print in prints {
            // The other instances may know only one of the keys.
            self.state().merge(*print, crashes, MEMORY, now);
            log::warn!("request {print:016x} was in flight at {crashes} endpoint crashes");
            (self.announce)(*print, crashes);
        }
    }

    fn explained(&self) -> MutexGuard<'_, IndexMap<EndpointId, Mono>> {
        self.explained.lock().expect("no panic under the crash lock")
    }

    fn seats(&self) -> MutexGuard<'_, IndexSet<EndpointId>> {
        self.seats.lock().expect("no panic under the seats lock")
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.suspects.seats().swap_remove(&self.id);
        self.suspects.freed.notify_waiters();
    }
}

/// Fingerprint of a request, equal on every instance that shares `key`.
pub fn fingerprint(job: &Job, key: &[u8; 32]) -> Fingerprint {
    let parts = [job.org_name().as_bytes(), job.head.uri.path().as_bytes(), &job.body];
    let hash = hash_parts(blake3::Hasher::new_keyed(key), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
}
