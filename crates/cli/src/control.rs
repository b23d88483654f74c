//! Control of the roles of engines in a running instance.
//!
//! The configuration names the pools whose roles are controlled, each in pieces. A few instances
//! stand for the lease of each piece; its holder steps the pure controller of [`agate_ctl`], which
//! decides what to read, to record and to order. This module only moves data: `post` makes pieces
//! from the configuration, `term` carries out one holder's actions, `talk` and `voices` hold
//! what holder and instances tell each other.

mod meter;
mod post;
mod record;
mod talk;
mod term;
mod voices;

use {
    self::{
        meter::Meter,
        post::{Post, posts},
        talk::{Said, TOPIC, Tell, Told},
        term::Term,
    },
    crate::mesh::{self, Mesh},
    agate_core::Mono,
    agate_flow::gate::Gate,
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
const TICK: Duration = Duration::from_millis(250);
/// Time between two looks at the configuration and the members.
const LOOK: Duration = Duration::from_millis(500);
/// Time after a failure to take over the record of a piece.
const RETRY: Duration = Duration::from_secs(1);
/// Candidates of each piece's lease.
const CANDIDATES: usize = 3;
/// Longest time to free the leases at a graceful stop.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);

/// What the pieces share.
pub(crate) struct Common {
    own: Name,
    start: u64,
    mesh: Arc<Mesh>,
    gate: Arc<Gate>,
    store: Store,
    meter: Meter,
    told: Mutex<Told>,
}

struct Running {
    post: Arc<Post>,
    lease: Lease,
    task: JoinHandle<()>,
}

/// Control of the pieces of one instance.
pub struct Control {
    common: Arc<Common>,
    pieces: Mutex<IndexMap<String, Running>>,
    task: OnceLock<JoinHandle<()>>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.halt();
    }
}

impl Control {
    /// Starts to follow the configuration and to stand for the leases of its pieces.
    pub fn spawn(name: &str, store: &Store, mesh: &Arc<Mesh>, gate: &Arc<Gate>) -> Arc<Self> {
        let common = Arc::new(Common {
            own: name.into(),
            start: rand::random(),
            mesh: mesh.clone(),
            gate: gate.clone(),
            store: store.clone(),
            meter: Meter::open(&gate.meter.registry),
            told: Mutex::default(),
        });
        let weak = Arc::downgrade(&common);
        mesh.serve_roles(Arc::new(move |topic, bytes| {
            let tell: Tell = if topic == TOPIC { mesh::decode(bytes)? } else { return None };
            Some(mesh::encode(&weak.upgrade()?.answer(tell)?))
        }));
        let control = Self { common, pieces: Mutex::default(), task: OnceLock::new() };
        let control = Arc::new(control);
        let _ = control.task.set(tokio::spawn(follow(Arc::downgrade(&control))));
        control
    }

    /// Pieces for which this instance may act now.
    pub fn held(&self) -> usize {
        self.pieces().values().filter(|r| r.lease.may_act().is_some()).count()
    }

    /// Ends all work at once, as a crash would.
    pub fn halt(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
        // Without a handle its lease is not renewed any more.
        for (_, running) in self.pieces().drain(..) {
            running.task.abort();
        }
    }

    /// Ends all work and frees the leases, so that others go on at once.
    pub async fn release(&self) {
        let leases: Vec<Lease> = self.pieces().values().map(|r| r.lease.clone()).collect();
        self.halt();
        let _ = timeout(RELEASE_LIMIT, join_all(leases.iter().map(Lease::release))).await;
    }

    fn pieces(&self) -> MutexGuard<'_, IndexMap<String, Running>> {
        self.pieces.lock().expect("no holder of the lock panics")
    }

    /// Takes over the pieces of the configuration in force.
    fn reconcile(&self) {
        let posts = posts(&self.common.gate.current.load());
        self.common.told().retain(|piece| posts.contains_key(piece));
        let mut pieces = self.pieces();
        pieces.retain(|name, running| {
            let kept = posts.contains_key(name);
            if !kept {
                running.task.abort();
            }
            kept
        });
        for (name, post) in posts {
            let old = pieces.shift_remove(&name);
            let next = match old {
                Some(old) if *old.post == post => old,
                old => self.start(post, old),
            };
            pieces.insert(name, next);
        }
    }

    /// Starts the control of a piece, in place of `old` if it was another before.
    fn start(&self, post: Post, old: Option<Running>) -> Running {
        let (lease, former) = match old {
            Some(old) => (old.lease, Some(old.task)),
            None => {
                let holder = format!("{}@{:016x}", self.common.own, self.common.start);
                let settings = LeaseSettings::new(&*post.name, holder);
                (Lease::spawn(self.common.store.clone(), settings), None)
            }
        };
        let post = Arc::new(post);
        let task = tokio::spawn(run(self.common.clone(), post.clone(), lease.clone(), former));
        Running { post, lease, task }
    }

    /// Stands for the leases whose few candidates this instance is among.
    fn stand(&self) {
        let live = self.common.live();
        let own = &self.common.own;
        for (name, running) in self.pieces().iter() {
            let names = live.iter().chain([own]).map(|m| &**m);
            let wanted = candidates(name, names, CANDIDATES).contains(&&**own);
            running.lease.set_wanted(wanted);
        }
        self.common.meter.pieces.set(self.held() as i64);
    }
}

impl Common {
    fn now(&self) -> Mono {
        self.gate.now()
    }

    /// Other live instances of the region.
    fn live(&self) -> Vec<Name> {
        let live = self.mesh.live();
        live.iter().filter(|m| !m.contact).map(|m| m.name.clone()).collect()
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().expect("no holder of the lock panics")
    }

    /// Takes over what a holder tells and answers it; none if it is no longer the holder, or if the
    /// pool is not known here.
    fn answer(&self, tell: Tell) -> Option<Said> {
        let pool = self.gate.current.load().pools().find(|(_, p)| *p.name == *tell.pool)?.0;
        let draining = tell.draining.clone();
        if !self.told().hear(tell, self.now()) {
            return None;
        }
        self.apply();
        let desk = self.gate.desk(pool);
        Some(Said {
            start: self.start,
            prompt: desk.work.prompt.load(Ordering::Relaxed),
            output: desk.work.output.load(Ordering::Relaxed),
            open: self.gate.open_at(&draining),
        })
    }

    /// Puts what was told in force on the request path.
    fn apply(&self) {
        let engines = self.told().engines(self.now());
        self.gate.set_engines(engines);
    }
}

async fn follow(control: Weak<Control>) {
    let mut seen = None;
    while let Some(control) = control.upgrade() {
        let generation = control.common.gate.current.generation();
        if seen.replace(generation) != Some(generation) {
            control.reconcile();
        }
        control.stand();
        control.common.apply();
        drop(control);
        sleep(LOOK).await;
    }
}

/// Controls one piece whenever its lease is held, once `former` has ended.
async fn run(common: Arc<Common>, post: Arc<Post>, lease: Lease, former: Option<JoinHandle<()>>) {
    if let Some(former) = former {
        former.abort();
        let _ = former.await;
    }
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut term: Option<Term> = None;
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => None,
            Some(event) = next(&mut term) => Some(event),
        };
        match (&mut term, event) {
            (Some(term), Some(event)) => term.take(event),
            (Some(held), None) => {
                if !held.tick() {
                    term = None;
                }
            }
            (None, _) => {
                term = Term::begin(&common, &post, &lease).await;
                if term.is_none() && lease.may_act().is_some() {
                    common.meter.terms.with_label_values(&["refused"]).inc();
                    sleep(RETRY).await;
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
