//! The deterministic model: output tokens, token counts and block hashes of prompts.

/// Bytes of prompt text per token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Formats one message; a prompt is the concatenation of its formatted messages.
pub fn line(role: &str, content: &str) -> String {
    format!("{role}: {content}\n")
}

/// Hash of a prompt, the same on all engines.
pub fn seed(prompt: &str) -> u64 {
    prompt.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| mix(h ^ u64::from(b)))
}

/// Text of the output token at `index` for the prompt whose hash is `seed`.
pub fn token(seed: u64, index: u32) -> String {
    format!("{:04x} ", mix(seed ^ u64::from(index)) & 0xffff)
}

/// Complete output of `count` tokens for a prompt.
pub fn response_text(prompt: &str, count: u32) -> String {
    let s = seed(prompt);
    (0..count).map(|i| token(s, i)).collect()
}

/// Number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(TOKEN_BYTES)
}

/// Hashes of the complete blocks of a prompt, each over the salt and all text up to the block's
/// end.
pub fn blocks(prompt: &str, salt: &str) -> Vec<u64> {
    let mut h = seed(salt);
    let chunks = prompt.as_bytes().chunks_exact(TOKEN_BYTES * BLOCK_TOKENS);
    chunks
        .map(|block| {
            h = block.iter().fold(h, |h, b| mix(h ^ u64::from(*b)));
            h
        })
        .collect()
}

/// Increment and output function of the SplitMix64 generator.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
