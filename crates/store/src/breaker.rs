//! Circuit breaker: stops calls to a service that fails, and probes it with single calls.
//!
//! When closed, it counts consecutive failures. At the limit it opens for a time that has jitter
//! and doubles with each failed probe. After that time it lets one call at a time through; a
//! success closes it.

use {agate_core::Mono, std::time::Duration};

/// Settings of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Duration of the first opening.
    pub base: Duration,
    /// Maximum duration of an opening.
    pub max: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Mono, round: u32 },
    Probing { since: Mono, round: u32 },
}

/// A circuit breaker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breaker {
    settings: Settings,
    state: State,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new(settings: Settings) -> Self {
        Self { settings, state: State::Closed { failures: 0 } }
    }

    /// Whether the breaker is closed and calls pass freely.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Whether a call at `now` would be refused. Unlike [`Breaker::allow`] it does not start a
    /// probe.
    pub fn would_refuse(&self, now: Mono) -> bool {
        !self.clone().allow(now)
    }

    /// Whether a call may be sent at `now`. A call that is let through while the breaker is not
    /// closed is the probe.
    ///
    /// A probe without a result counts as lost after `max`, so that an abandoned probe cannot block
    /// the breaker.
    pub fn allow(&mut self, now: Mono) -> bool {
        let retry = match self.state {
            State::Closed { .. } => return true,
            State::Open { until, round } => (until, round),
            State::Probing { since, round } => (since + self.settings.max, round),
        };
        if now < retry.0 {
            return false;
        }
        self.state = State::Probing { since: now, round: retry.1 };
        true
    }

    /// Records that a call was answered.
    pub fn on_success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records a failure at `now`; `draw` in 0..1 is the jitter of the opening.
    pub fn on_failure(&mut self, now: Mono, draw: f64) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failures => {
                State::Closed { failures: failures + 1 }
            }
            State::Closed { .. } => self.open(now, 0, draw),
            State::Probing { round, .. } => self.open(now, round.saturating_add(1), draw),
            // A call sent before the breaker opened gives no new information.
            open @ State::Open { .. } => open,
        };
    }

    fn open(&self, now: Mono, round: u32, draw: f64) -> State {
        let ceiling = crate::backoff::ceiling(round, self.settings.base, self.settings.max);
        // Half fixed, half jitter: never zero, and not synchronised with other instances.
        let until = now + ceiling / 2 + (ceiling / 2).mul_f64(draw);
        State::Open { until, round }
    }
}
