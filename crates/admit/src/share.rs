//! An instance's part of the free slots that it shares with others.
//!
//! Instances learn of each other's requests with a lag, so all of them see a freed slot and each
//! may fill it. Here each takes its part of what was free at the last exchange of counts, and at
//! once what it freed itself. The part is divided by the exchanges that are under way too, since
//! their grants are not seen yet.

/// Part of the slots that must be free for an instance to fill any of them, as a divisor.
pub const PLENTY: u32 = 4;

/// What is known after counts were exchanged.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Free slots.
    pub free: u32,
    /// All slots.
    pub slots: u32,
    /// Instances that fill them.
    pub sharers: u32,
    /// Exchanges between a grant and its being seen by the others.
    pub pending: u32,
}

/// Allowance of one instance.
#[derive(Clone, Debug, Default)]
pub struct Share {
    allowance: f64,
}

impl Share {
    /// Renews the allowance after an exchange of counts. Where slots are plenty it is all of them.
    pub fn on_exchange(&mut self, seen: Exchange) {
        let free = f64::from(seen.free);
        if seen.free >= seen.slots / PLENTY {
            self.allowance = free;
            return;
        }
        let part = free / f64::from(seen.sharers.max(1) * seen.pending.max(1));
        // What is left of an allowance below one is kept, so that small parts add up.
        self.allowance = part + self.allowance.clamp(0.0, 1.0);
    }

    /// A request of this instance ended and freed its slot.
    pub fn on_finish(&mut self) {
        self.allowance += 1.0;
    }

    /// Slots that may be filled now.
    pub fn allowed(&self) -> u32 {
        self.allowance as u32
    }

    /// Counts filled slots.
    pub fn take(&mut self, count: u32) {
        self.allowance = (self.allowance - f64::from(count)).max(0.0);
    }
}
