//! Whether most instances know no newer endpoint entries than this one. Pure state: no I/O, and the
//! caller passes the time.
//!
//! While the store is away for all, nothing confirms the entries, but nobody can have learned of others
//! either. An instance whose confirmation is old asks the others; if most of them have nothing newer,
//! no change can come into force until they have been told of it.

use {
    crate::poller::{Confirmation, Outcome},
    agate_core::Mono,
    agate_view::roster::Digest,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Maximum number of instances that are asked, in the order in which they act as coordinators.
pub const MAX_WITNESSES: usize = 15;

/// Endpoint entries of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnEntries {
    /// Digest of the entries.
    pub digest: Digest,
    /// Time of their latest confirmation.
    pub confirmed: Mono,
}

/// Age from which an answer is ignored: the instance has not answered since.
pub const MAX_ANSWER_AGE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Answer {
    /// When the instance was asked.
    sent: Mono,
    /// Digest of its entries.
    version: Digest,
    /// Latest time at which they may have been confirmed.
    confirmed: Mono,
}

impl Answer {
    /// Whether the instance may know newer entries.
    fn is_newer(&self, own: OwnEntries) -> bool {
        self.version != own.digest && self.confirmed > own.confirmed
    }
}

/// Latest answers of the other instances, by name.
#[derive(Clone, Debug, Default)]
pub struct Agreement(IndexMap<String, Answer>);

impl Agreement {
    /// Records a response that arrived at `now`. One without a confirmation tells nothing.
    pub fn on_response(&mut self, outcome: &Outcome, now: Mono) {
        let Some(Confirmation { version, at }) = outcome.roster else { return };
        // The confirmation may be younger than stated by the time that the response took.
        let confirmed = at + now.saturating_sub(outcome.sent);
        let answer = Answer { sent: outcome.sent, version, confirmed };
        let last = self.0.entry(outcome.from.clone()).or_insert(answer);
        if answer.sent >= last.sent {
            *last = answer;
        }
    }

    /// Latest time at which most of `witnesses` knew nothing newer than `entries`; `None` if one may, or
    /// too few have answered. The instance `own` counts as one of them if it is among them.
    pub fn agreed_at(
        &self,
        witnesses: &[&str],
        own: &str,
        entries: OwnEntries,
        now: Mono,
    ) -> Option<Mono> {
        let others = witnesses.iter().filter(|name| **name != own);
        let recent = |a: &&Answer| now.saturating_sub(a.sent) < MAX_ANSWER_AGE;
        let answers = others.filter_map(|name| self.0.get(*name)).filter(recent);
        if answers.clone().any(|a| a.is_newer(entries)) {
            return None;
        }
        let most = witnesses.len() / 2 + 1;
        let missing = most - usize::from(witnesses.contains(&own));
        let mut sent: Vec<Mono> = answers.map(|a| a.sent).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        match missing.checked_sub(1) {
            None => Some(now),
            Some(last) => sent.get(last).copied(),
        }
    }

    /// Drops the answers of instances for which `listed` is false.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.0.retain(|name, _| listed(name));
    }
}
