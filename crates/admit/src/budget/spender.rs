//! Spender of one organisation's budget: charges requests to the granted slices.

use super::{Amount, Period};

/// One instance's part of an organisation's budget.
#[derive(Clone, Debug, Default)]
pub struct Spender {
    period: Period,
    granted: Amount,
    // Amount charged and not refunded.
    spent: Amount,
    // Amount of the last request that could not be charged; zero once a grant covers it.
    shortfall: Amount,
}

/// A request for another slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceRequest {
    /// Period of the slice.
    pub period: Period,
    /// Total granted to the spender in this period so far.
    pub granted: Amount,
    /// Minimum useful amount.
    pub want: Amount,
}

impl Spender {
    /// Starts a new period if `period` is later than the current one.
    pub fn advance(&mut self, period: Period) {
        if period > self.period {
            *self = Self { period, ..Self::default() };
        }
    }

    /// Charges the maximum cost of a request; returns whether the request may run.
    pub fn charge(&mut self, amount: Amount) -> bool {
        if amount > self.left() {
            self.shortfall = amount;
            return false;
        }
        self.spent += amount;
        true
    }

    /// Charges on credit while the owner is unavailable; returns whether the request may run. The
    /// spend may exceed the grants of the period by `limit`. The next slice request covers it.
    pub fn charge_on_credit(&mut self, amount: Amount, limit: Amount) -> bool {
        if self.spent.saturating_add(amount) > self.granted.saturating_add(limit) {
            return false;
        }
        self.spent += amount;
        true
    }

    /// Refunds the unused part of a charge made in `period`; without effect for other periods.
    pub fn refund(&mut self, period: Period, amount: Amount) {
        if period == self.period {
            debug_assert!(amount <= self.spent, "more refunded than charged");
            self.spent = self.spent.saturating_sub(amount);
        }
    }

    /// Applies the total granted in `period`. Totals only grow within a period, so late and
    /// repeated grants have no effect.
    pub fn grant(&mut self, period: Period, total: Amount) {
        if period == self.period {
            self.granted = self.granted.max(total);
            if self.left() >= self.shortfall {
                self.shortfall = 0;
            }
        }
    }

    /// Returns the slice request to send now, if any: when a request could not be charged, or when
    /// less than `recent`, the typical spend between two slice requests, is left.
    pub fn ask(&self, recent: Amount) -> Option<SliceRequest> {
        let want = self.shortfall.max(recent);
        let want = want.saturating_add(self.spent.saturating_sub(self.granted));
        (self.left() < want).then_some(SliceRequest {
            period: self.period,
            granted: self.granted,
            want,
        })
    }

    /// Current period.
    pub fn period(&self) -> Period {
        self.period
    }

    /// Amount that can still be charged without credit.
    pub fn left(&self) -> Amount {
        self.granted.saturating_sub(self.spent)
    }

    /// Amount charged and not refunded in the current period.
    pub fn spent(&self) -> Amount {
        self.spent
    }
}
