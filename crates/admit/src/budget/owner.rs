//! Owner of one organisation's budget: reserves slabs in the store and grants slices.

use {
    super::{Amount, MIN_SLICE, Period, SLAB_DIVISOR, SLICE_DIVISOR},
    indexmap::IndexMap,
};

/// Event for the owner, from a spender `P` or the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<P> {
    /// A spender requests a slice.
    Ask {
        /// Spender that requests it.
        spender: P,
        /// Period of the slice.
        period: Period,
        /// Total granted to the spender in this period, as far as it knows.
        granted: Amount,
        /// Minimum useful amount.
        want: Amount,
    },
    /// The store accepted the reservation.
    Reserved {
        /// Period of the record.
        period: Period,
        /// Total reserved now.
        total: Amount,
    },
    /// The store has another total, so nothing was reserved.
    Conflict {
        /// Period of the record.
        period: Period,
        /// Total reserved by all owners so far.
        total: Amount,
    },
    /// The store did not respond; the reservation may have taken effect.
    Lost,
}

/// Action that the caller performs for the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<P> {
    /// Raise the reserved total in the store from `from` to `to` by compare-and-swap.
    Reserve {
        /// Period of the record.
        period: Period,
        /// Expected total in the record.
        from: Amount,
        /// New total.
        to: Amount,
    },
    /// Send a spender its total for the period. Totals only grow, so loss, duplication and
    /// reordering of this message are harmless.
    Grant {
        /// Recipient.
        spender: P,
        /// Period of the grant.
        period: Period,
        /// Total granted to the spender in the period.
        total: Amount,
    },
    /// Tell a spender that it gets nothing now.
    Deny {
        /// Recipient.
        spender: P,
        /// Period of the slice request.
        period: Period,
    },
}

/// Owner of one organisation's budget, as a state machine; `P` identifies spenders.
#[derive(Clone, Debug)]
pub struct Owner<P> {
    cap: Amount,
    period: Period,
    // Total in the store, as last read.
    reserved: Amount,
    // Part of it that this owner can still grant.
    free: Amount,
    // New total of a pending reservation.
    pending: Option<Amount>,
    granted: IndexMap<P, Amount>,
}

impl<P: Clone + Eq + std::hash::Hash> Owner<P> {
    /// Makes an owner without reservations; the first conflict returns the store's total.
    pub fn new(cap: Amount, period: Period) -> Self {
        let granted = IndexMap::new();
        Self { cap, period, reserved: 0, free: 0, pending: None, granted }
    }

    /// Sets a changed cap, which applies to the next reservation.
    pub fn set_cap(&mut self, cap: Amount) {
        self.cap = cap;
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, input: Input<P>) -> Vec<Action<P>> {
        match input {
            Input::Ask { spender, period, granted, want } => {
                self.ask(spender, period, granted, want)
            }
            Input::Reserved { period, total } => self.reserved(period, total),
            Input::Conflict { period, total } => self.conflict(period, total),
            Input::Lost => {
                self.pending = None;
                Vec::new()
            }
        }
    }

    fn ask(&mut self, spender: P, period: Period, known: Amount, want: Amount) -> Vec<Action<P>> {
        if period > self.period {
            *self = Self::new(self.cap, period);
        }
        if period < self.period {
            return vec![Action::Deny { spender, period }];
        }
        let total = self.granted.entry(spender.clone()).or_insert(known);
        let resend = *total > known && *total - known >= want;
        let slice = (self.free / SLICE_DIVISOR).max(want).max(MIN_SLICE).min(self.free);
        let mut actions = Vec::new();
        if !resend && slice >= want && slice > 0 {
            // The spender may know a higher total, granted by an earlier owner.
            *total = (*total).max(known) + slice;
            self.free -= slice;
        }
        let total = *total;
        if total > known {
            actions.push(Action::Grant { spender, period, total });
        } else {
            actions.push(Action::Deny { spender, period });
        }
        actions.extend(self.reserve(want));
        actions
    }

    /// Reserves the next slab when less than half of one, or less than `want`, is left.
    fn reserve(&mut self, want: Amount) -> Option<Action<P>> {
        let left = self.cap.saturating_sub(self.reserved);
        let slab = (left / SLAB_DIVISOR).max(MIN_SLICE).max(want).min(left);
        if self.pending.is_some() || slab == 0 || self.free >= (slab / 2).max(want) {
            return None;
        }
        let to = self.reserved + slab;
        self.pending = Some(to);
        Some(Action::Reserve { period: self.period, from: self.reserved, to })
    }

    fn reserved(&mut self, period: Period, total: Amount) -> Vec<Action<P>> {
        if period == self.period && self.pending.take() == Some(total) {
            self.free += total - self.reserved;
            self.reserved = total;
        }
        Vec::new()
    }

    /// Another owner reserved a slab, or a reservation of this owner took effect without a
    /// response. In both cases this owner does not grant the difference.
    fn conflict(&mut self, period: Period, total: Amount) -> Vec<Action<P>> {
        if period != self.period || self.pending.take().is_none() {
            return Vec::new();
        }
        self.reserved = total;
        self.reserve(0).into_iter().collect()
    }
}
