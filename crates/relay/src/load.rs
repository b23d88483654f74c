//! Estimated backlog of one model engine.
//!
//! An engine reads the prompts in its slots side by side and the others after them. So a prompt waits
//! for the tokens ahead of it, and a long one also for a part of each prompt beside it. The reading
//! speed is learned from first tokens; work of other instances that is not known here shows up as a
//! lower speed.

use std::time::Duration;

/// Reading speed assumed before the first answer, in tokens a millisecond.
pub const FIRST_SPEED: f64 = 200.0;
/// Time to a first token that does not depend on the prompt.
pub const BASE: Duration = Duration::from_millis(12);
/// Part of the sums that is kept with each new sample; the speed follows about 50 samples.
const KEPT: f64 = 0.98;
/// Fewest tokens for which a first token tells something about the speed.
const LEAST_TOKENS: u32 = 512;
/// Sums that a first speed counts as, in milliseconds.
const FIRST_TIME: f64 = 100.0;

/// What is known about an engine's reading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Tokens that this instance sent and whose first token has not come.
    pub own: u64,
    /// The same of other instances.
    pub others: u64,
    // Decaying sums. Their quotient weighs a sample by its time, so that load of others which is
    // known late, once too much and once too little, evens out.
    tokens: f64,
    millis: f64,
}

impl Reading {
    /// Starts from a speed that is known of engines like this one.
    pub fn with_speed(speed: f64) -> Self {
        Self { own: 0, others: 0, tokens: speed * FIRST_TIME, millis: FIRST_TIME }
    }
}

impl Default for Reading {
    fn default() -> Self {
        Self::with_speed(FIRST_SPEED)
    }
}

impl Reading {
    /// Expected time to the first token of a request that has `tokens` to read, beside `beside`
    /// other requests.
    pub fn first_token(&self, tokens: u32, beside: u32) -> Duration {
        let ahead = self.own + self.others + u64::from(tokens);
        let shared = u64::from(tokens) * u64::from(beside + 1);
        BASE + Duration::from_secs_f64(ahead.max(shared) as f64 / self.speed() / 1e3)
    }

    /// Part of `within` that the tokens ahead take, at most one.
    pub fn fullness(&self, within: Duration) -> f64 {
        let ahead = (self.own + self.others) as f64 / self.speed() / 1e3;
        (ahead / within.as_secs_f64().max(1e-3)).min(1.0)
    }

    /// Time for which `tokens` keep the engine reading.
    pub fn time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.speed() / 1e3)
    }

    /// Counts a request that was sent; returns the tokens that are read before its first token.
    pub fn sent(&mut self, tokens: u32) -> u64 {
        self.own += u64::from(tokens);
        self.own + self.others
    }

    /// Counts the end of a request's reading.
    pub fn read(&mut self, tokens: u32) {
        self.own = self.own.saturating_sub(u64::from(tokens));
    }

    /// Learns from a first token that came `after`, behind `ahead` tokens.
    pub fn learn(&mut self, ahead: u64, after: Duration) {
        if ahead < u64::from(LEAST_TOKENS) {
            return;
        }
        let millis = after.saturating_sub(BASE).as_secs_f64() * 1e3;
        self.tokens = KEPT * self.tokens + ahead as f64;
        self.millis = KEPT * self.millis + millis.max(1.0);
    }

    /// Reading speed in tokens a millisecond.
    pub fn speed(&self) -> f64 {
        self.tokens / self.millis
    }
}
