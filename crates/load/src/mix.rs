//! Request mixes and the seeded plan of arrivals.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Kind of a request; it determines the body and the expected response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Short question to a model, with a streamed response.
    Question,
    /// Long document with a short response of a model, streamed.
    Dossier,
    /// Non-idempotent request to a service, with its own idempotency key.
    Booking,
    /// Idempotent request to a service.
    Lookup,
}

impl Kind {
    /// Every kind, in declaration order.
    pub const ALL: [Kind; 4] = [Kind::Question, Kind::Dossier, Kind::Booking, Kind::Lookup];

    /// Name of the kind in reports.
    pub fn label(self) -> &'static str {
        match self {
            Kind::Question => "question",
            Kind::Dossier => "dossier",
            Kind::Booking => "booking",
            Kind::Lookup => "lookup",
        }
    }
}

/// Requests of one kind in a mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Kind of the requests.
    pub kind: Kind,
    /// Path of the route that they are sent to.
    pub path: String,
    /// Weight relative to the other shares; above zero.
    pub weight: f64,
    /// Time from the intended send time within which the response must be complete.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Minimum and maximum size of the prompt, in bytes; unused for services.
    #[serde(default)]
    pub prompt: (usize, usize),
    /// Minimum and maximum number of response tokens; unused for services.
    #[serde(default)]
    pub output: (u32, u32),
}

/// Mix of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Model that questions and dossiers are sent to.
    pub model: String,
    /// Requests of the mix by kind.
    pub shares: Vec<Share>,
}

/// Organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name in the report.
    pub name: String,
    /// API key that is sent as a bearer token; none is sent if it is empty.
    #[serde(default, skip_serializing)]
    pub key: String,
    /// Weight relative to the other organisations; above zero.
    pub weight: f64,
}

/// Planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Number of the request in the plan, from zero.
    pub number: u64,
    /// Intended send time since the start of the run.
    pub at: Duration,
    /// Index of the organisation that sends it.
    pub organisation: usize,
    /// Index of its share in the mix.
    pub share: usize,
    /// Size of the prompt, in bytes.
    pub prompt: usize,
    /// Number of response tokens.
    pub output: u32,
}

/// Draws the arrivals of a run, a Poisson process with `rate` requests per second over `time`.
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
    let organisation_weights: Vec<f64> = organisations.iter().map(|o| o.weight).collect();
    let share_weights: Vec<f64> = mix.shares.iter().map(|s| s.weight).collect();
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= time.as_secs_f64() {
            return out;
        }
        let organisation = pick(&mut rng, &organisation_weights);
        let share = pick(&mut rng, &share_weights);
        let bounds = &mix.shares[share];
        out.push(Arrival {
            number: out.len() as u64,
            at: Duration::try_from_secs_f64(at).unwrap_or(Duration::MAX),
            organisation,
            share,
            prompt: rng.random_range(bounds.prompt.0..=bounds.prompt.1),
            output: rng.random_range(bounds.output.0..=bounds.output.1),
        });
    }
}

/// Draws an index with a probability proportional to its weight.
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
