//! One term of authority over a piece: steps the pure controller and carries its actions out.

use {
    super::{
        Common,
        post::{ORDER_LIFE, Post, named},
        record,
        talk::{Said, TOPIC, Tell},
        voices::Voices,
    },
    agate_core::{FenceToken, Mono},
    agate_ctl::{Action, Change, Grant, Input, Phase, Piece, Reading, step},
    agate_lease::Lease,
    agate_order::{Order, give},
    agate_store::Revision,
    agate_wire::Name,
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, task::JoinSet},
};

/// Longest time to read the state of an engine.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// Time between two questions to an instance, and between two observations of the demand.
const ASK_PERIOD: Duration = Duration::from_secs(1);
/// Instances asked in one period at most; with more of them, each is asked less often.
const ASKED: usize = 64;
/// Time after the first question from which the demand is known.
const LISTEN: Duration = Duration::from_secs(3);

/// What tasks report back.
pub enum Event {
    /// An engine was read.
    Read(usize, u64, Option<Reading>),
    /// An order ended.
    Ordered(usize, u64, agate_ctl::Outcome),
    /// A write of the record ended: its revision, or the one found instead if known.
    Saved(u64, Result<Revision, Option<Revision>>),
    /// An instance answered a question sent then that named these drained engines.
    Said(Name, Mono, Vec<String>, Said),
}

/// One term of authority over a piece. Dropping it resets the connections of its orders.
pub struct Term {
    /// Fencing token.
    pub fence: FenceToken,
    common: Arc<Common>,
    post: Arc<Post>,
    lease: Lease,
    piece: Piece,
    revision: Revision,
    voices: Voices,
    /// When drained engines were first seen to be so.
    drained: IndexMap<usize, Mono>,
    /// Engines that were asked for their state and answered or failed to.
    seen: IndexSet<usize>,
    /// When the first and the last question was sent to the instances.
    asked: Option<(Mono, Mono)>,
    turn: usize,
    /// Part of the identifiers of orders that differs between terms.
    start: u32,
    events: mpsc::UnboundedSender<Event>,
    inbox: mpsc::UnboundedReceiver<Event>,
    tasks: JoinSet<()>,
}

impl Drop for Term {
    fn drop(&mut self) {
        log::info!("{}: term {} of control ended", self.post.name, self.fence);
        self.common.meter.terms.with_label_values(&["lost"]).inc();
    }
}

impl Term {
    /// Begins a term if the lease is held: takes over the record of intentions.
    pub async fn begin(common: &Arc<Common>, post: &Arc<Post>, lease: &Lease) -> Option<Self> {
        let fence = lease.may_act()?;
        let (revision, saved) = record::take_over(&common.store, &post.name, fence).await?;
        let now = common.now();
        let until = now + lease.left().filter(|_| lease.may_act() == Some(fence))?;
        // Orders of an earlier term may still arrive. Engines that refuse old tokens need no longer
        // waiting for a holder that was paused.
        let paused = lease.first_order_in(ORDER_LIFE).filter(|_| !post.fenced);
        let first_order = now + paused.unwrap_or_default().max(ORDER_LIFE);
        let mut piece = post.piece();
        step(&mut piece, Input::Granted(Grant { fence, until, first_order }, saved), now);
        log::info!("{}: term {fence} of control began", post.name);
        common.meter.terms.with_label_values(&["gained"]).inc();
        let (events, inbox) = mpsc::unbounded_channel();
        Some(Self {
            fence,
            common: common.clone(),
            post: post.clone(),
            lease: lease.clone(),
            piece,
            revision,
            voices: Voices::default(),
            drained: IndexMap::new(),
            seen: IndexSet::new(),
            asked: None,
            turn: 0,
            start: rand::random(),
            events,
            inbox,
            tasks: JoinSet::new(),
        })
    }

    /// Next report of a task.
    pub async fn next(&mut self) -> Option<Event> {
        self.inbox.recv().await
    }

    /// Goes on for a while; false if the authority is gone.
    pub fn tick(&mut self) -> bool {
        while self.tasks.try_join_next().is_some() {}
        let Some(left) = self.lease.left().filter(|_| self.may_act()) else { return false };
        let now = self.common.now();
        self.input(Input::Renewed(now + left));
        let due = self.asked.is_none_or(|(_, last)| now >= last + ASK_PERIOD);
        // Until all roles were read, what is told of them could be wrong.
        if due && self.seen.len() == self.post.engines.len() {
            let first = self.asked.map_or(now, |(first, _)| first);
            self.asked = Some((first, now));
            self.ask(now);
            if now >= first + LISTEN {
                self.input(Input::Observed(self.voices.demand(now)));
            }
        }
        self.input(Input::Tick);
        true
    }

    /// Takes in the report of a task.
    pub fn take(&mut self, event: Event) {
        match event {
            Event::Read(i, number, reading) => {
                self.seen.insert(i);
                let reading = reading.map(|r| self.corrected(i, r));
                self.input(Input::Read(i, number, reading));
            }
            Event::Ordered(i, number, outcome) => self.input(Input::Ordered(i, number, outcome)),
            Event::Saved(number, Ok(revision)) => {
                self.revision = revision;
                self.input(Input::Recorded(number));
            }
            Event::Saved(_, Err(found)) => {
                // Earlier holders cannot write any more, so this is an earlier write of this term.
                self.revision = found.unwrap_or(self.revision);
                self.input(Input::Unrecorded);
            }
            Event::Said(from, asked, drained, said) => {
                self.voices.hear(from, &drained, asked, said, self.common.now());
            }
        }
    }

    fn may_act(&self) -> bool {
        self.lease.may_act() == Some(self.fence)
    }

    fn input(&mut self, input: Input) {
        let before = self.piece.changes.clone();
        let actions = step(&mut self.piece, input, self.common.now());
        self.count_ended(&before);
        actions.into_iter().for_each(|a| self.carry_out(a));
    }

    fn count_ended(&self, before: &[Change]) {
        let goes_on = |c: &Change| self.piece.changes.iter().any(|d| d.engine == c.engine);
        for c in before.iter().filter(|c| !goes_on(c)) {
            let engine = &self.piece.engines[c.engine];
            let result = match c.phase {
                Phase::Verified if engine.role == c.to => "done",
                Phase::Undoing if engine.role == c.from => "undone",
                _ => "dropped",
            };
            log::info!("{}: change of {} to {:?} {result}", self.post.name, engine.name, c.to);
            self.common.meter.changes.with_label_values(&[result]).inc();
        }
    }

    /// A state with the requests that instances still have at a drained engine, because the load
    /// that engines report lags behind.
    fn corrected(&mut self, i: usize, reading: Reading) -> Reading {
        if !reading.draining {
            self.drained.shift_remove(&i);
            return reading;
        }
        let now = self.common.now();
        let since = *self.drained.entry(i).or_insert(now);
        let mut live = self.common.live();
        live.push(self.common.own.clone());
        let open = self.voices.open_at(&self.post.engines[i].name, since, &live, now);
        Reading { running: reading.running.max(open), ..reading }
    }

    fn tell(&self) -> Tell {
        let changes = self.piece.changes.iter();
        let draining = changes.map(|c| self.post.engines[c.engine].name.clone()).collect();
        let engines = self.piece.engines.iter().zip(&self.post.engines);
        let differ = engines.filter(|(e, listed)| e.role != listed.role);
        Tell {
            piece: self.post.name.clone(),
            fence: self.fence,
            pool: self.post.pool.clone(),
            draining,
            roles: differ.map(|(e, l)| (l.name.clone(), named(e.role))).collect(),
        }
    }

    /// Tells the next instances of the piece and asks for their part of the demand.
    fn ask(&mut self, now: Mono) {
        let tell = self.tell();
        if let Some(said) = self.common.answer(tell.clone()) {
            let own = self.common.own.clone();
            self.voices.hear(own, &tell.draining, now, said, now);
        }
        let live = self.common.live();
        let count = live.len().min(ASKED);
        let next = live.into_iter().cycle().skip(self.turn).take(count);
        let next: Vec<Name> = next.collect();
        self.turn = (self.turn + count) % self.common.live().len().max(1);
        for member in next {
            let (mesh, events, tell) =
                (self.common.mesh.clone(), self.events.clone(), tell.clone());
            self.tasks.spawn(async move {
                let said: Option<Said> = mesh.ask(&member, TOPIC, &tell).await;
                if let Some(said) = said {
                    let _ = events.send(Event::Said(member, now, tell.draining, said));
                }
            });
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write { number, bytes } => self.write(number, bytes),
            Action::Read { engine, number } => self.read(engine, number),
            Action::Order { engine, fence, number, verb, expires } => {
                assert_eq!(fence, self.fence, "an order carries the token of its term");
                let id = format!("{}/{fence}.{:08x}.{number}", self.post.name, self.start);
                self.order(engine, number, Order { id, fence, verb }, expires);
            }
        }
    }

    fn write(&mut self, number: u64, bytes: Vec<u8>) {
        let (store, events) = (self.common.store.clone(), self.events.clone());
        let (name, expect) = (self.post.name.clone(), self.revision);
        self.tasks.spawn(async move {
            let saved = record::save(&store, &name, expect, bytes).await;
            let _ = events.send(Event::Saved(number, saved));
        });
    }

    fn read(&mut self, engine: usize, number: u64) {
        let (address, events) = (self.post.engines[engine].address, self.events.clone());
        let reads = self.common.meter.reads.clone();
        self.tasks.spawn(async move {
            let reading = agate_order::read(address, READ_LIMIT).await;
            let result = if reading.is_ok() { "answered" } else { "failed" };
            reads.with_label_values(&[result]).inc();
            let reading = reading.inspect_err(|e| log::debug!("{e}")).ok();
            let _ = events.send(Event::Read(engine, number, reading));
        });
    }

    fn order(&mut self, engine: usize, number: u64, order: Order, expires: Mono) {
        let (address, events) = (self.post.engines[engine].address, self.events.clone());
        let (lease, common) = (self.lease.clone(), self.common.clone());
        let orders = common.meter.orders.clone();
        let life = expires.saturating_sub(common.now());
        let fence = order.fence;
        let allow = Arc::new(move || lease.may_act() == Some(fence) && common.now() < expires);
        self.tasks.spawn(async move {
            let outcome = give(address, &order, life, allow).await;
            log::info!("order {} to {address}, {:?}: {outcome:?}", order.id, order.verb);
            orders.with_label_values(&[outcome.label()]).inc();
            let _ = events.send(Event::Ordered(engine, number, outcome.verdict()));
        });
    }
}
