//! Choice of an endpoint, as a pure function over what is known of the candidates.
//!
//! Model work goes where its first token is expected first: the time for the tokens ahead, the
//! request's own tokens that are not cached there, and a little for another availability zone. All
//! instances expect a subject's shared parts at the same few endpoints, by rendezvous hashing.
//! Plain work goes where the fewest requests wait for a slot.

use {crate::load::Reading, agate_route::ranking::mix, std::time::Duration};

/// Endpoints that hold a subject's shared parts.
pub const HOMES: usize = 2;
/// Extra time counted for an endpoint in another availability zone.
pub const ZONE_PENALTY: Duration = Duration::from_millis(4);
/// Part of the objective within which a first token must be expected to admit a request.
pub const ADMIT_PART: f64 = 0.9;

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Hash of its name, equal on every instance.
    pub hash: u64,
    /// Whether it is in this instance's availability zone.
    pub near: bool,
    /// Whether its failure detector lets it be used.
    pub healthy: bool,
    /// Requests of this instance at the endpoint.
    pub open: u32,
    /// Most requests that this instance may have there at once.
    pub most: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What is known about its reading.
    pub reading: Reading,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Want {
    /// Identifier of the shared beginning of the prompt.
    pub subject: Option<u64>,
    /// Tokens of the prompt; zero for plain work.
    pub tokens: u32,
    /// Those of them that other requests share.
    pub shared: u32,
    /// Longest time to the first token for which the request is worth starting.
    pub within: Duration,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To the candidate of this index, with this many tokens to read there.
    At {
        /// Index of the candidate.
        index: usize,
        /// Tokens that are expected not to be cached.
        tokens: u32,
    },
    /// Every candidate is full; one is expected to have room after this time.
    Full(Duration),
    /// There is no candidate.
    None,
}

/// Chooses a candidate.
pub fn choose(want: &Want, candidates: &[Candidate]) -> Choice {
    let healthy = candidates.iter().any(|c| c.healthy);
    let usable = |c: &Candidate| c.healthy || !healthy;
    if candidates.is_empty() {
        return Choice::None;
    }
    let homes = homes(want, candidates);
    let mut best: Option<(Duration, usize, u32)> = None;
    for (i, c) in candidates.iter().enumerate().filter(|(_, c)| usable(c) && c.open < c.most) {
        let cached = if homes.contains(&Some(i)) { want.shared } else { 0 };
        let tokens = want.tokens - cached.min(want.tokens);
        let score = expect(want, c, tokens);
        if best.is_none_or(|(least, _, _)| score < least) {
            best = Some((score, i, tokens));
        }
    }
    match best {
        Some((score, index, tokens)) if score <= want.within => Choice::At { index, tokens },
        Some((score, _, _)) => Choice::Full(score.saturating_sub(want.within)),
        None => Choice::Full(want.within),
    }
}

/// Expected time to the first token of `want` at `c`.
fn expect(want: &Want, c: &Candidate, tokens: u32) -> Duration {
    let far = if c.near { Duration::ZERO } else { ZONE_PENALTY };
    if want.tokens > 0 {
        return c.reading.first_token(tokens) + far;
    }
    // Without a time per request the number of full rounds of its slots orders the endpoints.
    far + ZONE_PENALTY * 2 * (4 * c.open / c.slots.max(1))
}

/// Candidates that hold the subject's shared parts: those with the greatest rendezvous hashes.
fn homes(want: &Want, candidates: &[Candidate]) -> [Option<usize>; HOMES] {
    let mut best: [Option<(u64, usize)>; HOMES] = [None; HOMES];
    let Some(subject) = want.subject else { return [None; HOMES] };
    for (i, c) in candidates.iter().enumerate() {
        let mut entry = Some((mix(c.hash, subject), i));
        for place in &mut best {
            if entry > *place {
                std::mem::swap(place, &mut entry);
            }
        }
    }
    best.map(|b| b.map(|(_, i)| i))
}
