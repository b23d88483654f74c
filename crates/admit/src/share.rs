//! An instance's share of free slots that several instances fill.
//!
//! Instances learn of each other's requests with a delay, so several may see the same free slot and
//! fill it. Therefore each instance fills only its share of the slots that were free at the last
//! exchange of counts, and immediately any slot that its own request freed. The share is also
//! divided by the number of pending exchanges, whose grants are not visible yet.

/// Fraction of the slots, as a divisor, that must be free for an instance to fill any of them.
pub const PLENTY_DIVISOR: u32 = 4;

/// State of the slots after an exchange of counts.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Number of free slots.
    pub free: u32,
    /// Number of all slots.
    pub slots: u32,
    /// Number of instances that fill them.
    pub sharers: u32,
    /// Number of exchanges until the others see a grant.
    pub pending: u32,
}

/// Number of slots that one instance may fill; the default is none.
#[derive(Clone, Debug, Default)]
pub struct Share {
    allowance: f64,
}

impl Share {
    /// Renews the allowance after an exchange of counts. If plenty of slots are free, it is all of
    /// them.
    pub fn on_exchange(&mut self, seen: Exchange) {
        let free = f64::from(seen.free);
        if seen.free >= seen.slots / PLENTY_DIVISOR {
            self.allowance = free;
            return;
        }
        let part = free / f64::from(seen.sharers.max(1) * seen.pending.max(1));
        // Up to one unused slot is carried over, so that fractional shares add up.
        self.allowance = part + self.allowance.clamp(0.0, 1.0);
    }

    /// Adds the slot that a request of this instance freed.
    pub fn on_finish(&mut self) {
        self.allowance += 1.0;
    }

    /// Number of slots that may be filled now.
    pub fn allowed(&self) -> u32 {
        self.allowance as u32
    }

    /// Subtracts filled slots.
    pub fn take(&mut self, count: u32) {
        self.allowance = (self.allowance - f64::from(count)).max(0.0);
    }
}
