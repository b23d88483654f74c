//! A piece of engines and the entry point of its control.

use {
    crate::{
        Change, Demand, Forecast, Phase, RecordError, Saved, Settings, Split, choose_split, encode,
    },
    agate_core::{FenceToken, Grant, Mono, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What work an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Prompt processing.
    Prefill,
    /// Token generation.
    Decode,
}

/// State of an engine as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Its role.
    pub role: Role,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Whether it carries out an order.
    pub busy: bool,
}

/// An engine of the piece.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its role as last known.
    pub role: Role,
    /// Last state read since the last order ended, and when, if it answered.
    pub(crate) reading: Option<(Mono, Reading)>,
    /// Whether a change of it is under way.
    pub(crate) changing: bool,
    /// Whether the present holder has asked for its state and had an answer or none.
    pub(crate) known: bool,
    /// Number and time of the last request for its state since the last order.
    pub(crate) asked: Option<(u64, Mono)>,
    /// When it first failed to answer since it last did.
    pub(crate) absent: Option<Mono>,
    /// Order under way: its number and when it can no longer arrive.
    pub(crate) flight: Option<(u64, Mono)>,
    /// Time before which an earlier order may still arrive.
    pub(crate) quiet: Mono,
}

impl Engine {
    /// Returns an engine whose role is known from its listing.
    pub fn new(name: impl Into<Arc<str>>, zone: ZoneId, role: Role) -> Self {
        Self {
            name: name.into(),
            zone,
            role,
            reading: None,
            changing: false,
            known: false,
            asked: None,
            absent: None,
            flight: None,
            quiet: Mono::ZERO,
        }
    }
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine carried it out or took it on.
    Done,
    /// The engine refused it; nothing happened.
    Refused,
    /// The order may or may not arrive or have arrived.
    Unknown,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verb {
    /// Take no new work.
    Drain,
    /// Take new work again.
    Undrain,
    /// Change to this role.
    Role(Role),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Demand was observed.
    Observed(Demand),
    /// Authority was granted to a new holder, with the intentions of the last one.
    Granted(Grant, Vec<Saved>),
    /// The holder's authority was renewed until this time.
    Renewed(Mono),
    /// Authority was lost.
    Lost,
    /// The record with this number was written.
    Recorded(u64),
    /// Writing the record failed or its result is unknown.
    Unrecorded,
    /// The request with this number for an engine's state ended, with `None` if there was no answer.
    Read(usize, u64, Option<Reading>),
    /// The order with this number ended.
    Ordered(usize, u64, Outcome),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes the record under the holder's authority.
    Write {
        /// Number to report back.
        number: u64,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Reads the state of an engine.
    Read {
        /// The engine.
        engine: usize,
        /// Number to report back.
        number: u64,
    },
    /// Sends an order within the authority; it must not reach the engine after `expires`.
    Order {
        /// The engine.
        engine: usize,
        /// Fencing token.
        fence: FenceToken,
        /// Number to report back, unique under this fencing token.
        number: u64,
        /// What is asked for.
        verb: Verb,
        /// Time after which the order must not be delivered.
        expires: Mono,
    },
}

/// Control of one piece of engines.
#[derive(Clone, Debug)]
pub struct Piece {
    /// Settings.
    pub settings: Settings,
    /// Engines, by their position in this table.
    pub engines: Vec<Engine>,
    /// Role changes under way.
    pub changes: Vec<Change>,
    pub(crate) forecast: Forecast,
    pub(crate) grant: Option<Grant>,
    pub(crate) number: u64,
    record: Record,
    planned: Option<Mono>,
    survey: Survey,
}

/// Progress of reading all engines in turn.
#[derive(Clone, Debug, Default)]
struct Survey {
    next: usize,
    since: Mono,
    /// Reads that may be made now.
    credit: f64,
}

/// Progress of writing the record.
#[derive(Clone, Debug, Default)]
struct Record {
    dirty: bool,
    /// Number that the next write will have.
    next: u64,
    /// Write under way, and when it began.
    writing: Option<u64>,
    written: Option<Mono>,
}

impl Piece {
    /// Returns the control of these engines, without authority.
    pub fn new(settings: Settings, engines: Vec<Engine>) -> Self {
        let forecast = Forecast::new(settings.lags.0, settings.lags.1);
        let record = Record { next: 1, ..Record::default() };
        Self {
            settings,
            engines,
            changes: Vec::new(),
            forecast,
            grant: None,
            number: 0,
            record,
            planned: None,
            survey: Survey::default(),
        }
    }

    /// Engines by role, those under change counted with the role they change to.
    pub fn split(&self) -> Split {
        let of = |r| self.engines.iter().filter(|e| e.absent.is_none() && e.role == r).count();
        let mut s = Split { prefill: of(Role::Prefill), decode: of(Role::Decode) };
        for c in self.changes.iter().filter(|c| c.moves()) {
            let e = &self.engines[c.engine];
            if e.absent.is_some() || e.role != c.from {
                continue;
            }
            match c.to {
                Role::Prefill => (s.prefill, s.decode) = (s.prefill + 1, s.decode - 1),
                Role::Decode => (s.prefill, s.decode) = (s.prefill - 1, s.decode + 1),
            }
        }
        s
    }

    /// Approximate bytes of the state.
    pub fn bytes(&self) -> usize {
        let names: usize = self.engines.iter().map(|e| e.name.len() + 16).sum();
        let engines = self.engines.capacity() * size_of::<Engine>();
        size_of::<Self>() + engines + names + self.changes.capacity() * size_of::<Change>()
    }

    /// Whether orders may be given now.
    pub(crate) fn authority(&self, now: Mono) -> Option<Grant> {
        self.grant.filter(|g| now >= g.first_order && now < g.until)
    }

    /// Marks the record as changed and returns the number of the write that will hold the change.
    pub(crate) fn touch(&mut self) -> u64 {
        self.record.dirty = true;
        self.record.next
    }

    /// Whether the write with this number was confirmed.
    pub(crate) fn is_durable(&self, stamp: u64) -> bool {
        stamp < self.record.next && self.record.writing.is_none_or(|w| stamp < w)
    }
}

/// Takes one input and returns what is to be done.
pub fn step(p: &mut Piece, input: Input, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    match input {
        Input::Tick => tick(p, now, &mut out),
        Input::Observed(d) => p.forecast.observe(d, now),
        Input::Granted(g, saved) => granted(p, g, saved),
        Input::Renewed(until) => {
            if let Some(g) = &mut p.grant {
                g.until = until;
            }
        }
        Input::Lost => p.grant = None,
        Input::Recorded(number) => {
            if p.record.writing == Some(number) {
                p.record.writing = None;
            }
        }
        Input::Unrecorded => {
            // The next write has the same number, so nothing that waits for it is durable yet.
            if let Some(n) = p.record.writing.take() {
                p.record.next = n;
                p.record.dirty = true;
            }
        }
        Input::Read(i, number, reading) => p.take_reading(i, number, reading, now),
        Input::Ordered(i, number, outcome) => p.take_outcome(i, number, outcome),
    }
    out
}

fn granted(p: &mut Piece, grant: Grant, saved: Vec<Saved>) {
    p.grant = Some(grant);
    p.changes.clear();
    p.record = Record { next: p.record.next + 1, ..Record::default() };
    p.planned = None;
    for e in &mut p.engines {
        (e.reading, e.asked, e.flight) = (None, None, None);
        (e.known, e.changing) = (false, false);
        e.quiet = e.quiet.max(grant.first_order);
    }
    for s in saved {
        let Some(engine) = p.engines.iter().position(|e| *e.name == *s.engine) else { continue };
        p.engines[engine].changing = true;
        // Stamp zero: the intention was found in the store.
        p.changes.push(Change { engine, from: s.from, to: s.to, phase: s.phase, stamp: 0 });
    }
}

fn tick(p: &mut Piece, now: Mono, out: &mut Vec<Action>) {
    let Some(grant) = p.authority(now) else { return };
    p.expire_flights(now);
    survey(p, now, out);
    let due = p.planned.is_none_or(|t| now >= t + p.settings.period);
    if due && p.forecast.is_ready() && p.engines.iter().all(|e| e.known) {
        p.planned = Some(now);
        plan(p);
    }
    p.progress(&grant, now, out);
    write_record(p, &grant, now, out);
}

/// Reads some engines, all in turn, within the rate of the settings.
fn survey(p: &mut Piece, now: Mono, out: &mut Vec<Action>) {
    let total = p.engines.len();
    let passed = now.saturating_sub(p.survey.since).as_secs_f64();
    p.survey.since = now;
    p.survey.credit = (p.survey.credit + passed * p.settings.survey).min(p.settings.survey);
    let reads = (p.survey.credit as usize).min(total);
    p.survey.credit -= reads as f64;
    for _ in 0..reads {
        let i = p.survey.next % total;
        p.survey.next = i + 1;
        p.ask(i, now, out);
    }
}

fn plan(p: &mut Piece) {
    let current = p.split();
    let chosen = choose_split(&p.settings, current, |ahead| p.forecast.ahead(ahead));
    let (from, to, count) = if chosen.prefill < current.prefill {
        (Role::Prefill, Role::Decode, current.prefill - chosen.prefill)
    } else {
        (Role::Decode, Role::Prefill, chosen.prefill - current.prefill)
    };
    let room = p.settings.max_away(p.engines.len()).saturating_sub(p.changes.len());
    for _ in 0..count.min(room) {
        let Some(engine) = p.candidate(from) else { break };
        let stamp = p.touch();
        p.engines[engine].changing = true;
        p.changes.push(Change { engine, from, to, phase: Phase::Draining, stamp });
        log::debug!(step = "plan", peer:% = p.engines[engine].name; "change {from:?} to {to:?}");
    }
}

fn write_record(p: &mut Piece, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
    let r = &p.record;
    let due = r.written.is_none_or(|t| now >= t + p.settings.rewrite);
    if !r.dirty || r.writing.is_some() || !due {
        return;
    }
    let saved: Vec<Saved> = p.changes.iter().map(|c| c.saved(&p.engines)).collect();
    let bytes = match encode(grant.fence, &saved) {
        Ok(b) => b,
        Err(RecordError::Large | RecordError::Version(_) | RecordError::Malformed) => {
            log::error!(step = "record"; "the record of intentions cannot be encoded");
            return;
        }
    };
    let number = p.record.next;
    let (next, writing, written) = (number + 1, Some(number), Some(now));
    p.record = Record { dirty: false, next, writing, written };
    out.push(Action::Write { number, bytes });
}
