//! Precomputed rendezvous ranking.
//!
//! Keys map to a fixed number of slots, and every slot holds the [`WIDTH`] endpoints with the
//! highest rendezvous hash. A lookup takes constant time at any number of endpoints, and the
//! ranking keeps the property of rendezvous hashing: adding or removing an endpoint only moves
//! slots to or from that endpoint. Hashes are computed from endpoint names, so all instances agree
//! on the ranking without coordination.

use {agate_core::EndpointId, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Number of slots of a ranking.
pub const SLOTS: usize = 8192;
/// Number of endpoints per slot.
pub const WIDTH: usize = 1;

const NONE: EndpointId = EndpointId::MAX;

/// Rendezvous ranking of a set of endpoints.
#[derive(Debug)]
pub struct Ranking {
    members: Vec<(EndpointId, u64)>,
    slots: Vec<[EndpointId; WIDTH]>,
}

/// Hash of an endpoint's name, equal on every instance.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 2)
}

/// Hashes two words into one.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Ranking {
    /// Builds the ranking of `members`, each an endpoint with its [`name_hash`].
    pub fn build(members: Vec<(EndpointId, u64)>) -> Self {
        let count = if members.is_empty() { 0 } else { SLOTS };
        let slots = (0..count as u64).map(|slot| top_endpoints(&members, slot)).collect();
        Self { members, slots }
    }

    /// Whether this ranking was built from `members`.
    pub fn is_built_from(&self, members: &[(EndpointId, u64)]) -> bool {
        self.members == members
    }

    /// Endpoints of the slot that `key` maps to, highest hash first.
    pub fn get(&self, key: u64) -> impl Iterator<Item = EndpointId> + '_ {
        let slot = mix(key, 3) as usize % SLOTS;
        self.slots.get(slot).into_iter().flatten().copied().filter(|id| *id != NONE)
    }
}

/// Endpoints with the highest rendezvous hashes in one slot.
fn top_endpoints(members: &[(EndpointId, u64)], slot: u64) -> [EndpointId; WIDTH] {
    let mut best = [(0, NONE); WIDTH];
    for (id, hash) in members {
        let mut candidate = (mix(*hash, slot + 1), *id);
        for entry in &mut best {
            if entry.1 == NONE || candidate.0 > entry.0 {
                std::mem::swap(entry, &mut candidate);
            }
            if candidate.1 == NONE {
                break;
            }
        }
    }
    best.map(|(_, id)| id)
}
