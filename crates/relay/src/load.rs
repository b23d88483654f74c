//! Estimated backlog of one model engine.
//!
//! An engine reads the prompts in its slots side by side and the others after them. So a prompt waits
//! for the tokens ahead of it, and a long one also for a part of each prompt beside it. How fast its
//! kind of engine reads is learned by [`crate::pace`]; by how much this one differs, here.

use {crate::pace::Pace, std::time::Duration};

/// Part of the sums that is kept with each new sample; an engine's own speed follows about 50 samples.
const KEPT: f64 = 0.98;
/// Time for which an engine counts as usual before its own answers weigh more, in milliseconds.
const USUAL_TIME: f64 = 300.0;

/// How an engine's reading differs from that of its kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    // Decaying sums. Their quotient weighs a sample by its time, so that load of others which is
    // known late, once too much and once too little, evens out.
    expected: f64,
    taken: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self { expected: USUAL_TIME, taken: USUAL_TIME }
    }
}

impl Rate {
    /// Learns from a first token that was expected after `expected` and came after `taken`
    /// milliseconds.
    pub fn learn(&mut self, expected: f64, taken: f64) {
        self.expected = KEPT * self.expected + expected;
        self.taken = KEPT * self.taken + taken;
    }

    /// Speed as a part of the usual one.
    pub fn factor(&self) -> f64 {
        self.expected / self.taken
    }
}

/// What is known about an engine's reading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Tokens that this instance sent and whose first token has not come.
    pub own: u64,
    /// The same of other instances.
    pub others: u64,
    /// Time to a first token that does not depend on the prompt.
    pub base: Duration,
    /// Reading speed in tokens a millisecond.
    pub speed: f64,
}

impl Reading {
    /// Reading of an engine of a kind with `pace`, with no tokens ahead.
    pub fn new(pace: &Pace, rate: &Rate) -> Self {
        let factor = rate.factor();
        let base = Duration::from_secs_f64(pace.base() / factor / 1e3);
        Self { own: 0, others: 0, base, speed: pace.speed() * factor }
    }

    /// Tokens that are read before the first token of a request that has `tokens` to read, beside
    /// `beside` other requests.
    pub fn ahead(&self, tokens: u32, beside: u32) -> u64 {
        let queued = self.own + self.others + u64::from(tokens);
        queued.max(u64::from(tokens) * u64::from(beside + 1))
    }

    /// Expected time to that first token.
    pub fn first_token(&self, tokens: u32, beside: u32) -> Duration {
        self.base + self.reading_time(self.ahead(tokens, beside))
    }

    /// Time for which the tokens ahead keep the engine reading.
    pub fn backlog(&self) -> Duration {
        self.reading_time(self.own + self.others)
    }

    /// Part of `within` that the tokens ahead take, at most one.
    pub fn fullness(&self, within: Duration) -> f64 {
        (self.backlog().as_secs_f64() / within.as_secs_f64().max(1e-3)).min(1.0)
    }

    /// Time for which `tokens` keep the engine reading.
    pub fn time(&self, tokens: u32) -> Duration {
        self.reading_time(tokens.into())
    }

    fn reading_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.speed / 1e3)
    }
}
