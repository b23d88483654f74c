//! Memory and connections that the callers of a process share.
//!
//! Each connection has an [`Account`]. What is read from its caller is reserved before it is kept, and
//! released by dropping its [`Draw`], which the bytes own. When the budget is used up, [`caller_choice`]
//! decides who gives way; the connection's task and the reader of its body watch [`Account::dropped`].

use {
    crate::caller_choice::{self, Ask, Choice, Holder},
    indexmap::IndexMap,
    prometheus::{IntCounterVec, IntGauge, Opts, Registry},
    std::{
        fmt,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout},
    tokio_util::sync::CancellationToken,
};

/// Longest wait for memory that is being released.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);
/// Least time between two log lines of one budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bytes of all callers together.
    pub bytes: usize,
    /// Connections of callers.
    pub connections: usize,
}

impl Default for MemoryLimits {
    /// No limits.
    fn default() -> Self {
        Self { bytes: usize::MAX, connections: usize::MAX }
    }
}

/// Metrics of a budget.
struct Metrics {
    held: IntGauge,
    connections: IntGauge,
    drops: IntCounterVec,
}

impl Metrics {
    fn new() -> Self {
        let gauge = |name, help| IntGauge::new(name, help).expect("names of metrics are valid");
        let opts = Opts::new("agate_caller_drops_total", "callers dropped or refused, by reason");
        Self {
            held: gauge("agate_caller_memory_bytes", "memory drawn for callers"),
            connections: gauge("agate_caller_connections", "open connections of callers"),
            drops: IntCounterVec::new(opts, &["reason"]).expect("names of metrics are valid"),
        }
    }
}

#[derive(Default)]
struct State {
    used: usize,
    next: u64,
    accounts: IndexMap<u64, Arc<Account>>,
    /// When a line was last logged, and the number of decisions left out since.
    logged: Option<Instant>,
    unlogged: u64,
}

struct Shared {
    limits: MemoryLimits,
    state: Mutex<State>,
    released: Notify,
    metrics: Metrics,
}

/// Budget that the callers of a process share; clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Shared>);

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MemoryBudget({:?})", self.0.limits)
    }
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(MemoryLimits::default())
    }
}

/// The budget has no room and nobody else gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for callers is used up")]
pub struct NoRoom;

impl MemoryBudget {
    /// A budget with `limits`.
    pub fn new(limits: MemoryLimits) -> Self {
        let (state, released) = (Mutex::default(), Notify::new());
        Self(Arc::new(Shared { limits, state, released, metrics: Metrics::new() }))
    }

    /// Registers the metrics; a failure means that they are registered already.
    pub fn register(&self, registry: &Registry) {
        let Metrics { held, connections, drops } = &self.0.metrics;
        let all: [Box<dyn prometheus::core::Collector>; 3] =
            [Box::new(held.clone()), Box::new(connections.clone()), Box::new(drops.clone())];
        for metric in all {
            if let Err(e) = registry.register(metric) {
                log::debug!("registering a metric of the memory for callers: {e}");
            }
        }
    }

    /// Bytes drawn by all callers.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Opens the account of a new connection. If there are too many, one that is idle or slow is dropped
    /// for it.
    ///
    /// # Errors
    ///
    /// If there are too many connections and none can be dropped.
    pub fn open(&self) -> Result<ConnectionAccount, NoRoom> {
        let mut state = self.lock();
        let closing = state.accounts.values().filter(|a| a.dropped.is_cancelled()).count();
        if state.accounts.len() - closing >= self.0.limits.connections {
            let holders = holders(&state);
            let chosen = caller_choice::choose_connection(&holders);
            self.record(&mut state, "connections", chosen, &holders);
            let Some(id) = chosen else { return Err(NoRoom) };
            state.accounts[&id].dropped.cancel();
        }
        let id = state.next;
        state.next += 1;
        let account = Arc::new(Account {
            id,
            budget: self.clone(),
            held: AtomicUsize::new(0),
            moved: AtomicU64::new(0),
            since: Mutex::new(Instant::now()),
            phase: AtomicU8::new(IDLE),
            blocked: AtomicBool::new(false),
            dropped: CancellationToken::new(),
        });
        state.accounts.insert(id, account.clone());
        self.0.metrics.connections.set(state.accounts.len() as i64);
        Ok(ConnectionAccount(account))
    }

    /// Drops the caller that has read least of its response, to make room for others' responses.
    pub fn drop_unread(&self) {
        let mut state = self.lock();
        let mut holders = holders(&state);
        holders.retain(|h| state.accounts[&h.id].blocked.load(Relaxed));
        let Some(id) = caller_choice::choose_unread(&holders) else { return };
        self.record(&mut state, "unread", Some(id), &holders);
        state.accounts[&id].dropped.cancel();
    }

    fn ask(&self, account: &Account, amount: usize) -> Choice {
        let mut state = self.lock();
        let limit = self.0.limits.bytes;
        let held = account.held.load(Relaxed);
        let choice = if caller_choice::fits(limit, state.used, held, amount) {
            Choice::Grant
        } else {
            let holders = holders(&state);
            let ask = Ask { id: account.id, held, amount };
            let choice = caller_choice::choose(&holders, limit, state.used, ask);
            match choice {
                Choice::Drop(id) => self.record(&mut state, "slowest", Some(id), &holders),
                Choice::Refuse => self.record(&mut state, "memory", Some(account.id), &holders),
                Choice::Grant | Choice::Wait => {}
            }
            choice
        };
        match choice {
            Choice::Grant => {
                state.used += amount;
                account.held.fetch_add(amount, Relaxed);
                self.0.metrics.held.set(state.used as i64);
            }
            Choice::Drop(id) => state.accounts[&id].dropped.cancel(),
            Choice::Wait | Choice::Refuse => {}
        }
        choice
    }

    /// Counts a decision and logs it with its figures, at most once in a while.
    fn record(&self, state: &mut State, reason: &str, id: Option<u64>, holders: &[Holder]) {
        self.0.metrics.drops.with_label_values(&[reason]).inc();
        if state.logged.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            state.unlogged += 1;
            return;
        }
        let holder = holders.iter().find(|h| Some(h.id) == id);
        log::warn!(
            event = "caller_dropped", reason, held = holder.map(|h| h.held),
            moved = holder.map(|h| h.moved), age_ms = holder.map(|h| h.age.as_millis() as u64),
            used = state.used, limit = self.0.limits.bytes, connections = state.accounts.len(),
            max_connections = self.0.limits.connections, unlogged = state.unlogged;
            "a caller gives way to others"
        );
        state.logged = Some(Instant::now());
        state.unlogged = 0;
    }

    fn release(&self, account: &Account, amount: usize) {
        let mut state = self.lock();
        state.used -= amount;
        account.held.fetch_sub(amount, Relaxed);
        self.0.metrics.held.set(state.used as i64);
        drop(state);
        self.0.released.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no panic under the lock of the memory budget")
    }
}

fn holders(state: &State) -> Vec<Holder> {
    state.accounts.values().map(|a| a.holder()).collect()
}

/// No request is in progress.
const IDLE: u8 = 0;
/// The body of a request is being read.
const RECEIVING: u8 = 1;
/// A request is being served.
const SERVING: u8 = 2;

/// What one connection of a caller holds.
pub struct Account {
    id: u64,
    budget: MemoryBudget,
    held: AtomicUsize,
    moved: AtomicU64,
    /// When the request began, or the last response ended.
    since: Mutex<Instant>,
    phase: AtomicU8,
    /// Whether the caller does not take what is written.
    blocked: AtomicBool,
    dropped: CancellationToken,
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Account({})", self.id)
    }
}

impl Account {
    /// Records that a request began, whose body is read now.
    pub fn on_request(&self) {
        self.enter(RECEIVING);
        self.moved.store(0, Relaxed);
    }

    /// Records that the body is complete.
    pub fn on_received(&self) {
        self.phase.store(SERVING, Relaxed);
    }

    /// Records that the response ended.
    pub fn on_ended(&self) {
        self.enter(IDLE);
    }

    fn enter(&self, phase: u8) {
        *self.since.lock().expect("no panic under the lock of an account") = Instant::now();
        self.phase.store(phase, Relaxed);
    }

    /// Records bytes moved on the connection.
    pub fn on_moved(&self, bytes: usize) {
        self.moved.fetch_add(bytes as u64, Relaxed);
    }

    /// Records whether the caller does not take what is written.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Relaxed);
    }

    /// Whether the body of a request is being read.
    pub fn is_receiving(&self) -> bool {
        self.phase.load(Relaxed) == RECEIVING
    }

    /// Waits until this connection is chosen to give way.
    pub async fn dropped(&self) {
        self.dropped.cancelled().await;
    }

    /// Draws nothing yet.
    pub fn draw(self: &Arc<Self>) -> Draw {
        Draw { account: self.clone(), amount: 0 }
    }

    fn holder(&self) -> Holder {
        let phase = self.phase.load(Relaxed);
        let since = *self.since.lock().expect("no panic under the lock of an account");
        Holder {
            id: self.id,
            held: self.held.load(Relaxed),
            moved: self.moved.load(Relaxed),
            age: since.elapsed(),
            awaited: phase != SERVING || self.blocked.load(Relaxed),
            idle: phase == IDLE && !self.blocked.load(Relaxed),
            closing: self.dropped.is_cancelled(),
        }
    }
}

/// The account of an open connection; dropping it closes the account.
#[derive(Debug)]
pub struct ConnectionAccount(Arc<Account>);

impl std::ops::Deref for ConnectionAccount {
    type Target = Arc<Account>;

    fn deref(&self) -> &Arc<Account> {
        &self.0
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        let budget = &self.0.budget;
        let mut state = budget.lock();
        state.accounts.swap_remove(&self.0.id);
        budget.0.metrics.connections.set(state.accounts.len() as i64);
    }
}

/// Memory drawn for one caller; dropping it returns that.
#[derive(Debug)]
pub struct Draw {
    account: Arc<Account>,
    amount: usize,
}

impl Draw {
    /// Draws up to `total` bytes. Waits while others that give way release theirs.
    ///
    /// # Errors
    ///
    /// If there is no room, or this caller gives way itself. What was drawn stays drawn.
    pub async fn grow(&mut self, total: usize) -> Result<(), NoRoom> {
        let Some(more) = total.checked_sub(self.amount).filter(|n| *n > 0) else { return Ok(()) };
        let budget = self.account.budget.clone();
        loop {
            let mut released = std::pin::pin!(budget.0.released.notified());
            released.as_mut().enable();
            match budget.ask(&self.account, more) {
                Choice::Grant => break,
                Choice::Refuse => return Err(NoRoom),
                Choice::Wait | Choice::Drop(_) => {}
            }
            tokio::select! {
                waited = timeout(RELEASE_LIMIT, released) => waited.map_err(|_| NoRoom)?,
                () = self.account.dropped() => return Err(NoRoom),
            }
        }
        self.amount = total;
        Ok(())
    }
}

impl Drop for Draw {
    fn drop(&mut self) {
        self.account.budget.release(&self.account, self.amount);
    }
}
