//! What an endpoint states about itself in its responses, and when it may therefore get requests.

use {crate::pace::Pacer, agate_core::Mono, std::time::Duration};

/// Stated wait of an instance that does not know its share of a rate limit yet.
const UNKNOWN_SHARE_WAIT: Duration = Duration::from_secs(1);

/// Time since the latest statement of a limit within which a response without one changes nothing:
/// it may be older than the statement.
const LIMIT_GRACE: Duration = Duration::from_secs(1);

/// Longest rest that is observed.
pub const MAX_REST: Duration = Duration::from_secs(24 * 60 * 60);

/// Rate limit that a response states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateSignal {
    /// The response states none, so the endpoint has no limit any more.
    #[default]
    Absent,
    /// Requests per second that the endpoint accepts from all instances together.
    Limit(f64),
    /// The value cannot be used; an earlier statement stays valid.
    Malformed,
}

/// Rest that a rejection states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestSignal {
    /// The response states none.
    #[default]
    Absent,
    /// Time for which the endpoint wants no requests from this instance.
    For(Duration),
    /// The value cannot be used.
    Malformed,
}

/// Statements in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Rate limit of the endpoint.
    pub rate: RateSignal,
    /// Rest of the endpoint.
    pub rest: RestSignal,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
}

/// Change of what is known of an endpoint, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It states another rate limit, in requests per second; `None` if it has none any more.
    RateLimit(Option<f64>),
    /// Its statement of a rate limit cannot be used any more.
    RateMalformed,
    /// It wants no requests from this instance for this time.
    Rest(Duration),
    /// Its statement of a rest cannot be used.
    RestMalformed,
    /// It is leaving and takes no new work.
    Leaving,
}

/// Why and for how long an endpoint may get no request from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The share of its rate limit is used up.
    RateLimit(Duration),
    /// It asked for rest.
    Rest(Duration),
}

impl Withheld {
    /// Time until the endpoint may get a request.
    pub fn left(self) -> Duration {
        match self {
            Self::RateLimit(left) | Self::Rest(left) => left,
        }
    }
}

/// What is known of one endpoint from its responses.
#[derive(Clone, Debug, Default)]
pub struct SignalState {
    pacer: Option<Pacer>,
    limit_stated: Mono,
    malformed: bool,
    rest_until: Mono,
    rest_malformed: bool,
    leaving: bool,
}

impl SignalState {
    /// Applies the statements of a response and returns what they change. `phase` is a random number
    /// between 0 and 1.
    pub fn step(&mut self, signals: &Signals, phase: f64, now: Mono) -> Vec<Change> {
        let mut changes = Vec::new();
        let malformed = signals.rate == RateSignal::Malformed;
        if malformed && !self.malformed {
            changes.push(Change::RateMalformed);
        }
        self.malformed = malformed;
        let before = self.rate_limit();
        match signals.rate {
            RateSignal::Absent if now.saturating_sub(self.limit_stated) < LIMIT_GRACE => {}
            RateSignal::Absent => self.pacer = None,
            RateSignal::Limit(limit) => {
                self.limit_stated = now;
                let pacer = self.pacer.get_or_insert_with(|| Pacer::new(limit, phase, now));
                pacer.set_limit(limit);
            }
            RateSignal::Malformed => {}
        }
        if self.rate_limit() != before {
            changes.push(Change::RateLimit(self.rate_limit()));
        }
        self.on_rest(signals.rest, now, &mut changes);
        // An incarnation that leaves does not come back, so a response without the statement, which
        // may have been under way before, changes nothing.
        if signals.leaving && !self.leaving {
            self.leaving = true;
            changes.push(Change::Leaving);
        }
        changes
    }

    /// Applies a stated rest. A later end replaces an earlier one, and not the other way round.
    fn on_rest(&mut self, rest: RestSignal, now: Mono, changes: &mut Vec<Change>) {
        let malformed = rest == RestSignal::Malformed;
        if malformed && !self.rest_malformed {
            changes.push(Change::RestMalformed);
        }
        self.rest_malformed = malformed;
        if let RestSignal::For(rest) = rest {
            let rest = rest.min(MAX_REST);
            if !self.resting(now) && !rest.is_zero() {
                changes.push(Change::Rest(rest));
            }
            self.rest_until = self.rest_until.max(now + rest);
        }
    }

    /// Whether the endpoint wants no requests from this instance now.
    pub fn resting(&self, now: Mono) -> bool {
        now < self.rest_until
    }

    /// Rate limit in requests per second for all instances together.
    pub fn rate_limit(&self) -> Option<f64> {
        self.pacer.map(|p| p.limit())
    }

    /// Adds the tokens of the rate limit since the last call, for the `share` so far.
    pub fn advance(&mut self, share: f64, now: Mono) {
        if let Some(pacer) = &mut self.pacer {
            pacer.advance(share, now);
        }
    }

    /// Why the endpoint may get no request from this instance now; `None` if it may. `share` is the
    /// instance's share of the rate limit, if known.
    pub fn withheld(&mut self, share: Option<f64>, now: Mono) -> Option<Withheld> {
        let rest = self.rest_until.saturating_sub(now);
        let wait = self.pacer.as_mut().map_or(Duration::ZERO, |pacer| {
            share.map_or(UNKNOWN_SHARE_WAIT, |share| pacer.wait(share, now))
        });
        match (rest, wait) {
            (Duration::ZERO, Duration::ZERO) => None,
            (rest, wait) if rest >= wait => Some(Withheld::Rest(rest)),
            (_, wait) => Some(Withheld::RateLimit(wait)),
        }
    }

    /// Records a request that is about to be sent to the endpoint.
    pub fn on_request(&mut self, share: Option<f64>, now: Mono) {
        if let (Some(pacer), Some(share)) = (&mut self.pacer, share) {
            pacer.take(share, now);
        }
    }
}
