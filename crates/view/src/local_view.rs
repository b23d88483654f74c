//! Local view of the shared state, as the request path reads it, with the time of its latest
//! confirmation.

use {
    crate::{
        clock,
        peers::Peer,
        roster::{Digest, EndpointName, Entry},
        table::Table,
    },
    agate_core::Mono,
    arc_swap::{ArcSwap, ArcSwapOption},
    indexmap::IndexSet,
    std::{
        ops::Range,
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

/// Added to a wait so that the limit has certainly passed when it ends.
const WAKE_MARGIN: Duration = Duration::from_millis(1);

/// Reads of the endpoints per second that all instances together may request for [`LocalView::await_read`].
const REQUESTED_READS: u32 = 400;
/// Time between two looks for a read.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two confirmations from which the time between them counts as a gap.
pub const MIN_GAP: Duration = Duration::from_secs(1);

/// Time at which one part of the local view was last known to be current.
#[derive(Debug, Default)]
pub struct LastConfirmed {
    nanos: AtomicU64,
    /// Beginning and end of the latest gap.
    gap: Mutex<Option<Range<Mono>>>,
    refresh: Notify,
}

impl LastConfirmed {
    /// Records a confirmation made at `at`. Older ones than the latest change nothing.
    pub fn confirm(&self, at: Mono) {
        let nanos = u64::try_from(at.as_nanos()).unwrap_or(u64::MAX);
        let before = Duration::from_nanos(self.nanos.fetch_max(nanos, Ordering::AcqRel));
        if at.saturating_sub(before) > MIN_GAP {
            *self.lock_gap() = Some(before..at);
        }
    }

    /// Beginning and end of the latest time without confirmations that was longer than [`MIN_GAP`].
    pub fn gap(&self) -> Option<Range<Mono>> {
        self.lock_gap().clone()
    }

    fn lock_gap(&self) -> MutexGuard<'_, Option<Range<Mono>>> {
        self.gap.lock().expect("the lock of the gap is not poisoned")
    }

    /// Withdraws all confirmations.
    pub fn revoke(&self) {
        self.nanos.store(0, Ordering::Release);
    }

    /// Requests a read because another instance has a newer version or sent entries.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Waits until the latest confirmation is older than `limit` or a read is requested.
    pub async fn wait_expired(&self, limit: Duration) {
        while let Some(left) = self.age().and_then(|age| limit.checked_sub(age)) {
            tokio::select! {
                () = self.refresh.notified() => return,
                () = sleep(left + WAKE_MARGIN) => {}
            }
        }
    }

    /// Time of the latest confirmation; `None` before the first.
    pub fn at(&self) -> Option<Mono> {
        match self.nanos.load(Ordering::Acquire) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    /// Age of the latest confirmation; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        self.at().map(|at| clock::now().saturating_sub(at))
    }
}

/// Local view of the shared state of one instance.
#[derive(Debug)]
pub struct LocalView {
    /// Configuration in force; `None` before the first.
    pub table: ArcSwapOption<Table>,
    /// Revision of the configuration's record; zero before the first.
    pub config_revision: AtomicU64,
    /// Latest revision of that record reported by a coordinator.
    reported_revision: AtomicU64,
    /// Newest version of the configuration that another instance reported to have in force.
    accepted_version: AtomicU64,
    /// Latest time at which no newer configuration had been acknowledged by the store.
    pub config: LastConfirmed,
    /// Endpoint entries in force.
    pub entries: ArcSwap<Vec<Entry>>,
    /// Digest of the endpoint entries; instances with the same entries have the same digest.
    pub roster_digest: AtomicU64,
    /// Endpoints that are retained although their entries are missing since a store outage that this
    /// instance saw.
    retained: ArcSwap<IndexSet<EndpointName>>,
    /// Whether this instance is the active coordinator, which reads the store for others.
    active: AtomicBool,
    /// Whether another instance responds to it as its coordinator.
    has_coordinator: AtomicBool,
    /// Latest time at which no change of the endpoints was missing.
    pub roster: LastConfirmed,
    /// Latest time at which most instances knew no newer endpoint entries than this one.
    pub agreed: LastConfirmed,
    /// Latest time at which this instance was in contact with most of the others.
    pub contact: LastConfirmed,
    /// Latest time at which entries that were replaced since were known to hold.
    replaced: Mutex<Option<Mono>>,
    /// When a read was last requested by [`Self::await_read`].
    read_requested: Mutex<Option<Mono>>,
    /// Entries sent by a coordinator, with the time of their confirmation; taken by the loop that
    /// follows the endpoints.
    offered: Mutex<Option<(Vec<Entry>, Mono)>>,
    /// The instances, including this one once it has read its own record.
    pub peers: ArcSwap<Vec<Peer>>,
    /// Latest time at which this instance was on the list that the others read.
    pub listed: LastConfirmed,
    /// Change counter of the configuration, the endpoints and the instances, for subscribers.
    pub changes: watch::Sender<u64>,
}

impl Default for LocalView {
    fn default() -> Self {
        Self {
            table: ArcSwapOption::empty(),
            config_revision: AtomicU64::new(0),
            reported_revision: AtomicU64::new(0),
            accepted_version: AtomicU64::new(0),
            config: LastConfirmed::default(),
            entries: ArcSwap::default(),
            roster_digest: AtomicU64::new(0),
            retained: ArcSwap::default(),
            active: AtomicBool::new(false),
            has_coordinator: AtomicBool::new(false),
            roster: LastConfirmed::default(),
            agreed: LastConfirmed::default(),
            contact: LastConfirmed::default(),
            replaced: Mutex::default(),
            read_requested: Mutex::default(),
            offered: Mutex::default(),
            peers: ArcSwap::default(),
            listed: LastConfirmed::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl LocalView {
    /// Creates an empty view.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Number of instances that share the endpoints, at least 1.
    pub fn instances(&self) -> usize {
        self.peers.load().len().max(1)
    }

    /// Applies another instance's confirmation that `revision` was the latest configuration at
    /// `at`. It counts only if this instance has the same revision. A newer revision requests a
    /// read.
    pub fn confirm_config(&self, revision: u64, at: Mono) {
        let known = self.config_revision.load(Ordering::Acquire);
        if revision != 0 && known == revision {
            self.config.confirm(at);
        } else if revision > known {
            self.reported_revision.fetch_max(revision, Ordering::AcqRel);
            self.config.request_refresh();
        }
    }

    /// Revision of a configuration newer than the one in force that another instance has.
    pub fn newer_config(&self) -> Option<u64> {
        let reported = self.reported_revision.load(Ordering::Acquire);
        (reported > self.config_revision.load(Ordering::Acquire)).then_some(reported)
    }

    /// Version of the configuration in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.table.load().as_ref().map_or(0, |table| table.version)
    }

    /// Records the version of the configuration that another instance has in force.
    pub fn report_version(&self, version: u64) {
        let known = self.accepted_version.fetch_max(version, Ordering::AcqRel);
        if version > known.max(self.version()) {
            self.config.request_refresh();
        }
    }

    /// Newest version that another instance reported to have in force; zero for none. Unlike a
    /// revision, it does not depend on what the store still has.
    pub fn accepted_version(&self) -> u64 {
        self.accepted_version.load(Ordering::Acquire)
    }

    /// Applies another instance's confirmation that the entries with `digest` were current at `at`.
    /// It counts only if this instance has the same entries.
    pub fn confirm_roster(&self, digest: u64, at: Mono) {
        if digest != 0 && self.roster_digest.load(Ordering::Acquire) == digest {
            self.roster.confirm(at);
        }
    }

    /// Latest time at which no other instance can have known endpoint entries that those with `digest`
    /// lack. `None` if these are not the ones in force.
    pub fn entries_held(&self, digest: Digest) -> Option<Mono> {
        // The digest is read last: the times are those of the entries that it belongs to, or of
        // earlier ones.
        let held = self.latest_held();
        held.filter(|_| self.roster_digest.load(Ordering::Acquire) == digest)
    }

    fn latest_held(&self) -> Option<Mono> {
        self.roster.at().max(self.agreed.at())
    }

    /// Waits until the endpoint entries in force are those of a read of the store that was sent at `at` or
    /// later. Never ends while the store does not respond.
    pub async fn await_read(&self, at: Mono) {
        while self.roster.at().is_none_or(|read| read < at) {
            self.request_read();
            sleep(READ_POLL_INTERVAL).await;
        }
    }

    /// Requests a read, unless this instance has used its part of [`REQUESTED_READS`].
    fn request_read(&self) {
        let now = clock::now();
        let interval = Duration::from_secs(1) * self.instances().try_into().unwrap_or(u32::MAX)
            / REQUESTED_READS;
        let mut requested =
            self.read_requested.lock().expect("the lock of the requested read is not poisoned");
        if requested.is_none_or(|last| now >= last + interval) {
            *requested = Some(now);
            self.roster.request_refresh();
        }
    }

    /// Latest time at which the entries that were in force at the last call were known to hold; `None`
    /// if they still are in force.
    pub fn take_replaced(&self) -> Option<Mono> {
        self.replaced.lock().expect("the lock of the replacement is not poisoned").take()
    }

    /// Replaces the endpoint entries and notifies subscribers.
    pub fn install_entries(&self, entries: Vec<Entry>, digest: u64) {
        let held = self.latest_held().unwrap_or_default();
        let mut replaced =
            self.replaced.lock().expect("the lock of the replacement is not poisoned");
        replaced.get_or_insert(held);
        drop(replaced);
        self.entries.store(Arc::new(entries));
        self.roster_digest.store(digest, Ordering::Release);
        self.notify_changed();
    }

    /// Sets whether this instance is the active coordinator because no better one responds with
    /// fresh confirmations. `responsive` tells whether another coordinator responds.
    pub fn set_coordination(&self, active: bool, responsive: bool) {
        self.active.store(active, Ordering::Release);
        self.has_coordinator.store(!active && responsive, Ordering::Release);
    }

    /// Whether another coordinator reads the store for this instance.
    pub fn has_coordinator(&self) -> bool {
        self.has_coordinator.load(Ordering::Acquire)
    }

    /// Whether this instance is the active coordinator, which reads the store for others.
    pub fn is_coordinating(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// Sets the endpoints that are retained although their entries are missing, and notifies subscribers
    /// if they are others.
    pub fn set_retained(&self, retained: IndexSet<EndpointName>) {
        if **self.retained.load() != retained {
            self.retained.store(Arc::new(retained));
            self.notify_changed();
        }
    }

    /// Endpoint entries in force that the store has: what other instances may know too.
    pub fn stored_entries(&self) -> Vec<Entry> {
        let (entries, retained) = (self.entries.load(), self.retained.load());
        entries.iter().filter(|e| !retained.contains(&e.name)).cloned().collect()
    }

    /// Digest of the entries and age of their confirmation, if this instance may confirm them to
    /// others. It may not while it retains endpoints that are missing in the store: the outage may
    /// have affected only this instance, and the others have newer data.
    pub fn confirmed_roster(&self) -> Option<(u64, Duration)> {
        let digest = self.roster_digest.load(Ordering::Acquire);
        let may_confirm = digest != 0 && self.retained.load().is_empty();
        self.roster.age().filter(|_| may_confirm).map(|age| (digest, age))
    }

    /// Hands over entries that a coordinator confirmed at `at`, and requests a refresh that takes
    /// them.
    pub fn offer_entries(&self, entries: Vec<Entry>, at: Mono) {
        *self.lock_offered() = Some((entries, at));
        self.roster.request_refresh();
    }

    /// Takes the entries that were handed over.
    pub fn take_offered(&self) -> Option<(Vec<Entry>, Mono)> {
        self.lock_offered().take()
    }

    fn lock_offered(&self) -> MutexGuard<'_, Option<(Vec<Entry>, Mono)>> {
        self.offered.lock().expect("the lock of the offered entries is not poisoned")
    }

    /// Notifies the subscribers of [`Self::changes`].
    pub fn notify_changed(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}
