//! Hashes of prompt prefixes.
//!
//! A prompt is split into blocks of [`BLOCK_BYTES`]. The hash of a block also covers all blocks
//! before it, so two prompts share exactly the hashes of their common leading blocks. The chain
//! starts from a salt of the organisation, so the hashes of two organisations differ even for equal
//! text. Only a declared shared prefix starts from a common salt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block in bytes of text; about 64 tokens.
pub const BLOCK_BYTES: usize = 256;
/// Estimated size of a block in tokens.
pub const BLOCK_TOKENS: u32 = 64;
/// Maximum number of blocks hashed; text after them does not affect the choice.
pub const MAX_BLOCKS: usize = 1024;

/// Salt of declared shared prefixes.
const SHARED_SALT: u64 = 0x7368_6172_6564_0001;

/// Salt of the organisation with this name, equal on every instance.
pub fn salt(org: &str) -> u64 {
    xxh3_64_with_seed(org.as_bytes(), 1)
}

/// Hashes the complete blocks of `text`.
///
/// If `text` starts with one of the `shared` prefixes, the blocks completely inside the longest
/// such prefix get the same salt for every organisation; all later ones depend on `org_salt`.
pub fn blocks(org_salt: u64, shared: &[&str], text: &str) -> Vec<u64> {
    let bytes = text.as_bytes();
    let common =
        shared.iter().filter(|s| text.starts_with(**s)).map(|s| s.len()).max().unwrap_or(0);
    let common = common / BLOCK_BYTES;
    let mut hash = if common > 0 { SHARED_SALT } else { org_salt };
    let mut out = Vec::with_capacity((bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS));
    for (i, block) in bytes.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS).enumerate() {
        if i == common && common > 0 {
            hash ^= org_salt;
        }
        hash = xxh3_64_with_seed(block, hash);
        out.push(hash);
    }
    out
}
