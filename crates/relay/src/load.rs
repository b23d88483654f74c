//! Estimated prefill backlog of one model engine.
//!
//! An engine prefills the prompts in its slots concurrently and the others after them. So a prompt
//! waits for the tokens ahead of it, and a long one also for a part of each concurrent prompt.
//! [`crate::latency`] learns how fast an engine's kind prefills; this module, how the engine
//! differs.

use {crate::latency::LatencyModel, agate_core::time, std::time::Duration};

/// Decay of the sums with each sample; an engine's relative speed averages about 50 samples.
const DECAY: f64 = 0.98;
/// Weight of the initial assumption that an engine is as fast as its kind, in milliseconds of
/// samples.
const PRIOR_MILLIS: f64 = 300.0;

/// Prefill speed of an engine relative to its kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedRatio {
    // Decaying sums in milliseconds. Their quotient weighs a sample by its time, so that errors
    // from outdated load reports of other instances, too high or too low, cancel out.
    expected: f64,
    actual: f64,
}

impl Default for SpeedRatio {
    fn default() -> Self {
        Self { expected: PRIOR_MILLIS, actual: PRIOR_MILLIS }
    }
}

impl SpeedRatio {
    /// Adds a first token that was expected after `expected` and came after `actual` milliseconds.
    pub fn learn(&mut self, expected: f64, actual: f64) {
        self.expected = DECAY * self.expected + expected;
        self.actual = DECAY * self.actual + actual;
    }

    /// Speed as a multiple of that of its kind.
    pub fn factor(&self) -> f64 {
        self.expected / self.actual
    }
}

/// Prefill backlog and speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillLoad {
    /// Prompt tokens of this instance's requests that wait for their first token.
    pub own: u64,
    /// Prompt tokens of other instances' requests that wait for their first token.
    pub others: u64,
    /// Part of the time to first token that does not depend on the prompt.
    pub base: Duration,
    /// Prefill speed in tokens per millisecond.
    pub speed: f64,
}

impl PrefillLoad {
    /// Load of an idle engine whose kind has `latency`, at speed `rate` relative to it.
    pub fn new(latency: &LatencyModel, rate: &SpeedRatio) -> Self {
        let factor = rate.factor();
        let base = time::seconds(latency.base() / factor / 1e3);
        Self { own: 0, others: 0, base, speed: latency.speed() * factor }
    }

    /// Tokens prefilled before the first token of a new request with `tokens` uncached tokens that
    /// runs beside `concurrent` others, its own tokens included.
    pub fn ahead(&self, tokens: u32, concurrent: u32) -> u64 {
        let queued = self.own + self.others + u64::from(tokens);
        queued.max(u64::from(tokens) * u64::from(concurrent + 1))
    }

    /// Expected time to that first token.
    pub fn first_token(&self, tokens: u32, concurrent: u32) -> Duration {
        self.base + self.time_for(self.ahead(tokens, concurrent))
    }

    /// Time to prefill all queued tokens.
    pub fn backlog(&self) -> Duration {
        self.time_for(self.own + self.others)
    }

    /// Fraction of `limit` that the backlog takes, at most 1.
    pub fn fullness(&self, limit: Duration) -> f64 {
        (self.backlog().as_secs_f64() / limit.as_secs_f64().max(1e-3)).min(1.0)
    }

    /// Time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        self.time_for(tokens.into())
    }

    fn time_for(&self, tokens: u64) -> Duration {
        time::seconds(tokens as f64 / self.speed / 1e3)
    }
}
