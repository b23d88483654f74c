//! Call budget of one instance: token buckets in which urgent purposes keep a reserve.
//!
//! Credit is held as time: one call costs one `period`, and credit grows as time passes up to
//! `burst` periods. In the bucket that all purposes share, a purpose may spend only the credit above
//! the reserve that is kept for more urgent ones, so a flood of reports cannot delay a lease
//! renewal. Each purpose also has a bucket of its own, sized for the fleet: what a bounded
//! number of instances does gets a share of the service's rate, what only lease holders do gets a
//! fixed rate.

use {crate::Purpose, agate_core::Mono, std::time::Duration};

/// Rate of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Time in which credit for one call grows.
    pub period: Duration,
    /// Most calls that can be made at once after a pause.
    pub burst: u32,
}

impl Rate {
    /// Share of one instance in a service-wide rate of `total` calls a second.
    pub fn share(total: u32, instances: usize, burst: u32) -> Self {
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        Self { period: Duration::from_secs(1) * instances / total.max(1), burst }
    }
}

/// Parts of the burst, in fifths, that are kept for purposes more urgent than this one.
fn reserved_fifths(purpose: Purpose) -> u32 {
    match purpose {
        Purpose::Lease => 0,
        Purpose::Config | Purpose::Roster => 1,
        Purpose::Claim => 2,
        Purpose::Record => 3,
        Purpose::Report => 4,
    }
}

/// Token bucket of one kind of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    rate: Rate,
    credit: Duration,
    at: Mono,
}

impl Budget {
    /// Opens a full bucket at `now`.
    pub fn open(rate: Rate, now: Mono) -> Self {
        assert!(rate.burst > 0, "a bucket without burst admits nothing");
        Self { rate, credit: rate.period * rate.burst, at: now }
    }

    /// Takes one call's credit, or returns the time after which to ask again.
    pub fn take(&mut self, purpose: Purpose, now: Mono) -> Result<(), Duration> {
        self.take_above(self.reserve(purpose), now)
    }

    /// Takes one call's credit if `reserve` is left after it.
    fn take_above(&mut self, reserve: Duration, now: Mono) -> Result<(), Duration> {
        self.grow(now);
        let need = reserve + self.rate.period;
        if self.credit < need {
            return Err(need - self.credit);
        }
        self.credit -= self.rate.period;
        Ok(())
    }

    /// Charges `calls` that were made without asking, such as the seconds that a watch waited.
    pub fn charge(&mut self, calls: u32, now: Mono) {
        self.grow(now);
        self.credit = self.credit.saturating_sub(self.rate.period * calls);
    }

    /// Gives up all credit, after the service itself refused a call for its rate.
    pub fn drain(&mut self, now: Mono) {
        self.grow(now);
        self.credit = Duration::ZERO;
    }

    /// Changes the rate, keeping what credit the new burst allows.
    pub fn set_rate(&mut self, rate: Rate, now: Mono) {
        self.grow(now);
        self.rate = rate;
        self.credit = self.credit.min(rate.period * rate.burst);
    }

    /// Reserve for more urgent purposes; at least one call can always be saved up for.
    fn reserve(&self, purpose: Purpose) -> Duration {
        let full = self.rate.period * self.rate.burst;
        let most = full - self.rate.period;
        (full * reserved_fifths(purpose) / 5).min(most)
    }

    fn grow(&mut self, now: Mono) {
        let full = self.rate.period * self.rate.burst;
        self.credit = (self.credit + now.saturating_sub(self.at)).min(full);
        self.at = self.at.max(now);
    }
}

/// Rates of one instance: one shared by all purposes, and one of each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Rate of all purposes together.
    pub common: Rate,
    /// Rate of each purpose, by its index in [`Purpose::ALL`].
    pub own: [Rate; Purpose::ALL.len()],
}

/// Buckets of one instance for one kind of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budgets {
    common: Budget,
    own: [Budget; Purpose::ALL.len()],
}

impl Budgets {
    /// Opens full buckets at `now`.
    pub fn open(rates: Rates, now: Mono) -> Self {
        Self {
            common: Budget::open(rates.common, now),
            own: rates.own.map(|r| Budget::open(r, now)),
        }
    }

    /// Takes one call's credit from both buckets, or from none with the time to ask again.
    pub fn take(&mut self, purpose: Purpose, now: Mono) -> Result<(), Duration> {
        let own = &mut self.own[purpose as usize];
        let mut after = own.clone();
        after.take_above(Duration::ZERO, now)?;
        self.common.take(purpose, now)?;
        *own = after;
        Ok(())
    }

    /// Charges `calls` that were made without asking, to the common bucket only: the number of
    /// waiting watches is bounded elsewhere, and must not starve the reads that follow news.
    pub fn charge(&mut self, calls: u32, now: Mono) {
        self.common.charge(calls, now);
    }

    /// Gives up the credit of one purpose, after the service refused it a call for its rate.
    pub fn drain(&mut self, purpose: Purpose, now: Mono) {
        self.own[purpose as usize].drain(now);
    }

    /// Changes the rates.
    pub fn set_rates(&mut self, rates: Rates, now: Mono) {
        self.common.set_rate(rates.common, now);
        for (budget, rate) in self.own.iter_mut().zip(rates.own) {
            budget.set_rate(rate, now);
        }
    }
}
