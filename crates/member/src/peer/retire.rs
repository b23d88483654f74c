//! Which connections a change of the membership makes useless.

use {
    crate::Member,
    agate_wire::{Name, Status},
    indexmap::IndexMap,
    std::net::SocketAddr,
};

/// Addresses of members of `old` that are gone or began another life in `new`: connections to them
/// are dropped, since they end in a process that is no more.
pub fn retired(old: &[Member], new: &[Member]) -> Vec<SocketAddr> {
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
