//! Weighted fair queue of the requests that wait for one pool.
//!
//! Organisations share the pool by token cost, in proportion to their weights, by start-time fair
//! queueing. Within an organisation, requests with less time from arrival to deadline go first, so
//! that overload delays long requests instead of short ones; requests of the same class go in the
//! order of their deadlines. [`Queue::settle`] corrects the estimated cost once the actual one is
//! known. An organisation that recently used less than its share starts behind the virtual clock,
//! by at most the clock's advance over [`CREDIT`]. Requests that cannot be granted in time, by the
//! measured service rate, are refused on arrival.
//!
//! Invariants: an organisation has state only while it waits and for [`IDLE_RETENTION`] after that.
//! Every ticket ends exactly once: granted, expired or cancelled.

mod org;

use {
    self::org::{Key, Org},
    crate::rate::Rate,
    agate_core::{Mono, OrgId, Refusal, time},
    indexmap::IndexMap,
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
    thiserror::Error,
};

/// Maximum number of waiting requests per organisation.
pub const MAX_ORG_WAITING: usize = 512;
/// Time for which the state of an organisation is kept after its last request stops waiting.
pub const IDLE_RETENTION: Duration = Duration::from_secs(10);
/// Time over which shares are balanced: an organisation that used less than its share within this
/// time may catch up, so a burst after a mostly idle time is granted quickly.
pub const CREDIT: Duration = Duration::from_secs(5);
/// Maximum predicted wait of a request, in percent of the time to its deadline.
pub const WAIT_PERCENT: u32 = 75;
/// Maximum predicted wait.
const MAX_WAIT: Duration = Duration::from_secs(3600);
/// Interval between two recorded values of the virtual clock.
const MARK_INTERVAL: Duration = Duration::from_millis(500);
/// Bounds of the retry-after time of a refusal.
pub const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));

/// Cost of a request in equivalent prompt tokens; see [`cost`].
pub type Cost = u32;
/// Identifier of a waiting request, unique in its queue.
pub type Ticket = u64;

/// Cost of one output token in prompt tokens.
pub const OUTPUT_COST: Cost = 8;

/// Cost of a request with `prompt` and `output` tokens, saturating.
pub fn cost(prompt: u32, output: u32) -> Cost {
    prompt.saturating_add(output.saturating_mul(OUTPUT_COST))
}

/// Refusal of a request on arrival; the request did not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("queueing a request: {}; retry after {after:?}", reason.code())]
pub struct Refused {
    /// [`Refusal::QueueFull`] or [`Refusal::DeadlineUnmet`].
    pub reason: Refusal,
    /// Retry-after time, within [`RETRY_AFTER`].
    pub after: Duration,
}

/// How a waiting request ended.
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

/// Minimum length of the samples of the queue's service rate.
const MIN_QUEUE_SAMPLE: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct Item {
    org: OrgId,
    key: Key,
}

/// Fair queue of one pool.
#[derive(Debug)]
pub struct Queue {
    orgs: IndexMap<OrgId, Org>,
    items: IndexMap<Ticket, Item>,
    // Waiting organisations by tag.
    order: BTreeSet<(Virtual, OrgId)>,
    // Waiting organisations whose next request is urgent, by tag.
    urgent: BTreeSet<(Virtual, OrgId)>,
    // Waiting requests by deadline.
    deadlines: BTreeSet<(Mono, Ticket)>,
    // Organisations without waiting requests, by the time of their last change.
    idle: BTreeSet<(Mono, OrgId)>,
    clock: Virtual,
    // Values of the virtual clock over the last `CREDIT`, oldest first.
    marks: VecDeque<(Mono, Virtual)>,
    next: Ticket,
    // Total cost of the waiting requests and total weight of the waiting organisations.
    cost: u64,
    weight: u64,
    rate: Rate,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            orgs: IndexMap::new(),
            items: IndexMap::new(),
            order: BTreeSet::new(),
            urgent: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            idle: BTreeSet::new(),
            clock: 0,
            marks: VecDeque::new(),
            next: 0,
            cost: 0,
            weight: 0,
            rate: Rate::new(MIN_QUEUE_SAMPLE),
        }
    }
}

impl Queue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of organisations that have state in the queue.
    pub fn orgs(&self) -> usize {
        self.orgs.len()
    }

    /// Adds a request of `org`; `deadline` is the latest time at which a grant is useful.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] if too many requests of the organisation wait, or if the predicted wait
    /// is too long for the deadline.
    pub fn push(
        &mut self,
        org: OrgId,
        weight: u32,
        cost: Cost,
        deadline: Mono,
        now: Mono,
    ) -> Result<Ticket, Refused> {
        self.drop_idle(now);
        let wait = self.predicted_wait(org, weight, deadline, now);
        let full = self.orgs.get(&org).is_some_and(|o| o.waiting.len() >= MAX_ORG_WAITING);
        if full {
            return Err(refused(Refusal::QueueFull, wait));
        }
        if wait > deadline.saturating_sub(now) * WAIT_PERCENT / 100 {
            return Err(refused(Refusal::DeadlineUnmet, wait));
        }
        if self.is_empty() {
            self.rate.begin_sample(now);
        }
        let ticket = self.next;
        self.next += 1;
        self.insert(org, weight.max(1), Key::new(ticket, deadline, now), cost, now);
        Ok(ticket)
    }

    /// Expires requests whose deadline passed and grants up to `free` others.
    pub fn pop(&mut self, now: Mono, free: usize) -> Vec<Event> {
        self.pop_reserving(now, free, 0)
    }

    /// Expires requests whose deadline passed, grants up to `free` others, and up to `reserved`
    /// urgent ones in addition.
    pub fn pop_reserving(&mut self, now: Mono, free: usize, reserved: usize) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied()
            && deadline < now
        {
            self.remove(ticket, now);
            events.push(Event::Expired(ticket));
        }
        for i in 0..free.saturating_add(reserved) {
            let first = if i < free { self.order.first() } else { self.urgent.first() };
            let Some((tag, id)) = first.copied() else { break };
            events.push(Event::Granted(self.grant(tag, id, now)));
        }
        self.rate.close_sample(now);
        self.mark_clock(now);
        self.drop_idle(now);
        events
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket, now: Mono) -> bool {
        self.remove(ticket, now).is_some()
    }

    /// Corrects the virtual start of `org` by the difference between a request's actual and
    /// estimated cost.
    pub fn settle(&mut self, org: OrgId, estimate: Cost, actual: Cost) {
        let min_start = self.min_start();
        let Some(o) = self.orgs.get_mut(&org) else { return };
        let difference = i64::from(actual) - i64::from(estimate);
        let virtual_cost = difference * SCALE as i64 / i64::from(o.weight);
        o.start = o.start.saturating_add_signed(virtual_cost).max(min_start);
        self.reorder(org);
    }

    /// Predicts how long a request of `org` with `deadline` would wait: the cost of the
    /// organisation's requests that go before it, divided by the organisation's service rate, or by
    /// its share of the queue's rate if that is unknown.
    fn predicted_wait(&mut self, org: OrgId, weight: u32, deadline: Mono, now: Mono) -> Duration {
        let Some(rate) = self.rate.per_second(now).filter(|_| !self.is_empty()) else {
            return Duration::ZERO;
        };
        let Some(o) = self.orgs.get_mut(&org).filter(|o| !o.waiting.is_empty()) else {
            return Duration::ZERO;
        };
        o.rate.close_sample(now);
        let share = f64::from(weight.max(1)) / self.weight as f64;
        let own = o.rate.per_second(now).unwrap_or(rate * share);
        time::seconds(
            (o.ahead(Key::new(Ticket::MAX, deadline, now)) as f64 / own)
                .min(MAX_WAIT.as_secs_f64()),
        )
    }

    fn insert(&mut self, id: OrgId, weight: u32, key: Key, cost: Cost, now: Mono) {
        let min_start = self.min_start();
        let org = self.orgs.entry(id).or_insert_with(|| Org::new(weight, min_start, now));
        if org.waiting.is_empty() {
            self.idle.remove(&(org.changed, id));
            org.weight = weight;
            org.rate.begin_sample(now);
            org.start = org.start.max(min_start);
            self.weight += u64::from(weight);
        }
        org.waiting.insert(key, cost);
        org.cost += u64::from(cost);
        org.changed = now;
        self.cost += u64::from(cost);
        self.reorder(id);
        self.deadlines.insert((key.deadline, key.ticket));
        self.items.insert(key.ticket, Item { org: id, key });
    }

    /// Updates an organisation's position in the order.
    ///
    /// While its next request is urgent, it may borrow the clock's advance over [`CREDIT`] from its
    /// future share. So a short request does not wait until the organisation has made up for an
    /// expensive one before it.
    fn reorder(&mut self, id: OrgId) {
        let credit = self.clock - self.min_start();
        let org = self.orgs.get_mut(&id).expect("a placed organisation has state");
        self.order.remove(&(org.tag, id));
        self.urgent.remove(&(org.tag, id));
        if let Some((key, _)) = org.waiting.first_key_value() {
            let borrowed = if key.is_urgent() { credit } else { 0 };
            org.tag = org.start.saturating_sub(borrowed);
            self.order.insert((org.tag, id));
            if key.is_urgent() {
                self.urgent.insert((org.tag, id));
            }
        }
    }

    /// Grants the next request of a waiting organisation.
    fn grant(&mut self, tag: Virtual, id: OrgId, now: Mono) -> Ticket {
        self.clock = self.clock.max(tag);
        let org = self.orgs.get_mut(&id).expect("a waiting organisation has state");
        let (key, cost) = org.waiting.first_key_value().expect("an ordered organisation waits");
        let (ticket, cost) = (key.ticket, *cost);
        org.start += u64::from(cost) * SCALE / u64::from(org.weight);
        org.rate.add(f64::from(cost));
        org.rate.close_sample(now);
        self.rate.add(f64::from(cost));
        self.remove(ticket, now);
        ticket
    }

    fn remove(&mut self, ticket: Ticket, now: Mono) -> Option<()> {
        let item = self.items.swap_remove(&ticket)?;
        self.deadlines.remove(&(item.key.deadline, ticket));
        let org = self.orgs.get_mut(&item.org).expect("a waiting organisation has state");
        let cost =
            u64::from(org.waiting.remove(&item.key).expect("a ticket is in its organisation"));
        org.cost -= cost;
        org.changed = now;
        self.cost -= cost;
        if org.waiting.is_empty() {
            self.weight -= u64::from(org.weight);
            self.idle.insert((now, item.org));
        }
        self.reorder(item.org);
        Some(())
    }

    /// Minimum virtual start of an organisation that begins to wait.
    fn min_start(&self) -> Virtual {
        self.marks.front().map_or(0, |(_, clock)| *clock)
    }

    /// Records the virtual clock and drops values older than [`CREDIT`], except the latest of
    /// these.
    fn mark_clock(&mut self, now: Mono) {
        if self.marks.back().is_none_or(|(at, _)| now.saturating_sub(*at) >= MARK_INTERVAL) {
            self.marks.push_back((now, self.clock));
        }
        while self.marks.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= CREDIT) {
            self.marks.pop_front();
        }
    }

    /// Drops the state of organisations that were idle for longer than [`IDLE_RETENTION`].
    fn drop_idle(&mut self, now: Mono) {
        while let Some((changed, id)) = self.idle.first().copied()
            && now.saturating_sub(changed) > IDLE_RETENTION
        {
            self.idle.pop_first();
            self.orgs.swap_remove(&id);
        }
    }
}

fn refused(reason: Refusal, wait: Duration) -> Refused {
    Refused { reason, after: wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1) }
}
