//! State of one waiting organisation in the fair queue, and the order of its requests.

use {
    super::{Cost, Ticket, Virtual},
    crate::rate::Rate,
    agate_core::Mono,
    std::{collections::BTreeMap, time::Duration},
};

/// Greatest class of an urgent request: less than four seconds from arrival to deadline.
const URGENT: u32 = 2;
/// Length of the samples of an organisation's rate of service.
const SAMPLE: Duration = Duration::from_secs(1);

/// Place of a request among those of its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    /// Power of two of the seconds from arrival to deadline.
    pub class: u32,
    pub deadline: Mono,
    pub ticket: Ticket,
}

impl Key {
    pub fn new(ticket: Ticket, deadline: Mono, now: Mono) -> Self {
        let seconds = deadline.saturating_sub(now).as_secs();
        Self { class: seconds.checked_ilog2().map_or(0, |log| log + 1), deadline, ticket }
    }

    /// Whether the request may borrow from its organisation's share.
    pub fn urgent(&self) -> bool {
        self.class <= URGENT
    }
}

/// One organisation.
#[derive(Debug)]
pub(super) struct Org {
    pub weight: u32,
    /// Virtual start of the organisation's next request.
    pub start: Virtual,
    /// Place in the order of organisations: `start`, less what an urgent request may borrow.
    pub tag: Virtual,
    /// Waiting requests in the order of their grants.
    pub waiting: BTreeMap<Key, Cost>,
    /// Total cost of `waiting`.
    pub cost: u64,
    /// Time of the last change.
    pub touched: Mono,
    /// Rate at which it is served while it waits.
    pub rate: Rate,
}

impl Org {
    /// Returns an organisation that does not wait yet.
    pub fn new(weight: u32, start: Virtual, touched: Mono) -> Self {
        Self {
            weight,
            start,
            tag: start,
            waiting: BTreeMap::new(),
            cost: 0,
            touched,
            rate: Rate::new(SAMPLE),
        }
    }

    /// Cost of the requests that would be granted before one of `key`.
    pub fn ahead(&self, key: Key) -> u64 {
        let later = self.waiting.range(key..);
        self.cost - later.map(|(_, cost)| u64::from(*cost)).sum::<u64>()
    }
}
