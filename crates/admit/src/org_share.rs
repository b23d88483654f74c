//! Max-min fair shares of the organisations in a service's engines under overload.
//!
//! Each instance counts its requests ([`OwnWork`]). A coordinator sums the reports ([`ServiceSums`]) and updates the state of each
//! service ([`ServiceShares`]): whether it is overloaded, and how much engine time each organisation
//! may use. Instances apply that at random ([`decide`]). Ranks are filled best first, and an
//! organisation below the level of its rank is never refused.

mod capacity;
mod own;
mod recent;
mod report;

pub use {
    own::{Claim, OwnWork, Unserved},
    recent::RecentSum,
    report::{
        MAX_ROWS, NO_ORG, OrgHash, OrgTotal, OrgWork, Rank, RankTotal, ServiceHash, ServiceReport,
        ServiceTotals, truncate,
    },
};

use {
    self::capacity::Capacity,
    crate::rank_share,
    agate_core::Mono,
    indexmap::{IndexMap, IndexSet, map::Entry},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Time over which requests and engine time are counted.
pub const WINDOW: Duration = Duration::from_secs(2);
/// Age from which totals are ignored.
pub const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Fraction of requests refused for lack of room above which overload begins.
const BEGIN_FRACTION: f64 = 0.02;
/// The same fraction below which overload ends.
const END_FRACTION: f64 = 0.005;
/// Refusals within the window below which no overload begins: one of a few requests shows nothing.
const MIN_REFUSALS: u32 = 3;
/// Fraction of the rate at which its rank is served that an organisation gets at least. The stated
/// bound is a quarter; the margin covers the random refusals.
const MIN_RATE: f64 = 0.3;
/// Time over which arrears are collected and paid back.
const ARREARS_TIME: Duration = Duration::from_secs(10);
/// Arrears in milliseconds of engine time that are forgotten.
const MIN_ARREARS: f64 = 1.0;
/// Longest time that one update accounts for.
const MAX_STEP: Duration = Duration::from_secs(1);
/// Steps of the search for the level; each halves the interval.
const LEVEL_STEPS: u32 = 30;

/// Engine time of one organisation at one rank, in milliseconds within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Asked for.
    pub asked: u64,
    /// Not refused.
    pub admitted: u64,
}

/// Sums of the reports of several instances on one service. A report that was added can be
/// subtracted again.
#[derive(Clone, Debug, Default)]
pub struct ServiceSums {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that found no room at the engines.
    pub full: u64,
    /// Number of requests refused by share or rank.
    pub limited: u64,
    /// Number of instances that report a rank as crowded.
    pub crowded: IndexMap<Rank, u32>,
    /// Engine time by rank and organisation.
    pub work: IndexMap<(Rank, OrgHash), Work>,
}

impl ServiceSums {
    /// Adds the report of one instance.
    pub fn add(&mut self, report: &ServiceReport) {
        self.requests += u64::from(report.requests);
        self.full += u64::from(report.full);
        self.limited += u64::from(report.limited);
        for rank in &report.crowded {
            *self.crowded.entry(*rank).or_default() += 1;
        }
        for row in &report.rows {
            let work = self.work.entry((row.rank, row.org)).or_default();
            work.asked += u64::from(row.asked);
            work.admitted += u64::from(row.admitted);
        }
    }

    /// Subtracts a report that was added before.
    pub fn remove(&mut self, report: &ServiceReport) {
        self.requests = self.requests.saturating_sub(report.requests.into());
        self.full = self.full.saturating_sub(report.full.into());
        self.limited = self.limited.saturating_sub(report.limited.into());
        for rank in &report.crowded {
            if let Entry::Occupied(mut entry) = self.crowded.entry(*rank) {
                *entry.get_mut() -= 1;
                if *entry.get() == 0 {
                    entry.swap_remove();
                }
            }
        }
        for row in &report.rows {
            let Entry::Occupied(mut entry) = self.work.entry((row.rank, row.org)) else { continue };
            let work = entry.get_mut();
            work.asked = work.asked.saturating_sub(row.asked.into());
            work.admitted = work.admitted.saturating_sub(row.admitted.into());
            if *work == Work::default() {
                entry.swap_remove();
            }
        }
    }

    /// Whether no report is in the sums.
    pub fn is_empty(&self) -> bool {
        self.requests == 0 && self.work.is_empty()
    }
}

/// Shares in the engines of one service, at a coordinator.
#[derive(Clone, Debug, Default)]
pub struct ServiceShares {
    overloaded: bool,
    capacity: f64,
    estimate: Capacity,
    ranks: BTreeMap<Rank, RankShare>,
    /// Engine time in milliseconds that organisations were served below their shares.
    arrears: IndexMap<(Rank, OrgHash), f64>,
    /// The organisations to be limited most, by how much.
    limited: Vec<OrgTotal>,
    updated: Mono,
}

#[derive(Clone, Copy, Debug)]
struct RankShare {
    asked: f64,
    level: f64,
    /// Fraction of its demand that every organisation gets at least.
    floor: f64,
    crowded: bool,
}

impl ServiceShares {
    /// Updates overload, capacity and levels to the sums at `now`.
    pub fn update(&mut self, sums: &ServiceSums, now: Mono) {
        let step = now.saturating_sub(self.updated).min(MAX_STEP);
        self.updated = now;
        self.update_overload(sums);
        self.update_arrears(sums, step);
        let asked = sums.work.values().map(|w| w.asked as f64).sum::<f64>();
        let estimated = self.estimate.update(sums, self.overloaded, now);
        self.capacity = estimated.unwrap_or(asked);
        self.fill(sums);
        // Comparing with the level first is much cheaper than computing what most may use.
        let above = |(key, work): &(&(Rank, OrgHash), &Work)| work.asked as f64 > self.level(key.0);
        let above = sums.work.iter().filter(above).filter(|_| self.overloaded);
        let limits = above.filter_map(|((rank, org), _)| self.limit(sums, *rank, *org));
        self.limited = limits.collect();
        self.limited.sort_unstable_by_key(|r| (Reverse(r.asked - r.allowed), r.rank, r.org));
        self.limited.truncate(MAX_ROWS);
    }

    /// Whether the service is overloaded.
    /// Whether the service is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Engine time in milliseconds per window that can be admitted.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Level of `rank` in milliseconds of engine time per window; infinite if it is not limited.
    pub fn level(&self, rank: Rank) -> f64 {
        self.ranks.get(&rank).map_or(f64::INFINITY, |r| r.level)
    }

    /// Engine time in milliseconds that an organisation may use which asks for `asked`.
    pub fn allowed(&self, rank: Rank, org: OrgHash, asked: f64) -> f64 {
        let share = self.ranks.get(&rank).filter(|_| self.overloaded && org != NO_ORG);
        share
            .map_or(asked, |s| allotted(asked, self.credit(rank, org), s.level, s.floor).min(asked))
    }

    /// Totals for an instance that sent `report`, with at most `rows` organisations: those that it
    /// reported and then those that are to be limited most, of which it may get requests too. `None`
    /// if nothing is to be limited.
    pub fn totals(
        &self,
        sums: &ServiceSums,
        report: &ServiceReport,
        rows: usize,
    ) -> Option<ServiceTotals> {
        if !self.is_limiting() {
            return None;
        }
        let rank = |(rank, share): (&Rank, &RankShare)| RankTotal {
            rank: *rank,
            asked: share.asked as u32,
            level: share.level as u32,
            crowded: share.crowded,
        };
        let reported = |row: &OrgWork| self.limit(sums, row.rank, row.org);
        let mut chosen: Vec<OrgTotal> =
            report.rows.iter().filter_map(reported).take(rows).collect();
        let named: IndexSet<(Rank, OrgHash)> = chosen.iter().map(|r| (r.rank, r.org)).collect();
        let others = self.limited.iter().filter(|r| !named.contains(&(r.rank, r.org)));
        chosen.extend(others.take(rows - chosen.len()));
        Some(ServiceTotals {
            service: report.service,
            overloaded: self.overloaded,
            capacity: self.capacity as u32,
            ranks: self.ranks.iter().map(rank).collect(),
            rows: chosen,
        })
    }

    /// Whether anything may have to be limited.
    pub fn is_limiting(&self) -> bool {
        self.overloaded || self.ranks.values().any(|r| r.crowded)
    }

    /// Figures of an organisation; `None` if it may use what it asks for.
    fn limit(&self, sums: &ServiceSums, rank: Rank, org: OrgHash) -> Option<OrgTotal> {
        let asked = sums.work.get(&(rank, org))?.asked as u32;
        let allowed = self.allowed(rank, org, asked.into()) as u32;
        (allowed < asked).then_some(OrgTotal { org, rank, asked, allowed })
    }

    fn update_overload(&mut self, sums: &ServiceSums) {
        let refused = sums.full + sums.limited;
        let fraction = refused as f64 / sums.requests.max(1) as f64;
        self.overloaded = match self.overloaded {
            true => fraction >= END_FRACTION,
            false => fraction > BEGIN_FRACTION && sums.full >= u64::from(MIN_REFUSALS),
        };
    }

    /// Adds what was served below the share in the last `step`, and forgets what is older.
    fn update_arrears(&mut self, sums: &ServiceSums, step: Duration) {
        let step = step.as_secs_f64();
        let kept = (-step / ARREARS_TIME.as_secs_f64()).exp();
        self.arrears.values_mut().for_each(|a| *a *= kept);
        if self.overloaded {
            let levels: BTreeMap<Rank, f64> =
                self.ranks.iter().map(|(r, s)| (*r, s.level)).collect();
            for ((rank, org), work) in sums.work.iter().filter(|((_, org), _)| *org != NO_ORG) {
                let Some(level) = levels.get(rank) else { continue };
                let share = level.min(work.asked as f64);
                let missing = (share - work.admitted as f64) * step / WINDOW.as_secs_f64();
                match self.arrears.entry((*rank, *org)) {
                    Entry::Occupied(mut arrears) => *arrears.get_mut() += missing,
                    Entry::Vacant(entry) if missing > 0.0 => drop(entry.insert(missing)),
                    Entry::Vacant(_) => {}
                }
            }
        }
        self.arrears.retain(|_, a| *a >= MIN_ARREARS);
    }

    /// Divides the capacity among the ranks, best first, and within each among its organisations.
    fn fill(&mut self, sums: &ServiceSums) {
        let mut demands: BTreeMap<Rank, RankDemand> = BTreeMap::new();
        for ((rank, org), work) in &sums.work {
            let demand = demands.entry(*rank).or_default();
            match *org {
                NO_ORG => {
                    demand.unnamed_asked += work.asked as f64;
                    demand.unnamed_admitted += work.admitted as f64;
                }
                org => demand.orgs.push((work.asked as f64, self.credit(*rank, org))),
            }
        }
        let mut left = self.capacity;
        self.ranks.clear();
        for (rank, demand) in demands {
            let named: f64 = demand.orgs.iter().map(|(asked, _)| asked).sum();
            left = (left - demand.unnamed_admitted).max(0.0);
            let floor = (MIN_RATE * left / named.max(f64::MIN_POSITIVE)).min(1.0);
            let level = level(&demand.orgs, floor, left);
            left = (left - named).max(0.0);
            let asked = named + demand.unnamed_asked;
            let crowded = sums.crowded.contains_key(&rank);
            self.ranks.insert(rank, RankShare { asked, level, floor, crowded });
        }
    }

    /// Arrears that are paid back within one window.
    fn credit(&self, rank: Rank, org: OrgHash) -> f64 {
        if self.arrears.is_empty() {
            return 0.0;
        }
        let arrears = self.arrears.get(&(rank, org)).copied().unwrap_or_default();
        arrears * WINDOW.as_secs_f64() / ARREARS_TIME.as_secs_f64()
    }
}

#[derive(Default)]
struct RankDemand {
    /// Asked and credit of each organisation.
    orgs: Vec<(f64, f64)>,
    unnamed_asked: f64,
    unnamed_admitted: f64,
}

/// Engine time of one organisation at `level`. Its credit at most doubles the level.
fn allotted(asked: f64, credit: f64, level: f64, floor: f64) -> f64 {
    (level + credit.min(level)).max(floor * asked).min(asked)
}

/// Level at which the organisations, given by demand and credit, use `capacity`; infinite if they do
/// not ask for as much. Each gets at least `floor` of its demand.
pub fn level(orgs: &[(f64, f64)], floor: f64, capacity: f64) -> f64 {
    let asked: f64 = orgs.iter().map(|(asked, _)| asked).sum();
    if asked <= capacity {
        return f64::INFINITY;
    }
    let used = |level: f64| -> f64 {
        orgs.iter().map(|(asked, credit)| allotted(*asked, *credit, level, floor)).sum()
    };
    let mut bounds = (0.0, orgs.iter().map(|(asked, _)| *asked).fold(0.0, f64::max));
    for _ in 0..LEVEL_STEPS {
        let middle = (bounds.0 + bounds.1) / 2.0;
        if used(middle) <= capacity { bounds.0 = middle } else { bounds.1 = middle }
    }
    bounds.0
}

/// Rule by which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Its organisation asks for more than its share.
    Share,
    /// A better rank needs the room.
    Rank,
}

impl Rule {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Rule::Share => "share",
            Rule::Rank => "rank",
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The stricter rule.
    pub rule: Rule,
    /// Probability with which the request was to be admitted.
    pub probability: f64,
    /// Random number, not below the probability.
    pub draw: f64,
}

/// Decides on a request of `org` at `rank`. `totals` are those of its service and `age` is theirs;
/// `draw` is a random number, at least 0 and below 1.
///
/// # Errors
///
/// Returns why the request is refused.
pub fn decide(
    totals: Option<&ServiceTotals>,
    age: Duration,
    (org, rank): (OrgHash, Rank),
    draw: f64,
) -> Result<(), Refusal> {
    let Some(totals) = totals.filter(|_| age < MAX_AGE) else { return Ok(()) };
    let share = share_probability(totals, org, rank);
    let by_rank = rank_share::probability(totals, rank);
    let (rule, probability) =
        if share <= by_rank { (Rule::Share, share) } else { (Rule::Rank, by_rank) };
    if draw < probability { Ok(()) } else { Err(Refusal { rule, probability, draw }) }
}

fn share_probability(totals: &ServiceTotals, org: OrgHash, rank: Rank) -> f64 {
    let row = totals.rows.iter().find(|r| r.org == org && r.rank == rank);
    let row = row.filter(|_| totals.overloaded);
    row.map_or(1.0, |r| f64::from(r.allowed) / f64::from(r.asked.max(1)))
}
