//! Circuit breaker: stops calling a service that fails, and probes it with single calls.
//!
//! Closed, it counts consecutive failures. At the limit it opens for a jittered, doubling time;
//! after that one call at a time is let through, whose success closes it.

use {agate_core::Mono, std::time::Duration};

/// Settings of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Time for which it opens first.
    pub base: Duration,
    /// Longest time for which it opens.
    pub max: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Closed { failures: u32 },
    Open { until: Mono, round: u32 },
    Probing { since: Mono, round: u32 },
}

/// State of the breaker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breaker {
    settings: Settings,
    phase: Phase,
}

impl Breaker {
    /// Returns a closed breaker.
    pub fn new(settings: Settings) -> Self {
        Self { settings, phase: Phase::Closed { failures: 0 } }
    }

    /// Whether calls pass freely.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed { .. })
    }

    /// Whether a call at `now` would be refused; unlike [`Breaker::allow`] it claims no probe.
    pub fn blocks(&self, now: Mono) -> bool {
        !self.clone().allow(now)
    }

    /// Whether a call may be sent at `now`; a call let through while not closed is the probe.
    ///
    /// A probe that never reports counts as lost after `max`, so an abandoned one cannot block.
    pub fn allow(&mut self, now: Mono) -> bool {
        let due = match self.phase {
            Phase::Closed { .. } => return true,
            Phase::Open { until, round } => (until, round),
            Phase::Probing { since, round } => (since + self.settings.max, round),
        };
        if now < due.0 {
            return false;
        }
        self.phase = Phase::Probing { since: now, round: due.1 };
        true
    }

    /// Records that a call was answered.
    pub fn succeed(&mut self) {
        self.phase = Phase::Closed { failures: 0 };
    }

    /// Records a failure at `now`; `draw` in 0..1 jitters the time for which the breaker opens.
    pub fn fail(&mut self, now: Mono, draw: f64) {
        self.phase = match self.phase {
            Phase::Closed { failures } if failures + 1 < self.settings.failures => {
                Phase::Closed { failures: failures + 1 }
            }
            Phase::Closed { .. } => self.open(now, 0, draw),
            Phase::Probing { round, .. } => self.open(now, round.saturating_add(1), draw),
            // A call sent before the breaker opened tells nothing new.
            open @ Phase::Open { .. } => open,
        };
    }

    fn open(&self, now: Mono, round: u32, draw: f64) -> Phase {
        let ceiling = crate::backoff::ceiling(round, self.settings.base, self.settings.max);
        // Half fixed, half jittered: never zero, never in step with other instances.
        let until = now + ceiling / 2 + (ceiling / 2).mul_f64(draw);
        Phase::Open { until, round }
    }
}
