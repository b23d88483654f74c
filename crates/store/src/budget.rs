//! Call budget of one instance: token buckets that keep a reserve for urgent purposes.
//!
//! Credit is stored as time: one call costs one `period`, and credit grows with time up to `burst`
//! periods. All purposes share one bucket, from which a purpose may spend only the credit above the
//! reserve for more urgent purposes, so a flood of reports cannot delay a lease renewal. Each
//! purpose also has its own bucket, sized for the fleet: work of a bounded number of instances gets
//! a share of the service's rate, and work that only lease holders do gets a fixed rate.

use {crate::Purpose, agate_core::Mono, std::time::Duration};

/// Rate of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Time in which the credit for one call grows.
    pub period: Duration,
    /// Maximum number of calls that can be made at once after a pause.
    pub burst: u32,
}

impl Rate {
    /// Share of one of `instances` in a service-wide rate of `total` calls per second.
    pub fn share(total: u32, instances: usize, burst: u32) -> Self {
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        Self { period: Duration::from_secs(1) * instances / total.max(1), burst }
    }
}

/// Reserve for purposes that are more urgent than this one, in fifths of the burst.
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
    updated_at: Mono,
}

impl Budget {
    /// Creates a full bucket at `now`. Panics if the burst is zero.
    pub fn open(rate: Rate, now: Mono) -> Self {
        assert!(rate.burst > 0, "the burst of a bucket must not be zero");
        Self { rate, credit: rate.period * rate.burst, updated_at: now }
    }

    /// Takes the credit for one call. Returns the time after which to retry if there is not enough.
    pub fn take(&mut self, purpose: Purpose, now: Mono) -> Result<(), Duration> {
        self.take_above(self.reserve(purpose), now)
    }

    /// Takes the credit for one call if `reserve` remains after it.
    fn take_above(&mut self, reserve: Duration, now: Mono) -> Result<(), Duration> {
        self.refill(now);
        let required = reserve + self.rate.period;
        if self.credit < required {
            return Err(required - self.credit);
        }
        self.credit -= self.rate.period;
        Ok(())
    }

    /// Charges `calls` that needed no permission, such as the seconds that a watch waited.
    pub fn charge(&mut self, calls: u32, now: Mono) {
        self.refill(now);
        self.credit = self.credit.saturating_sub(self.rate.period * calls);
    }

    /// Drops all credit, after the service refused a call because of its rate.
    pub fn drain(&mut self, now: Mono) {
        self.refill(now);
        self.credit = Duration::ZERO;
    }

    /// Changes the rate; keeps the credit up to the new burst.
    pub fn set_rate(&mut self, rate: Rate, now: Mono) {
        self.refill(now);
        self.rate = rate;
        self.credit = self.credit.min(rate.period * rate.burst);
    }

    /// Reserve for more urgent purposes. It always leaves room for one call, so that every purpose
    /// can save up for one.
    fn reserve(&self, purpose: Purpose) -> Duration {
        let full = self.rate.period * self.rate.burst;
        let max_reserve = full - self.rate.period;
        (full * reserved_fifths(purpose) / 5).min(max_reserve)
    }

    fn refill(&mut self, now: Mono) {
        let full = self.rate.period * self.rate.burst;
        self.credit = (self.credit + now.saturating_sub(self.updated_at)).min(full);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Rates of one instance: one shared by all purposes, and one for each purpose.
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
    /// Creates full buckets at `now`.
    pub fn open(rates: Rates, now: Mono) -> Self {
        Self {
            common: Budget::open(rates.common, now),
            own: rates.own.map(|r| Budget::open(r, now)),
        }
    }

    /// Takes the credit for one call from both buckets. If one has not enough, takes none and
    /// returns the time after which to retry.
    pub fn take(&mut self, purpose: Purpose, now: Mono) -> Result<(), Duration> {
        let own = &mut self.own[purpose as usize];
        let mut after = own.clone();
        after.take_above(Duration::ZERO, now)?;
        self.common.take(purpose, now)?;
        *own = after;
        Ok(())
    }

    /// Charges `calls` that needed no permission to the common bucket only: the number of waiting
    /// watches is limited elsewhere, and must not starve the reads that follow a change.
    pub fn charge(&mut self, calls: u32, now: Mono) {
        self.common.charge(calls, now);
    }

    /// Drops the credit of one purpose, after the service refused it a call because of its rate.
    pub fn drain(&mut self, purpose: Purpose, now: Mono) {
        self.own[purpose as usize].drain(now);
    }

    /// Changes the rates; keeps the credit up to the new bursts.
    pub fn set_rates(&mut self, rates: Rates, now: Mono) {
        self.common.set_rate(rates.common, now);
        for (budget, rate) in self.own.iter_mut().zip(rates.own) {
            budget.set_rate(rate, now);
        }
    }
}
