//! Protection against replayed messages.
//!
//! For each sender the table keeps the greatest incarnation, the greatest sequence number of it and
//! a bitmap of the numbers just below. The table is bounded: when it is full the sender that was
//! silent for longest is forgotten. A replay from a forgotten sender then passes, which is harmless
//! because statements about members are ordered by incarnation and acknowledgements by probe.

use {
    crate::{Name, Reject},
    indexmap::IndexMap,
};

/// Sequence numbers below the greatest one that may still arrive.
pub const REPLAY_WINDOW: u64 = 128;

#[derive(Clone, Copy, Debug)]
struct Window {
    incarnation: u64,
    greatest: u64,
    seen: u128,
    used: u64,
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

    /// Accepts a message once; the message must have been authenticated before.
    pub fn accept(&mut self, from: &Name, incarnation: u64, sequence: u64) -> Result<(), Reject> {
        self.clock += 1;
        let clock = self.clock;
        let Some(w) = self.windows.get_mut(from) else {
            self.make_room();
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
        w.used = clock;
        Ok(())
    }

    fn make_room(&mut self) {
        if self.windows.len() < self.capacity {
            return;
        }
        let oldest = self.windows.values().enumerate().min_by_key(|(_, w)| w.used);
        if let Some((i, _)) = oldest {
            self.windows.swap_remove_index(i);
        }
    }
}

impl Window {
    fn new(incarnation: u64, sequence: u64, used: u64) -> Self {
        Self { incarnation, greatest: sequence, seen: 1, used }
    }

    fn advance(&mut self, sequence: u64) -> Result<(), Reject> {
        if sequence > self.greatest {
            let shift = sequence - self.greatest;
            self.seen = if shift < REPLAY_WINDOW { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.greatest = sequence;
            return Ok(());
        }
        let behind = self.greatest - sequence;
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
