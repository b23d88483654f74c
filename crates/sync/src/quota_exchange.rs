//! Reports the use of organisations' quotas to the polled coordinator and receives the others' sums.

use {
    crate::{
        Round,
        message::{Message, QuotaReport, QuotaRow, QuotaTotals},
        quota_sums::{CHUNK_ROWS, QuotaSums, QuotaUse},
        runner::SyncLoop,
    },
    agate_core::Mono,
    agate_view::{clock, peers::Peer},
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// Number of reports whose responses are still accepted.
const MAX_PENDING: usize = 32;

/// State of the exchange of quota use.
#[derive(Default)]
pub(crate) struct QuotaExchange {
    sums: QuotaSums,
    /// Coordinators that reports were sent to, with the times.
    pending: IndexMap<Round, (String, Mono)>,
    /// Number of the latest own report to the own sums.
    own: Round,
}

impl SyncLoop {
    /// Adds the quota use of this instance to the sums that it keeps as coordinator. Returns `None` if
    /// no organisation has a quota; nothing is sent then.
    pub(crate) fn record_quota_use(&mut self) -> Option<QuotaUse> {
        let own = (self.callbacks.quota_use)()?;
        self.quotas.own += 1;
        let report = self.quota_report(&own, self.quotas.own, &own.rows);
        self.quotas.sums.on_report(&report, clock::now());
        Some(own)
    }

    /// Sends the quota use of this instance to a coordinator, in as many datagrams as it needs.
    pub(crate) async fn send_quota_use(
        &mut self,
        own: Option<&QuotaUse>,
        peer: &Peer,
        round: Round,
    ) {
        let Some(own) = own else { return };
        if self.quotas.pending.len() == MAX_PENDING {
            self.quotas.pending.shift_remove_index(0);
        }
        self.quotas.pending.insert(round, (peer.name.clone(), clock::now()));
        let chunks = own.rows.chunks(CHUNK_ROWS);
        // Without rows, a report tells that this instance is a member.
        let empty = own.rows.is_empty().then_some(&own.rows[..]);
        for rows in chunks.chain(empty) {
            let report = self.quota_report(own, round, rows);
            self.sender.send(&Message::QuotaReport(report), peer.address).await;
        }
    }

    fn quota_report(&self, own: &QuotaUse, round: Round, rows: &[QuotaRow]) -> QuotaReport {
        let from = self.incarnation.clone();
        QuotaReport { from, round, members: own.members, rows: rows.to_vec() }
    }

    /// Applies the sums that this instance collected as coordinator.
    pub(crate) fn apply_own_quota_sums(&self, own: Option<&QuotaUse>) {
        if own.is_none() {
            return;
        }
        let now = clock::now();
        let keys = self.quotas.sums.keys();
        let totals = self.quotas.sums.totals(&self.incarnation, &keys, 0, now);
        (self.callbacks.on_quota_totals)(&totals, now.saturating_sub(self.poll_interval()));
    }

    pub(crate) async fn on_quota_report(&mut self, report: &QuotaReport, from: SocketAddr) {
        let now = clock::now();
        self.quotas.sums.on_report(report, now);
        let keys: Vec<_> = report.rows.iter().map(|row| row.key).collect();
        let totals = self.quotas.sums.totals(&report.from, &keys, CHUNK_ROWS, now);
        let totals = QuotaTotals { round: report.round, ..totals };
        self.sender.send(&Message::QuotaTotals(totals), from).await;
    }

    pub(crate) fn on_quota_totals(&self, totals: &QuotaTotals) {
        let Some((name, sent)) = self.quotas.pending.get(&totals.round) else { return };
        // Another coordinator than the polled one has heard of few instances.
        if self.poller.target() != Some(name) || self.view.is_coordinating() {
            return;
        }
        // The reports in the sums are up to a poll interval older than the request.
        (self.callbacks.on_quota_totals)(totals, sent.saturating_sub(self.poll_interval()));
    }
}
