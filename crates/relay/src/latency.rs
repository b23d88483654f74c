//! Model of the time to first token of one kind of engine, learned from first tokens.
//!
//! The time to first token is a base that does not depend on the prompt, plus the tokens ahead
//! divided by the prefill speed. Both are learned: with a fixed base that fits another kind of
//! engine, short prompts look slow to prefill, and long ones then look many times slower than they
//! are.
//!
//! The tokens ahead are known with a delay, so they are sometimes too high and sometimes too low. A
//! linear regression of time on tokens ahead would underestimate the slope (attenuation bias). The
//! prompt's own tokens are known exactly and serve as the instrumental variable: the slope is the
//! covariance of time and own tokens over that of tokens ahead and own tokens.

/// Prior of the base, in milliseconds.
const PRIOR_BASE: f64 = 12.0;
/// Prior of the prefill speed, in tokens per millisecond.
const PRIOR_SPEED: f64 = 200.0;
/// Weight of a prior sample; below 1, so that the first real samples count more.
const PRIOR_WEIGHT: f64 = 0.1;
/// Prompt lengths of the prior samples, in tokens.
const PRIOR_TOKENS: [f64; 2] = [1_000.0, 10_000.0];
/// Decay of the sums with each sample; the fit covers about 100 samples.
const DECAY: f64 = 0.99;
/// Growth of the minimum time with each sample, so that an outlier that was too short is forgotten.
const MIN_GROWTH: f64 = 1.002;
/// Lower bound of the summed prefill time, in milliseconds, so that the speed stays finite.
const MIN_PREFILL: f64 = 1.0;

/// Observation of one first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Uncached tokens of the request's prompt.
    pub own: u32,
    /// Tokens ahead of the first token as known at placement, the prompt's own included.
    pub ahead: u64,
    /// Time from placement to the first token, in milliseconds.
    pub millis: f64,
}

/// Model of the time to first token: `base + tokens ahead / speed`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyModel {
    // Decaying sums over samples: own tokens (t), tokens ahead (x), milliseconds (y).
    n: f64,
    t: f64,
    x: f64,
    y: f64,
    tx: f64,
    ty: f64,
    min_millis: f64,
    // Current fit.
    base: f64,
    speed: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self::new(PRIOR_BASE, PRIOR_SPEED)
    }
}

impl LatencyModel {
    /// Makes a model with a prior of `base` milliseconds and `speed` tokens per millisecond.
    pub fn new(base: f64, speed: f64) -> Self {
        let (t, x, y, tx, ty) = (0.0, 0.0, 0.0, 0.0, 0.0);
        let mut out = Self { n: 0.0, t, x, y, tx, ty, min_millis: f64::MAX, base, speed };
        for tokens in PRIOR_TOKENS {
            out.add(PRIOR_WEIGHT, tokens, tokens, base + tokens / speed);
        }
        out
    }

    /// Updates the fit with a sample.
    pub fn learn(&mut self, sample: &Sample) {
        let Self { n, t, x, y, tx, ty, .. } = self;
        for sum in [n, t, x, y, tx, ty] {
            *sum *= DECAY;
        }
        self.add(1.0, f64::from(sample.own), sample.ahead as f64, sample.millis);
        self.min_millis = (self.min_millis * MIN_GROWTH).min(sample.millis);
        self.base = self.fit_base();
        self.speed = self.x / (self.y - self.n * self.base).max(MIN_PREFILL);
    }

    fn add(&mut self, weight: f64, t: f64, x: f64, y: f64) {
        self.n += weight;
        self.t += weight * t;
        self.x += weight * x;
        self.y += weight * y;
        self.tx += weight * t * x;
        self.ty += weight * t * y;
    }

    fn fit_base(&self) -> f64 {
        let ahead = self.n * self.tx - self.t * self.x;
        let time = self.n * self.ty - self.t * self.y;
        let slope = if ahead > 0.0 { (time / ahead).max(0.0) } else { 0.0 };
        let fitted = (self.y - slope * self.x) / self.n;
        fitted.clamp(0.0, self.min_millis.min(self.y / self.n))
    }

    /// Part of the time to first token that does not depend on the prompt, in milliseconds.
    pub fn base(&self) -> f64 {
        self.base
    }

    /// Prefill speed in tokens per millisecond.
    pub fn speed(&self) -> f64 {
        self.speed
    }
}
