//! Admission to one pool: a fair queue of the requests that wait for a slot.
//!
//! The queue in [`agate_admit`] does no I/O. This module passes it the time, wakes the requests
//! that it grants and returns a [`Slot`] to each. A request holds its slot from the grant until it
//! ends, across all its attempts. The number of grants follows the free slots in the table of
//! endpoints, minus the granted requests that have not reached an endpoint yet. When slots are
//! scarce, an instance uses only its own share of them ([`Share`]).
//!
//! Slots also become free without an event in this module, through reports of other instances and
//! endpoints. A task therefore checks for free slots every [`POLL_INTERVAL`] while requests wait.

use {
    crate::caller::Caller,
    agate_admit::{
        queue::{Event, Queue, Refused, Ticket},
        share::{Exchange, Share},
    },
    agate_config::snapshot::Current,
    agate_core::{Mono, OrgId, PoolId, time},
    agate_route::{
        retry::Budget,
        table::{FreeSlots, Table},
    },
    arc_swap::ArcSwap,
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, Weak,
            atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::{sync::oneshot, time::sleep},
};

/// Returns the current monotonic time.
pub type Clock = Arc<dyn Fn() -> Mono + Send + Sync>;

/// Organisation whose queue all requests on open routes share.
pub const OPEN_ORG: OrgId = OrgId::MAX;

/// Requests with at least this much time to their deadline count as long work, which can wait and
/// be resumed.
pub const LONG_WORK: Duration = Duration::from_secs(60);

/// Interval of the checks for free slots while requests wait.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Most requests granted by one check.
const MAX_GRANTS: u32 = 64;
/// Most free slots counted when the instances exchange their counts.
const MAX_COUNTED_SLOTS: u32 = 1 << 16;
/// Divisor of the time to the deadline that gives the least time a request may wait, whatever its
/// predicted run time.
const MIN_WAIT_DIVISOR: u32 = 4;
/// Inverse of the weight of a new sample in the mean run time.
const SAMPLE_DIVISOR: f64 = 8.0;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Sender of the request.
    pub caller: Caller,
    /// Weight of the sender's organisation in the fair queue.
    pub weight: u32,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// Deadline of the response.
    pub deadline: Mono,
}

/// Reason for which a request was not admitted. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The queue rejected it on arrival.
    Refused(Refused),
    /// Its deadline passed while it waited.
    Expired,
    /// Its key was revoked while it waited.
    Revoked,
}

struct Waiter {
    caller: Caller,
    verdict: oneshot::Sender<Result<Slot, Denied>>,
}

#[derive(Default)]
struct State {
    queue: Queue,
    waiters: IndexMap<Ticket, Waiter>,
    /// Granted requests that have not reached an endpoint yet.
    pending: u32,
    share: Share,
    /// Instances that send requests to the pool.
    sharers: u32,
    /// Mean run time per unit of cost, in seconds; zero while unknown.
    unit_time: f64,
    /// Whether a task checks for free slots.
    polling: bool,
}

/// Admission to one pool.
pub struct Admission {
    pool: PoolId,
    table: Arc<ArcSwap<Table>>,
    state: Mutex<State>,
    clock: Clock,
    requested_costs: [AtomicU64; 2],
    /// Retry budget of the pool.
    pub retries: Budget,
    /// Work requested from the pool so far.
    pub work: Work,
}

/// Work requested from a pool since the instance started. The counts only grow.
#[derive(Debug, Default)]
pub struct Work {
    /// Estimated prompt tokens of the requests that asked for admission.
    pub prompt: AtomicU64,
    /// Output tokens delivered.
    pub output: AtomicU64,
}

/// Permission to occupy one slot of the pool. Dropping it frees the slot.
pub struct Slot {
    admission: Arc<Admission>,
    granted: Mono,
    /// Whether the request is counted at an endpoint.
    sent: AtomicBool,
}

/// Removes the request from the queue if its caller stops waiting.
struct WaitGuard<'a> {
    admission: &'a Arc<Admission>,
    ticket: Ticket,
}

impl Admission {
    /// Creates the admission to `pool`, whose endpoints are in `table`.
    pub fn open(pool: PoolId, table: Arc<ArcSwap<Table>>, clock: Clock) -> Arc<Self> {
        let (state, requested_costs, retries) =
            (Mutex::default(), Default::default(), Budget::default());
        let work = Work::default();
        Arc::new(Self { pool, table, state, clock, requested_costs, retries, work })
    }

    /// Recomputes this instance's share of the pool's `slots` after the instances exchanged their
    /// counts; see [`Exchange`] for the parameters.
    pub fn update_share(self: &Arc<Self>, slots: u32, sharers: u32, pending: u32) {
        let now = (self.clock)();
        let mut state = self.lock();
        state.sharers = sharers;
        if sharers > 1 {
            let room = self.room(&state, MAX_COUNTED_SLOTS, now);
            let free = room.free + room.reserved;
            state.share.on_exchange(Exchange { free, slots, sharers, pending });
        }
        drop(state);
        self.grant_ready();
    }

    /// Waits for a slot.
    ///
    /// Errors: [`Denied`] if the queue rejects the request, its deadline passes, or its key is
    /// revoked while it waits.
    pub async fn admit(self: &Arc<Self>, entry: Entry) -> Result<Slot, Denied> {
        let org = entry.caller.org().unwrap_or(OPEN_ORG);
        let (verdict, granted) = oneshot::channel();
        let ticket = {
            let now = (self.clock)();
            let long = entry.deadline.saturating_sub(now) >= LONG_WORK;
            self.requested_costs[usize::from(long)].fetch_add(entry.cost.into(), Relaxed);
            let mut state = self.lock();
            let latest = latest_grant(state.unit_time, &entry, now);
            let pushed = state.queue.push(org, entry.weight, entry.cost, latest, now);
            let ticket = pushed.map_err(Denied::Refused)?;
            state.waiters.insert(ticket, Waiter { caller: entry.caller, verdict });
            ticket
        };
        let _waiting = WaitGuard { admission: self, ticket };
        self.grant_ready();
        self.start_polling();
        let left = entry.deadline.saturating_sub((self.clock)());
        match tokio::time::timeout(left, granted).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Err(Denied::Expired),
        }
    }

    /// Replaces the estimated cost of the request in `slot` by its actual cost in the
    /// organisation's share, and updates the mean run time.
    pub fn settle(&self, slot: &Slot, caller: &Caller, estimate: u32, actual: u32) {
        let org = caller.org().unwrap_or(OPEN_ORG);
        let run = (self.clock)().saturating_sub(slot.granted);
        let mut state = self.lock();
        state.queue.settle(org, estimate, actual);
        let unit_time = run.as_secs_f64() / f64::from(actual.max(1));
        let known = state.unit_time > 0.0;
        state.unit_time += (unit_time - state.unit_time) / if known { SAMPLE_DIVISOR } else { 1.0 };
    }

    /// Denies every waiting request whose key is no longer valid in `current`.
    pub fn deny_revoked(&self, current: &Current) {
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
                let _ = waiter.verdict.send(Err(Denied::Revoked));
            }
        }
    }

    /// Total cost of the requests for admission since the start, refused or not: first the work
    /// with a near deadline, then the long work.
    pub fn requested_cost(&self) -> [u64; 2] {
        [0, 1].map(|i| self.requested_costs[i].load(Relaxed))
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Grants waiting requests as far as slots are free and expires those that waited too long.
    fn grant_ready(self: &Arc<Self>) {
        let now = (self.clock)();
        // Slots granted to requests whose callers left are dropped after the lock is released,
        // since the drop locks it again and grants further requests.
        let mut unused = Vec::new();
        let mut state = self.lock();
        let room = self.grantable(&state, now);
        for event in state.queue.pop_reserving(now, room.free as usize, room.reserved as usize) {
            let (ticket, granted) = match event {
                Event::Granted(ticket) => (ticket, true),
                Event::Expired(ticket) => (ticket, false),
            };
            let waiter =
                state.waiters.swap_remove(&ticket).expect("every queued request has a waiter");
            let verdict = if granted {
                state.pending += 1;
                state.share.take(1);
                let sent = AtomicBool::new(false);
                Ok(Slot { admission: self.clone(), granted: now, sent })
            } else {
                Err(Denied::Expired)
            };
            unused.extend(waiter.verdict.send(verdict).err());
        }
        drop(state);
        drop(unused);
    }

    /// Number of slots that may be granted now.
    fn grantable(&self, state: &State, now: Mono) -> FreeSlots {
        let waiting = (state.queue.len() as u32).min(MAX_GRANTS);
        if waiting == 0 {
            return FreeSlots::default();
        }
        let room = self.room(state, waiting, now);
        if room == FreeSlots::default() && !self.table.load().usable(self.pool, now) {
            // If no endpoint is usable, requests are granted at once, so that they fail now rather
            // than at their deadline.
            return FreeSlots { free: waiting, reserved: 0 };
        }
        if state.sharers <= 1 {
            return room;
        }
        let allowed = state.share.allowed();
        let free = room.free.min(allowed);
        FreeSlots { free, reserved: room.reserved.min(allowed - free) }
    }

    /// Free slots up to `limit`, minus the grants that have not reached an endpoint yet.
    fn room(&self, state: &State, limit: u32, now: Mono) -> FreeSlots {
        let room = self.table.load().count_free(self.pool, limit + state.pending, now);
        let free = room.free.saturating_sub(state.pending);
        let rest = state.pending.saturating_sub(room.free);
        FreeSlots { free, reserved: room.reserved.saturating_sub(rest) }
    }

    /// Starts the task that checks for free slots, unless it runs or nothing waits.
    fn start_polling(self: &Arc<Self>) {
        let mut state = self.lock();
        if !state.polling && !state.queue.is_empty() {
            state.polling = true;
            tokio::spawn(poll_until_empty(Arc::downgrade(self)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the admission lock")
    }
}

impl Slot {
    /// Records that the request is now counted at an endpoint.
    pub fn sent(&self) {
        if !self.sent.swap(true, Relaxed) {
            self.admission.lock().pending -= 1;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.sent();
        self.admission.lock().share.on_finish();
        self.admission.grant_ready();
    }
}

/// Latest useful time for a grant: the deadline minus the predicted run time.
fn latest_grant(unit_time: f64, entry: &Entry, now: Mono) -> Mono {
    let left = entry.deadline.saturating_sub(now);
    let run = time::seconds((unit_time * f64::from(entry.cost)).min(left.as_secs_f64()));
    now + (left - run.min(left)).max(left / MIN_WAIT_DIVISOR)
}

/// Grants slots as they become free until nothing waits.
async fn poll_until_empty(admission: Weak<Admission>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let Some(admission) = admission.upgrade() else { return };
        admission.grant_ready();
        let mut state = admission.lock();
        if state.queue.is_empty() {
            state.polling = false;
            return;
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now = (self.admission.clock)();
        let mut state = self.admission.lock();
        if state.waiters.swap_remove(&self.ticket).is_some() {
            state.queue.cancel(self.ticket, now);
        }
    }
}
