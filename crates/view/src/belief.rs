//! What the request path reads: the newest beliefs, each with the time of its proof.

use {
    crate::{clock, peers::Peer, roster::Entry, table::Table},
    agate_core::Mono,
    arc_swap::{ArcSwap, ArcSwapOption},
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::sleep,
    },
};

/// Time added to a wait so that the limit is surely passed when it ends.
const WAKE_MARGIN: Duration = Duration::from_millis(1);

/// Time of the newest proof of one belief.
#[derive(Debug, Default)]
pub struct Proof {
    at: AtomicU64,
    doubts: Notify,
}

impl Proof {
    /// Notes a proof made at `at`; older ones change nothing.
    pub fn note(&self, at: Mono) {
        let nanos = u64::try_from(at.as_nanos()).unwrap_or(u64::MAX);
        self.at.fetch_max(nanos, Ordering::AcqRel);
    }

    /// Notes that another instance knows something else, so that a read is due.
    pub fn doubt(&self) {
        self.doubts.notify_one();
    }

    /// Waits until the newest proof is older than `limit`, or doubted.
    pub async fn expired(&self, limit: Duration) {
        while let Some(left) = self.age().and_then(|age| limit.checked_sub(age)) {
            tokio::select! {
                () = self.doubts.notified() => return,
                () = sleep(left + WAKE_MARGIN) => {}
            }
        }
    }

    /// Age of the newest proof; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        match self.at.load(Ordering::Acquire) {
            0 => None,
            nanos => Some(clock::now().saturating_sub(Duration::from_nanos(nanos))),
        }
    }
}

/// Beliefs of one instance.
#[derive(Debug)]
pub struct Belief {
    /// The configuration.
    pub table: ArcSwapOption<Table>,
    /// Revision of the configuration's record; zero before the first.
    pub revision: AtomicU64,
    /// Newest revision of that record that a coordinator knew.
    claimed: AtomicU64,
    /// Proof that no newer configuration was acknowledged.
    pub config: Proof,
    /// The endpoints.
    pub entries: ArcSwap<Vec<Entry>>,
    /// Digest of the endpoints' entries, equal on instances that know the same.
    pub digest: AtomicU64,
    /// Whether endpoints are kept whose entries are missing after an outage that this instance saw.
    graced: AtomicBool,
    /// Whether this instance reads the store for others.
    leading: AtomicBool,
    /// Whether it hears another one that does.
    led: AtomicBool,
    /// Proof that no endpoint's change is missing.
    pub roster: Proof,
    /// Entries that a coordinator sent, with the time of their proof; taken by the follower.
    offered: Mutex<Option<(Vec<Entry>, Mono)>>,
    /// The instances, this one included once its own record is seen.
    pub peers: ArcSwap<Vec<Peer>>,
    /// Proof that this instance is on the list that the others read.
    pub listed: Proof,
    /// Changes whenever the table, the endpoints or the instances changed.
    pub changes: watch::Sender<u64>,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            table: ArcSwapOption::empty(),
            revision: AtomicU64::new(0),
            claimed: AtomicU64::new(0),
            config: Proof::default(),
            entries: ArcSwap::default(),
            digest: AtomicU64::new(0),
            graced: AtomicBool::new(false),
            leading: AtomicBool::new(false),
            led: AtomicBool::new(false),
            roster: Proof::default(),
            offered: Mutex::default(),
            peers: ArcSwap::default(),
            listed: Proof::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl Belief {
    /// Makes empty beliefs.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Instances that share the endpoints, at least this one.
    pub fn instances(&self) -> usize {
        self.peers.load().len().max(1)
    }

    /// Takes over another instance's proof: it knew the configuration of `revision` as the newest
    /// one at `at`. It counts only if this instance knows the same one.
    pub fn confirm_config(&self, revision: u64, at: Mono) {
        let known = self.revision.load(Ordering::Acquire);
        if revision != 0 && known == revision {
            self.config.note(at);
        } else if revision > known {
            self.claimed.fetch_max(revision, Ordering::AcqRel);
            self.config.doubt();
        }
    }

    /// Revision of a configuration newer than `known` that another instance has.
    pub fn newer_config(&self, known: u64) -> Option<u64> {
        let claimed = self.claimed.load(Ordering::Acquire);
        (claimed > known).then_some(claimed)
    }

    /// The same for the endpoints, by their digest.
    pub fn confirm_roster(&self, digest: u64, at: Mono) {
        if digest != 0 && self.digest.load(Ordering::Acquire) == digest {
            self.roster.note(at);
        }
    }

    /// Puts entries in force.
    pub fn install(&self, entries: Vec<Entry>, digest: u64) {
        self.entries.store(Arc::new(entries));
        self.digest.store(digest, Ordering::Release);
        self.announce();
    }

    /// Notes whether this instance reads the store for others, since no better coordinator answers it
    /// with fresh proofs, and if not, whether it hears another one.
    pub fn set_leading(&self, leading: bool, hears: bool) {
        self.leading.store(leading, Ordering::Release);
        self.led.store(!leading && hears, Ordering::Release);
    }

    /// Whether this instance hears another one that reads the store for it.
    pub fn led(&self) -> bool {
        self.led.load(Ordering::Acquire)
    }

    /// Whether this instance reads the store for others.
    pub fn leads(&self) -> bool {
        self.leading.load(Ordering::Acquire)
    }

    /// Notes whether endpoints are kept although their entries are missing.
    pub fn set_graced(&self, graced: bool) {
        self.graced.store(graced, Ordering::Release);
    }

    /// Digest of the entries and age of their proof, if this instance may vouch for them towards
    /// others. It may not while it keeps endpoints that the store does not show: the outage may have
    /// been its own, and the others know better.
    pub fn vouched_roster(&self) -> Option<(u64, Duration)> {
        let digest = self.digest.load(Ordering::Acquire);
        let vouches = digest != 0 && !self.graced.load(Ordering::Acquire);
        self.roster.age().filter(|_| vouches).map(|age| (digest, age))
    }

    /// Offers entries that a coordinator vouched for at `at`.
    pub fn offer(&self, entries: Vec<Entry>, at: Mono) {
        *self.lock_offered() = Some((entries, at));
        self.roster.doubt();
    }

    /// Takes the entries that were offered.
    pub fn take_offered(&self) -> Option<(Vec<Entry>, Mono)> {
        self.lock_offered().take()
    }

    fn lock_offered(&self) -> MutexGuard<'_, Option<(Vec<Entry>, Mono)>> {
        self.offered.lock().expect("no panic under the lock of the offer")
    }

    /// Tells those that follow the beliefs.
    pub fn announce(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}
