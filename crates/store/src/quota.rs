//! Rates that each purpose may use, as one table.
//!
//! Calls that every instance makes share the service's rate, so their part shrinks as the fleet
//! grows. Calls that only the holder of a lease makes are bounded by the number of leases, so an
//! instance may make them at a fixed rate however large the fleet is.

use {
    crate::{
        Purpose,
        budget::{Rate, Rates},
    },
    std::time::Duration,
};

/// How an instance's rate follows from the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quota {
    /// An equal share of this many calls a second.
    Shared(u32),
    /// This many calls a second for one instance.
    Fixed(u32),
}

/// Quotas of one purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Purpose that the row is for.
    pub purpose: Purpose,
    /// Reads and watches.
    pub reads: Quota,
    /// Writes.
    pub writes: Quota,
}

/// The table; its shared parts add up to under half of what the service takes.
pub const TABLE: [Row; Purpose::ALL.len()] = [
    Row { purpose: Purpose::Lease, reads: Quota::Fixed(10), writes: Quota::Fixed(10) },
    Row { purpose: Purpose::Config, reads: Quota::Shared(600), writes: Quota::Shared(20) },
    Row { purpose: Purpose::Claim, reads: Quota::Shared(200), writes: Quota::Shared(100) },
    Row { purpose: Purpose::Record, reads: Quota::Fixed(5), writes: Quota::Fixed(2) },
    Row { purpose: Purpose::Report, reads: Quota::Fixed(2), writes: Quota::Fixed(2) },
];

/// Calls a second that one instance may make for all purposes together.
const COMMON: u32 = 50;
/// Calls that one instance may make at once for one purpose.
const BURST: u32 = 20;

/// Rates of reads for one of `instances`.
pub fn reads(instances: usize) -> Rates {
    rates(instances, |row| row.reads)
}

/// Rates of writes for one of `instances`.
pub fn writes(instances: usize) -> Rates {
    rates(instances, |row| row.writes)
}

fn rates(instances: usize, pick: impl Fn(&Row) -> Quota) -> Rates {
    let common = Rate { period: Duration::from_secs(1) / COMMON, burst: COMMON };
    let own = TABLE.each_ref().map(|row| match pick(row) {
        Quota::Shared(total) => Rate::share(total, instances, BURST),
        Quota::Fixed(rate) => Rate { period: Duration::from_secs(1) / rate, burst: BURST },
    });
    Rates { common, own }
}
