//! The deterministic model: tokens, block hashes and their arithmetic.

/// Bytes of prompt text that make one token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// One message as the model reads it; a prompt is the lines of its messages.
pub fn line(role: &str, content: &str) -> String {
    format!("{role}: {content}\n")
}

/// Hash of a prompt, equal on every engine.
pub fn seed(prompt: &str) -> u64 {
    prompt.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| mix(h ^ u64::from(b)))
}

/// Text of the token at `index` of the answer to the prompt with this seed.
pub fn token(seed: u64, index: u32) -> String {
    format!("{:04x} ", mix(seed ^ u64::from(index)) & 0xffff)
}

/// Whole text of an answer of `count` tokens.
pub fn answer(prompt: &str, count: u32) -> String {
    let s = seed(prompt);
    (0..count).map(|i| token(s, i)).collect()
}

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(TOKEN_BYTES)
}

/// Hashes of the whole blocks of a prompt, each covering all text before its end.
pub fn blocks(prompt: &str, salt: &str) -> Vec<u64> {
    let mut h = seed(salt);
    let whole = prompt.as_bytes().chunks_exact(TOKEN_BYTES * BLOCK_TOKENS);
    whole
        .map(|block| {
            h = block.iter().fold(h, |h, b| mix(h ^ u64::from(*b)));
            h
        })
        .collect()
}

/// The finaliser of the SplitMix64 generator.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
