//! Spender of one organisation's budget: charges requests against the granted slices.

use super::{Amount, Period};

/// State of one instance's part of an organisation's budget.
#[derive(Clone, Debug, Default)]
pub struct Spender {
    period: Period,
    granted: Amount,
    // Charged and not refunded.
    spent: Amount,
    // Charge of the last request that found too little.
    missing: Amount,
}

/// A request for another slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Period that is spent in.
    pub period: Period,
    /// Total granted so far.
    pub granted: Amount,
    /// Least amount that is of use.
    pub want: Amount,
}

impl Spender {
    /// Starts a new period if `period` is later than the current one.
    pub fn advance(&mut self, period: Period) {
        if period > self.period {
            *self = Self { period, ..Self::default() };
        }
    }

    /// Charges the upper bound of a request's cost; returns whether it may run.
    pub fn charge(&mut self, amount: Amount) -> bool {
        if amount > self.left() {
            self.missing = amount;
            return false;
        }
        self.spent += amount;
        true
    }

    /// Charges on credit, while no owner can be asked: up to `limit` beyond what was granted in the
    /// period. What was charged so is asked for with the next slice.
    pub fn charge_on_credit(&mut self, amount: Amount, limit: Amount) -> bool {
        if self.spent.saturating_add(amount) > self.granted.saturating_add(limit) {
            return false;
        }
        self.spent += amount;
        true
    }

    /// Gives back what a request charged in `period` did not use.
    pub fn refund(&mut self, period: Period, amount: Amount) {
        if period == self.period {
            debug_assert!(amount <= self.spent, "more refunded than charged");
            self.spent = self.spent.saturating_sub(amount);
        }
    }

    /// Takes over a grant; totals only grow within a period.
    pub fn grant(&mut self, period: Period, total: Amount) {
        if period == self.period {
            self.granted = self.granted.max(total);
            if self.left() >= self.missing {
                self.missing = 0;
            }
        }
    }

    /// The request for a slice that should be sent now, if any: when less than `recent`, the usual
    /// use of an asking interval, is left, or a request found too little.
    pub fn ask(&self, recent: Amount) -> Option<Ask> {
        let want = self.missing.max(recent);
        let want = want.saturating_add(self.spent.saturating_sub(self.granted));
        (self.left() < want).then_some(Ask { period: self.period, granted: self.granted, want })
    }

    /// Period that is spent in.
    pub fn period(&self) -> Period {
        self.period
    }

    /// Amount that may still be charged.
    pub fn left(&self) -> Amount {
        self.granted.saturating_sub(self.spent)
    }

    /// Amount charged and not refunded in the current period.
    pub fn spent(&self) -> Amount {
        self.spent
    }
}
