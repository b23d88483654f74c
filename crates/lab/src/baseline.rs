//! Baseline policies for the comparison with the production ones.

use {
    agate_admit::{
        Event, Queue, Ticket,
        queue::{Cost, Refused},
    },
    agate_core::{EndpointId, Mono, OrgId},
    agate_route::{FreeSlots, NoEndpoint, RouteQuery, Table, choose, ranking::mix},
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// Order in which waiting requests are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Weighted fair queueing, as in production.
    Fair,
    /// First in, first out.
    Fifo,
    /// One request of each organisation in last_class.
    RoundRobin,
}

impl Order {
    /// Name of the policy in tables.
    pub fn name(self) -> &'static str {
        match self {
            Order::Fair => "weighted fair",
            Order::Fifo => "FIFO",
            Order::RoundRobin => "round-robin",
        }
    }
}

/// Queue of the waiting requests of one instance, with any order.
#[derive(Debug)]
pub enum WaitQueue {
    /// Weighted fair queueing, as in production.
    Fair(Box<Queue>),
    /// FIFO queues by class: one class for FIFO, one per organisation for round-robin.
    Plain {
        /// Whether each organisation has its own class.
        split: bool,
        /// Tickets and deadlines of the waiting requests, by class.
        classes: IndexMap<OrgId, VecDeque<(Ticket, Mono)>>,
        /// Ticket of the next request.
        next: Ticket,
        /// Index of the class that was served last.
        last_class: usize,
    },
}

impl WaitQueue {
    /// Returns an empty queue.
    pub fn new(order: Order) -> Self {
        match order {
            Order::Fair => WaitQueue::Fair(Box::default()),
            _ => WaitQueue::Plain {
                split: order == Order::RoundRobin,
                classes: IndexMap::new(),
                next: 0,
                last_class: 0,
            },
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        match self {
            WaitQueue::Fair(queue) => queue.is_empty(),
            WaitQueue::Plain { classes, .. } => classes.values().all(VecDeque::is_empty),
        }
    }

    /// Adds a request; all organisations have the same weight. Fails if the production queue
    /// refuses it.
    pub fn push(
        &mut self,
        org: OrgId,
        cost: Cost,
        deadline: Mono,
        now: Mono,
    ) -> Result<Ticket, Refused> {
        match self {
            WaitQueue::Fair(queue) => queue.push(org, 1, cost, deadline, now),
            WaitQueue::Plain { split, classes, next, .. } => {
                let ticket = *next;
                *next += 1;
                let class = if *split { org } else { 0 };
                classes.entry(class).or_default().push_back((ticket, deadline));
                Ok(ticket)
            }
        }
    }

    /// Removes expired requests and grants requests while slots are free.
    pub fn pop(&mut self, now: Mono, room: FreeSlots) -> Vec<Event> {
        let (free, reserved) = (room.free as usize, room.reserved as usize);
        match self {
            WaitQueue::Fair(queue) => queue.pop_reserving(now, free, reserved),
            WaitQueue::Plain { classes, last_class, .. } => {
                let mut events = Vec::new();
                for _ in 0..free + reserved {
                    if !pop_plain(classes, last_class, now, &mut events) {
                        break;
                    }
                }
                events
            }
        }
    }

    /// Replaces the estimated cost of a finished request by the actual one.
    pub fn settle(&mut self, org: OrgId, estimate: Cost, actual: Cost) {
        if let WaitQueue::Fair(queue) = self {
            queue.settle(org, estimate, actual);
        }
    }
}

/// Grants one request of the next class that has one, and removes the expired ones before it.
fn pop_plain(
    classes: &mut IndexMap<OrgId, VecDeque<(Ticket, Mono)>>,
    last_class: &mut usize,
    now: Mono,
    events: &mut Vec<Event>,
) -> bool {
    for _ in 0..classes.len() {
        *last_class = (*last_class + 1) % classes.len();
        while let Some((ticket, deadline)) = classes[*last_class].pop_front() {
            if deadline >= now {
                events.push(Event::Granted(ticket));
                return true;
            }
            events.push(Event::Expired(ticket));
        }
    }
    false
}

/// Policy for choosing an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Lowest predicted delay, as in production.
    Predicted,
    /// Random endpoint.
    Random,
    /// Endpoint with the lowest reported load.
    LeastReported,
    /// Endpoint by the hash of the first prompt block, whatever its load.
    PlainHash,
}

impl Choice {
    /// Name of the policy in tables.
    pub fn name(self) -> &'static str {
        match self {
            Choice::Predicted => "predicted delay",
            Choice::Random => "random",
            Choice::LeastReported => "least reported load",
            Choice::PlainHash => "plain hashing",
        }
    }

    /// Chooses an endpoint of pool 0; `random` is a random number. Fails if none is available.
    pub fn pick(
        self,
        table: &Table,
        ask: &RouteQuery<'_>,
        random: u64,
        now: Mono,
    ) -> Result<EndpointId, NoEndpoint> {
        let count = table.members(0).count();
        match self {
            Choice::Predicted => choose(table, ask, now),
            Choice::Random => Ok((random % count as u64) as EndpointId),
            Choice::PlainHash => {
                let key = ask.prefix.first().copied().unwrap_or(random);
                Ok((mix(key, 9) % count as u64) as EndpointId)
            }
            Choice::LeastReported => {
                let load = |id: &EndpointId| {
                    table.endpoint(*id).stats.load().map_or(0, |r| r.running + r.waiting)
                };
                table.members(0).min_by_key(load).ok_or(NoEndpoint::Empty(0))
            }
        }
    }
}
