//! Figures that instances and coordinators exchange. Engine time is in milliseconds within the last
//! [`super::WINDOW`].

use {
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Hash of an organisation's name; [`NO_ORG`] for requests without one.
pub type OrgHash = u32;
/// Hash of a service's name.
pub type ServiceHash = u32;
/// Rank of a request; 0 is the best.
pub type Rank = u8;

/// Stands for requests without an organisation and for organisations left out of a report. These
/// rules do not limit them by share.
pub const NO_ORG: OrgHash = 0;
/// Maximum number of rows in a report, of all services together; with their totals they fit into a
/// datagram of 1,400 bytes.
pub const MAX_ROWS: usize = 80;

/// Engine time of one organisation at one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgWork {
    /// Organisation.
    pub org: OrgHash,
    /// Rank of the requests.
    pub rank: Rank,
    /// Engine time asked for.
    pub asked: u32,
    /// Engine time of the requests that were not refused.
    pub admitted: u32,
}

/// Figures of one service at one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Service.
    pub service: ServiceHash,
    /// Number of requests.
    pub requests: u32,
    /// Number of requests that found no room at the engines.
    pub full: u32,
    /// Number of requests refused by share or rank.
    pub limited: u32,
    /// Ranks of which a request found no room within [`crate::rank_share::REFUSAL_AGE`].
    pub crowded: Vec<Rank>,
    /// Engine time by organisation and rank.
    pub rows: Vec<OrgWork>,
}

/// Figures of one rank over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankTotal {
    /// Rank.
    pub rank: Rank,
    /// Engine time asked for.
    pub asked: u32,
    /// Engine time up to which each organisation is admitted; `u32::MAX` if it is not limited.
    pub level: u32,
    /// Whether a request of the rank found no room lately.
    pub crowded: bool,
}

/// Figures over all instances of an organisation that asks for more than its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgTotal {
    /// Organisation.
    pub org: OrgHash,
    /// Rank of the requests.
    pub rank: Rank,
    /// Engine time asked for.
    pub asked: u32,
    /// Engine time that it may use; less than `asked`.
    pub allowed: u32,
}

/// Figures of one service over all instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// Service.
    pub service: ServiceHash,
    /// Whether shares are limited.
    pub overloaded: bool,
    /// Engine time that can be admitted.
    pub capacity: u32,
    /// Ranks with requests, best first.
    pub ranks: Vec<RankTotal>,
    /// Organisations to be limited: those that the receiver reported, and those limited most.
    pub rows: Vec<OrgTotal>,
}

/// Keeps at most `rows` rows of all services, the largest; the others are added up in a row without
/// an organisation for each rank.
pub fn truncate(services: &mut [ServiceReport], rows: usize) {
    let mut asked: Vec<u32> = services.iter().flat_map(|s| &s.rows).map(|r| r.asked).collect();
    if asked.len() <= rows {
        return;
    }
    asked.sort_unstable_by_key(|a| Reverse(*a));
    // Rows without an organisation are made in addition, a few for each service.
    let least = asked[rows - rows.div_ceil(8).min(rows)];
    for service in services {
        let (kept, rest) = service.rows.iter().partition(|r| r.asked > least);
        service.rows = kept;
        let rest: Vec<OrgWork> = rest;
        for row in rest {
            add_unnamed(&mut service.rows, row);
        }
    }
}

fn add_unnamed(rows: &mut Vec<OrgWork>, row: OrgWork) {
    match rows.iter_mut().find(|r| r.org == NO_ORG && r.rank == row.rank) {
        Some(unnamed) => {
            unnamed.asked = unnamed.asked.saturating_add(row.asked);
            unnamed.admitted = unnamed.admitted.saturating_add(row.admitted);
        }
        None => rows.push(OrgWork { org: NO_ORG, ..row }),
    }
}
