//! Seeded random workloads.

use {
    agate_core::{Mono, OrgId, time},
    agate_route::{prefix::BLOCK_TOKENS, ranking::mix},
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
};

/// Request of a workload.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index in the workload.
    pub id: usize,
    /// Time of arrival.
    pub at: Mono,
    /// Organisation that sends it.
    pub org: OrgId,
    /// Index of the entry instance that receives it.
    pub entry: usize,
    /// Block hashes of the prompt.
    pub prefix: Arc<[u64]>,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Number of response tokens.
    pub output: u32,
    /// Whether it is a short question; otherwise it is a dossier.
    pub urgent: bool,
    /// Time after arrival within which the response must be complete.
    pub deadline: Duration,
    /// Whether its KV cache was transferred from another engine, so that no prefill is needed.
    pub imported: bool,
}

/// Minimum and maximum prompt tokens of a question.
pub const QUESTION: (u32, u32) = (80, 400);
/// Minimum and maximum prompt tokens of a dossier, without its question.
pub const DOSSIER: (u32, u32) = (2_000, 8_000);
/// Minimum, maximum and mean number of response tokens.
pub const RESPONSE_TOKENS: (u32, u32, u32) = (60, 260, 160);
/// Deadline of a question.
pub const QUESTION_DEADLINE: Duration = Duration::from_secs(8);
/// Deadline of a dossier.
pub const DOSSIER_DEADLINE: Duration = Duration::from_secs(45);

/// Traffic of one organisation.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Organisation that sends the requests.
    pub org: OrgId,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Fraction of the requests that are dossiers.
    pub dossiers: f64,
    /// Number of different dossiers, which repeat; zero if every dossier is new.
    pub library: u64,
}

/// Draws the requests of `sources` from `start` to `end`, sorted by arrival. Each goes to one of
/// `entries` entry instances.
pub fn draw(
    sources: &[Source],
    (start, end): (Mono, Mono),
    entries: usize,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for source in sources {
        let mut rng = ChaCha8Rng::seed_from_u64(mix(seed, u64::from(source.org)));
        let mut at = start + interarrival(source.rate, &mut rng);
        while at < end {
            requests.push(draw_request(source, at, entries, &mut rng));
            at += interarrival(source.rate, &mut rng);
        }
    }
    requests.sort_by_key(|r| (r.at, r.org));
    for (id, request) in requests.iter_mut().enumerate() {
        request.id = id;
    }
    requests
}

/// Draws an exponentially distributed time between arrivals.
fn interarrival(rate: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    time::seconds((-uniform.ln() / rate).min(1e6))
}

fn draw_request(source: &Source, at: Mono, entries: usize, rng: &mut impl Rng) -> Request {
    let urgent = !rng.random_bool(source.dossiers);
    let output = rng.random_range(RESPONSE_TOKENS.0..RESPONSE_TOKENS.1);
    let entry = rng.random_range(0..entries);
    let (prompt, prefix) = if urgent { question(source, rng) } else { dossier(source, rng) };
    let deadline = if urgent { QUESTION_DEADLINE } else { DOSSIER_DEADLINE };
    Request {
        id: 0,
        at,
        org: source.org,
        entry,
        prefix,
        prompt,
        output,
        urgent,
        deadline,
        imported: false,
    }
}

fn question(source: &Source, rng: &mut impl Rng) -> (u32, Arc<[u64]>) {
    let prompt = rng.random_range(QUESTION.0..QUESTION.1);
    (prompt, block_hashes(source.org, rng.random(), prompt / BLOCK_TOKENS))
}

/// Prompt of a dossier and a question about it; the question is unique.
fn dossier(source: &Source, rng: &mut impl Rng) -> (u32, Arc<[u64]>) {
    let number = match source.library {
        0 => rng.random(),
        n => skewed(n, rng),
    };
    let text =
        DOSSIER.0 + (mix(number, u64::from(source.org)) % u64::from(DOSSIER.1 - DOSSIER.0)) as u32;
    let extra = rng.random_range(QUESTION.0..QUESTION.1);
    let mut blocks = block_hashes(source.org, number, text / BLOCK_TOKENS).to_vec();
    let unique: u64 = rng.random();
    blocks.extend((0..u64::from(extra / BLOCK_TOKENS)).map(|i| mix(unique, i)));
    (text + extra, blocks.into())
}

/// Draws one of `n` numbers, low ones more often.
fn skewed(n: u64, rng: &mut impl Rng) -> u64 {
    let uniform: f64 = rng.random();
    (uniform * uniform * n as f64) as u64
}

fn block_hashes(org: OrgId, text: u64, len: u32) -> Arc<[u64]> {
    let start = mix(text, u64::from(org) + 0x1000);
    (0..u64::from(len)).map(|i| mix(start, i + 1)).collect()
}
