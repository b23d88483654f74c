//! Replay protection.
//!
//! For each sender, the table stores the highest incarnation, its highest sequence number, and a
//! bitmap of the numbers just below. The table has a maximum size; when it is full, the least
//! recently used sender is evicted. A replay from an evicted sender is then accepted, which is
//! harmless: states of members are ordered by incarnation, and acknowledgements are matched to
//! probes by number.

use {
    crate::{Name, Reject},
    indexmap::IndexMap,
};

/// Number of sequence numbers, counted down from the highest one, that are still accepted out of
/// order.
pub const REPLAY_WINDOW: u64 = 128;

#[derive(Clone, Copy, Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u128,
    last_used: u64,
}

/// Sequence numbers accepted from each sender.
#[derive(Clone, Debug)]
pub struct ReplayTable {
    windows: IndexMap<Name, Window>,
    capacity: usize,
    clock: u64,
}

impl ReplayTable {
    /// Returns an empty table for at most `capacity` senders.
    ///
    /// # Panics
    ///
    /// Panics if `capacity` is zero.
    pub fn new(capacity: usize) -> Self {
        assert!(capacity > 0, "a replay table holds at least one sender");
        Self { windows: IndexMap::new(), capacity, clock: 0 }
    }

    /// Number of senders in the table.
    pub fn len(&self) -> usize {
        self.windows.len()
    }

    /// Whether no sender is in the table.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    /// Accepts a message once. The message must have been authenticated before.
    ///
    /// Errors: [`Reject::Outdated`] if a higher incarnation of the sender was seen,
    /// [`Reject::Replayed`] if the number was accepted before or is too old.
    pub fn accept(&mut self, from: &Name, incarnation: u64, sequence: u64) -> Result<(), Reject> {
        self.clock += 1;
        let clock = self.clock;
        let Some(w) = self.windows.get_mut(from) else {
            self.evict_oldest();
            self.windows.insert(from.clone(), Window::new(incarnation, sequence, clock));
            return Ok(());
        };
        if incarnation < w.incarnation {
            return Err(Reject::Outdated { seen: w.incarnation });
        }
        if incarnation > w.incarnation {
            *w = Window::new(incarnation, sequence, clock);
            return Ok(());
        }
        w.advance(sequence)?;
        w.last_used = clock;
        Ok(())
    }

    fn evict_oldest(&mut self) {
        if self.windows.len() < self.capacity {
            return;
        }
        let oldest = self.windows.values().enumerate().min_by_key(|(_, w)| w.last_used);
        if let Some((i, _)) = oldest {
            self.windows.swap_remove_index(i);
        }
    }
}

impl Window {
    fn new(incarnation: u64, sequence: u64, last_used: u64) -> Self {
        Self { incarnation, highest: sequence, seen: 1, last_used }
    }

    fn advance(&mut self, sequence: u64) -> Result<(), Reject> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < REPLAY_WINDOW { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= REPLAY_WINDOW {
            return Err(Reject::Replayed);
        }
        let bit = 1u128 << behind;
        if self.seen & bit != 0 {
            return Err(Reject::Replayed);
        }
        self.seen |= bit;
        Ok(())
    }
}
