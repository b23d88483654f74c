//! Admission to one pool: the fair queue with the requests that wait in it.
//!
//! The queue itself is pure; this adapter gives it the time, wakes the requests that it grants and
//! hands out [`Slot`]s. A slot is held from the grant to the end of the request, over all its
//! attempts. Grants follow the free slots that the table of endpoints shows, less the grants that
//! are not at an endpoint yet, and of scarce slots only this instance's part ([`Share`]).
//!
//! Slots also become free without an event here, by news of other instances and endpoints, so a
//! task looks again every [`TICK`] while anything waits.

use {
    crate::caller::Caller,
    agate_admit::{
        queue::{Event, Queue, Refused, Ticket},
        share::{Exchange, Share},
    },
    agate_config::snapshot::Current,
    agate_core::{Mono, OrgId, PoolId},
    agate_route::{
        retry::Budget,
        table::{Room, Table},
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

/// Source of the current time.
pub type Clock = Arc<dyn Fn() -> Mono + Send + Sync>;

/// Organisation under which requests on open routes queue together.
pub const OPEN_ORG: OrgId = OrgId::MAX;

/// Time to the deadline from which work counts as long work, which can wait and be resumed.
pub const LONG_WORK: Duration = Duration::from_secs(60);

/// Interval at which free slots are looked for while requests wait.
pub const TICK: Duration = Duration::from_millis(5);
/// Requests granted at one look at most.
const BATCH: u32 = 64;
/// Slots that are counted at an exchange at most.
const COUNTED: u32 = 1 << 16;
/// Part of the time to the deadline that is left for waiting whatever the prediction, as a divisor.
const WAIT_SHARE: u32 = 4;
/// Weight of a new sample in the mean run time, as a divisor.
const MEAN: f64 = 8.0;

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Who sent it.
    pub caller: Caller,
    /// Weight of its organisation.
    pub weight: u32,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Time at which its answer is of no more use.
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
    /// Requests that were granted and are at no endpoint yet.
    pending: u32,
    share: Share,
    /// Instances that fill the slots.
    sharers: u32,
    /// Mean run time of a unit of cost in seconds; zero while unknown.
    pace: f64,
    /// Whether a task looks for free slots.
    ticking: bool,
}

/// Admission to one pool.
pub struct Desk {
    pool: PoolId,
    table: Arc<ArcSwap<Table>>,
    state: Mutex<State>,
    clock: Clock,
    asked: [AtomicU64; 2],
    /// Retries that the pool may still make.
    pub retries: Budget,
    /// Work asked of the pool so far.
    pub work: Work,
}

/// Work asked of a pool since the instance started; the counts only grow.
#[derive(Debug, Default)]
pub struct Work {
    /// Estimated prompt tokens of the requests that asked for admission.
    pub prompt: AtomicU64,
    /// Output tokens delivered.
    pub output: AtomicU64,
}

/// Permission to occupy one place of the pool until it is dropped.
pub struct Slot {
    desk: Arc<Desk>,
    granted: Mono,
    /// Whether the request was handed to an endpoint.
    sent: AtomicBool,
}

/// Withdraws a waiting request whose caller stopped waiting.
struct Waiting<'a> {
    desk: &'a Arc<Desk>,
    ticket: Ticket,
}

impl Desk {
    /// Makes the admission to a pool of the endpoints in `table`.
    pub fn open(pool: PoolId, table: Arc<ArcSwap<Table>>, clock: Clock) -> Arc<Self> {
        let (state, asked, retries) = (Mutex::default(), Default::default(), Budget::default());
        let work = Work::default();
        Arc::new(Self { pool, table, state, clock, asked, retries, work })
    }

    /// Renews this instance's part of the pool's `slots` after counts were exchanged with the
    /// others; see [`Exchange`].
    pub fn exchange(self: &Arc<Self>, slots: u32, sharers: u32, pending: u32) {
        let now = (self.clock)();
        let mut state = self.lock();
        state.sharers = sharers;
        if sharers > 1 {
            let room = self.room(&state, COUNTED, now);
            let free = room.free + room.reserved;
            state.share.on_exchange(Exchange { free, slots, sharers, pending });
        }
        drop(state);
        self.pump();
    }

    /// Waits until the request is granted or denied.
    pub async fn admit(self: &Arc<Self>, entry: Entry) -> Result<Slot, Denied> {
        let org = entry.caller.org().unwrap_or(OPEN_ORG);
        let (verdict, granted) = oneshot::channel();
        let ticket = {
            let now = (self.clock)();
            let long = entry.deadline.saturating_sub(now) >= LONG_WORK;
            self.asked[usize::from(long)].fetch_add(entry.cost.into(), Relaxed);
            let mut state = self.lock();
            let latest = latest_grant(state.pace, &entry, now);
            let pushed = state.queue.push(org, entry.weight, entry.cost, latest, now);
            let ticket = pushed.map_err(Denied::Refused)?;
            state.waiters.insert(ticket, Waiter { caller: entry.caller, verdict });
            ticket
        };
        let _waiting = Waiting { desk: self, ticket };
        self.pump();
        self.tick();
        let left = entry.deadline.saturating_sub((self.clock)());
        match tokio::time::timeout(left, granted).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Err(Denied::Expired),
        }
    }

    /// Corrects the service of an organisation once the actual cost of the request in `slot` is
    /// known, and learns its run time.
    pub fn settle(&self, slot: &Slot, caller: &Caller, estimate: u32, actual: u32) {
        let org = caller.org().unwrap_or(OPEN_ORG);
        let run = (self.clock)().saturating_sub(slot.granted);
        let mut state = self.lock();
        state.queue.settle(org, estimate, actual);
        let pace = run.as_secs_f64() / f64::from(actual.max(1));
        let known = state.pace > 0.0;
        state.pace += (pace - state.pace) / if known { MEAN } else { 1.0 };
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

    /// Cost of all work asked for since the start, refused or not: with a near deadline, and long.
    pub fn asked(&self) -> [u64; 2] {
        [0, 1].map(|i| self.asked[i].load(Relaxed))
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
        let room = self.grantable(&state, now);
        for event in state.queue.pop_reserving(now, room.free as usize, room.reserved as usize) {
            let (ticket, granted) = match event {
                Event::Granted(ticket) => (ticket, true),
                Event::Expired(ticket) => (ticket, false),
            };
            let waiter = state.waiters.swap_remove(&ticket).expect("a queued request waits");
            let verdict = if granted {
                state.pending += 1;
                state.share.take(1);
                let sent = AtomicBool::new(false);
                Ok(Slot { desk: self.clone(), granted: now, sent })
            } else {
                Err(Denied::Expired)
            };
            unused.extend(waiter.verdict.send(verdict).err());
        }
        drop(state);
        drop(unused);
    }

    /// Slots that may be filled now.
    fn grantable(&self, state: &State, now: Mono) -> Room {
        let waiting = (state.queue.len() as u32).min(BATCH);
        if waiting == 0 {
            return Room::default();
        }
        let room = self.room(state, waiting, now);
        if room == Room::default() && !self.table.load().usable(self.pool, now) {
            // A request that no endpoint can take is told so at once.
            return Room { free: waiting, reserved: 0 };
        }
        if state.sharers <= 1 {
            return room;
        }
        let allowed = state.share.allowed();
        let free = room.free.min(allowed);
        Room { free, reserved: room.reserved.min(allowed - free) }
    }

    /// Free slots up to `limit`, without those of grants under way.
    fn room(&self, state: &State, limit: u32, now: Mono) -> Room {
        let room = self.table.load().room(self.pool, limit + state.pending, now);
        let free = room.free.saturating_sub(state.pending);
        let rest = state.pending.saturating_sub(room.free);
        Room { free, reserved: room.reserved.saturating_sub(rest) }
    }

    /// Starts the task that looks for free slots, unless it runs or nothing waits.
    fn tick(self: &Arc<Self>) {
        let mut state = self.lock();
        if !state.ticking && !state.queue.is_empty() {
            state.ticking = true;
            tokio::spawn(keep_pumping(Arc::downgrade(self)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the admission lock")
    }
}

impl Slot {
    /// Notes that the request is counted at an endpoint.
    pub fn sent(&self) {
        if !self.sent.swap(true, Relaxed) {
            self.desk.lock().pending -= 1;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.sent();
        self.desk.lock().share.on_finish();
        self.desk.pump();
    }
}

/// Latest time at which a grant of the request is of use: its deadline less its predicted run time.
fn latest_grant(pace: f64, entry: &Entry, now: Mono) -> Mono {
    let left = entry.deadline.saturating_sub(now);
    let run = Duration::from_secs_f64((pace * f64::from(entry.cost)).min(left.as_secs_f64()));
    now + (left - run.min(left)).max(left / WAIT_SHARE)
}

/// Grants what becomes free until nothing waits.
async fn keep_pumping(desk: Weak<Desk>) {
    loop {
        sleep(TICK).await;
        let Some(desk) = desk.upgrade() else { return };
        desk.pump();
        let mut state = desk.lock();
        if state.queue.is_empty() {
            state.ticking = false;
            return;
        }
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
