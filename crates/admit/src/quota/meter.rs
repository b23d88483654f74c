//! Counts weight in sliding windows.

use {
    super::{DIVISORS, Sums, WINDOWS},
    agate_core::Mono,
    std::{collections::VecDeque, time::Duration},
};

/// Slots that the longest window is divided into. A window counts its oldest slot in full, so it is up
/// to one slot too long.
const SLOTS: u32 = 64;

/// Number of a slot of time.
pub type Slot = u64;

/// Weight in the windows that end now. Only slots with weight take memory.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Length of a slot.
    length: Duration,
    /// Slots with weight, oldest first.
    slots: VecDeque<(Slot, f64)>,
}

impl Meter {
    /// Makes an empty meter; `window` is the longest window.
    pub fn new(window: Duration) -> Self {
        Self { length: (window / SLOTS).max(Duration::from_micros(1)), slots: VecDeque::new() }
    }

    /// Adds weight; returns the slot to take it back from.
    pub fn add(&mut self, weight: f64, now: Mono) -> Slot {
        let slot = self.slot(now);
        self.expire(slot);
        match self.slots.back_mut() {
            Some((last, sum)) if *last >= slot => *sum += weight,
            _ => self.slots.push_back((slot, weight)),
        }
        slot
    }

    /// Takes back weight that was added in `slot`. Weight that has left the windows has no effect.
    pub fn remove(&mut self, slot: Slot, weight: f64) {
        if let Some((_, sum)) = self.slots.iter_mut().find(|(known, _)| *known == slot) {
            *sum = (*sum - weight).max(0.0);
        }
    }

    /// Weight in each window.
    pub fn sums(&mut self, now: Mono) -> Sums {
        let slot = self.slot(now);
        self.expire(slot);
        let mut out = [0.0; WINDOWS];
        for (known, weight) in &self.slots {
            for (sum, divisor) in out.iter_mut().zip(DIVISORS) {
                if known + Slot::from(SLOTS / divisor) >= slot {
                    *sum += weight;
                }
            }
        }
        out
    }

    /// Whether nothing is counted.
    pub fn is_empty(&mut self, now: Mono) -> bool {
        self.expire(self.slot(now));
        self.slots.is_empty()
    }

    fn expire(&mut self, slot: Slot) {
        let old = |(known, _): &mut (Slot, f64)| *known + Slot::from(SLOTS) < slot;
        while self.slots.pop_front_if(old).is_some() {}
    }

    fn slot(&self, now: Mono) -> Slot {
        (now.as_nanos() / self.length.as_nanos()) as Slot
    }
}
