//! Everything an engine knows, behind one lock that is never held across an await.

use {
    super::{EngineSettings, slots::Slots},
    crate::tap::Tap,
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

/// Cache events that are kept for readers.
const EVENTS_KEPT: usize = 4096;
/// Past load reports that are kept to answer with a lag.
const LOADS_KEPT: usize = 4096;

/// Faults of an engine at the HTTP level; the tap has those below it.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    /// A request whose body contains this text crashes the engine.
    pub crash_mark: Option<String>,
    /// Requests that the next group of faults applies to; the rest run well.
    pub shots: u32,
    /// Breaks the connection of a stream after this many tokens.
    pub cut_after: Option<u32>,
    /// Ends a stream early but cleanly after this many tokens.
    pub short_end: Option<u32>,
    /// Sends nothing more on a stream after this many tokens, with the connection left open.
    pub stall_after: Option<u32>,
    /// Added to the length that a whole JSON answer declares.
    pub length_error: i64,
    /// Leaves the second half of a whole JSON answer away, with a length that agrees.
    pub half_body: bool,
    /// Answers with the request id of another request.
    pub wrong_id: bool,
    /// Delay before the reply starts, after the work is done.
    pub late_reply: Duration,
    /// Refuses requests and says that nothing ran.
    pub not_run: bool,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Loses each cache event whose sequence is a multiple of this; zero loses none.
    pub lose_events: u64,
    /// Takes orders whatever their fencing token.
    pub ignore_fence: bool,
    /// Crashes in the middle of the next order.
    pub crash_order: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            crash_mark: None,
            shots: u32::MAX,
            cut_after: None,
            short_end: None,
            stall_after: None,
            length_error: 0,
            half_body: false,
            wrong_id: false,
            late_reply: Duration::ZERO,
            not_run: false,
            load_lag: Duration::ZERO,
            lose_events: 0,
            ignore_fence: false,
            crash_order: false,
        }
    }
}

/// How far a request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// In a slot.
    Running,
    /// All tokens were produced.
    Finished,
    /// Ended by a cancel call.
    Cancelled,
    /// The caller closed its connection, or a fault broke it.
    Dropped,
    /// The engine crashed while it ran.
    Crashed,
    /// An order ended it.
    Evicted,
}

/// One request that started.
#[derive(Clone, Debug)]
pub struct RunEntry {
    /// The caller's request id.
    pub id: String,
    /// How far it came.
    pub state: RunState,
    /// Index of the first token produced.
    pub from: u32,
    /// Tokens handed to the connection.
    pub tokens: u32,
    /// Whether a caller's key reached the engine.
    pub key_seen: bool,
    /// Header section as it arrived.
    pub headers: HeaderMap,
    /// Time at which it took its slot.
    pub start: Instant,
    /// Time at which it freed its slot, or was ended before.
    pub end: Option<Instant>,
    /// Value of the priority header.
    pub priority: String,
    /// Tokens of the prompt.
    pub prompt: usize,
    /// Tokens of the prompt that were in the prefix cache.
    pub cached: usize,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a version of a model.
    Load,
    /// Unloads a model.
    Unload,
    /// Changes the role; ends what runs.
    Role,
    /// Takes no new requests.
    Drain,
    /// Takes requests again.
    Undrain,
}

/// One order that reached the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// Fencing token of the order.
    pub fence: u64,
    /// Greatest fencing token that had been seen before it.
    pub seen: u64,
    /// Identifier of the order.
    pub id: String,
    /// What it asked for.
    pub kind: OrderKind,
    /// Whether it was taken.
    pub taken: bool,
    /// Whether it was carried out to its end.
    pub done: bool,
    /// Time at which it arrived.
    pub start: Instant,
    /// Time at which its work ended, or the engine crashed amid it.
    pub end: Option<Instant>,
}

/// Load as `/load` reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests in a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Slots.
    pub slots: usize,
    /// Role of the engine.
    pub role: String,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
    /// Sequence of the newest cache event.
    pub sequence: u64,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub sequence: u64,
    pub stored: Vec<u64>,
    pub evicted: Vec<u64>,
}

/// How a running request is told to end.
pub(super) type Ending = watch::Sender<Option<RunState>>;

pub(super) struct State {
    pub log: Vec<RunEntry>,
    pub running: IndexMap<usize, Ending>,
    pub waiting: usize,
    pub cache: IndexSet<u64>,
    pub events: VecDeque<CacheEvent>,
    pub sequence: u64,
    pub loads: VecDeque<(Instant, LoadReport)>,
    pub faults: EngineFaults,
    pub fence: u64,
    pub role: String,
    pub draining: bool,
    pub models: IndexMap<String, String>,
    pub order: Option<String>,
    pub orders: Vec<OrderEntry>,
    pub crashes: u64,
    pub exports: IndexMap<String, Vec<u64>>,
    settings: EngineSettings,
}

impl State {
    /// Load at this moment.
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

    /// Load as of the configured lag ago.
    pub fn reported(&self) -> LoadReport {
        let Some(then) = Instant::now().checked_sub(self.faults.load_lag) else {
            return LoadReport::default();
        };
        let past = self.loads.iter().rev().find(|(at, _)| *at <= then);
        past.map(|(_, l)| l.clone()).unwrap_or(LoadReport {
            slots: self.settings.slots,
            role: self.role.clone(),
            ..Default::default()
        })
    }

    /// Keeps the present load for later reports.
    pub fn note_load(&mut self) {
        if self.loads.len() == LOADS_KEPT {
            self.loads.pop_front();
        }
        let load = self.load();
        self.loads.push_back((Instant::now(), load));
    }

    /// Number of leading blocks in the cache; all blocks are in the cache afterwards.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
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
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent { sequence: self.sequence, stored, evicted });
    }

    /// Closes the log entry of the order under way, if there is one.
    pub fn end_order(&mut self) {
        if self.order.take().is_none() {
            return;
        }
        if let Some(entry) = self.orders.iter_mut().rev().find(|o| o.taken) {
            entry.end = Some(Instant::now());
        }
    }

    /// Ends every running request.
    pub fn end_all(&mut self, how: RunState) {
        for (entry, ending) in &self.running {
            self.log[*entry].state = how;
            self.log[*entry].end = Some(Instant::now());
            ending.send_replace(Some(how));
        }
    }

    /// Faults of the next request; counts one shot.
    pub fn next_faults(&mut self) -> EngineFaults {
        if self.faults.shots == 0 {
            let crash_mark = self.faults.crash_mark.clone();
            return EngineFaults { crash_mark, ..Default::default() };
        }
        if self.faults.shots != u32::MAX {
            self.faults.shots -= 1;
        }
        self.faults.clone()
    }
}

pub(super) struct Shared {
    pub settings: EngineSettings,
    pub slots: Slots,
    state: Mutex<State>,
    tap: OnceLock<Tap>,
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
            loads: VecDeque::new(),
            faults: EngineFaults::default(),
            fence: 0,
            role: settings.role.clone(),
            draining: false,
            models: settings.models.iter().cloned().collect(),
            order: None,
            orders: Vec::new(),
            crashes: 0,
            exports: IndexMap::new(),
            settings: settings.clone(),
        };
        let slots = Slots::new(settings.slots);
        Self { settings, slots, state: Mutex::new(state), tap: OnceLock::new() }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    pub fn attach(&self, tap: Tap) {
        let fresh = self.tap.set(tap).is_ok();
        assert!(fresh, "one tap per engine");
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
        if let Some(tap) = self.tap.get() {
            tap.refuse();
        }
        if let Some(after) = self.settings.restart {
            let me = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                me.restart();
            });
        }
    }

    pub fn restart(&self) {
        if let Some(tap) = self.tap.get() {
            tap.admit();
        }
    }
}
