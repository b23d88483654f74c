//! What is sent, and when: the mixes of both users and the seeded plan of arrivals.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A short question to a model, streamed.
    Question,
    /// A long dossier with a short verdict, streamed.
    Dossier,
    /// A non-idempotent call of a service, with its own booking key.
    Booking,
    /// An idempotent call of a service.
    Lookup,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 4] = [Kind::Question, Kind::Dossier, Kind::Booking, Kind::Lookup];

    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Kind::Question => "question",
            Kind::Dossier => "dossier",
            Kind::Booking => "booking",
            Kind::Lookup => "lookup",
        }
    }
}

/// One kind's part of a mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Kind of the requests.
    pub kind: Kind,
    /// Path that they are sent to.
    pub path: String,
    /// Part of all requests, relative to the other shares.
    pub weight: f64,
    /// Time from the intended send time within which the whole answer is of use.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Least and greatest bytes of prompt; none for calls of a service.
    #[serde(default)]
    pub prompt: (usize, usize),
    /// Least and greatest tokens of answer; none for calls of a service.
    #[serde(default)]
    pub output: (u32, u32),
}

/// A mix of requests for one user of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Model that questions and dossiers name.
    pub model: String,
    /// Parts of the mix.
    pub shares: Vec<Share>,
}

/// An organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name in the report.
    pub name: String,
    /// Key sent as a bearer token; empty sends none.
    #[serde(default, skip_serializing)]
    pub key: String,
    /// Part of all requests, relative to the other organisations.
    pub weight: f64,
}

/// One request of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Number of the request in the plan.
    pub number: u64,
    /// Intended send time, from the start of the run.
    pub at: Duration,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the share of the mix.
    pub share: usize,
    /// Bytes of prompt.
    pub prompt: usize,
    /// Tokens of answer.
    pub output: u32,
}

/// Draws the arrivals of a run: a Poisson process of `rate` requests a second over `time`.
///
/// The same seed gives the same plan.
pub fn plan(
    seed: u64,
    rate: f64,
    time: Duration,
    organisations: &[Organisation],
    mix: &Mix,
) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let callers: Vec<f64> = organisations.iter().map(|o| o.weight).collect();
    let shares: Vec<f64> = mix.shares.iter().map(|s| s.weight).collect();
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= time.as_secs_f64() {
            return out;
        }
        let organisation = pick(&mut rng, &callers);
        let share = pick(&mut rng, &shares);
        let bounds = &mix.shares[share];
        out.push(Arrival {
            number: out.len() as u64,
            at: Duration::from_secs_f64(at),
            organisation,
            share,
            prompt: rng.random_range(bounds.prompt.0..=bounds.prompt.1),
            output: rng.random_range(bounds.output.0..=bounds.output.1),
        });
    }
}

/// Index drawn with probability in proportion to its weight.
fn pick(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}
