//! Finds the addresses whose connections a change of the membership invalidates.

use {
    crate::Member,
    agate_wire::{Name, Status},
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// Returns the addresses of members of `old` that `new` lacks, or has as failed, left, restarted or
/// moved. Connections to them should be dropped, since they lead to a process that has ended.
pub fn retired_addresses(old: &[Member], new: &[Member]) -> Vec<SocketAddr> {
    let now: IndexMap<&Name, &Member> = new.iter().map(|m| (&m.name, m)).collect();
    let same = |old: &Member| {
        now.get(&old.name).is_some_and(|m| {
            m.incarnation == old.incarnation
                && m.place.address == old.place.address
                && !matches!(m.status, Status::Dead | Status::Left)
        })
    };
    old.iter().filter(|m| !same(m)).map(|m| m.place.address).collect()
}
