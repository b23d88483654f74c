//! Crashes per property of requests, merged from the observations of all instances; no I/O or clock.
//!
//! Observations are sent with their age, so merging is idempotent and independent of order. Each is
//! sent for at most [`REPORT_TIME`].

use {
    crate::{
        EndpointHash, Fingerprint,
        property::{Property, is_part},
    },
    agate_core::Mono,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, time::Duration},
};

/// Number of endpoints that must crash with a request unanswered, without a response to it since,
/// before it is suspected.
pub const SUSPECT_CRASHES: usize = 2;
/// The same number for a prompt part. It is higher because many requests may share the part.
pub const PART_CRASHES: usize = 3;
/// Time after which a crash counts against a prompt part. A response to another request with the
/// part usually arrives within it.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time for which a crash counts.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time for which an observation is sent to other instances: long enough for several rounds through
/// a coordinator, and for the change to the next coordinator.
pub const REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of properties remembered. Beyond it, one with the fewest crashes is evicted first,
/// the oldest of several.
pub const CAPACITY: usize = 4_096;
/// Maximum number of crashes remembered per property; the oldest are evicted first.
const MAX_CRASHES: usize = 8;

/// An observation of a property, as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The property, packed.
    pub print: u64,
    /// Endpoint that crashed with a request of the property unanswered; `None` for a response to
    /// such a request.
    pub crashed: Option<EndpointHash>,
    /// Time since the crash, or since the answered request was sent, in milliseconds.
    pub age: u32,
}

#[derive(Clone, Debug, Default)]
struct CrashHistory {
    crashes: Vec<(EndpointHash, Mono)>,
    answered: Option<Answered>,
    depth: u8,
}

/// Of the requests that were answered, the one that was sent last.
#[derive(Clone, Copy, Debug)]
struct Answered {
    sent: Mono,
    /// When this instance learnt of the response.
    seen: Mono,
}

impl CrashHistory {
    fn last_crash(&self) -> Option<Mono> {
        self.crashes.iter().map(|(_, at)| *at).max()
    }

    fn last_seen(&self) -> Mono {
        self.last_crash().max(self.answered.map(|a| a.seen)).unwrap_or_default()
    }

    fn on_crash(&mut self, endpoint: EndpointHash, at: Mono) {
        let answered = self.answered.is_some_and(|a| a.sent > at);
        let known = self.crashes.iter().any(|(e, _)| *e == endpoint);
        if answered || known {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push((endpoint, at));
    }

    fn on_response(&mut self, sent: Mono, seen: Mono) {
        if self.answered.is_none_or(|a| sent > a.sent) {
            self.answered = Some(Answered { sent, seen });
        }
        self.crashes.retain(|(_, at)| *at >= sent);
    }
}

/// Properties of requests that were in flight during crashes.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    histories: IndexMap<Fingerprint, CrashHistory>,
    /// Position of the next observation to send.
    cursor: usize,
    suspects: IndexSet<Fingerprint>,
    /// When `suspects` has to be determined again; at once if `None`.
    due: Option<Mono>,
}

impl Suspicions {
    /// Records that `endpoint` crashed with a request of the property unanswered.
    pub fn on_crash(&mut self, property: Property, endpoint: EndpointHash, at: Mono) {
        if self.histories.len() >= CAPACITY && !self.histories.contains_key(&property.print) {
            let rank = |h: &CrashHistory| (h.crashes.len(), h.last_seen());
            let ranks = self.histories.values().map(rank).enumerate();
            if let Some((index, _)) = ranks.min_by_key(|(_, rank)| *rank) {
                self.histories.swap_remove_index(index);
            }
        }
        let history = self.histories.entry(property.print).or_default();
        history.depth = history.depth.max(property.depth);
        history.on_crash(endpoint, at);
        self.due = None;
    }

    /// Records a complete response to a request of the property that was sent at `sent`; returns
    /// whether crashes no longer count because of it.
    pub fn on_response(&mut self, print: Fingerprint, sent: Mono, now: Mono) -> bool {
        let Some(history) = self.histories.get_mut(&print) else { return false };
        let before = history.crashes.len();
        history.on_response(sent, now);
        let changed = history.crashes.len() < before;
        if changed {
            self.due = None;
        }
        changed
    }

    /// Whether the crashes make the property a suspect. `proved` are the suspects that crashed an
    /// endpoint in a trial.
    pub fn suspected(
        &mut self,
        print: Fingerprint,
        proved: impl Fn(Fingerprint) -> bool,
        now: Mono,
    ) -> bool {
        self.refresh(proved, now);
        self.suspects.contains(&print)
    }

    /// All suspects, with the time of the last crash of each.
    pub fn suspects(
        &mut self,
        proved: impl Fn(Fingerprint) -> bool,
        now: Mono,
    ) -> impl Iterator<Item = (Fingerprint, Mono)> {
        self.refresh(proved, now);
        let histories = &self.histories;
        self.suspects.iter().filter_map(|p| Some((*p, histories.get(p)?.last_crash()?)))
    }

    /// Ends the suspicion of these properties: crashes until `now` no longer count. Makes the next
    /// query determine the suspects again.
    pub fn acquit(&mut self, prints: impl Iterator<Item = Fingerprint>, now: Mono) {
        for print in prints {
            if let Some(history) = self.histories.get_mut(&print) {
                history.on_response(now, now);
            }
        }
        self.due = None;
    }

    fn refresh(&mut self, proved: impl Fn(Fingerprint) -> bool, now: Mono) {
        if self.due.is_some_and(|due| now < due) {
            return;
        }
        let settled = |at: Mono| now.saturating_sub(at) >= SETTLE_TIME;
        let parts = || self.histories.iter().filter(|(p, _)| is_part(**p));
        let pending = parts().flat_map(|(_, h)| &h.crashes).map(|(_, at)| *at);
        let next = pending.filter(|at| !settled(*at)).min();
        self.due = Some(next.map_or(now + RETENTION, |at| at + SETTLE_TIME));

        // Of the parts in flight during a crash at most one caused it. The one in flight during most
        // crashes is suspected; those crashes do not count against the others.
        let endpoints = |h: &CrashHistory| h.crashes.iter().map(|(e, _)| *e).collect::<Vec<_>>();
        let mut explained: IndexSet<EndpointHash> =
            parts().filter(|(p, _)| proved(**p)).flat_map(|(_, h)| endpoints(h)).collect();
        let mut suspects = IndexSet::new();
        loop {
            let count = |h: &CrashHistory| {
                let counts = |(e, at): &&(_, Mono)| settled(*at) && !explained.contains(e);
                h.crashes.iter().filter(counts).count()
            };
            let counted = parts().map(|(p, h)| (count(h), h.depth, *p));
            let Some((_, _, part)) = counted.filter(|(n, ..)| *n >= PART_CRASHES).max() else {
                break;
            };
            explained.extend(endpoints(&self.histories[&part]));
            suspects.insert(part);
        }
        let requests = self.histories.iter().filter(|(p, _)| !is_part(**p));
        let suspected = requests.filter(|(_, h)| {
            h.crashes.iter().filter(|(e, _)| !explained.contains(e)).count() >= SUSPECT_CRASHES
        });
        suspects.extend(suspected.map(|(p, _)| *p));
        self.suspects = suspects;
    }

    /// Merges the observations of another instance.
    pub fn merge(&mut self, observations: &[Observation], now: Mono) {
        for observation in observations {
            let at = now.saturating_sub(Duration::from_millis(observation.age.into()));
            let property = Property::unpack(observation.print);
            match observation.crashed {
                Some(endpoint) => self.on_crash(property, endpoint, at),
                // A response to an unknown request changes nothing.
                None => drop(self.on_response(property.print, at, now)),
            }
        }
    }

    /// Returns at most `count` observations younger than [`REPORT_TIME`]. Up to half of them are those
    /// of the prompt parts with most crashes; the others take turns.
    pub fn recent(&mut self, count: usize, now: Mono) -> Vec<Observation> {
        let age = |at: Mono| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let fresh = |at: Mono| now.saturating_sub(at) < REPORT_TIME;
        let mut all = Vec::new();
        for (print, history) in &self.histories {
            let property = Property { print: *print, depth: history.depth };
            let rank = if is_part(*print) { history.crashes.len() } else { 0 };
            let answered = history.answered.filter(|a| fresh(a.seen)).map(|a| (None, a.sent));
            let crashes = history.crashes.iter().filter(|(_, at)| fresh(*at));
            let crashes = crashes.map(|(endpoint, at)| (Some(*endpoint), *at));
            all.extend(answered.into_iter().chain(crashes).map(|(crashed, at)| {
                (Reverse(rank), Observation { print: property.pack(), crashed, age: age(at) })
            }));
        }
        if all.len() > count {
            // The sort is stable, so the others keep their order between calls.
            all.sort_by_key(|(rank, _)| *rank);
            let first = all.iter().filter(|(rank, _)| rank.0 > 0).count().min(count / 2);
            let others = &mut all[first..];
            let from = self.cursor % others.len();
            others.rotate_left(from);
            self.cursor = self.cursor.wrapping_add(count - first);
            all.truncate(count);
        }
        all.into_iter().map(|(_, observation)| observation).collect()
    }

    /// Removes expired observations.
    pub fn prune(&mut self, now: Mono) {
        let within = |at: Mono, limit: Duration| now.saturating_sub(at) < limit;
        self.histories.retain(|_, history| {
            history.crashes.retain(|(_, at)| within(*at, RETENTION));
            !history.crashes.is_empty()
                || history.answered.is_some_and(|a| within(a.seen, REPORT_TIME))
        });
        self.due = None;
    }

    /// Whether no observation is left.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }
}
