//! State of an engine, behind one lock that is never held across an await.

use {
    super::{EngineSettings, slots::Slots},
    crate::fault_proxy::FaultProxy,
    http::HeaderMap,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, OnceLock},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Maximum number of retained cache events.
const MAX_EVENTS: usize = 4096;
/// Maximum number of retained load reports, from which lagging reports are served.
const MAX_LOADS: usize = 4096;

/// Faults of an engine at the HTTP level; [`FaultProxy`] has those of connections.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    /// Requests whose body contains this text crash the engine.
    pub crash_text: Option<String>,
    /// Number of further requests that the faults below apply to, apart from `crash_text`;
    /// `u32::MAX` for all.
    pub faulty_requests: u32,
    /// Closes the connection of a stream after this many tokens.
    pub cut_after: Option<u32>,
    /// Ends a stream after this many tokens without its final events, with correct HTTP framing.
    pub short_end: Option<u32>,
    /// Stalls a stream after this many tokens, leaving the connection open.
    pub stall_after: Option<u32>,
    /// Added to the content-length of a JSON response.
    pub length_error: i64,
    /// Omits the second half of a JSON response, with a matching content-length.
    pub half_body: bool,
    /// Responds with a wrong request id.
    pub wrong_id: bool,
    /// Delay between the end of the work and the start of the response.
    pub response_delay: Duration,
    /// Refuses requests, stating that they did not run.
    pub not_run: bool,
    /// Refuses requests like that, and asks for this time without any.
    pub rest: Option<Duration>,
    /// Age of the load reported to callers.
    pub load_lag: Duration,
    /// Drops cache events whose sequence number is a multiple of this; zero drops none.
    pub lose_events: u64,
    /// Accepts orders regardless of their fencing token.
    pub ignore_fence: bool,
    /// Crashes during the next order.
    pub crash_order: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            crash_text: None,
            faulty_requests: u32::MAX,
            cut_after: None,
            short_end: None,
            stall_after: None,
            length_error: 0,
            half_body: false,
            wrong_id: false,
            response_delay: Duration::ZERO,
            not_run: false,
            rest: None,
            load_lag: Duration::ZERO,
            lose_events: 0,
            ignore_fence: false,
            crash_order: false,
        }
    }
}

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Occupies a slot.
    Running,
    /// All tokens were generated.
    Finished,
    /// Cancelled by `/v1/cancel`.
    Cancelled,
    /// The caller closed the connection, or a fault closed it.
    Dropped,
    /// The engine crashed while the request ran.
    Crashed,
    /// Ended by an order to change the role.
    Evicted,
}

/// Log entry of a request that got a slot.
#[derive(Clone, Debug)]
pub struct RunEntry {
    /// The caller's request id.
    pub id: String,
    /// Current or final state.
    pub state: RunState,
    /// Index of the first token generated; greater than zero for a resumed stream.
    pub from: u32,
    /// Number of tokens generated.
    pub tokens: u32,
    /// Whether the request carried an API key.
    pub key_seen: bool,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// When the request got its slot.
    pub start: Instant,
    /// When the request ended; `None` while it runs.
    pub end: Option<Instant>,
    /// Value of the `x-priority` header, empty if absent.
    pub priority: String,
    /// Number of prompt tokens.
    pub prompt: usize,
    /// Number of prompt tokens found in the prefix cache.
    pub cached: usize,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a version of a model.
    Load,
    /// Unloads a model.
    Unload,
    /// Changes the role; ends all running requests.
    Role,
    /// Refuses new requests.
    Drain,
    /// Accepts requests again.
    Undrain,
}

/// Log entry of an order that reached the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// Fencing token of the order.
    pub fence: u64,
    /// Highest fencing token received before.
    pub previous_fence: u64,
    /// Identifier given by the sender.
    pub id: String,
    /// Requested operation.
    pub kind: OrderKind,
    /// Whether the engine accepted it: its token was not stale and no other order was in progress.
    pub accepted: bool,
    /// Whether it was completed.
    pub done: bool,
    /// When it arrived.
    pub start: Instant,
    /// When it completed, or the engine crashed; `None` before.
    pub end: Option<Instant>,
}

/// Load report of `/load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests waiting for a slot.
    pub waiting: usize,
    /// Total number of slots.
    pub slots: usize,
    /// Role: `both`, `prefill` or `decode`.
    pub role: String,
    /// Number of blocks in the prefix cache.
    pub cached_blocks: usize,
    /// Sequence number of the latest cache event.
    pub sequence: u64,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub sequence: u64,
    pub stored: Vec<u64>,
    pub evicted: Vec<u64>,
}

/// Ends a running request with the given state.
pub(super) type EndSignal = watch::Sender<Option<RunState>>;

pub(super) struct State {
    pub log: Vec<RunEntry>,
    pub running: IndexMap<usize, EndSignal>,
    pub waiting: usize,
    pub cache: IndexSet<u64>,
    pub events: VecDeque<CacheEvent>,
    pub sequence: u64,
    pub load_history: VecDeque<(Instant, LoadReport)>,
    pub faults: EngineFaults,
    pub fence: u64,
    pub role: String,
    pub draining: bool,
    pub models: IndexMap<String, String>,
    pub order: Option<String>,
    pub orders: Vec<OrderEntry>,
    pub crashes: u64,
    pub rejected: u64,
    pub exports: IndexMap<String, Vec<u64>>,
    settings: EngineSettings,
}

impl State {
    /// Current load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len(),
            waiting: self.waiting,
            slots: self.settings.slots,
            role: self.role.clone(),
            cached_blocks: self.cache.len(),
            sequence: self.sequence,
        }
    }

    /// Load with the age of the configured lag.
    pub fn reported_load(&self) -> LoadReport {
        let Some(then) = Instant::now().checked_sub(self.faults.load_lag) else {
            return LoadReport::default();
        };
        let past = self.load_history.iter().rev().find(|(at, _)| *at <= then);
        past.map(|(_, l)| l.clone()).unwrap_or(LoadReport {
            slots: self.settings.slots,
            role: self.role.clone(),
            ..Default::default()
        })
    }

    /// Records the current load for later reports.
    pub fn record_load(&mut self) {
        if self.load_history.len() == MAX_LOADS {
            self.load_history.pop_front();
        }
        let load = self.load();
        self.load_history.push_back((Instant::now(), load));
    }

    /// Looks up a prompt in the prefix cache and returns the number of its leading blocks found
    /// there. Then inserts the remaining blocks, evicting the least recently used ones.
    pub fn cache_lookup(&mut self, blocks: &[u64]) -> usize {
        let hits = blocks.iter().take_while(|b| self.cache.contains(*b)).count();
        for b in &blocks[..hits] {
            self.cache.shift_remove(b);
            self.cache.insert(*b);
        }
        let mut stored = Vec::new();
        for b in &blocks[hits..] {
            if self.cache.insert(*b) {
                stored.push(*b);
            }
        }
        let excess = self.cache.len().saturating_sub(self.settings.cache_blocks);
        let evicted: Vec<u64> = self.cache.drain(..excess).collect();
        if !stored.is_empty() || !evicted.is_empty() {
            self.publish(stored, evicted);
        }
        hits
    }

    fn publish(&mut self, stored: Vec<u64>, evicted: Vec<u64>) {
        self.sequence += 1;
        let every = self.faults.lose_events;
        if every > 0 && self.sequence.is_multiple_of(every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent { sequence: self.sequence, stored, evicted });
    }

    /// Completes the log entry of the order in progress, if any.
    pub fn end_order(&mut self) {
        if self.order.take().is_none() {
            return;
        }
        if let Some(entry) = self.orders.iter_mut().rev().find(|o| o.accepted) {
            entry.end = Some(Instant::now());
        }
    }

    /// Ends all running requests.
    pub fn end_all(&mut self, state: RunState) {
        for (entry, end_signal) in &self.running {
            self.log[*entry].state = state;
            self.log[*entry].end = Some(Instant::now());
            end_signal.send_replace(Some(state));
        }
    }

    /// Faults of the next request; decrements `faulty_requests`.
    pub fn next_faults(&mut self) -> EngineFaults {
        if self.faults.faulty_requests == 0 {
            let crash_text = self.faults.crash_text.clone();
            return EngineFaults { crash_text, ..Default::default() };
        }
        if self.faults.faulty_requests != u32::MAX {
            self.faults.faulty_requests -= 1;
        }
        self.faults.clone()
    }
}

pub(super) struct Shared {
    pub settings: EngineSettings,
    pub slots: Slots,
    state: Mutex<State>,
    proxy: OnceLock<FaultProxy>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Shared({})", self.settings.name)
    }
}

impl Shared {
    pub fn new(settings: EngineSettings) -> Self {
        let state = State {
            log: Vec::new(),
            running: IndexMap::new(),
            waiting: 0,
            cache: IndexSet::new(),
            events: VecDeque::new(),
            sequence: 0,
            load_history: VecDeque::new(),
            faults: EngineFaults::default(),
            fence: 0,
            role: settings.role.clone(),
            draining: false,
            models: settings.models.iter().cloned().collect(),
            order: None,
            orders: Vec::new(),
            crashes: 0,
            rejected: 0,
            exports: IndexMap::new(),
            settings: settings.clone(),
        };
        let slots = Slots::new(settings.slots);
        Self { settings, slots, state: Mutex::new(state), proxy: OnceLock::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn set_proxy(&self, proxy: FaultProxy) {
        let fresh = self.proxy.set(proxy).is_ok();
        assert!(fresh, "the engine already has a proxy");
    }

    pub fn crash(self: &Arc<Self>) {
        {
            let mut s = self.lock();
            s.crashes += 1;
            s.end_all(RunState::Crashed);
            s.cache.clear();
            s.events.clear();
            s.end_order();
            s.models = self.settings.models.iter().cloned().collect();
            s.role = self.settings.role.clone();
            s.draining = false;
        }
        if let Some(proxy) = self.proxy.get() {
            proxy.refuse();
        }
        if let Some(after) = self.settings.restart {
            let shared = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                shared.restart();
            });
        }
    }

    pub fn restart(&self) {
        if let Some(proxy) = self.proxy.get() {
            proxy.accept();
        }
    }
}
