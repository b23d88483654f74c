//! Choice of a key's shard and of a shard's owner.
//!
//! All instances that know the same members choose the same owner without communication, and a
//! change of one member moves only that member's shards. If instances disagree for a while, only
//! the batches get smaller.

use crate::entry::KeyHash;

/// Index of a claim shard.
pub type ShardId = u32;

/// Hash that identifies an idempotency key of an organisation.
pub fn key_hash(org: &str, key: &str) -> KeyHash {
    let mut h = blake3::Hasher::new();
    h.update(&(org.len() as u64).to_le_bytes());
    h.update(org.as_bytes());
    h.update(key.as_bytes());
    let mut out = KeyHash::default();
    out.copy_from_slice(&h.finalize().as_bytes()[..16]);
    out
}

/// Shard of a key among `shards`.
///
/// # Panics
///
/// Panics if `shards` is zero.
pub fn shard_of(key: &KeyHash, shards: u32) -> ShardId {
    assert!(shards > 0, "there is at least one shard");
    u32::from_le_bytes([key[0], key[1], key[2], key[3]]) % shards
}

/// Owner of a shard among `members`, by rendezvous hashing; `None` if there are no members.
pub fn owner<'a>(shard: ShardId, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members.into_iter().max_by_key(|m| (weight(shard, m), *m))
}

fn weight(shard: ShardId, member: &str) -> u64 {
    let mut h = blake3::Hasher::new();
    h.update(&shard.to_le_bytes());
    h.update(member.as_bytes());
    let mut out = [0; 8];
    out.copy_from_slice(&h.finalize().as_bytes()[..8]);
    u64::from_le_bytes(out)
}
