//! State of one organisation in the fair queue, and the order of its requests.

use {
    super::{Cost, Ticket, Virtual},
    crate::rate::Rate,
    agate_core::Mono,
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum class of an urgent request: less than four seconds from arrival to deadline.
const MAX_URGENT_CLASS: u32 = 2;
/// Minimum length of the samples of an organisation's service rate.
const MIN_SAMPLE: Duration = Duration::from_secs(1);

/// Sort key of a request within its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    /// Seconds from arrival to deadline on a logarithmic scale: 0 below one second, then one more
    /// for each doubling.
    pub class: u32,
    pub deadline: Mono,
    pub ticket: Ticket,
}

impl Key {
    pub fn new(ticket: Ticket, deadline: Mono, now: Mono) -> Self {
        let seconds = deadline.saturating_sub(now).as_secs();
        Self { class: seconds.checked_ilog2().map_or(0, |log| log + 1), deadline, ticket }
    }

    /// Whether the request may borrow from its organisation's future share.
    pub fn is_urgent(&self) -> bool {
        self.class <= MAX_URGENT_CLASS
    }
}

/// An organisation with waiting requests, or one whose service is still remembered.
#[derive(Debug)]
pub(super) struct Org {
    pub weight: u32,
    /// Virtual start time of the organisation's next request.
    pub start: Virtual,
    /// Sort key among the organisations: `start`, less what an urgent request borrows.
    pub tag: Virtual,
    /// Waiting requests in the order in which they are granted.
    pub waiting: BTreeMap<Key, Cost>,
    /// Total cost of `waiting`.
    pub cost: u64,
    /// Time of the last change.
    pub changed: Mono,
    /// Service rate while its requests wait.
    pub rate: Rate,
}

impl Org {
    /// Makes an organisation without waiting requests.
    pub fn new(weight: u32, start: Virtual, changed: Mono) -> Self {
        Self {
            weight,
            start,
            tag: start,
            waiting: BTreeMap::new(),
            cost: 0,
            changed,
            rate: Rate::new(MIN_SAMPLE),
        }
    }

    /// Total cost of the waiting requests that are granted before one with `key`.
    pub fn ahead(&self, key: Key) -> u64 {
        let later = self.waiting.range(key..);
        self.cost - later.map(|(_, cost)| u64::from(*cost)).sum::<u64>()
    }
}
