//! Remembers what endpoints stated about themselves, also while their entries are missing.
//!
//! An entry can be missing although its endpoint lives: it expires while the endpoint cannot reach
//! the store, and the endpoint writes it again. What the endpoint stated stays valid meanwhile. A
//! new incarnation has stated nothing yet.

use {
    agate_core::Mono,
    agate_route::signals::{Change, SignalState, Signals},
    agate_view::{roster::Entry, table::Name},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
        time::Duration,
    },
};

/// Time for which statements are kept after the entry went missing; many times as long as an endpoint
/// that lives takes to write its entry again.
pub const RETENTION: Duration = Duration::from_secs(60);

/// What one endpoint stated.
#[derive(Debug, Default)]
pub struct EndpointSignals {
    state: Mutex<SignalState>,
    /// Beside the state, since it is read for each endpoint of a service and each request.
    leaving: AtomicBool,
}

impl EndpointSignals {
    /// Applies the statements of a response and returns what they change.
    pub fn step(&self, signals: &Signals, now: Mono) -> Vec<Change> {
        let changes = self.lock().step(signals, rand::random(), now);
        if changes.contains(&Change::Leaving) {
            self.leaving.store(true, Relaxed);
        }
        changes
    }

    /// Whether the endpoint stated that it is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Relaxed)
    }

    /// Locks the rest of what it stated.
    pub fn lock(&self) -> MutexGuard<'_, SignalState> {
        self.state.lock().expect("lock of the signals is not poisoned")
    }
}

/// What one endpoint stated, shared by all that use it.
pub type SharedSignals = Arc<EndpointSignals>;

/// Name, address and start time, which identify one incarnation of an endpoint.
type Incarnation = (Name, SocketAddr, Option<u64>);

fn incarnation(entry: &Entry) -> Incarnation {
    (entry.name.clone(), entry.address, entry.born)
}

#[derive(Debug, Default)]
struct Known {
    signals: SharedSignals,
    /// Whether the current list contains its entry.
    listed: bool,
    /// Time at which its entry was first missing since it was last listed.
    missing: Option<Mono>,
}

/// Statements of all endpoints that are listed or were listed lately.
#[derive(Debug, Default)]
pub struct SignalStore {
    known: IndexMap<Incarnation, Known>,
}

impl SignalStore {
    /// Returns the statements of the incarnation that `entry` describes, an entry of the current list.
    pub fn list(&mut self, entry: &Entry) -> SharedSignals {
        let known = self.known.entry(incarnation(entry)).or_default();
        known.listed = true;
        known.missing = None;
        known.signals.clone()
    }

    /// Whether the incarnation that `entry` lists or listed stated that it is leaving.
    pub fn leaving(&self, entry: &Entry) -> bool {
        self.known.get(&incarnation(entry)).is_some_and(|k| k.signals.leaving())
    }

    /// Ends the current list and drops the statements of endpoints whose entries have been missing for
    /// the retention time.
    pub fn end_list(&mut self, now: Mono) {
        self.known.retain(|_, k| {
            let listed = std::mem::take(&mut k.listed);
            listed || now.saturating_sub(*k.missing.get_or_insert(now)) < RETENTION
        });
    }

    /// Number of incarnations whose statements are kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no statements are kept.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
