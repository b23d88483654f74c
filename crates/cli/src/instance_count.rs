//! Estimates the number of instances, by which the rate of calls to the store is divided.
//!
//! An instance that has just started knows few others. Until its view has stopped growing, the
//! platform's list is used, which names at least all instances. An estimate that is too high delays
//! calls; one that is too low lets the whole fleet call the store at once.

use std::time::Duration;

/// Time without a change of the members after which the view counts as complete.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Number of instances assumed while neither members nor list are known: the largest fleet the
/// system is designed for.
pub const ASSUMED_INSTANCES: usize = 1_900;

/// Size of this instance's membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Members of this instance's availability zone, itself included.
    pub zone: usize,
    /// Availability zones with members, its own included.
    pub zones: usize,
    /// Time since the members last changed.
    pub stable: Duration,
}

/// Counts from the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedCounts {
    /// Listed instances, including endpoints that cannot be told apart from instances yet.
    pub instances: usize,
    /// Availability zones with listed entries.
    pub zones: usize,
}

/// Estimates the number of instances from the membership view and the platform's list.
pub fn estimate(view: MemberView, listed: Option<ListedCounts>) -> usize {
    let known = view.zone * view.zones;
    let sole = known <= 1;
    match listed {
        // Membership covers one region, the list all of them.
        Some(list) if view.stable >= SETTLE_TIME && !sole => view.zone * view.zones.max(list.zones),
        Some(listed) => known.max(listed.instances),
        None if sole => ASSUMED_INSTANCES,
        None => known,
    }
}
