//! Weighted fair queue of the requests that wait for one pool.
//!
//! Organisations share the pool by token cost, in proportion to their weights: start-time fair
//! queueing over the organisations, earliest deadline first inside each. The estimated cost is
//! corrected by [`Queue::settle`] once the actual one is known. What cannot be granted in time is
//! refused on arrival, by the measured rate of service.
//!
//! Invariants: an organisation has state only while it waits or while its virtual start lies ahead
//! of the queue's (it was served more than its share within [`MEMORY`]); every ticket ends exactly
//! once, as granted, expired or cancelled.

use {
    crate::rate::Rate,
    agate_core::{Mono, OrgId, Refusal},
    indexmap::IndexMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    thiserror::Error,
};

/// Requests that one organisation may have waiting.
pub const ORG_BOUND: usize = 512;
/// Time for which the service of an organisation that waits no more is remembered.
pub const MEMORY: Duration = Duration::from_secs(10);
/// Bounds of the delay that a refusal suggests.
pub const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));

/// Cost of a request in tokens: the prompt's estimate plus the expected output.
pub type Cost = u32;
/// Identifies one waiting request of one queue.
pub type Ticket = u64;

/// Refusal of a request on arrival; nothing of it ran.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("queueing a request: {}; retry after {after:?}", reason.code())]
pub struct Refused {
    /// [`Refusal::QueueFull`] or [`Refusal::DeadlineUnmet`].
    pub reason: Refusal,
    /// Time after which another try may succeed.
    pub after: Duration,
}

/// End of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It may be sent to an endpoint.
    Granted(Ticket),
    /// Its deadline passed while it waited.
    Expired(Ticket),
}

/// Virtual time: cost served per unit of weight, in units of 1/65,536.
type Virtual = u64;
const SCALE: u64 = 1 << 16;

#[derive(Debug)]
struct Org {
    weight: u32,
    // Virtual start of the organisation's next request.
    start: Virtual,
    // Waiting requests by deadline.
    waiting: BTreeMap<(Mono, Ticket), Cost>,
    // Total cost of `waiting`.
    cost: u64,
    // Time of the last change.
    touched: Mono,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    org: OrgId,
    deadline: Mono,
}

/// Fair queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    orgs: IndexMap<OrgId, Org>,
    items: IndexMap<Ticket, Item>,
    // Waiting organisations by virtual start.
    order: BTreeSet<(Virtual, OrgId)>,
    // Waiting requests by deadline.
    deadlines: BTreeSet<(Mono, Ticket)>,
    // Organisations that wait no more, by the time of the last change.
    idle: BTreeSet<(Mono, OrgId)>,
    clock: Virtual,
    next: Ticket,
    // Total cost and weight of what waits.
    cost: u64,
    weight: u64,
    rate: Rate,
}

impl Queue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of organisations that the queue holds state of.
    pub fn orgs(&self) -> usize {
        self.orgs.len()
    }

    /// Adds a request of `org`; `deadline` is the latest time at which a grant is of use.
    pub fn push(
        &mut self,
        org: OrgId,
        weight: u32,
        cost: Cost,
        deadline: Mono,
        now: Mono,
    ) -> Result<Ticket, Refused> {
        self.forget(now);
        let wait = self.wait(org, weight, deadline);
        let full = self.orgs.get(&org).is_some_and(|o| o.waiting.len() >= ORG_BOUND);
        if full {
            return Err(refused(Refusal::QueueFull, wait));
        }
        if now + wait > deadline {
            return Err(refused(Refusal::DeadlineUnmet, wait));
        }
        if self.is_empty() {
            self.rate.begin(now);
        }
        let ticket = self.next;
        self.next += 1;
        self.insert(org, weight.max(1), (deadline, ticket), cost, now);
        Ok(ticket)
    }

    /// Ends the requests whose deadline passed and grants up to `free` others.
    pub fn pop(&mut self, now: Mono, free: usize) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied()
            && deadline < now
        {
            self.remove(ticket, now);
            events.push(Event::Expired(ticket));
        }
        for _ in 0..free {
            let Some(ticket) = self.grant(now) else { break };
            events.push(Event::Granted(ticket));
        }
        self.rate.tick(now);
        self.forget(now);
        events
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket, now: Mono) -> bool {
        self.remove(ticket, now).is_some()
    }

    /// Corrects the service of `org` by the difference of a request's actual and estimated cost.
    pub fn settle(&mut self, org: OrgId, estimate: Cost, actual: Cost) {
        let Some(o) = self.orgs.get_mut(&org) else { return };
        let old = (o.start, org);
        let difference = i64::from(actual) - i64::from(estimate);
        let virtual_cost = difference * SCALE as i64 / i64::from(o.weight);
        o.start = o.start.saturating_add_signed(virtual_cost).max(self.clock);
        if self.order.remove(&old) {
            self.order.insert((o.start, org));
        }
    }

    /// Predicts how long a request of `org` with `deadline` would wait.
    fn wait(&self, org: OrgId, weight: u32, deadline: Mono) -> Duration {
        let Some(rate) = self.rate.get().filter(|_| !self.is_empty()) else {
            return Duration::ZERO;
        };
        let (own, waits) = match self.orgs.get(&org) {
            Some(o) => (o.ahead(deadline), !o.waiting.is_empty()),
            None => (0, false),
        };
        let total = self.weight + if waits { 0 } else { u64::from(weight.max(1)) };
        let share = rate * f64::from(weight.max(1)) / total as f64;
        let seconds = (own as f64 / share).min(self.cost as f64 / rate);
        Duration::from_secs_f64(seconds.min(3600.0))
    }

    fn insert(&mut self, id: OrgId, weight: u32, key: (Mono, Ticket), cost: Cost, now: Mono) {
        let clock = self.clock;
        let org = self.orgs.entry(id).or_insert_with(|| Org::new(weight, clock, now));
        if org.waiting.is_empty() {
            self.idle.remove(&(org.touched, id));
            org.weight = weight;
            org.start = org.start.max(clock);
            self.order.insert((org.start, id));
            self.weight += u64::from(weight);
        }
        org.waiting.insert(key, cost);
        org.cost += u64::from(cost);
        org.touched = now;
        self.cost += u64::from(cost);
        self.deadlines.insert(key);
        self.items.insert(key.1, Item { org: id, deadline: key.0 });
    }

    /// Grants the next request of the organisation with the least virtual start.
    fn grant(&mut self, now: Mono) -> Option<Ticket> {
        let (start, id) = *self.order.first()?;
        self.clock = self.clock.max(start);
        let org = &self.orgs[&id];
        let ((_, ticket), cost) = org.waiting.first_key_value().map(|(k, c)| (*k, *c))?;
        self.remove(ticket, now);
        let org = self.orgs.get_mut(&id).expect("the organisation has just waited");
        let old = (org.start, id);
        org.start += u64::from(cost) * SCALE / u64::from(org.weight);
        if self.order.remove(&old) {
            self.order.insert((org.start, id));
        }
        self.rate.serve(f64::from(cost));
        Some(ticket)
    }

    fn remove(&mut self, ticket: Ticket, now: Mono) -> Option<()> {
        let item = self.items.swap_remove(&ticket)?;
        let key = (item.deadline, ticket);
        self.deadlines.remove(&key);
        let org = self.orgs.get_mut(&item.org).expect("a waiting organisation has state");
        let cost = u64::from(org.waiting.remove(&key).expect("a ticket is in its organisation"));
        org.cost -= cost;
        org.touched = now;
        self.cost -= cost;
        if org.waiting.is_empty() {
            self.order.remove(&(org.start, item.org));
            self.weight -= u64::from(org.weight);
            self.idle.insert((now, item.org));
        }
        Some(())
    }

    /// Drops the state of organisations that have been idle for long enough.
    fn forget(&mut self, now: Mono) {
        while let Some((touched, id)) = self.idle.first().copied()
            && now.saturating_sub(touched) > MEMORY
        {
            self.idle.pop_first();
            self.orgs.swap_remove(&id);
        }
    }
}

impl Org {
    fn new(weight: u32, start: Virtual, touched: Mono) -> Self {
        Self { weight, start, waiting: BTreeMap::new(), cost: 0, touched }
    }

    /// Cost of the requests that would be granted before one with `deadline`.
    fn ahead(&self, deadline: Mono) -> u64 {
        let later = self.waiting.range((deadline, Ticket::MAX)..);
        self.cost - later.map(|(_, cost)| u64::from(*cost)).sum::<u64>()
    }
}

fn refused(reason: Refusal, wait: Duration) -> Refused {
    Refused { reason, after: wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1) }
}
