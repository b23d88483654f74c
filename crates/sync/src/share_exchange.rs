//! Exchanges the work of organisations and their shares with the polled coordinator.

use {
    crate::{
        Round,
        message::{Message, ShareReport, ShareTotals},
        runner::SyncLoop,
        share_sums::ShareSums,
    },
    agate_admit::org_share::{MAX_ROWS, ServiceReport, ServiceTotals, truncate},
    agate_core::Mono,
    agate_view::clock,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Minimum time between two reports of one instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Report interval for each known instance; it bounds a coordinator's work in large fleets and is
/// below [`agate_admit::org_share::MAX_AGE`] up to 3,000 instances.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(500);
/// Minimum time between two updates of the shares at a coordinator.
const MIN_UPDATE: Duration = Duration::from_millis(100);
/// Minimum time for which a coordinator collects reports before it answers.
const MIN_READY: Duration = Duration::from_millis(500);
/// Number of reports whose totals are still accepted.
const MAX_SENT: usize = 32;

/// Receives totals, with the time of the report that they answer.
type TotalsFn = dyn Fn(Vec<ServiceTotals>, Mono) + Send + Sync;

/// Callbacks of an instance whose organisations have shares.
pub struct ShareCallbacks {
    /// Returns the report of this instance.
    pub own_report: Box<dyn Fn() -> Vec<ServiceReport> + Send + Sync>,
    /// Called with totals, and the time of the report that they answer.
    pub on_totals: Box<TotalsFn>,
}

/// State of the exchange.
#[derive(Default)]
pub(crate) struct ShareExchange {
    sums: ShareSums,
    round: Round,
    sent: VecDeque<(Round, Mono)>,
}

impl ShareExchange {
    fn begin_report(&mut self, now: Mono) -> Round {
        self.round += 1;
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.round, now));
        self.round
    }

    /// Time of the report `round`; `None` if newer totals were received.
    fn end_report(&mut self, round: Round) -> Option<Mono> {
        let (_, at) = *self.sent.iter().find(|(sent, _)| *sent == round)?;
        self.sent.retain(|(sent, _)| *sent > round);
        Some(at)
    }
}

impl SyncLoop {
    pub(crate) fn share_interval(&self) -> Duration {
        let instances = u32::try_from(self.view.instances()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(INTERVAL_PER_INSTANCE * instances)
    }

    /// Sends the report of this instance to the polled coordinator, or uses its own sums if it is a
    /// coordinator and no better one responds.
    pub(crate) async fn report_shares(&mut self) {
        let Some(callbacks) = &self.callbacks.shares else { return };
        let mut services = (callbacks.own_report)();
        let coordinators = self.coordinators();
        let target = self.poller.target();
        if let Some(peer) = coordinators.iter().find(|p| Some(&*p.name) == target) {
            truncate(&mut services, MAX_ROWS);
            let round = self.shares.begin_report(clock::now());
            let report = ShareReport { from: self.incarnation.clone(), round, services };
            self.sender.send(&Message::ShareReport(report), peer.address).await;
        } else if coordinators.iter().any(|p| p.name == self.own.name) {
            let (ready, update, now) =
                (self.collecting_time(), self.update_interval(), clock::now());
            self.shares.sums.set_own(&services, now);
            if self.shares.sums.is_due(update, now) {
                self.shares.sums.update(now);
            }
            if let Some(totals) = self.shares.sums.totals(&services, ready, now) {
                (callbacks.on_totals)(totals, now);
            }
        }
    }

    /// Answers the report of another instance.
    pub(crate) async fn on_share_report(&mut self, report: &ShareReport, from: SocketAddr) {
        let Some(callbacks) = &self.callbacks.shares else { return };
        let (ready, update, now) = (self.collecting_time(), self.update_interval(), clock::now());
        self.shares.sums.on_report(report, now);
        if self.shares.sums.is_due(update, now) {
            self.shares.sums.set_own(&(callbacks.own_report)(), now);
            self.shares.sums.update(now);
        }
        let Some(services) = self.shares.sums.totals(&report.services, ready, now) else { return };
        let totals = ShareTotals { round: report.round, services };
        self.sender.send(&Message::ShareTotals(totals), from).await;
    }

    pub(crate) fn on_share_totals(&mut self, totals: ShareTotals) {
        let Some(callbacks) = &self.callbacks.shares else { return };
        if let Some(at) = self.shares.end_report(totals.round) {
            (callbacks.on_totals)(totals.services, at);
        }
    }

    /// Time between two updates of the shares, which look at all organisations.
    fn update_interval(&self) -> Duration {
        MIN_UPDATE.max(self.share_interval() / 2)
    }

    /// Time within which all instances that use this coordinator have reported to it.
    fn collecting_time(&self) -> Duration {
        MIN_READY.max(self.share_interval() * 5 / 4)
    }
}
