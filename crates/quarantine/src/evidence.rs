//! Unanswered calls and crashes per endpoint, as one instance saw them; no I/O or clock.

use {
    crate::{EndpointHash, Fingerprint, Property},
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time for which an unanswered call is remembered. The entry of an endpoint that stops sending
/// heartbeats is removed within three of them, which takes a few seconds.
pub const RETENTION: Duration = Duration::from_secs(8);
/// Maximum number of endpoints remembered; the oldest are evicted first.
pub const MAX_ENDPOINTS: usize = 256;
/// Maximum number of unanswered calls remembered per endpoint.
pub const MAX_CALLS: usize = 64;

/// A call that an endpoint left unanswered.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// Properties of its request.
    pub properties: Vec<Property>,
    /// Suspects that it was a trial of; empty if it was none.
    pub trial: Vec<Fingerprint>,
}

#[derive(Clone, Debug, Default)]
struct EndpointEvidence {
    unanswered: Vec<(Call, Mono)>,
    crashed: Option<Mono>,
}

impl EndpointEvidence {
    /// Removes expired evidence; returns whether any is left.
    fn prune(&mut self, now: Mono) -> bool {
        let fresh = |at: Mono| now.saturating_sub(at) < RETENTION;
        self.unanswered.retain(|(_, at)| fresh(*at));
        self.crashed = self.crashed.filter(|at| fresh(*at));
        !self.unanswered.is_empty() || self.crashed.is_some()
    }
}

/// Unanswered calls and crashes of all endpoints, as one instance saw them.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    endpoints: IndexMap<EndpointHash, EndpointEvidence>,
}

impl Evidence {
    /// Records a call that ended without a response. Returns the call if the endpoint is already
    /// known to have crashed, with the time at which that was first known.
    pub fn on_unanswered(
        &mut self,
        endpoint: EndpointHash,
        call: Call,
        now: Mono,
    ) -> Option<(Call, Mono)> {
        let entry = self.entry_of(endpoint, now);
        if let Some(at) = entry.crashed {
            return Some((call, at));
        }
        if entry.unanswered.len() < MAX_CALLS {
            entry.unanswered.push((call, now));
        }
        None
    }

    /// Records that an endpoint crashed; returns and removes the calls that it left unanswered.
    pub fn on_crash(&mut self, endpoint: EndpointHash, now: Mono) -> Vec<Call> {
        let entry = self.entry_of(endpoint, now);
        entry.crashed.get_or_insert(now);
        let mut calls: Vec<Call> = entry.unanswered.drain(..).map(|(call, _)| call).collect();
        calls.sort_unstable();
        calls.dedup();
        calls
    }

    /// Drops an unanswered call, since the endpoint is alive and only the connection broke.
    pub fn on_alive(&mut self, endpoint: EndpointHash, call: &Call, now: Mono) {
        let entry = self.entry_of(endpoint, now);
        if let Some(index) = entry.unanswered.iter().rposition(|(c, _)| c == call) {
            entry.unanswered.remove(index);
        }
    }

    /// Endpoints known to have crashed.
    pub fn crashed(&self) -> impl Iterator<Item = EndpointHash> {
        let crashed = self.endpoints.iter().filter(|(_, entry)| entry.crashed.is_some());
        crashed.map(|(endpoint, _)| *endpoint)
    }

    fn entry_of(&mut self, endpoint: EndpointHash, now: Mono) -> &mut EndpointEvidence {
        self.endpoints.retain(|_, entry| entry.prune(now));
        if self.endpoints.len() >= MAX_ENDPOINTS && !self.endpoints.contains_key(&endpoint) {
            self.endpoints.shift_remove_index(0);
        }
        self.endpoints.entry(endpoint).or_default()
    }
}
