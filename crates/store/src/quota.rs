//! Rates that each purpose may use, as one table.
//!
//! Work that a bounded number of instances does at a time (watchers of the configuration, owners of
//! claim shards) shares a part of the service's rate among that number, or among all instances while
//! there are fewer. Calls that only the holder of a lease makes are bounded by the number of leases,
//! so an instance may make them at a fixed rate however large the fleet is. An equal share among
//! all instances would leave a watcher of a large fleet with a read in several seconds.

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
    /// A share of `total` calls a second among at most `among` instances.
    Shared {
        /// Calls a second of all instances together.
        total: u32,
        /// Most instances that make such calls at a time.
        among: usize,
    },
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

/// Instances that read all chunks of the configuration from the store at a time, one in each
/// availability zone; see the spread machine for what paces them over the whole fleet.
pub const CONFIG_READERS: usize = 8;
/// Most instances that write claims; a larger fleet sends its claims through these.
pub const CLAIM_OWNERS: usize = 16;

/// The table; its shared parts add up to under half of what the service takes.
pub const TABLE: [Row; Purpose::ALL.len()] = [
    Row { purpose: Purpose::Lease, reads: Quota::Fixed(10), writes: Quota::Fixed(10) },
    Row {
        purpose: Purpose::Config,
        reads: Quota::Shared { total: 600, among: CONFIG_READERS },
        writes: Quota::Shared { total: 20, among: CONFIG_READERS },
    },
    Row {
        purpose: Purpose::Claim,
        reads: Quota::Shared { total: 200, among: CLAIM_OWNERS },
        writes: Quota::Shared { total: 150, among: CLAIM_OWNERS },
    },
    Row { purpose: Purpose::Record, reads: Quota::Fixed(5), writes: Quota::Fixed(2) },
    Row { purpose: Purpose::Report, reads: Quota::Fixed(2), writes: Quota::Fixed(2) },
    Row { purpose: Purpose::Roster, reads: Quota::Fixed(5), writes: Quota::Fixed(2) },
];

/// Calls a second that one instance may make for all purposes together.
const COMMON: u32 = 100;
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
        Quota::Shared { total, among } => Rate::share(total, instances.min(among), BURST),
        Quota::Fixed(rate) => Rate { period: Duration::from_secs(1) / rate, burst: BURST },
    });
    Rates { common, own }
}
