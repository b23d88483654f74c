//! Paces requests to an endpoint whose rate limit holds for all instances together.
//!
//! Each instance uses its own share of the limit, without a message before a request. Instances
//! report their demand to each other; reports are late and may be missing. The shares must add up to
//! at most the limit, whoever hears whom:
//!
//! - Instances that hear each other form a [`Group`]. A group of m among n instances divides m/n of
//!   the limit, most of it by demand.
//! - An instance that hears no other is a group of one.
//!
//! Within its share an instance takes tokens. They expire soon, so that instances that were idle
//! cannot all send what they have saved at the same moment, and the first one is available at a
//! random time, so that many instances with small shares take turns.

use {agate_core::Mono, std::time::Duration};

/// Time after which an unused token expires.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// Lowest rate that is used, in requests per second of all instances together. Only a response
/// tells that a limit was raised, so every endpoint gets a request now and then.
pub const MIN_RATE: f64 = 0.25;
/// Fraction of a group's part that is divided evenly, for callers that return after a pause.
const EVEN_FRACTION: f64 = 0.25;
/// Time constant of the average over requests.
pub const TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Longest wait that is stated.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The other instances that exchange reports with this one, and their demand for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Group {
    /// Requests per second that their callers make.
    pub requests: f64,
    /// Number of these instances.
    pub instances: usize,
}

/// Fraction of a rate limit that an instance may use, one of `instances` that may know the limit.
/// `own` is the requests per second that it last reported to the others: with figures of the same
/// age, the shares of a group add up.
pub fn share(own: f64, others: &Group, instances: usize) -> f64 {
    let members = others.instances + 1;
    let part = members as f64 / instances.max(members) as f64;
    let even = 1.0 / members as f64;
    let total = own + others.requests;
    let demand = if total > 0.0 { own / total } else { even };
    part * (EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * demand)
}

/// Tokens of one instance for one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    limit: f64,
    share: f64,
    tokens: f64,
    updated: Mono,
}

impl Pacer {
    /// Makes a pacer for `limit` requests per second of all instances together. `phase`, the
    /// fraction of the first token that is there already, should be random.
    pub fn new(limit: f64, phase: f64, now: Mono) -> Self {
        Self { limit, share: 0.0, tokens: phase.clamp(0.0, 1.0), updated: now }
    }

    /// Limit in requests per second of all instances together.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Replaces the limit and keeps the tokens.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Time until this instance, which has `share` of the limit, may send a request; zero if now.
    pub fn wait(&mut self, share: f64, now: Mono) -> Duration {
        self.advance(share, now);
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate()).unwrap_or(MAX_WAIT);
        wait.clamp(Duration::from_millis(1), MAX_WAIT)
    }

    /// Takes a token for a request; returns whether there was one.
    pub fn take(&mut self, share: f64, now: Mono) -> bool {
        let available = self.wait(share, now).is_zero();
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Adds the tokens since the last call, removes expired ones, and sets the share from now on.
    pub fn advance(&mut self, share: f64, now: Mono) {
        self.tokens += self.rate() * now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.share = share;
        let most = 1.0 + self.rate() * TOKEN_LIFETIME.as_secs_f64();
        if self.tokens > most {
            // Whole tokens expire, which keeps the phase.
            self.tokens -= (self.tokens - most).ceil();
        }
    }

    /// Requests per second that this instance may send.
    fn rate(&self) -> f64 {
        self.limit.max(MIN_RATE) * self.share
    }
}
