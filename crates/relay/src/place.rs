//! Choice of an endpoint, as a pure function over what is known of the candidates.
//!
//! Model work goes where its first token is expected first: the time for the tokens ahead, the
//! request's own tokens that are not cached there, and a little for another availability zone. Tokens
//! that are read again take capacity from others, so they count more, the fuller the engines are. All
//! instances expect a subject's shared parts at the same few endpoints, by rendezvous hashing.
//! Other work goes where the fewest requests share or wait for a slot; work that must not wait goes
//! only where a slot is free.

use {
    crate::{load::Reading, worth},
    agate_route::ranking::mix,
    indexmap::IndexSet,
    std::time::Duration,
};

/// Endpoints that are looked at closely for one request. Among so many, the least loaded is hardly
/// worse than among all, while looking at thousands takes longer than a request may wait.
pub const MOST_CANDIDATES: usize = 96;
/// Those of them in the own availability zone.
const MOST_NEAR: usize = 64;
/// Endpoints that hold a subject's shared parts.
pub const HOMES: usize = 2;
/// Extra time counted for a subject's second home, so that its first one keeps it while idle.
const SECOND_PENALTY: Duration = Duration::from_millis(8);
/// Extra time counted for an endpoint in another availability zone.
pub const ZONE_PENALTY: Duration = Duration::from_millis(4);
/// Time after which endpoints that all refuse may have room.
const REFUSING_AFTER: Duration = Duration::from_millis(200);
/// Weight of tokens that are read again while the engines are idle.
const AGAIN_IDLE: f64 = 1.0;
/// Further weight of them while the engines are full.
const AGAIN_FULL: f64 = 4.0;
/// Extra time counted for an endpoint whose slots are all in use.
const FULL_PENALTY: Duration = Duration::from_millis(30);
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
    /// Whether it refused a request for lack of capacity a short while ago.
    pub refusing: bool,
    /// Requests of this instance at the endpoint.
    pub open: u32,
    /// Requests of all other instances there, as last told.
    pub others: u32,
    /// Most requests that this instance may have there at once.
    pub most: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What is known about its reading.
    pub reading: Reading,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Want {
    /// Identifier of the shared beginning of the prompt.
    pub subject: Option<u64>,
    /// Tokens of the prompt; zero for plain work.
    pub tokens: u32,
    /// Those of them that other requests share.
    pub shared: u32,
    /// Longest time to the first token within which an answer is in time.
    pub within: Duration,
    /// Whether it is worth starting for a late answer.
    pub late: worth::Late,
    /// Whether it is worth starting only where a slot is free.
    pub slot: bool,
}

impl Candidate {
    /// Part of its slots that known requests use; above one if some wait.
    pub fn use_of_slots(&self) -> f64 {
        f64::from(self.open + self.others) / f64::from(self.slots.max(1))
    }

    /// Requests that a new one is beside of.
    fn beside(&self) -> u32 {
        (self.open + self.others).min(self.slots.saturating_sub(1))
    }

    /// Whether `want` may go there.
    fn takes(&self, want: &Want) -> bool {
        let free = !want.slot || self.use_of_slots() < 1.0;
        free && !self.refusing && self.open < self.most
    }
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
    let weight = AGAIN_IDLE + AGAIN_FULL * fullness(want, candidates);
    let mut best: Option<Way> = None;
    for (index, c) in candidates.iter().enumerate().filter(|(_, c)| usable(c) && c.takes(want)) {
        let home = homes.iter().position(|h| *h == Some(index));
        let cached = if home.is_some() { want.shared } else { 0 };
        let tokens = want.tokens - cached.min(want.tokens);
        let expected = expect(want, c, tokens);
        let again = tokens - (want.tokens - want.shared.min(want.tokens));
        let second = if home == Some(1) { SECOND_PENALTY } else { Duration::ZERO };
        let score = expected + second + c.reading.time(again).mul_f64(weight);
        if best.as_ref().is_none_or(|b| score < b.score) {
            best = Some(Way { score, expected, index, tokens });
        }
    }
    match best {
        Some(b) if b.is_worth(want, &candidates[b.index]) => {
            Choice::At { index: b.index, tokens: b.tokens }
        }
        Some(b) => Choice::Full(b.expected.saturating_sub(want.within)),
        None => Choice::Full(REFUSING_AFTER),
    }
}

/// An endpoint as far as it decides whether it is looked at more closely.
#[derive(Clone, Copy, Debug)]
pub struct Spot {
    /// Hash of its name, equal on every instance.
    pub hash: u64,
    /// Whether it is in this instance's availability zone.
    pub near: bool,
}

/// Indices of the endpoints to choose from: all of a few, and of many those that hold the subject's
/// shared parts and a sample of the others, most of them near. `draw` varies the sample.
pub fn shortlist(subject: Option<u64>, all: &[Spot], draw: u32) -> Vec<usize> {
    if all.len() <= MOST_CANDIDATES {
        return (0..all.len()).collect();
    }
    let mut out: IndexSet<usize> =
        find_homes(subject, all.iter().map(|s| s.hash)).into_iter().flatten().collect();
    for near in [true, false] {
        let part: Vec<usize> = (0..all.len()).filter(|i| all[*i].near == near).collect();
        let most = if near { MOST_NEAR } else { MOST_CANDIDATES - out.len() };
        let count = most.min(part.len());
        out.extend((0..count).map(|k| part[(draw as usize + k * part.len() / count) % part.len()]));
    }
    out.into_iter().collect()
}

/// Mean part of the time within which a first token must come that is taken already.
fn fullness(want: &Want, candidates: &[Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.reading.fullness(want.within)).sum();
    sum / candidates.len().max(1) as f64
}

/// One way to place a request.
struct Way {
    score: Duration,
    expected: Duration,
    index: usize,
    tokens: u32,
}

impl Way {
    /// Whether `want` is worth starting this way, at `c`.
    fn is_worth(&self, want: &Want, c: &Candidate) -> bool {
        let (own, ahead) = (c.reading.time(self.tokens), c.reading.backlog());
        self.expected <= want.within || want.late.is_worth(self.expected, own, ahead)
    }
}

/// Expected time to the first token of `want` at `c`.
fn expect(want: &Want, c: &Candidate, tokens: u32) -> Duration {
    let far = if c.near { Duration::ZERO } else { ZONE_PENALTY };
    if want.tokens > 0 {
        return c.reading.first_token(tokens, c.beside()) + far;
    }
    // Without a time per request the use of its slots orders the endpoints.
    far + FULL_PENALTY.mul_f64(c.use_of_slots())
}

/// Candidates that hold the subject's shared parts.
fn homes(want: &Want, candidates: &[Candidate]) -> [Option<usize>; HOMES] {
    find_homes(want.subject, candidates.iter().map(|c| c.hash))
}

/// Indices of the greatest rendezvous hashes of `subject` among endpoints with these `hashes`.
fn find_homes(subject: Option<u64>, hashes: impl Iterator<Item = u64>) -> [Option<usize>; HOMES] {
    let mut best: [Option<(u64, usize)>; HOMES] = [None; HOMES];
    let Some(subject) = subject else { return [None; HOMES] };
    for (i, hash) in hashes.enumerate() {
        let mut entry = Some((mix(hash, subject), i));
        for place in &mut best {
            if entry > *place {
                std::mem::swap(place, &mut entry);
            }
        }
    }
    best.map(|b| b.map(|(_, i)| i))
}
