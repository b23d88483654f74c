//! One term of authority over a piece: runs the pure controller and executes its actions.

use {
    super::{
        Shared,
        piece_spec::{ORDER_LIFE, PieceSpec, config_role},
        record,
        reports::ReportTable,
        updates::{PieceUpdate, TOPIC, WorkReport},
    },
    agate_core::{FenceToken, Mono},
    agate_ctl::{Action, Change, EngineState, Grant, Input, Phase, Piece, step},
    agate_lease::Lease,
    agate_order::{Order, send_order},
    agate_store::Revision,
    agate_wire::Name,
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, task::JoinSet},
};

/// Timeout of a read of an engine's state.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two polls of an instance, and between two observations of the demand.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of instances polled in one interval; a larger fleet is polled in turn.
const MAX_POLLED: usize = 64;
/// Time after the first poll from which the demand counts as known.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Results that tasks send to the term.
pub enum Event {
    /// State of an engine, by engine and action number; `None` if the read failed.
    Read(usize, u64, Option<EngineState>),
    /// Outcome of an order, by engine and action number.
    Ordered(usize, u64, agate_ctl::Outcome),
    /// Result of a write of the record: its new revision, or the revision found instead, if known.
    Saved(u64, Result<Revision, Option<Revision>>),
    /// Report of an instance, with the time of the poll and the draining engines named in it.
    Reported(Name, Mono, Vec<String>, WorkReport),
}

/// One term of authority over a piece. Dropping it aborts its tasks and resets the connections of
/// its orders.
pub struct Term {
    /// Fencing token of the term.
    pub fence: FenceToken,
    shared: Arc<Shared>,
    spec: Arc<PieceSpec>,
    lease: Lease,
    piece: Piece,
    revision: Revision,
    reports: ReportTable,
    /// Time at which each draining engine was first read as draining.
    drained: IndexMap<usize, Mono>,
    /// Engines whose state was read at least once, with or without success.
    read_engines: IndexSet<usize>,
    /// Times of the first and the last poll of the instances.
    poll_times: Option<(Mono, Mono)>,
    rotation: usize,
    /// Random part of order identifiers, which differs between terms.
    order_salt: u32,
    events: mpsc::UnboundedSender<Event>,
    inbox: mpsc::UnboundedReceiver<Event>,
    tasks: JoinSet<()>,
}

impl Drop for Term {
    fn drop(&mut self) {
        log::info!("{}: control term {} ended", self.spec.name, self.fence);
        self.shared.metrics.terms.with_label_values(&["lost"]).inc();
    }
}

impl Term {
    /// Starts a term if the lease is held, and takes over the piece's record.
    pub async fn begin(shared: &Arc<Shared>, spec: &Arc<PieceSpec>, lease: &Lease) -> Option<Self> {
        let fence = lease.may_act()?;
        let (revision, saved) = record::take_over(&shared.store, &spec.name, fence).await?;
        let now = shared.now();
        let until = now + lease.remaining().filter(|_| lease.may_act() == Some(fence))?;
        // Orders of an earlier term may still arrive until they expire. For engines that refuse old
        // tokens this wait is enough; for others, the lease adds the time that a paused previous
        // holder may take.
        let paused = lease.first_order_in(ORDER_LIFE).filter(|_| !spec.fenced);
        let first_order = now + paused.unwrap_or_default().max(ORDER_LIFE);
        let mut piece = spec.piece();
        step(&mut piece, Input::Granted(Grant { fence, until, first_order }, saved), now);
        log::info!("{}: control term {fence} began", spec.name);
        shared.metrics.terms.with_label_values(&["gained"]).inc();
        let (events, inbox) = mpsc::unbounded_channel();
        Some(Self {
            fence,
            shared: shared.clone(),
            spec: spec.clone(),
            lease: lease.clone(),
            piece,
            revision,
            reports: ReportTable::default(),
            drained: IndexMap::new(),
            read_engines: IndexSet::new(),
            poll_times: None,
            rotation: 0,
            order_salt: rand::random(),
            events,
            inbox,
            tasks: JoinSet::new(),
        })
    }

    /// Waits for the next result of a task.
    pub async fn next(&mut self) -> Option<Event> {
        self.inbox.recv().await
    }

    /// Advances the controller; false if the authority is lost.
    pub fn tick(&mut self) -> bool {
        while self.tasks.try_join_next().is_some() {}
        let Some(left) = self.lease.remaining().filter(|_| self.may_act()) else { return false };
        let now = self.shared.now();
        self.apply(Input::Renewed(now + left));
        let due = self.poll_times.is_none_or(|(_, last)| now >= last + POLL_INTERVAL);
        // Until all engines were read, their roles are unknown and an update could be wrong.
        if due && self.read_engines.len() == self.spec.engines.len() {
            let first = self.poll_times.map_or(now, |(first, _)| first);
            self.poll_times = Some((first, now));
            self.poll_instances(now);
            if now >= first + OBSERVATION_TIME {
                self.apply(Input::Observed(self.reports.demand(now)));
            }
        }
        self.apply(Input::Tick);
        true
    }

    /// Applies the result of a task.
    pub fn on_event(&mut self, event: Event) {
        match event {
            Event::Read(i, number, reading) => {
                self.read_engines.insert(i);
                let reading = reading.map(|r| self.add_open_requests(i, r));
                self.apply(Input::Read(i, number, reading));
            }
            Event::Ordered(i, number, outcome) => self.apply(Input::Ordered(i, number, outcome)),
            Event::Saved(number, Ok(revision)) => {
                self.revision = revision;
                self.apply(Input::Recorded(number));
            }
            Event::Saved(_, Err(found)) => {
                // Earlier holders can no longer write, so an earlier write of this term succeeded.
                self.revision = found.unwrap_or(self.revision);
                self.apply(Input::RecordFailed);
            }
            Event::Reported(from, polled, drained, report) => {
                self.reports.record(from, &drained, polled, report, self.shared.now());
            }
        }
    }

    fn may_act(&self) -> bool {
        self.lease.may_act() == Some(self.fence)
    }

    fn apply(&mut self, input: Input) {
        let before = self.piece.changes.clone();
        let actions = step(&mut self.piece, input, self.shared.now());
        self.record_ended(&before);
        actions.into_iter().for_each(|a| self.execute(a));
    }

    fn record_ended(&self, before: &[Change]) {
        let continues = |c: &Change| self.piece.changes.iter().any(|d| d.engine == c.engine);
        for c in before.iter().filter(|c| !continues(c)) {
            let engine = &self.piece.engines[c.engine];
            let result = match c.phase {
                Phase::Verified if engine.role == c.to => "done",
                Phase::Undoing if engine.role == c.from => "undone",
                _ => "dropped",
            };
            log::info!("{}: change of {} to {:?} {result}", self.spec.name, engine.name, c.to);
            self.shared.metrics.changes.with_label_values(&[result]).inc();
        }
    }

    /// Raises the running requests of a draining engine to those that instances still report as
    /// open, because the load reported by engines lags.
    fn add_open_requests(&mut self, i: usize, reading: EngineState) -> EngineState {
        if !reading.draining {
            self.drained.shift_remove(&i);
            return reading;
        }
        let now = self.shared.now();
        let since = *self.drained.entry(i).or_insert(now);
        let mut live = self.shared.live();
        live.push(self.shared.own.clone());
        let open = self.reports.open_at(&self.spec.engines[i].name, since, &live, now);
        EngineState { running: reading.running.max(open), ..reading }
    }

    fn current_update(&self) -> PieceUpdate {
        let changes = self.piece.changes.iter();
        let draining = changes.map(|c| self.spec.engines[c.engine].name.clone()).collect();
        let engines = self.piece.engines.iter().zip(&self.spec.engines);
        let changed = engines.filter(|(e, listed)| e.role != listed.role);
        PieceUpdate {
            piece: self.spec.name.clone(),
            fence: self.fence,
            pool: self.spec.pool.clone(),
            draining,
            roles: changed.map(|(e, l)| (l.name.clone(), config_role(e.role))).collect(),
        }
    }

    /// Sends the update to the next instances in rotation and requests their reports.
    fn poll_instances(&mut self, now: Mono) {
        let update = self.current_update();
        if let Some(report) = self.shared.handle_update(update.clone()) {
            let own = self.shared.own.clone();
            self.reports.record(own, &update.draining, now, report, now);
        }
        let live = self.shared.live();
        let count = live.len().min(MAX_POLLED);
        let next = live.into_iter().cycle().skip(self.rotation).take(count);
        let next: Vec<Name> = next.collect();
        self.rotation = (self.rotation + count) % self.shared.live().len().max(1);
        for member in next {
            let (mesh, events, update) =
                (self.shared.mesh.clone(), self.events.clone(), update.clone());
            self.tasks.spawn(async move {
                let report: Option<WorkReport> = mesh.ask(&member, TOPIC, &update).await;
                if let Some(report) = report {
                    let _ = events.send(Event::Reported(member, now, update.draining, report));
                }
            });
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Write { number, bytes } => self.write(number, bytes),
            Action::Read { engine, number } => self.read(engine, number),
            Action::Order { engine, fence, number, verb, expires } => {
                assert_eq!(fence, self.fence, "an order carries the token of its term");
                let id = format!("{}/{fence}.{:08x}.{number}", self.spec.name, self.order_salt);
                self.order(engine, number, Order { id, fence, verb }, expires);
            }
        }
    }

    fn write(&mut self, number: u64, bytes: Vec<u8>) {
        let (store, events) = (self.shared.store.clone(), self.events.clone());
        let (name, expect) = (self.spec.name.clone(), self.revision);
        self.tasks.spawn(async move {
            let saved = record::save(&store, &name, expect, bytes).await;
            let _ = events.send(Event::Saved(number, saved));
        });
    }

    fn read(&mut self, engine: usize, number: u64) {
        let (address, events) = (self.spec.engines[engine].address, self.events.clone());
        let reads = self.shared.metrics.reads.clone();
        self.tasks.spawn(async move {
            let reading = agate_order::read(address, READ_TIMEOUT).await;
            let result = if reading.is_ok() { "answered" } else { "failed" };
            reads.with_label_values(&[result]).inc();
            let reading = reading.inspect_err(|e| log::debug!("{e}")).ok();
            let _ = events.send(Event::Read(engine, number, reading));
        });
    }

    fn order(&mut self, engine: usize, number: u64, order: Order, expires: Mono) {
        let (address, events) = (self.spec.engines[engine].address, self.events.clone());
        let (lease, shared) = (self.lease.clone(), self.shared.clone());
        let orders = shared.metrics.orders.clone();
        let life = expires.saturating_sub(shared.now());
        let fence = order.fence;
        let allow = Arc::new(move || lease.may_act() == Some(fence) && shared.now() < expires);
        self.tasks.spawn(async move {
            let outcome = send_order(address, &order, life, allow).await;
            log::info!("order {} to {address}, {:?}: {outcome:?}", order.id, order.verb);
            orders.with_label_values(&[outcome.label()]).inc();
            let _ = events.send(Event::Ordered(engine, number, outcome.control_outcome()));
        });
    }
}
