//! Chooses the coordinators that an instance polls and evaluates their responses. Pure state: no
//! I/O, and the caller passes the time.

use {
    crate::{
        Round,
        clocks::{self, ClockOffset},
        message::Response,
    },
    agate_core::{Mono, Wall},
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time without a response after which the next coordinator is polled.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two requests to a coordinator that did not respond or whose confirmations are too
/// old.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Age of a coordinator's confirmation of the configuration above which another coordinator is
/// preferred. A coordinator reads the store about twice a second, so an older confirmation means
/// that it does not reach the store.
pub const MAX_CONFIG_AGE: Duration = Duration::from_millis(950);
/// Number of pending requests whose responses are still accepted.
const MAX_PENDING: usize = 32;

/// A version and the latest time at which it was known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Revision of the configuration or digest of the endpoint entries.
    pub version: u64,
    /// Time at which the version was current, on the own clock.
    pub at: Mono,
}

/// Result of one response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Name of the instance that responded.
    pub from: String,
    /// Time at which it was asked.
    pub sent: Mono,
    /// Confirmation of the configuration.
    pub config: Option<Confirmation>,
    /// Confirmation of the endpoint entries.
    pub roster: Option<Confirmation>,
    /// Time of day that the instances agree on.
    pub wall: Option<Wall>,
    /// Whether it came from the coordinator that is polled regularly, not from one that is retried or
    /// another instance.
    pub current: bool,
}

/// Poll state of one instance.
#[derive(Clone, Debug, Default)]
pub struct Poller {
    round: Round,
    pending: IndexMap<Round, (String, Mono)>,
    last_response: Mono,
    target: Option<String>,
    /// Coordinators that did not respond, with the time of the latest request to each.
    unresponsive: IndexMap<String, Mono>,
    /// Coordinators whose confirmations are too old, with the time of the latest request to each.
    stale: IndexMap<String, Mono>,
    clock_offset: Option<ClockOffset>,
}

impl Poller {
    /// Chooses which of `coordinators`, best first, to poll now, and numbers the requests. One goes
    /// to the best coordinator with fresh confirmations, or to the best that responds at all if
    /// none has any. Better-ranked ones are retried every [`RETRY_INTERVAL`].
    pub fn poll<'a>(&mut self, coordinators: &[&'a str], now: Mono) -> Vec<(&'a str, Round)> {
        if let Some(target) =
            self.target.take_if(|_| now.saturating_sub(self.last_response) > RESPONSE_TIMEOUT)
        {
            self.unresponsive.insert(target, now);
        }
        for skipped in [&mut self.unresponsive, &mut self.stale] {
            skipped.retain(|name, _| coordinators.contains(&name.as_str()));
        }
        let (mut out, mut fresh, mut responsive) = (Vec::new(), None, None);
        for name in coordinators.iter().copied() {
            let last_try = self.unresponsive.get_mut(name);
            if last_try.is_none() {
                responsive = responsive.or(Some(name));
            }
            let Some(tried) = last_try.or(self.stale.get_mut(name)) else {
                fresh = Some(name);
                break;
            };
            if now.saturating_sub(*tried) >= RETRY_INTERVAL {
                *tried = now;
                out.push(name);
            }
        }
        let target = fresh.or(responsive);
        out.retain(|name| Some(*name) != target);
        out.extend(target);
        if self.target.as_deref() != target {
            self.target = target.map(str::to_owned);
            self.last_response = now;
            self.clock_offset = None;
        }
        out.into_iter().map(|name| (name, self.next_round(name, now))).collect()
    }

    /// Numbers a request to `name`, whatever its rank.
    pub fn next_round(&mut self, name: &str, now: Mono) -> Round {
        self.round += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.shift_remove_index(0);
        }
        self.pending.insert(self.round, (name.to_owned(), now));
        self.round
    }

    /// Whether there is a coordinator that is expected to respond.
    pub fn has_target(&self) -> bool {
        self.target.is_some()
    }

    /// Coordinator that is polled regularly.
    pub fn target(&self) -> Option<&str> {
        self.target.as_deref()
    }

    /// Whether there is a coordinator that is expected to respond with fresh confirmations.
    pub fn has_fresh_target(&self) -> bool {
        self.target.as_ref().is_some_and(|name| !self.stale.contains_key(name))
    }

    /// Offset of the own clock from that of the polled coordinator; `None` before it was measured.
    pub fn clock_offset(&self) -> Option<ClockOffset> {
        self.clock_offset
    }

    /// Evaluates a response that arrived when the own time of day was `own`. Returns `None` if its
    /// request is no longer pending.
    pub fn on_response(&mut self, response: &Response, own: Wall, now: Mono) -> Option<Outcome> {
        let (name, sent) = self.pending.shift_remove(&response.round)?;
        self.unresponsive.shift_remove(&name);
        let age = response.config.map(|known| Duration::from_micros(known.age));
        if age.is_some_and(|age| age <= MAX_CONFIG_AGE) {
            self.stale.shift_remove(&name);
        } else {
            self.stale.entry(name.clone()).or_insert(now);
        }
        let polled = self.target.as_deref() == Some(&name);
        if polled {
            self.last_response = now;
        }
        let confirmation = |known: Option<crate::message::VersionAge>| {
            let known = known?;
            let at = sent.checked_sub(Duration::from_micros(known.age))?;
            Some(Confirmation { version: known.version, at })
        };
        // The own clock is compared only with that of the polled coordinator.
        let clock = response.clock.as_ref().filter(|_| polled);
        let theirs = clock.and_then(|clock| clocks::remote_time(clock, sent, now));
        if let Some(theirs) = theirs {
            self.clock_offset = Some(clocks::offset_from(own, theirs));
        }
        let agreed = clock.and_then(|clock| clock.agreed);
        let wall = theirs.zip(agreed).map(|(theirs, offset)| clocks::with_offset(theirs, offset));
        let (config, roster) = (confirmation(response.config), confirmation(response.roster));
        Some(Outcome { from: name, sent, config, roster, wall, current: polled })
    }
}
