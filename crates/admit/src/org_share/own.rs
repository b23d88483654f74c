//! Requests for one service at one instance.

use {
    super::{OrgHash, OrgWork, Rank, RecentSum, ServiceHash, ServiceReport},
    crate::rank_share::REFUSAL_AGE,
    agate_core::Mono,
    indexmap::IndexMap,
};

/// A request as far as shares depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Organisation; [`super::NO_ORG`] if it has none.
    pub org: OrgHash,
    /// Rank of the request.
    pub rank: Rank,
    /// Estimated engine time in milliseconds.
    pub work: f64,
}

/// Why a request was not served although it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unserved {
    /// The engines have no room.
    Full,
    /// It was refused by share or rank.
    Limited,
    /// Any other reason.
    Other,
}

/// Recent requests for one service at one instance.
#[derive(Clone, Debug, Default)]
pub struct OwnWork {
    requests: RecentSum,
    full: RecentSum,
    limited: RecentSum,
    crowded: IndexMap<Rank, Mono>,
    work: IndexMap<(Rank, OrgHash), (RecentSum, RecentSum)>,
}

impl OwnWork {
    /// Counts a request, as admitted until [`Self::on_unserved`] says otherwise.
    pub fn on_request(&mut self, claim: Claim, now: Mono) {
        self.requests.add(1.0, now);
        let (asked, admitted) = self.work.entry((claim.rank, claim.org)).or_default();
        asked.add(claim.work, now);
        admitted.add(claim.work, now);
    }

    /// Counts that a request was not served.
    pub fn on_unserved(&mut self, claim: Claim, cause: Unserved, now: Mono) {
        match cause {
            Unserved::Full => {
                self.full.add(1.0, now);
                self.crowded.insert(claim.rank, now);
            }
            Unserved::Limited => self.limited.add(1.0, now),
            Unserved::Other => {}
        }
        self.work.entry((claim.rank, claim.org)).or_default().1.add(-claim.work, now);
    }

    /// Report on the window that ends at `now`; forgets organisations without requests in it.
    pub fn report(&mut self, service: ServiceHash, now: Mono) -> ServiceReport {
        let mut rows = Vec::with_capacity(self.work.len());
        self.work.retain(|(rank, org), (asked, admitted)| {
            let (asked, admitted) = (asked.sum(now).round() as u32, admitted.sum(now));
            if asked > 0 {
                let admitted = (admitted.round() as u32).min(asked);
                rows.push(OrgWork { org: *org, rank: *rank, asked, admitted });
            }
            asked > 0
        });
        self.crowded.retain(|_, at| now.saturating_sub(*at) <= REFUSAL_AGE);
        let count = |sum: &mut RecentSum| sum.sum(now).round() as u32;
        ServiceReport {
            service,
            requests: count(&mut self.requests),
            full: count(&mut self.full),
            limited: count(&mut self.limited),
            crowded: self.crowded.keys().copied().collect(),
            rows,
        }
    }
}
