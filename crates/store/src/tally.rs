//! Counters of the client's calls by purpose and event.

use {
    crate::Purpose,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Event in the processing of a call or of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The call was answered.
    Responded,
    /// The call joined a waiting read of the same key.
    Coalesced,
    /// A failed attempt without effect was retried.
    Retried,
    /// The instance's own budget refused the call.
    OverBudget,
    /// The service refused the call because of its rate.
    Limited,
    /// The circuit breaker refused the call.
    CircuitOpen,
    /// The outcome of a write is unknown.
    Ambiguous,
    /// The call failed without effect or its response was malformed.
    Failed,
}

impl Event {
    /// Every event, in declaration order.
    pub const ALL: [Event; 8] = [
        Event::Responded,
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
            Event::Responded => "answered",
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

    /// Number of events of one kind for one purpose.
    pub fn get(&self, purpose: Purpose, event: Event) -> u64 {
        self.table[purpose as usize][event as usize].load(Ordering::Relaxed)
    }
}
