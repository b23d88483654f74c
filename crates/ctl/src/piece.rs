//! State of the controller of a piece of engines, and its entry point.

use {
    crate::{
        Change, ChangeIntent, Demand, Forecast, Phase, RecordError, Settings, Split, choose_split,
        encode,
    },
    agate_core::{FenceToken, Grant, Mono, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Kind of work that an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Processes prompts.
    Prefill,
    /// Generates output tokens.
    Decode,
}

/// State of an engine at the time of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Role that it serves.
    pub role: Role,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Number of requests that it runs.
    pub running: u32,
    /// Whether it is executing an order.
    pub busy: bool,
}

/// An engine of the piece.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name, unique in the piece; intents in the record refer to it.
    pub name: Arc<str>,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Role by the last successful read, or by its listing before that.
    pub role: Role,
    /// Time and result of the last read since the last order ended; `None` if it failed.
    pub(crate) last_state: Option<(Mono, EngineState)>,
    /// Whether a change of its role is in progress.
    pub(crate) changing: bool,
    /// Whether a read by the current holder has ended, with a response or without.
    pub(crate) was_read: bool,
    /// Number and time of the last read since the last order.
    pub(crate) pending_read: Option<(u64, Mono)>,
    /// When the first read failed since the last successful one.
    pub(crate) failing_since: Option<Mono>,
    /// Number and expiry of the order in flight.
    pub(crate) in_flight: Option<(u64, Mono)>,
    /// Time before which an earlier order may still arrive.
    pub(crate) blocked_until: Mono,
}

impl Engine {
    /// Returns an engine with the role that the configuration lists.
    pub fn new(name: impl Into<Arc<str>>, zone: ZoneId, role: Role) -> Self {
        Self {
            name: name.into(),
            zone,
            role,
            last_state: None,
            changing: false,
            was_read: false,
            pending_read: None,
            failing_since: None,
            in_flight: None,
            blocked_until: Mono::ZERO,
        }
    }
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine accepted it.
    Done,
    /// The engine refused it, and it had no effect.
    Refused,
    /// The order may have been executed, or may still be.
    Unknown,
}

/// Operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verb {
    /// Accept no new requests.
    Drain,
    /// Accept new requests again.
    Undrain,
    /// Change to this role.
    Role(Role),
}

/// Event that the controller processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; reads, plans, orders and writes that are due follow.
    Tick,
    /// The current demand was measured.
    Observed(Demand),
    /// The lease was acquired; the intents are those of the previous holder.
    Granted(Grant, Vec<ChangeIntent>),
    /// The lease was renewed until this time.
    Renewed(Mono),
    /// The lease was lost.
    Lost,
    /// The record with this number was written.
    Recorded(u64),
    /// Writing the record failed, or its result is unknown.
    RecordFailed,
    /// The read with this number of an engine's state ended, with `None` if it failed.
    Read(usize, u64, Option<EngineState>),
    /// The order with this number to an engine ended.
    Ordered(usize, u64, Outcome),
}

/// Operation that the caller executes for the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes the record, on condition that the lease is still held.
    Write {
        /// Number for [`Input::Recorded`].
        number: u64,
        /// Encoded record.
        bytes: Vec<u8>,
    },
    /// Reads the state of an engine.
    Read {
        /// Index in [`Piece::engines`].
        engine: usize,
        /// Number for [`Input::Read`].
        number: u64,
    },
    /// Sends an order while the lease is valid; it must not reach the engine after `expires`.
    Order {
        /// Index in [`Piece::engines`].
        engine: usize,
        /// Fencing token of the lease.
        fence: FenceToken,
        /// Number for [`Input::Ordered`], unique for this fencing token.
        number: u64,
        /// Operation to request.
        verb: Verb,
        /// Time after which the order must not be delivered.
        expires: Mono,
    },
}

/// State of the controller of one piece of engines; see [`step`].
#[derive(Clone, Debug)]
pub struct Piece {
    /// Rates, limits and intervals.
    pub settings: Settings,
    /// Engines of the piece; inputs and actions refer to them by index.
    pub engines: Vec<Engine>,
    /// Role changes in progress.
    pub changes: Vec<Change>,
    pub(crate) forecast: Forecast,
    pub(crate) grant: Option<Grant>,
    /// Last number given to a read or an order.
    pub(crate) number: u64,
    record: WriteState,
    last_plan: Option<Mono>,
    poll: PollState,
}

/// Progress of reading all engines in turn.
#[derive(Clone, Debug, Default)]
struct PollState {
    /// Index of the next engine.
    next: usize,
    /// When the credit was last increased.
    updated: Mono,
    /// Number of reads allowed now.
    credit: f64,
}

/// Progress of writing the record.
#[derive(Clone, Debug, Default)]
struct WriteState {
    /// Whether the record changed since the last write began.
    dirty: bool,
    /// Number of the next write.
    next: u64,
    /// Number of the write in progress.
    in_flight: Option<u64>,
    /// When the last write began.
    last_write: Option<Mono>,
}

impl Piece {
    /// Returns the controller of these engines, without authority.
    pub fn new(settings: Settings, engines: Vec<Engine>) -> Self {
        let forecast = Forecast::new(settings.time_constants.0, settings.time_constants.1);
        let record = WriteState { next: 1, ..WriteState::default() };
        Self {
            settings,
            engines,
            changes: Vec::new(),
            forecast,
            grant: None,
            number: 0,
            record,
            last_plan: None,
            poll: PollState::default(),
        }
    }

    /// Engines by role; one that is changing counts for its new role, one that fails reads not at
    /// all.
    pub fn split(&self) -> Split {
        let of =
            |r| self.engines.iter().filter(|e| e.failing_since.is_none() && e.role == r).count();
        let mut s = Split { prefill: of(Role::Prefill), decode: of(Role::Decode) };
        for c in self.changes.iter().filter(|c| c.is_forward()) {
            let e = &self.engines[c.engine];
            if e.failing_since.is_some() || e.role != c.from {
                continue;
            }
            match c.to {
                Role::Prefill => (s.prefill, s.decode) = (s.prefill + 1, s.decode - 1),
                Role::Decode => (s.prefill, s.decode) = (s.prefill - 1, s.decode + 1),
            }
        }
        s
    }

    /// Approximate memory size of the state, in bytes.
    pub fn bytes(&self) -> usize {
        let names: usize = self.engines.iter().map(|e| e.name.len() + 16).sum();
        let engines = self.engines.capacity() * size_of::<Engine>();
        size_of::<Self>() + engines + names + self.changes.capacity() * size_of::<Change>()
    }

    /// The grant, if orders may be sent now.
    pub(crate) fn active_grant(&self, now: Mono) -> Option<Grant> {
        self.grant.filter(|g| now >= g.first_order && now < g.until)
    }

    /// Marks the record as changed; returns the number of the write that will contain the change.
    pub(crate) fn mark_dirty(&mut self) -> u64 {
        self.record.dirty = true;
        self.record.next
    }

    /// Whether the write with this number was confirmed.
    pub(crate) fn is_durable(&self, write_number: u64) -> bool {
        write_number < self.record.next && self.record.in_flight.is_none_or(|w| write_number < w)
    }
}

/// Processes one input and returns the actions that the caller has to execute.
pub fn step(p: &mut Piece, input: Input, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    match input {
        Input::Tick => tick(p, now, &mut out),
        Input::Observed(d) => p.forecast.observe(d, now),
        Input::Granted(g, saved) => on_granted(p, g, saved),
        Input::Renewed(until) => {
            if let Some(g) = &mut p.grant {
                g.until = until;
            }
        }
        Input::Lost => p.grant = None,
        Input::Recorded(number) => {
            if p.record.in_flight == Some(number) {
                p.record.in_flight = None;
            }
        }
        Input::RecordFailed => {
            // The next write reuses the number, so the changes that wait for it are not durable
            // yet.
            if let Some(n) = p.record.in_flight.take() {
                p.record.next = n;
                p.record.dirty = true;
            }
        }
        Input::Read(i, number, reading) => p.on_read(i, number, reading, now),
        Input::Ordered(i, number, outcome) => p.on_outcome(i, number, outcome),
    }
    out
}

fn on_granted(p: &mut Piece, grant: Grant, saved: Vec<ChangeIntent>) {
    p.grant = Some(grant);
    p.changes.clear();
    p.record = WriteState { next: p.record.next + 1, ..WriteState::default() };
    p.last_plan = None;
    for e in &mut p.engines {
        (e.last_state, e.pending_read, e.in_flight) = (None, None, None);
        (e.was_read, e.changing) = (false, false);
        e.blocked_until = e.blocked_until.max(grant.first_order);
    }
    for s in saved {
        let Some(engine) = p.engines.iter().position(|e| *e.name == *s.engine) else { continue };
        p.engines[engine].changing = true;
        // Write number zero: the intent is in the store already.
        p.changes.push(Change { engine, from: s.from, to: s.to, phase: s.phase, write_number: 0 });
    }
}

fn tick(p: &mut Piece, now: Mono, out: &mut Vec<Action>) {
    let Some(grant) = p.active_grant(now) else { return };
    p.expire_orders(now);
    poll_engines(p, now, out);
    let due = p.last_plan.is_none_or(|t| now >= t + p.settings.plan_interval);
    if due && p.forecast.is_ready() && p.engines.iter().all(|e| e.was_read) {
        p.last_plan = Some(now);
        plan(p);
    }
    p.advance_changes(&grant, now, out);
    write_record(p, &grant, now, out);
}

/// Reads the next engines in turn, within the poll rate of the settings.
fn poll_engines(p: &mut Piece, now: Mono, out: &mut Vec<Action>) {
    let total = p.engines.len();
    let elapsed = now.saturating_sub(p.poll.updated).as_secs_f64();
    p.poll.updated = now;
    p.poll.credit = (p.poll.credit + elapsed * p.settings.poll_rate).min(p.settings.poll_rate);
    let reads = (p.poll.credit as usize).min(total);
    p.poll.credit -= reads as f64;
    for _ in 0..reads {
        let i = p.poll.next % total;
        p.poll.next = i + 1;
        p.read_engine(i, now, out);
    }
}

fn plan(p: &mut Piece) {
    let current = p.split();
    let chosen = choose_split(&p.settings, current, |horizon| p.forecast.predict(horizon));
    let (from, to, count) = if chosen.prefill < current.prefill {
        (Role::Prefill, Role::Decode, current.prefill - chosen.prefill)
    } else {
        (Role::Decode, Role::Prefill, chosen.prefill - current.prefill)
    };
    let room = p.settings.max_away(p.engines.len()).saturating_sub(p.changes.len());
    for _ in 0..count.min(room) {
        let Some(engine) = p.candidate(from) else { break };
        let write_number = p.mark_dirty();
        p.engines[engine].changing = true;
        p.changes.push(Change { engine, from, to, phase: Phase::Draining, write_number });
        log::debug!(step = "plan", peer:% = p.engines[engine].name; "changing {from:?} to {to:?}");
    }
}

fn write_record(p: &mut Piece, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
    let r = &p.record;
    let due = r.last_write.is_none_or(|t| now >= t + p.settings.write_interval);
    if !r.dirty || r.in_flight.is_some() || !due {
        return;
    }
    let saved: Vec<ChangeIntent> = p.changes.iter().map(|c| c.to_record(&p.engines)).collect();
    let bytes = match encode(grant.fence, &saved) {
        Ok(b) => b,
        Err(RecordError::Large | RecordError::Version(_) | RecordError::Malformed) => {
            log::error!(step = "record"; "failed to encode the intent record");
            return;
        }
    };
    let number = p.record.next;
    let (next, in_flight, last_write) = (number + 1, Some(number), Some(now));
    p.record = WriteState { dirty: false, next, in_flight, last_write };
    out.push(Action::Write { number, bytes });
}
