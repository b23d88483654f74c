//! Control of the prefill and decode roles of engines.
//!
//! The configuration names the pools whose roles are controlled and the number of pieces into which
//! each pool is divided. A few instances are candidates for the lease of each piece. The lease
//! holder runs the pure controller of [`agate_ctl`], which decides which engine states to read,
//! what to record and which orders to send. This module only transfers data: `piece_spec` derives
//! pieces from the configuration, `term` executes one holder's actions, and `updates` and `reports`
//! contain the messages between the holder and the instances.

mod metrics;
mod piece_spec;
mod record;
mod reports;
mod term;
mod updates;

use {
    self::{
        metrics::RoleMetrics,
        piece_spec::{PieceSpec, piece_specs},
        term::Term,
        updates::{PieceUpdate, PieceUpdates, TOPIC, WorkReport},
    },
    crate::mesh::{self, Mesh},
    agate_core::Mono,
    agate_flow::proxy_state::ProxyState,
    agate_lease::{Lease, Settings as LeaseSettings, rank::candidates},
    agate_store::Store,
    agate_wire::Name,
    futures_util::future::join_all,
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, Weak, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        task::JoinHandle,
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Time between two steps of a controller.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks of the configuration and the members.
const CONFIG_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed attempt to take over the record of a piece.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Number of candidates for each piece's lease.
const CANDIDATES: usize = 3;
/// Maximum time to release the leases at a graceful stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all pieces.
pub(crate) struct Shared {
    own: Name,
    incarnation: u64,
    mesh: Arc<Mesh>,
    proxy_state: Arc<ProxyState>,
    store: Store,
    metrics: RoleMetrics,
    updates: Mutex<PieceUpdates>,
}

struct RunningPiece {
    spec: Arc<PieceSpec>,
    lease: Lease,
    task: JoinHandle<()>,
}

/// Controls pieces of engines from one instance.
pub struct Control {
    shared: Arc<Shared>,
    pieces: Mutex<IndexMap<String, RunningPiece>>,
    task: OnceLock<JoinHandle<()>>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.halt();
    }
}

impl Control {
    /// Starts to follow the configuration and to run for the leases of its pieces.
    pub fn spawn(
        name: &str,
        store: &Store,
        mesh: &Arc<Mesh>,
        proxy_state: &Arc<ProxyState>,
    ) -> Arc<Self> {
        let shared = Arc::new(Shared {
            own: name.into(),
            incarnation: rand::random(),
            mesh: mesh.clone(),
            proxy_state: proxy_state.clone(),
            store: store.clone(),
            metrics: RoleMetrics::open(&proxy_state.metrics.registry),
            updates: Mutex::default(),
        });
        let weak = Arc::downgrade(&shared);
        mesh.serve_roles(Arc::new(move |topic, bytes| {
            let update: PieceUpdate =
                if topic == TOPIC { mesh::decode(bytes)? } else { return None };
            Some(mesh::encode(&weak.upgrade()?.handle_update(update)?))
        }));
        let control = Self { shared, pieces: Mutex::default(), task: OnceLock::new() };
        let control = Arc::new(control);
        let _ = control.task.set(tokio::spawn(follow(Arc::downgrade(&control))));
        control
    }

    /// Number of pieces whose lease this instance holds.
    pub fn held_pieces(&self) -> usize {
        self.pieces().values().filter(|r| r.lease.may_act().is_some()).count()
    }

    /// Stops all tasks at once, as a crash would.
    pub fn halt(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
        // A lease without a handle is no longer renewed.
        for (_, running) in self.pieces().drain(..) {
            running.task.abort();
        }
    }

    /// Stops all tasks and releases the leases, so that other instances can take over at once.
    pub async fn release(&self) {
        let leases: Vec<Lease> = self.pieces().values().map(|r| r.lease.clone()).collect();
        self.halt();
        let _ = timeout(RELEASE_TIMEOUT, join_all(leases.iter().map(Lease::release))).await;
    }

    fn pieces(&self) -> MutexGuard<'_, IndexMap<String, RunningPiece>> {
        self.pieces.lock().expect("no holder of the lock panics")
    }

    /// Starts, restarts and stops pieces to match the configuration in force.
    fn reconcile(&self) {
        let specs = piece_specs(&self.shared.proxy_state.current.load());
        self.shared.updates().retain(|piece| specs.contains_key(piece));
        let mut pieces = self.pieces();
        pieces.retain(|name, running| {
            let kept = specs.contains_key(name);
            if !kept {
                running.task.abort();
            }
            kept
        });
        for (name, spec) in specs {
            let old = pieces.shift_remove(&name);
            let next = match old {
                Some(old) if *old.spec == spec => old,
                old => self.start(spec, old),
            };
            pieces.insert(name, next);
        }
    }

    /// Starts the control of a piece; if `old` controlled a previous form of the piece, its lease
    /// is kept and its task ended first.
    fn start(&self, spec: PieceSpec, old: Option<RunningPiece>) -> RunningPiece {
        let (lease, former) = match old {
            Some(old) => (old.lease, Some(old.task)),
            None => {
                let holder = format!("{}@{:016x}", self.shared.own, self.shared.incarnation);
                let settings = LeaseSettings::new(&*spec.name, holder);
                (Lease::spawn(self.shared.store.clone(), settings), None)
            }
        };
        let spec = Arc::new(spec);
        let task = tokio::spawn(run(self.shared.clone(), spec.clone(), lease.clone(), former));
        RunningPiece { spec, lease, task }
    }

    /// Runs for the leases for which this instance is a candidate.
    fn update_candidacy(&self) {
        let live = self.shared.live();
        let own = &self.shared.own;
        for (name, running) in self.pieces().iter() {
            let names = live.iter().chain([own]).map(|m| &**m);
            let wanted = candidates(name, names, CANDIDATES).contains(&&**own);
            running.lease.set_candidate(wanted);
        }
        self.shared.metrics.pieces.set(self.held_pieces() as i64);
    }
}

impl Shared {
    fn now(&self) -> Mono {
        self.proxy_state.now()
    }

    /// Names of other live instances of the region.
    fn live(&self) -> Vec<Name> {
        let live = self.mesh.live();
        live.iter().filter(|m| !m.contact).map(|m| m.name.clone()).collect()
    }

    fn updates(&self) -> MutexGuard<'_, PieceUpdates> {
        self.updates.lock().expect("no holder of the lock panics")
    }

    /// Stores an update from a lease holder and returns this instance's report; `None` if the
    /// sender is no longer the holder or the pool is unknown here.
    fn handle_update(&self, update: PieceUpdate) -> Option<WorkReport> {
        let pool =
            self.proxy_state.current.load().pools().find(|(_, p)| *p.name == *update.pool)?.0;
        let draining = update.draining.clone();
        if !self.updates().update(update, self.now()) {
            return None;
        }
        self.apply_updates();
        let admission = self.proxy_state.admission(pool);
        Some(WorkReport {
            start: self.incarnation,
            prompt: admission.work.prompt.load(Ordering::Relaxed),
            output: admission.work.output.load(Ordering::Relaxed),
            open: self.proxy_state.open_at(&draining),
        })
    }

    /// Applies the stored updates to the request path.
    fn apply_updates(&self) {
        let engines = self.updates().engine_overrides(self.now());
        self.proxy_state.set_engines(engines);
    }
}

async fn follow(control: Weak<Control>) {
    let mut seen = None;
    while let Some(control) = control.upgrade() {
        let generation = control.shared.proxy_state.current.generation();
        if seen.replace(generation) != Some(generation) {
            control.reconcile();
        }
        control.update_candidacy();
        control.shared.apply_updates();
        drop(control);
        sleep(CONFIG_INTERVAL).await;
    }
}

/// Controls one piece while its lease is held, starting once `former` has ended.
async fn run(
    shared: Arc<Shared>,
    spec: Arc<PieceSpec>,
    lease: Lease,
    former: Option<JoinHandle<()>>,
) {
    if let Some(former) = former {
        former.abort();
        let _ = former.await;
    }
    let mut ticks = interval(STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut term: Option<Term> = None;
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => None,
            Some(event) = next(&mut term) => Some(event),
        };
        match (&mut term, event) {
            (Some(term), Some(event)) => term.on_event(event),
            (Some(held), None) => {
                if !held.tick() {
                    term = None;
                }
            }
            (None, _) => {
                term = Term::begin(&shared, &spec, &lease).await;
                if term.is_none() && lease.may_act().is_some() {
                    shared.metrics.terms.with_label_values(&["refused"]).inc();
                    sleep(TAKEOVER_DELAY).await;
                }
            }
        }
    }
}

async fn next(term: &mut Option<Term>) -> Option<term::Event> {
    match term {
        Some(term) => term.next().await,
        None => std::future::pending().await,
    }
}
