//! What the request path reads: the newest beliefs, each with the time of its proof.

use {
    crate::{clock, peers::Peer, roster::Entry, table::Table},
    agate_core::Mono,
    arc_swap::{ArcSwap, ArcSwapOption},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Time of the newest proof of one belief.
#[derive(Debug, Default)]
pub struct Proof {
    at: AtomicU64,
}

impl Proof {
    /// Notes a proof made at `at`; older ones change nothing.
    pub fn note(&self, at: Mono) {
        let nanos = u64::try_from(at.as_nanos()).unwrap_or(u64::MAX);
        self.at.fetch_max(nanos, Ordering::AcqRel);
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
    /// Proof that no newer configuration was acknowledged.
    pub config: Proof,
    /// The endpoints.
    pub entries: ArcSwap<Vec<Entry>>,
    /// Proof that no endpoint's change is missing.
    pub roster: Proof,
    /// The instances, this one included once its own record is seen.
    pub peers: ArcSwap<Vec<Peer>>,
    /// Changes whenever the table, the endpoints or the instances changed.
    pub changes: watch::Sender<u64>,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            table: ArcSwapOption::empty(),
            config: Proof::default(),
            entries: ArcSwap::default(),
            roster: Proof::default(),
            peers: ArcSwap::default(),
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

    /// Tells those that follow the beliefs.
    pub fn announce(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}
