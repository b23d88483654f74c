//! How fast the engines of one kind read, learned from first tokens.
//!
//! The time to a first token has a part that does not depend on the prompt and one that grows with
//! the tokens ahead. Both are learned: a fixed first part that fits another kind of engine makes short
//! prompts look slow to read, and long ones then look many times slower than they are.
//!
//! The tokens ahead are known late, once too many and once too few, which would flatten a plain fit of
//! time over tokens ahead. The prompt's own tokens are known exactly, so they serve as the instrument:
//! the growth of the time with them over the growth of the tokens ahead with them.

/// Time to a first token that does not depend on the prompt, assumed before the first answers, in
/// milliseconds.
const FIRST_BASE: f64 = 12.0;
/// Reading speed assumed before them, in tokens a millisecond.
const FIRST_SPEED: f64 = 200.0;
/// Weight of an assumed answer, so that the first true ones count more.
const FIRST_WEIGHT: f64 = 0.1;
/// Prompts of the assumed answers, in tokens.
const FIRST_TOKENS: [f64; 2] = [1_000.0, 10_000.0];
/// Part of the sums that is kept with each new sample; the fit follows about 100 samples.
const KEPT: f64 = 0.99;
/// Growth of the least time with each sample, so that one that was too short is forgotten.
const RISE: f64 = 1.002;
/// Least time that reading is taken to need, in milliseconds, so that the speed stays finite.
const LEAST_READ: f64 = 1.0;

/// A first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Tokens of the prompt that were to be read.
    pub own: u32,
    /// Tokens ahead of it as known when it was placed, its own included.
    pub ahead: u64,
    /// Milliseconds until the first token came.
    pub millis: f64,
}

/// Reading of the engines of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    // Decaying sums over samples: own tokens (t), tokens ahead (x), milliseconds (y).
    n: f64,
    t: f64,
    x: f64,
    y: f64,
    tx: f64,
    ty: f64,
    least: f64,
    // Of the fit.
    base: f64,
    speed: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self::new(FIRST_BASE, FIRST_SPEED)
    }
}

impl Pace {
    /// Pace that is assumed until answers come: `base` milliseconds, and `speed` tokens a millisecond.
    pub fn new(base: f64, speed: f64) -> Self {
        let (t, x, y, tx, ty) = (0.0, 0.0, 0.0, 0.0, 0.0);
        let mut out = Self { n: 0.0, t, x, y, tx, ty, least: f64::MAX, base, speed };
        for tokens in FIRST_TOKENS {
            out.add(FIRST_WEIGHT, tokens, tokens, base + tokens / speed);
        }
        out
    }

    /// Learns from a first token.
    pub fn learn(&mut self, sample: &Sample) {
        let Self { n, t, x, y, tx, ty, .. } = self;
        for sum in [n, t, x, y, tx, ty] {
            *sum *= KEPT;
        }
        self.add(1.0, f64::from(sample.own), sample.ahead as f64, sample.millis);
        self.least = (self.least * RISE).min(sample.millis);
        self.base = self.fit_base();
        self.speed = self.x / (self.y - self.n * self.base).max(LEAST_READ);
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
        fitted.clamp(0.0, self.least.min(self.y / self.n))
    }

    /// Time to a first token that does not depend on the prompt, in milliseconds.
    pub fn base(&self) -> f64 {
        self.base
    }

    /// Reading speed in tokens a millisecond.
    pub fn speed(&self) -> f64 {
        self.speed
    }
}
