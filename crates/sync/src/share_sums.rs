//! Sums the reports of instances on the work of organisations, and keeps the shares that follow from
//! them. Pure state of a coordinator: no I/O, and the caller passes the time.

use {
    crate::{Round, coordinator::MAX_REPORT_AGE, message::ShareReport},
    agate_admit::org_share::{
        MAX_ROWS, ServiceHash, ServiceReport, ServiceShares, ServiceSums, ServiceTotals,
    },
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Maximum number of services in an answer.
const MAX_SERVICES: usize = 16;
/// Stands for this instance among the senders of reports.
const OWN: &str = "";

#[derive(Clone, Debug)]
struct Received {
    round: Round,
    at: Mono,
    services: Vec<ServiceReport>,
}

#[derive(Clone, Debug, Default)]
struct Service {
    sums: ServiceSums,
    shares: ServiceShares,
}

/// Reports of the instances that this coordinator hears, and the shares of their organisations.
#[derive(Clone, Debug, Default)]
pub struct ShareSums {
    reports: IndexMap<String, Received>,
    services: IndexMap<ServiceHash, Service>,
    /// Time from which there was always a report.
    since: Mono,
    updated: Option<Mono>,
}

impl ShareSums {
    /// Stores a report. One that is older than the newest of its sender is ignored.
    pub fn on_report(&mut self, report: &ShareReport, now: Mono) {
        self.store(&report.from, report.round, &report.services, now);
    }

    /// Replaces the report of this instance.
    pub fn set_own(&mut self, services: &[ServiceReport], now: Mono) {
        let round = self.reports.get(OWN).map_or(1, |r| r.round + 1);
        self.store(OWN, round, services, now);
    }

    /// Whether the last update of the shares was `interval` ago; before the next one the own report
    /// should be replaced.
    pub fn is_due(&self, interval: Duration, now: Mono) -> bool {
        self.updated.is_none_or(|at| now.saturating_sub(at) >= interval)
    }

    /// Drops old reports and updates the shares of all services. The cost grows with the instances and
    /// organisations, that of a report only with its size.
    pub fn update(&mut self, now: Mono) {
        self.expire(now);
        self.updated = Some(now);
        self.services.values_mut().for_each(|s| s.shares.update(&s.sums, now));
        self.services.retain(|_, s| !s.sums.is_empty() || s.shares.is_limiting());
    }

    /// Totals for an instance that reported `services`; `None` before reports were collected for
    /// `ready`, since they may be of a few instances only.
    pub fn totals(
        &self,
        services: &[ServiceReport],
        ready: Duration,
        now: Mono,
    ) -> Option<Vec<ServiceTotals>> {
        if self.updated.is_none() || now.saturating_sub(self.since) < ready {
            return None;
        }
        let limiting = self.services.iter().filter(|(_, s)| s.shares.is_limiting());
        let limiting: Vec<_> = limiting.take(MAX_SERVICES).collect();
        let rows = MAX_ROWS / limiting.len().max(1);
        let totals = |(hash, service): (&ServiceHash, &Service)| {
            let unnamed = ServiceReport { service: *hash, ..ServiceReport::default() };
            let report = services.iter().find(|s| s.service == *hash).unwrap_or(&unnamed);
            service.shares.totals(&service.sums, report, rows)
        };
        Some(limiting.into_iter().filter_map(totals).collect())
    }

    fn store(&mut self, from: &str, round: Round, services: &[ServiceReport], now: Mono) {
        // Old reports are dropped only with an update.
        if self.reports.values().all(|r| is_old(r, now)) {
            self.since = now;
        }
        let known = self.reports.get(from);
        if known.is_some_and(|r| round <= r.round) {
            return;
        }
        let received = Received { round, at: now, services: services.to_vec() };
        let earlier = self.reports.insert(from.to_owned(), received);
        earlier.into_iter().for_each(|r| remove(&mut self.services, &r.services));
        for report in services {
            self.services.entry(report.service).or_default().sums.add(report);
        }
    }

    /// Drops the reports of instances that ended or report to another coordinator.
    fn expire(&mut self, now: Mono) {
        let Self { reports, services, .. } = self;
        reports.retain(|_, r| {
            let fresh = !is_old(r, now);
            if !fresh {
                remove(services, &r.services);
            }
            fresh
        });
    }
}

fn is_old(report: &Received, now: Mono) -> bool {
    now.saturating_sub(report.at) >= MAX_REPORT_AGE
}

fn remove(services: &mut IndexMap<ServiceHash, Service>, reports: &[ServiceReport]) {
    for report in reports {
        if let Some(service) = services.get_mut(&report.service) {
            service.sums.remove(report);
        }
    }
}
