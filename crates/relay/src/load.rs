//! Estimated backlog of one model engine.
//!
//! An engine reads prompts one after another, so the wait for a first token follows from the prompt
//! tokens ahead of it and the engine's reading speed. The speed is learned from first tokens; work
//! of other instances that is not known here shows up as a lower speed.

use std::time::Duration;

/// Reading speed assumed before the first answer, in tokens a millisecond.
pub const FIRST_SPEED: f64 = 200.0;
/// Time to a first token that does not depend on the prompt.
pub const BASE: Duration = Duration::from_millis(12);
/// Weight of a new sample in the running mean.
const WEIGHT: f64 = 0.1;
/// Fewest tokens for which a first token tells something about the speed.
const LEAST_TOKENS: u32 = 512;
/// Bounds of a sample, as factors of the mean, so that one stall does not decide.
const SAMPLE_RANGE: (f64, f64) = (0.25, 4.0);

/// What is known about an engine's reading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Tokens that this instance sent and whose first token has not come.
    pub own: u64,
    /// The same of other instances.
    pub others: u64,
    speed: f64,
}

impl Default for Reading {
    fn default() -> Self {
        Self { own: 0, others: 0, speed: FIRST_SPEED }
    }
}

impl Reading {
    /// Expected time to the first token of a request that has `tokens` to read.
    pub fn first_token(&self, tokens: u32) -> Duration {
        let ahead = (self.own + self.others + u64::from(tokens)) as f64;
        BASE + Duration::from_secs_f64(ahead / self.speed / 1e3)
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
        let (low, high) = (SAMPLE_RANGE.0 * self.speed, SAMPLE_RANGE.1 * self.speed);
        let sample = (ahead as f64 / millis.max(0.1)).clamp(low, high);
        // The mean is of the time a token takes, so that slow samples count in full.
        self.speed = 1.0 / ((1.0 - WEIGHT) / self.speed + WEIGHT / sample);
    }

    /// Reading speed in tokens a millisecond.
    pub fn speed(&self) -> f64 {
        self.speed
    }
}
