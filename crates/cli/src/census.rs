//! Estimate of the number of instances, by which calls to the store are paced.
//!
//! An instance that starts knows few others. Until its view has stopped growing, the platform's list
//! counts, which names at least all instances: an estimate that is too high costs time, one that is
//! too low lets a whole fleet call at once.

use std::time::Duration;

/// Time without a change of the members after which they count as known.
pub const SETTLED: Duration = Duration::from_secs(2);
/// Instances that are assumed while neither members nor list are known: the size of the design.
pub const UNKNOWN: usize = 1_900;

/// Members that this instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Members of the own availability zone, this instance included.
    pub zone: usize,
    /// Availability zones with members, the own one included.
    pub zones: usize,
    /// Time since the members last changed.
    pub since: Duration,
}

/// What the platform's list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Instances, and endpoints that cannot be told from them yet.
    pub instances: usize,
    /// Availability zones.
    pub zones: usize,
}

/// Estimates how many instances there are.
pub fn estimate(view: View, listed: Option<Listed>) -> usize {
    let known = view.zone * view.zones;
    let alone = known <= 1;
    match listed {
        // The membership spans one region, the list all of them.
        Some(listed) if view.since >= SETTLED && !alone => view.zone * view.zones.max(listed.zones),
        Some(listed) => known.max(listed.instances),
        None if alone => UNKNOWN,
        None => known,
    }
}
