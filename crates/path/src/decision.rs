//! What an instance concludes about its path to one endpoint, and which instance it asks for a
//! relayed connection; no I/O or clock.

use {agate_core::Mono, agate_view::peers::Peer, indexmap::IndexMap, std::time::Duration};

/// Time after which another instance is asked for a connection that has not opened directly; many
/// round trips to another availability zone.
pub const DIRECT_HEAD_START: Duration = Duration::from_millis(100);
/// Time that a check gives a direct connection after another instance has opened one: an endpoint
/// that was silent for a while accepts both at the same moment.
pub const DIRECT_GRACE: Duration = Duration::from_millis(50);
/// Time without a byte from an endpoint with open requests after which its path is checked.
pub const MAX_SILENCE: Duration = Duration::from_millis(400);
/// Time between two checks of a path, and between two attempts to use a broken one again.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which an instance that did not relay a connection is not asked again.
const RELAY_BACKOFF: Duration = Duration::from_secs(2);

/// What an instance knows of its path to one endpoint; the default works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathState {
    /// Whether direct connections cannot be opened although the endpoint is reachable.
    broken: bool,
    /// Whether another instance was faster than a direct connection, which may have been chance.
    suspected: bool,
    /// When the path was last checked or tried.
    checked: Option<Mono>,
}

/// How a check could open a connection to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Directly.
    Direct,
    /// Only by another instance.
    OnlyRelayed,
    /// Neither directly nor by another instance, which does not show what is wrong.
    Neither,
}

/// Change of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Direct connections cannot be opened any more.
    Broken,
    /// They can be opened again.
    Restored,
}

impl PathState {
    /// Whether connections are opened through another instance.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Records that another instance opened a connection before this one could.
    pub fn suspect(&mut self) {
        self.suspected = true;
    }

    /// Applies the result of a check; returns whether it changed the path.
    pub fn observe(&mut self, seen: Observation, now: Mono) -> Option<Change> {
        self.checked = Some(now);
        self.suspected = false;
        let broken = match seen {
            Observation::Direct => false,
            Observation::OnlyRelayed => true,
            Observation::Neither => return None,
        };
        let changed = std::mem::replace(&mut self.broken, broken) != broken;
        changed.then_some(if broken { Change::Broken } else { Change::Restored })
    }

    /// Begins a check if one is due: the path is broken or suspected, or the endpoint, which has open
    /// requests, has been silent for `silence`.
    pub fn begin_check(&mut self, silence: Option<Duration>, now: Mono) -> bool {
        let reason = self.broken || self.suspected || silence.is_some_and(|s| s >= MAX_SILENCE);
        let rested = self.checked.is_none_or(|at| now.saturating_sub(at) >= CHECK_INTERVAL);
        let due = reason && rested;
        if due {
            self.checked = Some(now);
        }
        due
    }
}

/// Instances that did not relay a connection lately.
#[derive(Clone, Debug, Default)]
pub struct Avoided {
    failures: IndexMap<String, Mono>,
}

impl Avoided {
    /// Records that the instance did not relay a connection.
    pub fn on_failure(&mut self, name: &str, now: Mono) {
        self.failures.retain(|_, at| now.saturating_sub(*at) < RELAY_BACKOFF);
        self.failures.insert(name.to_owned(), now);
    }

    fn contains(&self, name: &str, now: Mono) -> bool {
        self.failures.get(name).is_some_and(|at| now.saturating_sub(*at) < RELAY_BACKOFF)
    }
}

/// Chooses an instance to ask, by `draw` in [0, 1): one that is not avoided, outside the zone of
/// `tried` if there is one, else any other.
pub fn choose_relay<'a>(
    peers: &'a [Peer],
    own: &str,
    tried: Option<&Peer>,
    avoided: &Avoided,
    draw: f64,
    now: Mono,
) -> Option<&'a Peer> {
    let others: Vec<&Peer> =
        peers.iter().filter(|p| p.name != own && tried.is_none_or(|t| t.name != p.name)).collect();
    let elsewhere = |p: &&&Peer| tried.is_none_or(|t| t.zone != p.zone);
    let untried = |p: &&&Peer| !avoided.contains(&p.name, now);
    let preferred: Vec<&Peer> = others.iter().filter(untried).filter(elsewhere).copied().collect();
    let usable: Vec<&Peer> = others.iter().filter(untried).copied().collect();
    let chosen = [preferred, usable, others].into_iter().find(|list| !list.is_empty())?;
    let index = (draw * chosen.len() as f64) as usize;
    chosen.get(index.min(chosen.len() - 1)).copied()
}
