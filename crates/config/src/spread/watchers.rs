//! Choice of watchers, and of the members to query in other availability zones, by rendezvous hash.

use {super::Peer, std::cmp::Reverse};

/// Returns the rank of a member; the members with the greatest ranks are watchers.
///
/// The rank depends only on the name, so one member that joins or leaves changes at most one
/// watcher.
pub fn rank(member: &str) -> u64 {
    let hash = blake3::hash(member.as_bytes());
    let head = hash.as_bytes().first_chunk().expect("a digest has 32 bytes");
    u64::from_le_bytes(*head)
}

/// Returns the watchers among the members of one availability zone, greatest rank first. There is
/// one for each `share` members, but at least `min` if there are as many members.
pub fn watchers(zone: &[Peer], share: usize, min: usize) -> Vec<Peer> {
    let count = zone.len().div_ceil(share.max(1)).max(min).min(zone.len());
    let mut ranked: Vec<&Peer> = zone.iter().collect();
    ranked.sort_by_cached_key(|m| (Reverse(rank(m)), (*m).clone()));
    ranked.into_iter().take(count).cloned().collect()
}

/// Returns up to `count` of `members` for the instance `own` to query. Each instance gets a
/// different selection, so that no member is queried by all.
pub fn sample(own: &str, mut members: Vec<Peer>, count: usize) -> Vec<Peer> {
    members.sort_by_cached_key(|m| (rank(&format!("{own} {m}")), m.clone()));
    members.truncate(count);
    members
}
