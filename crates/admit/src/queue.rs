//! Weighted fair queue of the requests that wait for one pool.
//!
//! Organisations share the pool by token cost, in proportion to their weights: start-time fair
//! queueing over the organisations. Inside an organisation requests with a short time to their
//! deadline go first, so that overload delays its long work and not its short questions, and
//! requests of a like time in the order of their deadlines. The estimated cost is
//! corrected by [`Queue::settle`] once the actual one is known. An organisation that used less than
//! its share lately starts behind the virtual clock, by at most the clock's advance over
//! [`CREDIT`]. What cannot be granted in time is
//! refused on arrival, by the measured rate of service.
//!
//! Invariants: an organisation has state only while it waits or while its virtual start lies ahead
//! of the queue's (it was served more than its share within [`MEMORY`]); every ticket ends exactly
//! once, as granted, expired or cancelled.

mod org;

use {
    self::org::{Key, Org},
    crate::rate::Rate,
    agate_core::{Mono, OrgId, Refusal},
    indexmap::IndexMap,
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
    thiserror::Error,
};

/// Requests that one organisation may have waiting.
pub const ORG_BOUND: usize = 512;
/// Time for which the service of an organisation that waits no more is remembered.
pub const MEMORY: Duration = Duration::from_secs(10);
/// Time over which shares are balanced: an organisation that used less than its share within it
/// may catch up, so a burst of one that is mostly idle does not wait for its turn.
pub const CREDIT: Duration = Duration::from_secs(5);
/// Part of the time to its deadline that a request may be predicted to wait, in percent.
pub const WAIT_PERCENT: u32 = 75;
/// Longest wait that is predicted.
const LONGEST: Duration = Duration::from_secs(3600);
/// Interval between the marks of the virtual clock.
const MARK: Duration = Duration::from_millis(500);
/// Bounds of the delay that a refusal suggests.
pub const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));

/// Cost of a request in prompt tokens; see [`cost`].
pub type Cost = u32;
/// Identifies one waiting request of one queue.
pub type Ticket = u64;

/// Prompt tokens that one output token costs as much as.
pub const OUTPUT_COST: Cost = 8;

/// Cost of a request of `prompt` and `output` tokens.
pub fn cost(prompt: u32, output: u32) -> Cost {
    prompt.saturating_add(output.saturating_mul(OUTPUT_COST))
}

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

/// Length of the samples of the queue's rate of service.
const QUEUE_SAMPLE: Duration = Duration::from_millis(250);

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
    // Those of them whose next request is urgent.
    urgent: BTreeSet<(Virtual, OrgId)>,
    // Waiting requests by deadline.
    deadlines: BTreeSet<(Mono, Ticket)>,
    // Organisations that wait no more, by the time of the last change.
    idle: BTreeSet<(Mono, OrgId)>,
    clock: Virtual,
    // Values of the clock over the last `CREDIT`, oldest first.
    marks: VecDeque<(Mono, Virtual)>,
    next: Ticket,
    // Total cost and weight of what waits.
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
            rate: Rate::new(QUEUE_SAMPLE),
        }
    }
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
        let wait = self.wait(org, weight, deadline, now);
        let full = self.orgs.get(&org).is_some_and(|o| o.waiting.len() >= ORG_BOUND);
        if full {
            return Err(refused(Refusal::QueueFull, wait));
        }
        if wait > deadline.saturating_sub(now) * WAIT_PERCENT / 100 {
            return Err(refused(Refusal::DeadlineUnmet, wait));
        }
        if self.is_empty() {
            self.rate.begin(now);
        }
        let ticket = self.next;
        self.next += 1;
        self.insert(org, weight.max(1), Key::new(ticket, deadline, now), cost, now);
        Ok(ticket)
    }

    /// Ends the requests whose deadline passed and grants up to `free` others.
    pub fn pop(&mut self, now: Mono, free: usize) -> Vec<Event> {
        self.pop_reserving(now, free, 0)
    }

    /// Ends the requests whose deadline passed, and grants up to `free` others and up to `reserved`
    /// urgent ones beyond these.
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
        self.rate.tick(now);
        self.mark(now);
        self.forget(now);
        events
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket, now: Mono) -> bool {
        self.remove(ticket, now).is_some()
    }

    /// Corrects the service of `org` by the difference of a request's actual and estimated cost.
    pub fn settle(&mut self, org: OrgId, estimate: Cost, actual: Cost) {
        let floor = self.floor();
        let Some(o) = self.orgs.get_mut(&org) else { return };
        let difference = i64::from(actual) - i64::from(estimate);
        let virtual_cost = difference * SCALE as i64 / i64::from(o.weight);
        o.start = o.start.saturating_add_signed(virtual_cost).max(floor);
        self.place(org);
    }

    /// Predicts how long a request of `org` with `deadline` would wait: the organisation's requests
    /// that go before it, at the rate at which the organisation was served while it waited, or at
    /// its share of the queue's rate if that is unknown.
    fn wait(&mut self, org: OrgId, weight: u32, deadline: Mono, now: Mono) -> Duration {
        let Some(rate) = self.rate.get(now).filter(|_| !self.is_empty()) else {
            return Duration::ZERO;
        };
        let Some(o) = self.orgs.get_mut(&org).filter(|o| !o.waiting.is_empty()) else {
            return Duration::ZERO;
        };
        o.rate.tick(now);
        let share = f64::from(weight.max(1)) / self.weight as f64;
        let own = o.rate.get(now).unwrap_or(rate * share);
        Duration::from_secs_f64(
            (o.ahead(Key::new(Ticket::MAX, deadline, now)) as f64 / own).min(LONGEST.as_secs_f64()),
        )
    }

    fn insert(&mut self, id: OrgId, weight: u32, key: Key, cost: Cost, now: Mono) {
        let floor = self.floor();
        let org = self.orgs.entry(id).or_insert_with(|| Org::new(weight, floor, now));
        if org.waiting.is_empty() {
            self.idle.remove(&(org.touched, id));
            org.weight = weight;
            org.rate.begin(now);
            org.start = org.start.max(floor);
            self.weight += u64::from(weight);
        }
        org.waiting.insert(key, cost);
        org.cost += u64::from(cost);
        org.touched = now;
        self.cost += u64::from(cost);
        self.place(id);
        self.deadlines.insert((key.deadline, key.ticket));
        self.items.insert(key.ticket, Item { org: id, key });
    }

    /// Moves an organisation to its place in the order.
    ///
    /// While its next request is urgent, it may borrow from its share by the clock's advance over
    /// [`CREDIT`]: a short question does not wait until the organisation has paid for the dossier
    /// before it.
    fn place(&mut self, id: OrgId) {
        let credit = self.clock - self.floor();
        let org = self.orgs.get_mut(&id).expect("a placed organisation has state");
        self.order.remove(&(org.tag, id));
        self.urgent.remove(&(org.tag, id));
        if let Some((key, _)) = org.waiting.first_key_value() {
            let borrowed = if key.urgent() { credit } else { 0 };
            org.tag = org.start.saturating_sub(borrowed);
            self.order.insert((org.tag, id));
            if key.urgent() {
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
        org.rate.serve(f64::from(cost));
        org.rate.tick(now);
        self.rate.serve(f64::from(cost));
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
        org.touched = now;
        self.cost -= cost;
        if org.waiting.is_empty() {
            self.weight -= u64::from(org.weight);
            self.idle.insert((now, item.org));
        }
        self.place(item.org);
        Some(())
    }

    /// Least virtual start of an organisation that begins to wait.
    fn floor(&self) -> Virtual {
        self.marks.front().map_or(0, |(_, clock)| *clock)
    }

    /// Marks the virtual clock, and drops marks older than [`CREDIT`] except the newest of these.
    fn mark(&mut self, now: Mono) {
        if self.marks.back().is_none_or(|(at, _)| now.saturating_sub(*at) >= MARK) {
            self.marks.push_back((now, self.clock));
        }
        while self.marks.get(1).is_some_and(|(at, _)| now.saturating_sub(*at) >= CREDIT) {
            self.marks.pop_front();
        }
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

fn refused(reason: Refusal, wait: Duration) -> Refused {
    Refused { reason, after: wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1) }
}
