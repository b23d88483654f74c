//! Whether the configuration in force may still decide on keyed work.
//!
//! A proof is an instant of this process's monotonic clock at or after which the store's head was
//! not newer than the configuration in force. The instant is always that at which a question left
//! this process, so a message that waited in a buffer, or a process that was paused, never makes a
//! proof look newer than it is.
//!
//! Without a new proof there are two cases. If the store is down for everyone, no change can be
//! accepted, and refusing would turn its outage into ours. If only this instance is cut off, a key
//! may have been withdrawn. The difference is told by whom the instance hears: one that hears most
//! availability zones would have received a proof or a newer generation through them.

use {
    agate_core::Mono,
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

/// Oldest proof under which keyed work is served without looking at peers.
pub const PROOF_BOUND: Duration = Duration::from_secs(5);
/// Age up to which a question to a peer and its answer count.
pub const HEARD_BOUND: Duration = Duration::from_secs(5);
/// Time after which a question without answer counts as failed.
pub const ANSWER_BOUND: Duration = Duration::from_millis(500);

/// What may be done with keyed work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The newest proof is recent: serve.
    Fresh,
    /// Nobody has a recent proof, and most of the fleet is heard: serve.
    StoreDown,
    /// The instance may be cut off: refuse as not run.
    Stale,
}

impl Standing {
    /// Whether keyed work is served.
    pub fn serves(self) -> bool {
        self != Standing::Stale
    }
}

/// Whom the instance hears.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Other members of the own availability zone.
    pub peers: usize,
    /// Those of them that were asked.
    pub asked: usize,
    /// Those of them that answered.
    pub answered: usize,
    /// Other availability zones with members.
    pub zones: usize,
    /// Those of them of which a member answered.
    pub heard: usize,
}

impl Reach {
    /// Whether most availability zones are heard. The own one counts as heard if more than half of
    /// its members that were asked answered, this instance counted among them.
    pub fn majority(self) -> bool {
        let alone = self.peers == 0;
        let own = alone || (self.answered > 0 && 2 * (self.answered + 1) > self.asked + 1);
        2 * (self.heard + usize::from(own)) > self.zones + 1
    }
}

/// Decides from the age of the newest proof, `None` if there never was one.
pub fn judge(age: Option<Duration>, reach: Reach) -> Standing {
    match age {
        Some(age) if age <= PROOF_BOUND => Standing::Fresh,
        // Without any proof the configuration may be arbitrarily old.
        Some(_) if reach.majority() => Standing::StoreDown,
        _ => Standing::Stale,
    }
}

/// The newest question to a peer, and the newest one that it answered.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    asked: Option<Mono>,
    answered: Option<Mono>,
}

type Contacts = IndexMap<Arc<str>, Contact>;

/// Record of the peers that were asked and that answered.
///
/// The membership decides who counts. A member that it holds dead is no evidence of a partition, so
/// it is left out; one that is merely silent counts.
#[derive(Clone, Debug, Default)]
pub struct Hearing {
    near: Contacts,
    far: Vec<Contacts>,
}

impl Hearing {
    /// Takes over the other members of the own availability zone, and a sample of each other one.
    pub fn set_members(&mut self, near: &[Arc<str>], far: &[Vec<Arc<str>>]) {
        let mut old = std::mem::take(&mut self.near);
        old.extend(std::mem::take(&mut self.far).into_iter().flatten());
        let take = |names: &[Arc<str>]| {
            names.iter().map(|n| (n.clone(), old.get(n).copied().unwrap_or_default())).collect()
        };
        self.near = take(near);
        self.far = far.iter().map(|names| take(names)).collect();
    }

    /// Notes that `peer` is asked at `now`.
    pub fn ask(&mut self, peer: &str, now: Mono) {
        if let Some(contact) = self.find(peer) {
            contact.asked = Some(now);
        }
    }

    /// Notes that `peer` answered a question that left at `asked`.
    pub fn hear(&mut self, peer: &str, asked: Mono) {
        if let Some(contact) = self.find(peer) {
            contact.answered = contact.answered.max(Some(asked));
        }
    }

    fn find(&mut self, peer: &str) -> Option<&mut Contact> {
        let mut lists = std::iter::once(&mut self.near).chain(&mut self.far);
        lists.find_map(|l| l.get_mut(peer))
    }

    /// Whom the instance hears at `now`.
    pub fn reach(&self, now: Mono) -> Reach {
        let within = |at: Option<Mono>, bound| at.is_some_and(|at| now.saturating_sub(at) <= bound);
        let heard = |c: &Contact| within(c.answered, HEARD_BOUND);
        let waits = |c: &Contact| within(c.asked, ANSWER_BOUND);
        let asked = |c: &Contact| within(c.asked, HEARD_BOUND) && !waits(c);
        let count = |f: &dyn Fn(&Contact) -> bool| self.near.values().filter(|c| f(c)).count();
        Reach {
            peers: self.near.len(),
            asked: count(&|c| heard(c) || asked(c)),
            answered: count(&heard),
            zones: self.far.len(),
            heard: self.far.iter().filter(|zone| zone.values().any(heard)).count(),
        }
    }
}
