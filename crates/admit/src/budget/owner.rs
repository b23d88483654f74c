//! Owner of one organisation's budget: reserves slabs in the store and grants slices.

use {
    super::{Amount, LEAST, Period, SLAB_SHARE, SLICE_SHARE},
    indexmap::IndexMap,
};

/// What the owner is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<P> {
    /// A spender asks for at least `want`, and has been granted `granted` in this period as far as
    /// it knows.
    Ask {
        /// The spender.
        spender: P,
        /// Period that it spends in.
        period: Period,
        /// Total granted to it, as it knows.
        granted: Amount,
        /// Least amount that is of use.
        want: Amount,
    },
    /// The store accepted the reservation.
    Reserved {
        /// Period of the record.
        period: Period,
        /// Total reserved.
        total: Amount,
    },
    /// The store holds another total; nothing was reserved.
    Conflict {
        /// Period of the record.
        period: Period,
        /// Total reserved by anyone so far.
        total: Amount,
    },
    /// The store gave no answer; the reservation may have taken effect.
    Lost,
}

/// What the owner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<P> {
    /// Raise the reserved total in the store from `from` to `to` by compare-and-swap.
    Reserve {
        /// Period of the record.
        period: Period,
        /// Total that the record must hold.
        from: Amount,
        /// Total that it shall hold.
        to: Amount,
    },
    /// Tell a spender its total for the period. Totals only grow, so loss, duplication and
    /// reordering of this message do no harm.
    Grant {
        /// The spender.
        spender: P,
        /// Period of the grant.
        period: Period,
        /// Total granted to it in the period.
        total: Amount,
    },
    /// Nothing is left for the spender now.
    Deny {
        /// The spender.
        spender: P,
        /// Period that was asked for.
        period: Period,
    },
}

/// State of the owner of one organisation's budget.
#[derive(Clone, Debug)]
pub struct Owner<P> {
    cap: Amount,
    period: Period,
    // Total in the store, as last seen.
    reserved: Amount,
    // Part of it that this owner may still grant.
    free: Amount,
    // Total that a pending reservation asks for.
    pending: Option<Amount>,
    granted: IndexMap<P, Amount>,
}

impl<P: Clone + Eq + std::hash::Hash> Owner<P> {
    /// Starts with nothing reserved; the first conflict tells the store's total.
    pub fn new(cap: Amount, period: Period) -> Self {
        let granted = IndexMap::new();
        Self { cap, period, reserved: 0, free: 0, pending: None, granted }
    }

    /// Takes over a changed cap.
    pub fn set_cap(&mut self, cap: Amount) {
        self.cap = cap;
    }

    /// Advances the owner.
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
        let slice = (self.free / SLICE_SHARE).max(want).max(LEAST).min(self.free);
        let mut actions = Vec::new();
        if !resend && slice >= want && slice > 0 {
            // A spender may know of more than this owner: an earlier owner granted it.
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

    /// Asks for the next slab when less than half of one, or less than `want`, is left.
    fn reserve(&mut self, want: Amount) -> Option<Action<P>> {
        let left = self.cap.saturating_sub(self.reserved);
        let slab = (left / SLAB_SHARE).max(LEAST).max(want).min(left);
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

    /// Another owner reserved meanwhile, or an own reservation took effect unseen: what lies
    /// between is not this owner's to grant.
    fn conflict(&mut self, period: Period, total: Amount) -> Vec<Action<P>> {
        if period != self.period || self.pending.take().is_none() {
            return Vec::new();
        }
        self.reserved = total;
        self.reserve(0).into_iter().collect()
    }
}
