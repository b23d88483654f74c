//! Decides whether the installed configuration is recent enough to serve requests that need a key.
//!
//! A freshness proof is an instant of this process's monotonic clock at or after which the head in
//! the store was not newer than the installed configuration. The instant is always the time at
//! which this process sent a query. So a message that waited in a buffer, or a pause of the
//! process, never makes a proof look newer than it is.
//!
//! Without a new proof there are two cases. If the store is down for all instances, no change can
//! be accepted, and refusing requests would extend the store's outage to them. If only this
//! instance is cut off, a key may have been revoked without its knowledge. The instance tells these
//! cases apart by the peers that respond: if most availability zones respond, it would have received
//! a proof or a newer generation through them.

use {
    agate_core::Mono,
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

/// Maximum age of a proof with which keyed requests are served regardless of the peers.
pub const MAX_PROOF_AGE: Duration = Duration::from_secs(5);
/// Maximum age of a query to a peer, with a response or not, that counts.
pub const MAX_RESPONSE_AGE: Duration = Duration::from_secs(5);
/// Time after which a query without a response counts as failed.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether requests that need a key may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFreshness {
    /// The newest proof is recent: serve.
    Fresh,
    /// No peer has a recent proof or a greater generation, but most of the fleet responds: serve.
    StoreDown,
    /// The instance may be cut off: refuse requests as not run.
    Stale,
}

impl ConfigFreshness {
    /// Returns whether requests that need a key are served.
    pub fn may_serve(self) -> bool {
        self != ConfigFreshness::Stale
    }
}

/// The peers and availability zones that respond to this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Number of other members of the own availability zone.
    pub peers: usize,
    /// Number of those that were queried recently.
    pub queried: usize,
    /// Number of those that responded.
    pub responded: usize,
    /// Number of other availability zones with members.
    pub zones: usize,
    /// Number of those of which a member responded.
    pub responding_zones: usize,
}

impl Reachability {
    /// Returns whether most availability zones respond. The own zone counts if more than half of its
    /// queried members responded, including this instance.
    pub fn has_majority(self) -> bool {
        let no_peers = self.peers == 0;
        let own = no_peers || (self.responded > 0 && 2 * (self.responded + 1) > self.queried + 1);
        2 * (self.responding_zones + usize::from(own)) > self.zones + 1
    }
}

/// Decides by the age of the newest proof (`None` if there was none) and by the peers that respond.
pub fn assess(age: Option<Duration>, reach: Reachability) -> ConfigFreshness {
    match age {
        Some(age) if age <= MAX_PROOF_AGE => ConfigFreshness::Fresh,
        // Without any proof, the configuration may be arbitrarily old.
        Some(_) if reach.has_majority() => ConfigFreshness::StoreDown,
        _ => ConfigFreshness::Stale,
    }
}

/// The newest query to a peer, and the newest one that it responded to.
#[derive(Clone, Copy, Debug, Default)]
struct PeerQueries {
    queried: Option<Mono>,
    responded: Option<Mono>,
}

type QueriesByPeer = IndexMap<Arc<str>, PeerQueries>;

/// Tracks which peers were queried and which responded.
///
/// The membership decides which peers count. A member that it has declared failed is no evidence of
/// a partition and is left out. A member that merely does not respond counts.
#[derive(Clone, Debug, Default)]
pub struct PeerTracker {
    local: QueriesByPeer,
    remote: Vec<QueriesByPeer>,
}

impl PeerTracker {
    /// Sets the other members of the own availability zone, and a sample of each other zone.
    /// Records of members that stay are kept.
    pub fn set_members(&mut self, local: &[Arc<str>], remote: &[Vec<Arc<str>>]) {
        let mut old = std::mem::take(&mut self.local);
        old.extend(std::mem::take(&mut self.remote).into_iter().flatten());
        let keep_known = |names: &[Arc<str>]| {
            names.iter().map(|n| (n.clone(), old.get(n).copied().unwrap_or_default())).collect()
        };
        self.local = keep_known(local);
        self.remote = remote.iter().map(|names| keep_known(names)).collect();
    }

    /// Records that `peer` is queried at `now`.
    pub fn record_query(&mut self, peer: &str, now: Mono) {
        if let Some(queries) = self.find(peer) {
            queries.queried = Some(now);
        }
    }

    /// Records that `peer` responded to a query that was sent at `sent_at`.
    pub fn record_response(&mut self, peer: &str, sent_at: Mono) {
        if let Some(queries) = self.find(peer) {
            queries.responded = queries.responded.max(Some(sent_at));
        }
    }

    fn find(&mut self, peer: &str) -> Option<&mut PeerQueries> {
        let mut lists = std::iter::once(&mut self.local).chain(&mut self.remote);
        lists.find_map(|l| l.get_mut(peer))
    }

    /// Returns the peers and zones that respond at `now`.
    pub fn reach(&self, now: Mono) -> Reachability {
        let within = |at: Option<Mono>, bound| at.is_some_and(|at| now.saturating_sub(at) <= bound);
        let has_responded = |c: &PeerQueries| within(c.responded, MAX_RESPONSE_AGE);
        let is_pending = |c: &PeerQueries| within(c.queried, RESPONSE_TIMEOUT);
        let unanswered = |c: &PeerQueries| within(c.queried, MAX_RESPONSE_AGE) && !is_pending(c);
        let count = |f: &dyn Fn(&PeerQueries) -> bool| self.local.values().filter(|c| f(c)).count();
        Reachability {
            peers: self.local.len(),
            queried: count(&|c| has_responded(c) || unanswered(c)),
            responded: count(&has_responded),
            zones: self.remote.len(),
            responding_zones: self
                .remote
                .iter()
                .filter(|zone| zone.values().any(has_responded))
                .count(),
        }
    }
}
