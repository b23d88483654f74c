//! Precedence of better ranks while requests of theirs find no room.
//!
//! Worse ranks then get only what the better ones do not ask for. What each rank asks for is known
//! over all instances ([`ServiceTotals`]).

use {
    crate::org_share::{Rank, ServiceTotals},
    std::time::Duration,
};

/// Time for which a refusal for lack of room gives a rank precedence.
pub const REFUSAL_AGE: Duration = Duration::from_secs(1);

/// Probability with which a request of `rank` is admitted.
pub fn probability(totals: &ServiceTotals, rank: Rank) -> f64 {
    let crowded = totals.ranks.iter().any(|r| r.crowded && r.rank < rank);
    if !crowded {
        return 1.0;
    }
    let better = totals.ranks.iter().filter(|r| r.rank < rank).map(|r| f64::from(r.asked));
    let left = (f64::from(totals.capacity) - better.sum::<f64>()).max(0.0);
    let own = totals.ranks.iter().find(|r| r.rank == rank).map_or(0, |r| r.asked);
    // A rank that nobody reported yet asks for little, so it is admitted as soon as any room is left.
    if own == 0 { f64::from(u8::from(left > 0.0)) } else { (left / f64::from(own)).min(1.0) }
}
