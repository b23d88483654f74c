//! Which calls an endpoint left unanswered, and whether it crashed, without I/O or a clock.

use {
    crate::{EndpointHash, Print},
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time for which an unanswered call is remembered; the entry of an endpoint that fell silent goes
/// within three of its heartbeats, a few seconds.
pub const MEMORY: Duration = Duration::from_secs(8);
/// Most endpoints remembered; the oldest are forgotten first.
pub const ENDPOINTS: usize = 256;
/// Most unanswered calls remembered for one endpoint.
pub const CALLS: usize = 64;

/// A call that an endpoint left unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// Its request.
    pub print: Print,
    /// Whether it was a trial of a suspect.
    pub trial: bool,
}

#[derive(Clone, Debug, Default)]
struct Case {
    unanswered: Vec<(Call, Mono)>,
    crashed: Option<Mono>,
}

impl Case {
    /// Forgets what is old; returns whether something is left.
    fn prune(&mut self, now: Mono) -> bool {
        let fresh = |at: Mono| now.saturating_sub(at) < MEMORY;
        self.unanswered.retain(|(_, at)| fresh(*at));
        self.crashed = self.crashed.filter(|at| fresh(*at));
        !self.unanswered.is_empty() || self.crashed.is_some()
    }
}

/// What one instance saw of its endpoints.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    cases: IndexMap<EndpointHash, Case>,
}

impl Evidence {
    /// Notes a call that ended without an answer; returns whether the endpoint is known to have
    /// crashed.
    pub fn on_unanswered(&mut self, endpoint: EndpointHash, call: Call, now: Mono) -> bool {
        let case = self.case(endpoint, now);
        if case.crashed.is_some() {
            return true;
        }
        if case.unanswered.len() < CALLS {
            case.unanswered.push((call, now));
        }
        false
    }

    /// Notes that an endpoint crashed; returns the calls that it left unanswered.
    pub fn on_crash(&mut self, endpoint: EndpointHash, now: Mono) -> Vec<Call> {
        let case = self.case(endpoint, now);
        case.crashed = Some(now);
        let mut calls: Vec<Call> = case.unanswered.drain(..).map(|(call, _)| call).collect();
        calls.sort_unstable();
        calls.dedup();
        calls
    }

    /// Notes that the endpoint lives although a call on a broken connection was left unanswered.
    pub fn on_alive(&mut self, endpoint: EndpointHash, call: Call, now: Mono) {
        let case = self.case(endpoint, now);
        if let Some(index) = case.unanswered.iter().rposition(|(c, _)| *c == call) {
            case.unanswered.remove(index);
        }
    }

    /// Endpoints known to have crashed.
    pub fn crashed(&self) -> impl Iterator<Item = EndpointHash> {
        let crashed = self.cases.iter().filter(|(_, case)| case.crashed.is_some());
        crashed.map(|(endpoint, _)| *endpoint)
    }

    fn case(&mut self, endpoint: EndpointHash, now: Mono) -> &mut Case {
        self.cases.retain(|_, case| case.prune(now));
        if self.cases.len() >= ENDPOINTS && !self.cases.contains_key(&endpoint) {
            self.cases.shift_remove_index(0);
        }
        self.cases.entry(endpoint).or_default()
    }
}
