//! Counters of the client's calls by purpose and result.

use {
    crate::Purpose,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// How a call, or one attempt of it, went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The call was answered.
    Answered,
    /// The call joined another read of the same key that had not been sent yet.
    Coalesced,
    /// An attempt that had no effect was made again.
    Retried,
    /// The instance's own budget refused the call.
    OverBudget,
    /// The service refused the call for its rate.
    Limited,
    /// The circuit breaker refused the call.
    CircuitOpen,
    /// The outcome of a write is unknown.
    Ambiguous,
    /// The call failed without effect.
    Failed,
}

impl Event {
    /// Every event, in declaration order.
    pub const ALL: [Event; 8] = [
        Event::Answered,
        Event::Coalesced,
        Event::Retried,
        Event::OverBudget,
        Event::Limited,
        Event::CircuitOpen,
        Event::Ambiguous,
        Event::Failed,
    ];

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Event::Answered => "answered",
            Event::Coalesced => "coalesced",
            Event::Retried => "retried",
            Event::OverBudget => "over_budget",
            Event::Limited => "limited",
            Event::CircuitOpen => "circuit_open",
            Event::Ambiguous => "ambiguous",
            Event::Failed => "failed",
        }
    }
}

/// Counters by purpose and event.
#[derive(Debug, Default)]
pub struct Tally {
    table: [[AtomicU64; Event::ALL.len()]; Purpose::ALL.len()],
}

impl Tally {
    /// Counts one event.
    pub fn add(&self, purpose: Purpose, event: Event) {
        self.table[purpose as usize][event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Events of one kind for one purpose so far.
    pub fn get(&self, purpose: Purpose, event: Event) -> u64 {
        self.table[purpose as usize][event as usize].load(Ordering::Relaxed)
    }
}
