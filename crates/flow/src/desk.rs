//! Admission to one pool: the fair queue with the requests that wait in it.
//!
//! The queue itself is pure; this adapter gives it the time, wakes the requests that it grants and
//! hands out [`Slot`]s. A slot is held from the grant to the end of the request, over all its
//! attempts, so the pool's capacity bounds what is sent to its endpoints.

use {
    crate::caller::Caller,
    agate_admit::queue::{Event, Queue, Refused, Ticket},
    agate_config::snapshot::Current,
    agate_core::{Mono, OrgId},
    agate_route::retry::Budget,
    indexmap::IndexMap,
    std::sync::{Arc, Mutex, MutexGuard},
    tokio::sync::oneshot,
};

/// Source of the current time.
pub type Clock = Arc<dyn Fn() -> Mono + Send + Sync>;

/// Organisation under which requests on open routes queue together.
pub const OPEN_ORG: OrgId = OrgId::MAX;

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Who sent it.
    pub caller: Caller,
    /// Weight of its organisation.
    pub weight: u32,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Latest time at which a grant is of use.
    pub deadline: Mono,
}

/// Why a request was not admitted; nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The queue refused it on arrival.
    Refused(Refused),
    /// Its deadline passed while it waited.
    Expired,
    /// Its key was withdrawn while it waited.
    Withdrawn,
}

struct Waiter {
    caller: Caller,
    verdict: oneshot::Sender<Result<Slot, Denied>>,
}

#[derive(Default)]
struct State {
    queue: Queue,
    waiters: IndexMap<Ticket, Waiter>,
    open: usize,
    capacity: usize,
}

/// Admission to one pool.
pub struct Desk {
    state: Mutex<State>,
    clock: Clock,
    /// Retries that the pool may still make.
    pub retries: Budget,
}

/// Permission to occupy one place of the pool until it is dropped.
pub struct Slot {
    desk: Arc<Desk>,
}

/// Withdraws a waiting request whose caller stopped waiting.
struct Waiting<'a> {
    desk: &'a Arc<Desk>,
    ticket: Ticket,
}

impl Desk {
    /// Makes the admission of a pool without capacity.
    pub fn open(clock: Clock) -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), clock, retries: Budget::default() })
    }

    /// Sets the number of requests that the pool takes at once.
    pub fn set_capacity(self: &Arc<Self>, capacity: usize) {
        self.lock().capacity = capacity;
        self.pump();
    }

    /// Waits until the request is granted or denied.
    pub async fn admit(self: &Arc<Self>, entry: Entry) -> Result<Slot, Denied> {
        let org = entry.caller.org().unwrap_or(OPEN_ORG);
        let (verdict, granted) = oneshot::channel();
        let ticket = {
            let now = (self.clock)();
            let mut state = self.lock();
            let pushed = state.queue.push(org, entry.weight, entry.cost, entry.deadline, now);
            let ticket = pushed.map_err(Denied::Refused)?;
            state.waiters.insert(ticket, Waiter { caller: entry.caller, verdict });
            ticket
        };
        let _waiting = Waiting { desk: self, ticket };
        self.pump();
        let left = entry.deadline.saturating_sub((self.clock)());
        match tokio::time::timeout(left, granted).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Err(Denied::Expired),
        }
    }

    /// Corrects the service of an organisation once the actual cost is known.
    pub fn settle(&self, caller: &Caller, estimate: u32, actual: u32) {
        let org = caller.org().unwrap_or(OPEN_ORG);
        self.lock().queue.settle(org, estimate, actual);
    }

    /// Denies every waiting request whose key is no longer in force.
    pub fn withdraw(&self, current: &Current) {
        let now = (self.clock)();
        let mut state = self.lock();
        let gone: Vec<Ticket> = state
            .waiters
            .iter()
            .filter(|(_, w)| !w.caller.in_force(current))
            .map(|(t, _)| *t)
            .collect();
        for ticket in gone {
            state.queue.cancel(ticket, now);
            if let Some(waiter) = state.waiters.swap_remove(&ticket) {
                let _ = waiter.verdict.send(Err(Denied::Withdrawn));
            }
        }
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Grants what there is room for and ends what waited too long.
    fn pump(self: &Arc<Self>) {
        let now = (self.clock)();
        // Slots of requests that left are returned outside the lock, since that pumps again.
        let mut unused = Vec::new();
        let mut state = self.lock();
        let free = state.capacity.saturating_sub(state.open);
        for event in state.queue.pop(now, free) {
            let (ticket, granted) = match event {
                Event::Granted(ticket) => (ticket, true),
                Event::Expired(ticket) => (ticket, false),
            };
            let waiter = state.waiters.swap_remove(&ticket).expect("a queued request waits");
            let verdict = if granted {
                state.open += 1;
                Ok(Slot { desk: self.clone() })
            } else {
                Err(Denied::Expired)
            };
            unused.extend(waiter.verdict.send(verdict).err());
        }
        drop(state);
        drop(unused);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the admission lock")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.desk.lock().open -= 1;
        self.desk.pump();
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let now = (self.desk.clock)();
        let mut state = self.desk.lock();
        if state.waiters.swap_remove(&self.ticket).is_some() {
            state.queue.cancel(self.ticket, now);
        }
    }
}
