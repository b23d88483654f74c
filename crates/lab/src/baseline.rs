//! Baselines that the production policies are compared with.

use {
    agate_admit::{
        Event, Queue, Ticket,
        queue::{Cost, Refused},
    },
    agate_core::{EndpointId, Mono, OrgId},
    agate_route::{Ask, NoEndpoint, Room, Table, choose, ranking::mix},
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// Order in which waiting requests are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The production queue.
    Fair,
    /// First in, first out.
    Fifo,
    /// One request of each organisation in turn.
    RoundRobin,
}

impl Order {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Order::Fair => "weighted fair",
            Order::Fifo => "FIFO",
            Order::RoundRobin => "round-robin",
        }
    }
}

/// Requests waiting at one instance, in any of the orders.
#[derive(Debug)]
pub enum Waiting {
    /// The production queue.
    Fair(Box<Queue>),
    /// Queues of requests by class: one class for FIFO, one an organisation for round-robin.
    Plain {
        /// Whether organisations have classes of their own.
        split: bool,
        /// Waiting requests of each class.
        classes: IndexMap<OrgId, VecDeque<(Ticket, Mono)>>,
        /// Ticket of the next request.
        next: Ticket,
        /// Class that is served next.
        turn: usize,
    },
}

impl Waiting {
    /// Returns an empty queue.
    pub fn new(order: Order) -> Self {
        match order {
            Order::Fair => Waiting::Fair(Box::default()),
            _ => Waiting::Plain {
                split: order == Order::RoundRobin,
                classes: IndexMap::new(),
                next: 0,
                turn: 0,
            },
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        match self {
            Waiting::Fair(queue) => queue.is_empty(),
            Waiting::Plain { classes, .. } => classes.values().all(VecDeque::is_empty),
        }
    }

    /// Adds a request of equal weight.
    pub fn push(
        &mut self,
        org: OrgId,
        cost: Cost,
        deadline: Mono,
        now: Mono,
    ) -> Result<Ticket, Refused> {
        match self {
            Waiting::Fair(queue) => queue.push(org, 1, cost, deadline, now),
            Waiting::Plain { split, classes, next, .. } => {
                let ticket = *next;
                *next += 1;
                let class = if *split { org } else { 0 };
                classes.entry(class).or_default().push_back((ticket, deadline));
                Ok(ticket)
            }
        }
    }

    /// Ends what expired and grants requests while there is room.
    pub fn pop(&mut self, now: Mono, room: Room) -> Vec<Event> {
        let (free, reserved) = (room.free as usize, room.reserved as usize);
        match self {
            Waiting::Fair(queue) => queue.pop_reserving(now, free, reserved),
            Waiting::Plain { classes, turn, .. } => {
                let mut events = Vec::new();
                for _ in 0..free + reserved {
                    if !pop_plain(classes, turn, now, &mut events) {
                        break;
                    }
                }
                events
            }
        }
    }

    /// Corrects the cost of a finished request.
    pub fn settle(&mut self, org: OrgId, estimate: Cost, actual: Cost) {
        if let Waiting::Fair(queue) = self {
            queue.settle(org, estimate, actual);
        }
    }
}

/// Grants one request of the next class that has one; what expired before it is dropped.
fn pop_plain(
    classes: &mut IndexMap<OrgId, VecDeque<(Ticket, Mono)>>,
    turn: &mut usize,
    now: Mono,
    events: &mut Vec<Event>,
) -> bool {
    for _ in 0..classes.len() {
        *turn = (*turn + 1) % classes.len();
        while let Some((ticket, deadline)) = classes[*turn].pop_front() {
            if deadline >= now {
                events.push(Event::Granted(ticket));
                return true;
            }
            events.push(Event::Expired(ticket));
        }
    }
    false
}

/// Way to choose an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The production choice.
    Predicted,
    /// Any member.
    Random,
    /// The member with the least reported load.
    LeastReported,
    /// The member that the first block hashes to, however busy.
    PlainHash,
}

impl Choice {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Choice::Predicted => "predicted delay",
            Choice::Random => "random",
            Choice::LeastReported => "least reported load",
            Choice::PlainHash => "plain hashing",
        }
    }

    /// Chooses an endpoint of pool 0; `draw` is a random word.
    pub fn pick(
        self,
        table: &Table,
        ask: &Ask<'_>,
        draw: u64,
        now: Mono,
    ) -> Result<EndpointId, NoEndpoint> {
        let count = table.members(0).count();
        match self {
            Choice::Predicted => choose(table, ask, now),
            Choice::Random => Ok((draw % count as u64) as EndpointId),
            Choice::PlainHash => {
                let key = ask.prefix.first().copied().unwrap_or(draw);
                Ok((mix(key, 9) % count as u64) as EndpointId)
            }
            Choice::LeastReported => {
                let load = |id: &EndpointId| {
                    table.endpoint(*id).live.load().map_or(0, |r| r.running + r.waiting)
                };
                table.members(0).min_by_key(load).ok_or(NoEndpoint::Empty(0))
            }
        }
    }
}
