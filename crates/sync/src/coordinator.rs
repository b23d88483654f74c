//! Aggregates the reports of all instances on a coordinator. Pure state: no I/O, and the caller
//! passes the time.

use {
    crate::{
        Round,
        clocks::{self, ClockOffset, Vote},
        message::{LoadReport, Request, Usage},
        sums::FigureSums,
    },
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Age from which the report of an instance is ignored: the instance stopped or polls another
/// coordinator.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Age up to which a report shows that the instance is in contact; longer than two poll intervals of 300
/// instances.
pub const MAX_CONTACT_AGE: Duration = Duration::from_millis(600);

#[derive(Clone, Debug, Default)]
struct InstanceReport {
    round: Round,
    received: Mono,
    clock: Option<Vote>,
    figures: LoadReport,
}

#[derive(Clone, Copy, Debug, Default)]
struct UsageParts {
    round: Round,
    arrived: u32,
}

/// Reports and usage progress of the instances that poll this coordinator.
///
/// Sums are updated with each request, so the cost of a response depends on its own size and not on
/// the number of instances.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    reports: IndexMap<String, InstanceReport>,
    sums: FigureSums,
    parts: IndexMap<String, UsageParts>,
}

impl Coordinator {
    /// Stores the report in `request`. A request that is older than the newest one of its sender is
    /// ignored.
    pub fn on_request(&mut self, request: &Request, now: Mono) {
        let Self { reports, sums, .. } = self;
        reports.retain(|_, r| {
            let fresh = now.saturating_sub(r.received) < MAX_REPORT_AGE;
            if !fresh {
                sums.remove(&r.figures);
            }
            fresh
        });
        let report = reports.entry(request.from.clone()).or_default();
        if request.round > report.round || report.round == 0 {
            let Request { round, clock, figures, .. } = request.clone();
            sums.remove(&report.figures);
            sums.add(&figures);
            *report = InstanceReport { round, received: now, clock, figures };
        }
    }

    /// Sum of the fresh reports of all instances but `except`, plus `own`, the report of this
    /// instance. The number of instances is that of those in contact.
    pub fn totals(&self, except: &str, own: &LoadReport, now: Mono) -> LoadReport {
        let mut sums = self.sums.clone();
        sums.add(own);
        let stale = |r: &InstanceReport| now.saturating_sub(r.received) >= MAX_REPORT_AGE;
        let excluded = self.reports.iter().filter(|(from, r)| *from == except || stale(r));
        excluded.for_each(|(_, r)| sums.remove(&r.figures));
        let mut others = self.reports.iter().filter(|(from, r)| *from != except && !stale(r));
        let in_contact = |r: &InstanceReport| now.saturating_sub(r.received) < MAX_CONTACT_AGE;
        let reporting = others.clone().filter(|(_, r)| in_contact(r));
        let instances = own.instances + reporting.map(|(_, r)| r.figures.instances).sum::<u32>();
        let holder = others.find_map(|(_, r)| r.figures.holder.clone());
        let holder = holder.or_else(|| own.holder.clone());
        LoadReport { holder, instances, ..sums.figures().truncate() }
    }

    /// Offset of the agreed time of day from this instance's own clock. `kept` is how long the own
    /// clock has run without a jump, `known` the number of known instances. `None` if too few of
    /// them have a fresh vote.
    pub fn agreed_offset(&self, kept: Duration, known: usize, now: Mono) -> Option<ClockOffset> {
        let fresh =
            self.reports.values().filter(|r| now.saturating_sub(r.received) < MAX_REPORT_AGE);
        let votes = fresh.filter_map(|r| r.clock).chain([Vote::new(0, kept)]);
        clocks::weighted_median(votes.collect(), known)
    }

    /// Counts one message of a usage round. Messages of older rounds are ignored.
    pub fn on_usage(&mut self, usage: &Usage) {
        let parts = self.parts.entry(usage.from.clone()).or_default();
        if usage.round > parts.round {
            *parts = UsageParts { round: usage.round, arrived: 0 };
        }
        if usage.round == parts.round {
            parts.arrived += 1;
        }
    }

    /// Whether all `parts` messages of usage round `round` have arrived from the incarnation
    /// `from`.
    pub fn usage_complete(&self, from: &str, round: Round, parts: u32) -> bool {
        let known = self.parts.get(from);
        parts == 0 || known.is_some_and(|p| p.round == round && p.arrived >= parts)
    }

    /// Drops the usage progress of instances for which `alive` is false.
    pub fn retain(&mut self, alive: impl Fn(&str) -> bool) {
        self.parts.retain(|from, _| alive(from));
    }
}
