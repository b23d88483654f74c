//! Asks other instances for their endpoint entries while nothing confirms the own ones, forwards the own
//! ones, and keeps track of the contact to most of them.

use {
    crate::{
        agreement::{MAX_WITNESSES, OwnEntries},
        coordinator::MAX_CONTACT_AGE,
        poller::Outcome,
        runner::SyncLoop,
    },
    agate_core::Mono,
    agate_view::{
        Entry, clock,
        peers::{self, Peer},
    },
    std::{net::SocketAddr, sync::atomic::Ordering, time::Duration},
};

/// Age of the confirmation of the endpoint entries from which the other instances are asked for theirs,
/// in addition to a poll interval; longer than a coordinator needs to renew it.
const MIN_SURVEY_AGE: Duration = Duration::from_millis(700);
/// Time in which all of them are asked once.
const SURVEY_TIME: Duration = Duration::from_millis(300);

/// Time for which instances that left the list count: the records of some that are cut off from the store
/// expire, and these know nothing of it.
const LISTED_RETENTION: Duration = Duration::from_secs(60);

/// Age of the own confirmation from which an instance no longer forwards its entries. While the store is
/// away, those of the instance that read it last are the newest.
const MAX_FORWARD_AGE: Duration = Duration::from_secs(30);

impl SyncLoop {
    /// Passes complete entries on to the local view.
    pub(crate) fn offer_entries(&self, complete: Option<(Vec<Entry>, Mono)>) {
        if let Some((entries, at)) = complete {
            self.view.offer_entries(entries, at);
        }
    }

    /// Sends the entries that an instance lacks if `known`, the digest of its entries, differs from
    /// the confirmed one.
    pub(crate) async fn forward_entries(&mut self, known: u64, to: SocketAddr) {
        let confirmed = self.view.confirmed_roster().filter(|(_, age)| *age < MAX_FORWARD_AGE);
        let Some((digest, _)) = confirmed else { return };
        self.history.record(digest, &self.view.entries.load_full());
        if digest == known {
            return;
        }
        for message in self.history.updates_since(known).iter() {
            self.sender.send(message, to).await;
        }
    }

    /// Asks the next ones of the other instances for their endpoint entries if nothing has confirmed
    /// the own ones for long.
    pub(crate) async fn survey(&mut self) {
        if self.view.roster.age().is_none_or(|age| age < MIN_SURVEY_AGE + self.poll_interval()) {
            return;
        }
        let known = self.view.peers.load_full();
        let witnesses: Vec<&Peer> = peers::ranked(&known).into_iter().take(MAX_WITNESSES).collect();
        let names: Vec<&str> = witnesses.iter().map(|p| p.name.as_str()).collect();
        self.agreement.retain(|name| names.contains(&name));
        let own = OwnEntries {
            digest: self.view.roster_digest.load(Ordering::Acquire),
            confirmed: self.view.roster.at().unwrap_or_default(),
        };
        if let Some(at) = self.agreement.agreed_at(&names, &self.own.name, own, clock::now()) {
            self.view.agreed.confirm(at);
        }
        let others: Vec<&Peer> =
            witnesses.into_iter().filter(|p| p.name != self.own.name).collect();
        let rounds = SURVEY_TIME.as_micros() / self.poll_interval().as_micros();
        let batch = others.len().div_ceil(usize::try_from(rounds).unwrap_or(1).max(1));
        for _ in 0..batch {
            let peer = others[self.surveyed % others.len()];
            self.surveyed += 1;
            let round = self.poller.next_round(&peer.name, clock::now());
            self.send_request(peer.address, round).await;
        }
    }

    /// Records that the reports of `others` other instances are at hand, or were when a coordinator
    /// was asked at `at`.
    pub(crate) fn on_contact(&mut self, others: u32, at: Mono) {
        let listed = self.view.instances();
        let (most, last) = self.most_listed;
        if listed >= most || at.saturating_sub(last) > LISTED_RETENTION {
            self.most_listed = (listed, at);
        }
        // Reports may be as old as this.
        if (others as usize + 1) * 2 > self.most_listed.0 {
            self.view.contact.confirm(at.saturating_sub(MAX_CONTACT_AGE));
        }
    }

    /// Applies the confirmation of the endpoint entries in a response.
    pub(crate) fn on_roster(&mut self, outcome: &Outcome) {
        self.agreement.on_response(outcome, clock::now());
        let Some(confirmation) = outcome.roster else { return };
        self.view.confirm_roster(confirmation.version, confirmation.at);
        if self.roster_confirmation.is_none_or(|known| known.at <= confirmation.at) {
            self.roster_confirmation = Some(confirmation);
        }
    }
}
