//! Use of the quotas of all organisations, as one instance knows it.

use {
    super::{
        Bound, Decision, Draw, MAX_MEMBER_AGE, Meter, Others, Quota, Reason, Report, Slot, Sums,
        Usage, WINDOWS, decide, group_share, is_partial, member_part,
    },
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Number of windows for which an instance asks for the sums of an organisation after its last request.
/// An organisation's requests may reach one of many instances only now and then.
const INTEREST_WINDOWS: u32 = 4;

/// Part of a member by which a group must fall short of its instances to contain one that has just started.
const MIN_PART: f64 = 0.01;

/// Identifier of an organisation and the unit in which its weight is counted.
pub type Key = u64;

/// Request of an organisation with a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Organisation and unit.
    pub key: Key,
    /// Quota in force.
    pub quota: Quota,
    /// Weight in the unit of the quota.
    pub weight: f64,
}

/// Use of one organisation's quota by one instance, or by several together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Row {
    /// Organisation and unit.
    pub key: Key,
    /// Weight admitted, for each window.
    pub sums: Sums,
    /// Weight requested in the shortest window.
    pub asked: f64,
    /// Weight of instances that are no longer heard, for each window: the most that one instance knows.
    pub missing: Sums,
}

/// The other instances whose sums an instance hears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Group {
    /// Number of instances in the sums.
    pub instances: u32,
    /// Number of those that were heard of recently, for each window; one that started within the window
    /// counts in part.
    pub members: Sums,
    /// Time at which their figures were true.
    pub at: Mono,
}

/// Weight that was admitted, to take back if the request does not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    key: Key,
    slot: Slot,
    weight: f64,
}

#[derive(Clone, Debug)]
struct OrgUse {
    admitted: Meter,
    asked: Meter,
    others: Others,
    /// Time of the latest request.
    last: Option<Mono>,
}

impl OrgUse {
    fn new(bound: &Bound) -> Self {
        let (admitted, asked) = (Meter::new(bound.window), Meter::new(bound.window));
        Self { admitted, asked, others: Others::default(), last: None }
    }
}

/// Use of all quotas that is known to one instance.
#[derive(Clone, Debug)]
pub struct Ledger {
    bound: Bound,
    started: Mono,
    group: Option<Group>,
    /// Round of totals whose previous ones were ignored.
    resumed: Option<Mono>,
    /// Whether the latest totals were ignored.
    ignored: bool,
    orgs: IndexMap<Key, OrgUse>,
}

impl Ledger {
    /// Makes the ledger of an instance that started at `started`.
    pub fn new(bound: Bound, started: Mono) -> Self {
        Self { bound, started, group: None, resumed: None, ignored: false, orgs: IndexMap::new() }
    }

    /// Decides whether a request may run, and counts it if so. `instances` is the largest recent number
    /// of instances. Also returns what the decision is based on.
    pub fn request(
        &mut self,
        request: &Request,
        instances: usize,
        draw: Draw,
        now: Mono,
    ) -> (Decision, Usage, Option<Charge>) {
        let Request { key, quota, weight } = *request;
        let usage = self.usage(key, instances, now);
        let decision = decide(&quota, &self.bound, &usage, weight, draw);
        let bound = &self.bound;
        let org = self.orgs.entry(key).or_insert_with(|| OrgUse::new(bound));
        org.last = Some(now);
        org.asked.add(weight, now);
        let admitted = decision.reason == Reason::Within;
        let charge = admitted.then(|| Charge { key, slot: org.admitted.add(weight, now), weight });
        (decision, usage, charge)
    }

    /// Takes back the weight of a request that did not run.
    pub fn give_back(&mut self, charge: Charge) {
        if let Some(org) = self.orgs.get_mut(&charge.key) {
            org.admitted.remove(charge.slot, charge.weight);
        }
    }

    /// What is known of the use of a quota.
    pub fn usage(&mut self, key: Key, instances: usize, now: Mono) -> Usage {
        let mut members = self.member(now);
        if let Some(group) = self.group(now) {
            members.iter_mut().zip(group.members).for_each(|(own, others)| *own += others);
        }
        let mut usage = Usage { share: group_share(&members, instances), ..Usage::default() };
        if let Some(org) = self.orgs.get_mut(&key) {
            usage.own = org.admitted.sums(now);
            org.others.fill(&mut usage, &self.bound, now);
        }
        usage
    }

    /// The part of a member that this instance counts as in each window.
    pub fn member(&self, now: Mono) -> Sums {
        member_part(&self.bound, now.saturating_sub(self.started))
    }

    /// The group whose members are heard recently enough to count.
    pub fn group(&self, now: Mono) -> Option<Group> {
        self.group.filter(|g| now.saturating_sub(g.at) <= MAX_MEMBER_AGE)
    }

    /// Rows to report: those of organisations with requests in the last four windows.
    /// Forgets organisations of which nothing is known any more.
    pub fn rows(&mut self, now: Mono) -> Vec<Row> {
        let (bound, interest) = (self.bound, self.bound.window * INTEREST_WINDOWS);
        let mut out = Vec::new();
        self.orgs.retain(|key, org| {
            let wanted = org.last.is_some_and(|last| now.saturating_sub(last) < interest);
            if wanted {
                let (sums, asked) = (org.admitted.sums(now), org.asked.sums(now)[0]);
                let missing = org.others.missing(&bound, now);
                out.push(Row { key: *key, sums, asked, missing });
            }
            wanted || !org.others.is_idle(&bound, now)
        });
        out
    }

    /// Takes over the sums of a group. Sums of few of the previous instances are ignored while those
    /// are recent ([`is_partial`]).
    pub fn on_totals(&mut self, group: Group, rows: &[Row], now: Mono) {
        let before = self
            .group
            .map_or((0, Duration::MAX), |known| (known.instances, now.saturating_sub(known.at)));
        if is_partial(before.0, before.1, group.instances) {
            self.ignored = true;
            return;
        }
        if self.group.is_some_and(|known| known.at > group.at) {
            return;
        }
        // Totals of one round may come in several messages.
        if std::mem::take(&mut self.ignored) {
            self.resumed = Some(group.at);
        }
        // Weight is lost only if an instance started since, which counts in part.
        let started = group.members[WINDOWS - 1] < f64::from(group.instances) - MIN_PART;
        let resumed = self.resumed == Some(group.at) && started;
        self.group = Some(group);
        let bound = self.bound;
        for Row { key, sums, asked, missing } in rows.iter().copied() {
            let known = self.orgs.get_mut(&key);
            if known.is_none() && sums[WINDOWS - 1] + missing[WINDOWS - 1] <= 0.0 {
                continue;
            }
            let (instances, at) = (group.instances, group.at);
            let report = Report { sums, asked, missing, instances, resumed, at };
            let org = self.orgs.entry(key).or_insert_with(|| OrgUse::new(&bound));
            org.others.on_report(report, &bound);
        }
    }

    /// Number of organisations of which anything is known.
    pub fn len(&self) -> usize {
        self.orgs.len()
    }

    /// Whether nothing is known of any organisation.
    pub fn is_empty(&self) -> bool {
        self.orgs.is_empty()
    }
}
