//! Table of the call rates of each purpose.
//!
//! Work that a bounded number of instances does at a time (watchers of the configuration, owners of
//! claim shards) gets a share of the service's rate, divided by that number or by the number of
//! instances if there are fewer. Calls that only a lease holder makes are bounded by the number of
//! leases, so they get a fixed rate per instance. With equal shares for all instances, a watcher in
//! a large fleet could read only once in several seconds.

use {
    crate::{
        Purpose,
        budget::{Rate, Rates},
    },
    std::time::Duration,
};

/// Quota of one instance, depending on the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quota {
    /// A share of `total` calls per second among at most `among` instances.
    Shared {
        /// Calls per second of all instances together.
        total: u32,
        /// Maximum number of instances that make such calls at a time.
        among: usize,
    },
    /// Fixed number of calls per second of one instance.
    Fixed(u32),
}

/// Quotas of one purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PurposeQuota {
    /// Purpose to which the quotas apply.
    pub purpose: Purpose,
    /// Quota of reads and watches.
    pub reads: Quota,
    /// Quota of writes.
    pub writes: Quota,
}

/// Number of instances that read all chunks of the configuration from the store at a time, one in
/// each availability zone. The spread state machine of the configuration limits these reads over
/// the whole fleet.
pub const CONFIG_READERS: usize = 8;
/// Maximum number of instances that write claims; a larger fleet sends its claims through these.
pub const CLAIM_OWNERS: usize = 16;

/// Quotas by purpose. The shared ones add up to less than half of what the service accepts.
pub const TABLE: [PurposeQuota; Purpose::ALL.len()] = [
    PurposeQuota { purpose: Purpose::Lease, reads: Quota::Fixed(10), writes: Quota::Fixed(10) },
    PurposeQuota {
        purpose: Purpose::Config,
        reads: Quota::Shared { total: 600, among: CONFIG_READERS },
        writes: Quota::Shared { total: 20, among: CONFIG_READERS },
    },
    PurposeQuota {
        purpose: Purpose::Claim,
        reads: Quota::Shared { total: 200, among: CLAIM_OWNERS },
        writes: Quota::Shared { total: 150, among: CLAIM_OWNERS },
    },
    PurposeQuota { purpose: Purpose::Record, reads: Quota::Fixed(5), writes: Quota::Fixed(2) },
    PurposeQuota { purpose: Purpose::Report, reads: Quota::Fixed(2), writes: Quota::Fixed(2) },
    PurposeQuota { purpose: Purpose::Roster, reads: Quota::Fixed(5), writes: Quota::Fixed(2) },
];

/// Calls per second of one instance for all purposes together.
const COMMON_RATE: u32 = 100;
/// Maximum number of calls of one instance at once for one purpose.
const BURST: u32 = 20;

/// Read rates for one of `instances`.
pub fn reads(instances: usize) -> Rates {
    rates(instances, |row| row.reads)
}

/// Write rates for one of `instances`.
pub fn writes(instances: usize) -> Rates {
    rates(instances, |row| row.writes)
}

fn rates(instances: usize, pick: impl Fn(&PurposeQuota) -> Quota) -> Rates {
    let common = Rate { period: Duration::from_secs(1) / COMMON_RATE, burst: COMMON_RATE };
    let own = TABLE.each_ref().map(|row| match pick(row) {
        Quota::Shared { total, among } => Rate::share(total, instances.min(among), BURST),
        Quota::Fixed(rate) => Rate { period: Duration::from_secs(1) / rate, burst: BURST },
    });
    Rates { common, own }
}
