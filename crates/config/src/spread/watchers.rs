//! Choice of watchers, and of whom to ask in other availability zones, by rendezvous hash.

use {super::Peer, std::cmp::Reverse};

/// Rank of a member; the greatest ranks watch.
///
/// The rank depends on the name alone, so one member's coming or going changes one watcher at most.
pub fn rank(member: &str) -> u64 {
    let hash = blake3::hash(member.as_bytes());
    let head = hash.as_bytes().first_chunk().expect("a digest has 32 bytes");
    u64::from_le_bytes(*head)
}

/// Returns the watchers among the members of one availability zone, greatest rank first.
pub fn watchers(zone: &[Peer], share: usize, min: usize) -> Vec<Peer> {
    let count = zone.len().div_ceil(share.max(1)).max(min).min(zone.len());
    let mut ranked: Vec<&Peer> = zone.iter().collect();
    ranked.sort_by_cached_key(|m| (Reverse(rank(m)), (*m).clone()));
    ranked.into_iter().take(count).cloned().collect()
}

/// Returns `count` of `members` whom the instance `own` asks; each instance has others, so that none
/// is asked by all.
pub fn sample(own: &str, mut members: Vec<Peer>, count: usize) -> Vec<Peer> {
    members.sort_by_cached_key(|m| (rank(&format!("{own} {m}")), m.clone()));
    members.truncate(count);
    members
}
