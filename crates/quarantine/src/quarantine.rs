//! The quarantine of one instance: evidence and suspicions in memory, the table in the store.

use {
    crate::{
        EndpointHash, Print,
        evidence::{Call, Evidence},
        hex,
        meter::Meter,
        suspicion::{Sign, Suspicions},
        table::{End, Table},
    },
    agate_core::{Mono, Wall},
    agate_store::{Purpose, Record, Result, Store},
    agate_view::clock,
    arc_swap::ArcSwap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex as Turn, Notify},
        time::{sleep, timeout},
    },
};

/// Key of the record.
const KEY: &str = "agate/suspects";
/// Signs in one message between instances, which share a datagram with other figures.
pub const SIGNS: usize = 12;
/// Writes of one change while others change the record too.
const WRITES: u32 = 4;
/// Tries to bring a result of a trial to the store.
const KEPT_TRIES: u32 = 6;
/// Pause between two of them, for each that failed.
const KEPT_PAUSE: Duration = Duration::from_millis(250);
/// Longest time that a trial waits for the store.
const BEGIN_LIMIT: Duration = Duration::from_millis(400);
/// Time after which a request may return that waits for the store, or for a trial elsewhere.
const COME_BACK: Duration = Duration::from_millis(250);
/// Time between two clean-ups, and looks at the record of an instance that hears no other one.
const LOOK: Duration = Duration::from_secs(2);
/// Looks between two of which the coordinator that leads reads: the others tell it of changes, unless
/// they follow another one.
const LEADER_LOOKS: u32 = 5;
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(200);
/// Time after which an instance that hears a coordinator adds a suspect itself.
const ADD_AFTER: Duration = Duration::from_secs(1);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It is not suspected.
    Free,
    /// Only as a trial.
    Trial,
    /// Not before this time has passed.
    Held(Duration),
}

/// How an instance hears of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// From a coordinator.
    Led,
    /// As the coordinator that leads.
    Leads,
    /// Not at all.
    Alone,
}

type WallFn = dyn Fn() -> Wall + Send + Sync;

/// The quarantine of one instance.
pub struct Quarantine {
    /// Counters.
    pub meter: Meter,
    evidence: Mutex<Evidence>,
    suspicions: Mutex<Suspicions>,
    /// Whether anything is remembered; while not, requests are not hashed.
    active: AtomicBool,
    table: ArcSwap<Known>,
    /// Newest revision of the record of which another instance told.
    told: AtomicU64,
    wake: Notify,
    /// Changes of the record are made one after the other.
    turn: Turn<()>,
    store: Store,
    wall: Box<WallFn>,
}

/// The record as last seen; revision zero stands for none.
#[derive(Debug, Default)]
struct Known {
    table: Table,
    revision: u64,
}

impl Known {
    fn read(record: Option<Record>) -> Self {
        let Some(Record { revision, value }) = record else { return Self::default() };
        let table = Table::decode(&value);
        if table.is_none() {
            log::error!(event = "suspects_unread", revision; "the record of suspects is not understood and starts anew");
        }
        Self { table: table.unwrap_or_default(), revision }
    }
}

impl Quarantine {
    /// Makes the quarantine; `wall` yields the time of day that the instances agree on.
    pub fn new(store: Store, wall: impl Fn() -> Wall + Send + Sync + 'static) -> Arc<Self> {
        Arc::new(Self {
            meter: Meter::default(),
            evidence: Mutex::default(),
            suspicions: Mutex::default(),
            active: AtomicBool::new(false),
            table: ArcSwap::default(),
            told: AtomicU64::new(0),
            wake: Notify::new(),
            turn: Turn::default(),
            store,
            wall: Box::new(wall),
        })
    }

    /// Whether any request is suspected or was in flight at a crash.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// Decides whether a request may be sent.
    pub fn judge(&self, print: Print) -> Judgement {
        match self.table.load().table.wait(print, (self.wall)()) {
            Some(wait) if wait.is_zero() => Judgement::Trial,
            Some(wait) => Judgement::Held(wait),
            None if self.suspicions().suspected(print) => Judgement::Trial,
            None => Judgement::Free,
        }
    }

    /// Endpoints that may not have a trial, as far as is known here: they have one, or are down.
    pub fn unfit(&self) -> Vec<EndpointHash> {
        let mut out: Vec<EndpointHash> = self.evidence().crashed().collect();
        out.extend(self.table.load().table.on_trial((self.wall)()));
        out
    }

    /// Begins a trial that lasts at most `length`.
    ///
    /// Errors: the time after which the request may return.
    pub async fn begin(
        self: &Arc<Self>,
        print: Print,
        endpoint: EndpointHash,
        length: Duration,
    ) -> std::result::Result<Trial, Duration> {
        let begun = self.change(move |table, now| {
            let wait = table.begin(print, endpoint, length, now).err();
            (wait.is_none(), wait)
        });
        let wait = match timeout(BEGIN_LIMIT, begun).await {
            Ok(Ok(None)) => {
                log::info!(event = "trial_begun", print = hex(print), endpoint; "a suspected request is tried");
                return Ok(Trial {
                    quarantine: self.clone(),
                    print,
                    endpoint,
                    end: End::Unresolved,
                });
            }
            Ok(Ok(Some(wait))) => wait,
            Ok(Err(e)) => {
                log::info!(event = "trial_refused", print = hex(print), cause:% = e; "the trial is not in the store");
                COME_BACK
            }
            Err(_) => {
                log::info!(event = "trial_refused", print = hex(print), cause = "no answer in time"; "the trial is not in the store");
                COME_BACK
            }
        };
        Err(wait)
    }

    /// Notes a call that its endpoint left unanswered.
    pub fn on_unanswered(self: &Arc<Self>, call: Call, endpoint: EndpointHash) {
        let now = clock::now();
        let crashed = self.evidence().on_unanswered(endpoint, call, now);
        if crashed {
            self.blame(&[call], endpoint, now);
        }
    }

    /// Notes that an endpoint crashed, and what showed it.
    pub fn on_crash(self: &Arc<Self>, endpoint: EndpointHash, shown_by: &'static str) {
        let now = clock::now();
        let mut evidence = self.evidence();
        let known = evidence.crashed().any(|e| e == endpoint);
        let calls = evidence.on_crash(endpoint, now);
        drop(evidence);
        if !known {
            self.meter.crashes.with_label_values(&[shown_by]).inc();
            log::info!(
                event = "endpoint_down", endpoint, shown_by, unanswered = calls.len();
                "an endpoint is down without having left"
            );
        }
        self.blame(&calls, endpoint, now);
    }

    /// Notes that an endpoint lives although it left a call on a broken connection unanswered.
    pub fn on_alive(&self, call: Call, endpoint: EndpointHash) {
        self.evidence().on_alive(endpoint, call, clock::now());
    }

    fn blame(self: &Arc<Self>, calls: &[Call], endpoint: EndpointHash, now: Mono) {
        if calls.is_empty() {
            return;
        }
        self.meter.blamed.inc_by(calls.len() as u64);
        self.active.store(true, Ordering::Release);
        for Call { print, trial } in calls.iter().copied() {
            let mut suspicions = self.suspicions();
            suspicions.on_crash(print, endpoint, now);
            let suspected = suspicions.suspected(print);
            drop(suspicions);
            log::info!(
                event = "request_blamed", print = hex(print), endpoint, trial, suspected;
                "an endpoint crashed with the request unanswered"
            );
            // An older call may have been left at the endpoint of a trial, which shows nothing of it.
            if trial {
                let trials = self.meter.trials.clone();
                self.keep(move |table, now| {
                    let crashed = table.on_crash(print, endpoint, now);
                    if crashed {
                        trials.with_label_values(&["crashed"]).inc();
                    }
                    crashed
                });
            }
        }
        self.wake.notify_one();
    }

    /// Notes an answer to a request, which ends its suspicion.
    pub fn on_answer(self: &Arc<Self>, print: Print) {
        let cleared = self.suspicions().on_answer(print, clock::now());
        let tried = self.table.load().table.contains(print);
        if tried {
            self.meter.trials.with_label_values(&["answered"]).inc();
            self.keep(move |table, _| table.clear(print));
        }
        if cleared || tried {
            log::info!(event = "request_cleared", print = hex(print); "a request in flight at crashes was answered");
        }
    }

    /// What is new, and the revision of the record, for other instances.
    pub fn news(&self) -> (u64, Vec<Sign>) {
        let signs =
            if self.is_active() { self.suspicions().news(SIGNS, clock::now()) } else { Vec::new() };
        (self.table.load().revision, signs)
    }

    /// Takes in what another instance told.
    pub fn merge(&self, revision: u64, signs: &[Sign]) {
        if revision > self.told.fetch_max(revision, Ordering::AcqRel) {
            self.wake.notify_one();
        }
        if !signs.is_empty() {
            self.suspicions().merge(signs, clock::now());
            self.active.store(true, Ordering::Release);
            self.wake.notify_one();
        }
    }

    /// Follows the record, and adds what is suspected here.
    pub async fn follow(self: Arc<Self>, role: impl Fn() -> Role) {
        while let Err(e) = self.read().await {
            log::debug!("reading the suspects: {e}");
            sleep(RETRY).await;
        }
        let mut looks = 0;
        loop {
            let woken = timeout(LOOK, self.wake.notified()).await.is_ok();
            self.prune();
            looks += u32::from(!woken);
            let behind = self.told.load(Ordering::Acquire) > self.table.load().revision;
            // A look finds what nobody tells, at a fraction of a read's price.
            let looking = !woken
                && match role() {
                    Role::Led => false,
                    Role::Leads => looks.is_multiple_of(LEADER_LOOKS),
                    Role::Alone => true,
                };
            let read = if behind || looking { self.catch_up().await } else { Ok(()) };
            let added = match read {
                Ok(()) => self.add_suspects(role() == Role::Led).await,
                Err(e) => Err(e),
            };
            if let Err(e) = added {
                log::debug!("following the suspects: {e}");
                sleep(RETRY).await;
                self.wake.notify_one();
            }
        }
    }

    /// Reads the record, cheaply if that shows what was told.
    async fn catch_up(&self) -> Result<()> {
        let found = self.store.peek(Purpose::Record, KEY).await?;
        let revision = found.as_ref().map_or(0, |r| r.revision);
        if revision < self.told.load(Ordering::Acquire) {
            return self.read().await;
        }
        self.install(Known::read(found));
        Ok(())
    }

    async fn read(&self) -> Result<()> {
        let found = self.store.get(Purpose::Record, KEY).await?;
        self.install(Known::read(found));
        Ok(())
    }

    /// Writes suspects that the record lacks. The coordinator that leads hears of all crashes and is
    /// first; others do so if it did not.
    async fn add_suspects(self: &Arc<Self>, led: bool) -> Result<()> {
        let now = clock::now();
        let known = self.table.load_full();
        let due = |at: Mono| !led || now.saturating_sub(at) >= ADD_AFTER;
        let suspects: Vec<Print> = {
            let suspicions = self.suspicions();
            let missing = suspicions.suspects().filter(|(p, _)| !known.table.contains(*p));
            missing.filter(|(_, at)| due(*at)).map(|(print, _)| print).collect()
        };
        if suspects.is_empty() {
            return Ok(());
        }
        self.change(move |table, now| {
            let added = suspects.iter().filter(|p| table.add(**p, now)).count();
            (added > 0, ())
        })
        .await
    }

    /// Puts a record in force unless a newer one is.
    fn install(&self, next: Known) {
        let next = Arc::new(next);
        self.table.rcu(|old| if old.revision > next.revision { old.clone() } else { next.clone() });
        let known = self.table.load();
        self.meter.suspects.set(known.table.len() as i64);
        if !known.table.is_empty() {
            self.active.store(true, Ordering::Release);
        }
    }

    fn prune(&self) {
        let mut suspicions = self.suspicions();
        suspicions.prune(clock::now());
        let active = !suspicions.is_empty() || !self.table.load().table.is_empty();
        self.active.store(active, Ordering::Release);
    }

    /// Changes the record. `act` says whether the table changed, and its result; it is repeated on the
    /// newest table if another instance wrote meanwhile.
    async fn change<T>(&self, act: impl Fn(&mut Table, Wall) -> (bool, T)) -> Result<T> {
        let _turn = self.turn.lock().await;
        for _ in 0..WRITES {
            let known = self.table.load_full();
            let mut table = known.table.clone();
            let (changed, out) = act(&mut table, (self.wall)());
            if !changed {
                return Ok(out);
            }
            match self.store.swap(Purpose::Record, KEY, known.revision, table.encode()).await? {
                Ok(revision) => {
                    self.install(Known { table, revision });
                    return Ok(out);
                }
                Err(found) => self.install(Known::read(found)),
            }
        }
        Err(agate_store::Error::Unavailable {
            step: "swap",
            peer: KEY.into(),
            cause: "others changed the record each time".into(),
        })
    }

    /// Brings a result to the store in the background.
    fn keep(self: &Arc<Self>, act: impl Fn(&mut Table, Wall) -> bool + Send + Sync + 'static) {
        let own = self.clone();
        tokio::spawn(async move {
            for failures in 1..=KEPT_TRIES {
                match own.change(|table, now| (act(table, now), ())).await {
                    Ok(()) => return,
                    Err(e) if failures == KEPT_TRIES => {
                        log::warn!(event = "suspects_unwritten", cause:% = e; "the result of a trial is not in the store");
                    }
                    Err(_) => sleep(KEPT_PAUSE * failures).await,
                }
            }
        });
    }

    fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().expect("no panic under the lock of the evidence")
    }

    fn suspicions(&self) -> MutexGuard<'_, Suspicions> {
        self.suspicions.lock().expect("no panic under the lock of the suspicions")
    }
}

/// A trial under way. Unless the request is answered or the endpoint's crash shows, it ends without a
/// result when this is dropped.
#[derive(Debug)]
pub struct Trial {
    quarantine: Arc<Quarantine>,
    print: Print,
    endpoint: EndpointHash,
    end: End,
}

impl std::fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Quarantine")
    }
}

impl Trial {
    /// Ends the trial of a call of which nothing ran.
    pub fn unrun(mut self) {
        self.end = End::Unrun;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Self { print, endpoint, end, .. } = *self;
        let label = if end == End::Unrun { "unrun" } else { "unresolved" };
        let quarantine = self.quarantine.clone();
        let trials = quarantine.meter.trials.clone();
        quarantine.keep(move |table, now| {
            let ended = table.end(print, endpoint, end, now);
            if ended {
                trials.with_label_values(&[label]).inc();
                log::info!(event = "trial_ended", print = hex(print), endpoint, result = label; "a trial ended");
            }
            ended
        });
    }
}
