//! Runs the leader tasks: writes the own usage counts, and acts for all while the lease is held.

use {
    crate::{
        Window,
        candidate::LeaderCandidate,
        capacity::{Figures, Planned, Sources, calls::CapacityCalls},
        count::{self, Tally, end_of, window_of},
        counter::UsageCounter,
        order::{self, Order, OrderOutcome},
        seal::{Seal, Seals},
        stage::{self, Division, EngineDemand, StageOrder},
        window::{self, Sealed},
    },
    agate_core::{FenceToken, Wall},
    agate_store::{Call, Freshness, Purpose, Store, StoreResponse},
    agate_task::Supervisor,
    agate_view::{
        LocalView, clock,
        roster::Entry,
        table::{Name, Table},
    },
    futures_util::future::BoxFuture,
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Time between two rounds of the lease holder.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which counts that no coordinator has acknowledged are written to the store; shorter
/// than the time in which the counts of a window are gathered.
const MAX_UNSHARED: Duration = Duration::from_millis(1_200);
/// Time after the end of a window by which the lease holder must have acknowledged the counts; one
/// push and its acknowledgement take less.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Backoff after a failed write of the own counts; short enough for a second attempt before the
/// window is reported.
const WRITE_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff. It grows because calls that the store refuses are charged too.
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(1);
/// Time between two checks of whether the own counts must be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Accepted, also as an exact repetition.
    Done,
    /// Refused permanently.
    Refused,
    /// Must be sent again.
    Again,
}

type ReportFn =
    dyn Fn(FenceToken, Window, Sealed) -> BoxFuture<'static, ReportOutcome> + Send + Sync;
type StageFn = dyn Fn(FenceToken, StageOrder) -> BoxFuture<'static, String> + Send + Sync;
type AnnounceFn = dyn Fn(&[Name]) + Send + Sync;
type DemandFn = dyn Fn(&Name) -> EngineDemand + Send + Sync;
type OpenFn = dyn Fn(&Name) -> IndexMap<Name, u32> + Send + Sync;
type OrderFn = dyn Fn(FenceToken, Order) -> BoxFuture<'static, OrderOutcome> + Send + Sync;

/// Calls to the platform that the lease holder makes.
pub struct PlatformCalls {
    /// Reports the sealed counts of a window.
    pub report: Box<ReportFn>,
    /// Sends an endpoint order.
    pub order: Box<OrderFn>,
    /// Orders an engine to change its stage; returns the outcome for the log.
    pub stage: Box<StageFn>,
}

/// Dependencies of the leader tasks.
pub struct Dependencies {
    /// Store of the usage records.
    pub store: Store,
    /// Local view of the shared state.
    pub view: Arc<LocalView>,
    /// Leader lease, while this instance is a candidate.
    pub candidate: Arc<LeaderCandidate>,
    /// Calls to the platform that the lease holder makes.
    pub calls: PlatformCalls,
    /// Returns the engine capacity that callers of all instances demand of a service.
    pub demand: Box<DemandFn>,
    /// Returns the open requests of all instances at each endpoint of a service.
    pub open: Box<OpenFn>,
    /// Lets the endpoints follow the demand; `None` orders spot endpoints wherever they can be.
    pub capacity: Option<CapacityCalls>,
    /// How engines are divided between prefill and decode.
    pub division: Division,
    /// Called with the engines that are about to change; informs the own request path and all other
    /// instances.
    pub on_changing: Box<AnnounceFn>,
    /// Usage counts of this instance.
    pub counter: Arc<UsageCounter>,
    /// Timing of usage windows.
    pub windows: window::Settings,
    /// Name of this incarnation of the instance.
    pub incarnation: String,
    /// Starts the tasks again if they panic.
    pub supervisor: Supervisor,
}

/// Handle of the running tasks, which end when it is dropped.
pub struct LeaderTasks {
    _tasks: JoinSet<()>,
    store: Store,
    counter: Arc<UsageCounter>,
    key: String,
}

/// Starts the leader tasks and the writes of the own counts.
pub fn spawn(parts: Dependencies) -> LeaderTasks {
    let mut tasks = JoinSet::new();
    let key = format!("{}{}", count::PREFIX, parts.incarnation);
    let (store, counter) = (parts.store.clone(), parts.counter.clone());
    let supervisor = parts.supervisor.clone();
    let (own_store, own_counter, own_key) = (store.clone(), counter.clone(), key.clone());
    let counts = move || write_counts(own_store.clone(), own_counter.clone(), own_key.clone());
    tasks.spawn(supervisor.clone().run("usage_counts", counts));
    let parts = Arc::new(parts);
    tasks.spawn(supervisor.run("leader", move || run_leader(parts.clone())));
    LeaderTasks { _tasks: tasks, store, counter, key }
}

impl LeaderTasks {
    /// Writes counts that neither the lease holder nor the store has; the last step of a shutdown.
    pub async fn flush_counts(&self) {
        let mut revision = None;
        if let Some((version, tally)) = self.counter.unreported()
            && write_record(&self.store, &self.key, &tally, &mut revision).await
        {
            self.counter.mark_held(version);
        }
    }
}

/// Writes counts to the store that did not reach the coordinators in time.
async fn write_counts(store: Store, counter: Arc<UsageCounter>, key: String) {
    let mut revision = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some((version, tally)) = counter.due_write(MAX_UNSHARED, SETTLE_TIME) else { continue };
        match write_record(&store, &key, &tally, &mut revision).await {
            true => counter.mark_held(version),
            false => {
                counter.on_write_failed(WRITE_BACKOFF, MAX_WRITE_BACKOFF);
            }
        }
    }
}

/// Writes the record; `revision` caches that of the last write. Returns whether the write
/// succeeded.
async fn write_record(store: &Store, key: &str, tally: &Tally, revision: &mut Option<u64>) -> bool {
    let expect = match *revision {
        Some(known) => known,
        None => match store.get(Purpose::Report, key).await {
            Ok(found) => found.map_or(0, |r| r.revision),
            Err(e) => {
                log::debug!("failed to read the own usage record: {e}");
                return false;
            }
        },
    };
    match store.swap(Purpose::Report, key, expect, tally.encode()).await {
        Ok(Ok(new)) => {
            *revision = Some(new);
            true
        }
        Ok(Err(_)) => {
            *revision = None;
            false
        }
        Err(e) => {
            *revision = None;
            log::info!(event = "usage_unwritten", cause:% = e; "failed to write the own usage; will retry");
            false
        }
    }
}

struct LeaderLoop {
    parts: Arc<Dependencies>,
    reported: IndexSet<Window>,
    orders: order::OrderState,
    stages: stage::StageState,
    token: FenceToken,
    last_cleanup: Window,
    seals: Seals,
    /// When the present term was noticed.
    term_began: Wall,
}

async fn run_leader(parts: Arc<Dependencies>) {
    let mut leader = LeaderLoop {
        seals: Seals::new(parts.store.clone()),
        parts,
        reported: IndexSet::new(),
        orders: order::OrderState::default(),
        stages: stage::StageState::default(),
        token: 0,
        last_cleanup: 0,
        term_began: Wall::ZERO,
    };
    loop {
        sleep(ROUND_INTERVAL).await;
        leader.seals.check_era(leader.parts.counter.wall()).await;
        let Some(token) = leader.parts.candidate.may_act() else {
            (leader.parts.on_changing)(&[]);
            leader.end_plans();
            continue;
        };
        if token != leader.token {
            leader.token = token;
            leader.term_began = leader.parts.counter.wall();
            leader.reported.clear();
            leader.orders = order::OrderState::default();
            leader.stages = stage::StageState::new(leader.parts.division);
        }
        leader.report_usage().await;
        leader.order_endpoints().await;
        leader.change_stages().await;
    }
}

impl LeaderLoop {
    /// Sets the figures of the endpoints to zero when the term has ended.
    fn end_plans(&mut self) {
        let Some(calls) = &self.parts.capacity else { return };
        let ended = std::mem::take(&mut self.orders.capacity);
        ended.figures().for_each(|(name, _)| (calls.on_figures)(name, &Figures::default()));
    }

    async fn report_usage(&mut self) {
        let now = self.parts.counter.wall();
        let due: Vec<Window> = window::due_windows(&self.parts.windows, now)
            .filter(|w| !self.reported.contains(w))
            .collect();
        if due.is_empty() {
            return;
        }
        let tallies = match self
            .parts
            .store
            .range(Purpose::Report, count::PREFIX, Freshness::Linearizable)
            .await
        {
            Ok(items) => items,
            Err(e) => {
                return log::info!(event = "usage_unread", cause:% = e; "failed to read usage; will retry");
            }
        };
        let stored: IndexMap<String, Option<Tally>> =
            tallies.into_iter().map(|i| (i.key, Tally::decode(&i.record.value))).collect();
        // The read may be the first one of a new era.
        self.seals.check_era(self.parts.counter.wall()).await;
        let tallies = self.gather_tallies(&stored);
        for window in due {
            let own = Sealed::new(&count::window_sum(tallies.values(), window));
            let end = end_of(window, self.parts.windows.length);
            let sealed = match self.seals.seal(window, own, end, self.term_began).await {
                Seal::Counts(sealed) => sealed,
                Seal::Lost => {
                    log::warn!(event = "usage_lost", window; "not reporting a window that a former holder may have reported");
                    self.reported.insert(window);
                    continue;
                }
                Seal::Failed => return,
            };
            let Some(token) = self.parts.candidate.may_act() else { return };
            let reported = (self.parts.calls.report)(token, window, sealed.clone()).await;
            log::info!(
                event = "usage_reported", window, token, outcome:? = reported,
                requests = sealed.counts().values().sum::<u64>(), instances = tallies.len();
                "reported the usage of a window"
            );
            if reported != ReportOutcome::Again {
                self.reported.insert(window);
            }
        }
        self.delete_stale(&stored, now).await;
    }

    /// Counts of every incarnation: from the store, from other instances, and the own ones.
    fn gather_tallies(&self, stored: &IndexMap<String, Option<Tally>>) -> IndexMap<String, Tally> {
        let mut out = self.parts.counter.remote_tallies();
        for (key, tally) in stored {
            let Some(tally) = tally else { continue };
            let from = key.strip_prefix(count::PREFIX).unwrap_or(key);
            out.entry(from.to_owned()).or_default().merge_all(tally);
        }
        let own = self.parts.counter.tally();
        out.entry(self.parts.incarnation.clone()).or_default().merge_all(&own);
        out
    }

    /// Deletes expired records, once per window.
    async fn delete_stale(&mut self, tallies: &IndexMap<String, Option<Tally>>, now: Duration) {
        let settings = self.parts.windows;
        let current = window_of(now, settings.length);
        if self.last_cleanup == current {
            return;
        }
        self.last_cleanup = current;
        let old = |w: Option<Window>| w.is_none_or(|w| window::is_expired(&settings, w, now));
        let stale = tallies.iter().filter(|(_, t)| old(t.as_ref().and_then(Tally::newest)));
        let mut keys: Vec<String> = stale.map(|(key, _)| key.clone()).collect();
        let sealed =
            self.parts.store.range(Purpose::Report, window::PREFIX, Freshness::Stale).await;
        let sealed = sealed.unwrap_or_default().into_iter().map(|i| i.key);
        keys.extend(sealed.filter(|k| old(window::window_in(k))));
        for key in keys {
            self.delete_record(key).await;
        }
        let recent = |w: Window| now < end_of(w, settings.length) + settings.late * 2;
        self.reported.retain(|w| recent(*w));
        self.seals.retain(recent);
    }

    async fn delete_record(&self, key: String) {
        let store = &self.parts.store;
        let Ok(Some(record)) = store.get(Purpose::Record, key.clone()).await else { return };
        let call =
            Call::Swap { key: key.clone(), expect: record.revision, value: None, lease: None };
        match store.call(Purpose::Record, call).await {
            Ok(StoreResponse::Swapped(_)) => {}
            // A later round retries the deletion.
            other => log::debug!("failed to delete {key}: {other:?}"),
        }
    }

    async fn order_endpoints(&mut self) {
        let Some(table) = self.parts.view.table.load_full() else { return };
        let entries = self.parts.view.entries.load_full();
        if self.parts.capacity.is_some() {
            return self.order_by_demand(&table, &entries).await;
        }
        for order in order::plan_orders(&self.orders, &table, &entries, clock::now()) {
            let Some(token) = self.parts.candidate.may_act() else { return };
            let outcome = (self.parts.calls.order)(token, order.clone()).await;
            log::info!(
                event = "endpoints_ordered", service = &*order.subject.service,
                zone = &*order.subject.zone, count = order.count, spot = order.spot, token,
                roster_age_ms = self.parts.view.roster.age().map(|a| a.as_millis() as u64),
                outcome:? = outcome;
                "ordered endpoints"
            );
            self.orders.on_outcome(&order, outcome, clock::now());
        }
    }

    async fn order_by_demand(&mut self, table: &Table, entries: &[Entry]) {
        let parts = self.parts.clone();
        let Some(calls) = &parts.capacity else { return };
        let planned = {
            let sources = Sources { demand: &*calls.demand, open: &*parts.open };
            order::plan_by_demand(&mut self.orders, table, entries, &sources, clock::now())
        };
        self.orders.capacity.figures().for_each(|(name, f)| (calls.on_figures)(name, f));
        for Planned { order, reason, figures } in planned {
            let Some(token) = parts.candidate.may_act() else { return };
            let outcome = (parts.calls.order)(token, order.clone()).await;
            (calls.on_order)(reason, outcome);
            let demand = figures.demand.unwrap_or_default();
            log::info!(
                event = "endpoints_ordered", service = &*order.subject.service,
                zone = &*order.subject.zone, count = order.count, spot = order.spot, token,
                roster_age_ms = parts.view.roster.age().map(|a| a.as_millis() as u64),
                reason:? = reason, prefill = demand.prefill, slots = demand.slots,
                known = figures.demand.is_some(), need = figures.need, target = figures.target,
                planned = figures.ordered, running = figures.running, outcome:? = outcome;
                "ordered endpoints"
            );
            self.orders.on_outcome(&order, outcome, clock::now());
        }
    }

    async fn change_stages(&mut self) {
        let Some(table) = self.parts.view.table.load_full() else { return };
        let entries = self.parts.view.entries.load_full();
        let now = clock::now();
        if self.parts.division == Division::Stable {
            self.stages.open = table.services.keys().flat_map(|s| (self.parts.open)(s)).collect();
        }
        let planned =
            stage::plan_stages(&mut self.stages, &table, &entries, &self.parts.demand, now);
        let due = self.stages.announce(planned, now);
        let mut changing = self.stages.changing(&entries, now);
        changing.extend(self.orders.capacity.changing());
        (self.parts.on_changing)(&changing);
        for order in due {
            let Some(token) = self.parts.candidate.may_act() else { return };
            self.stages.on_sent(&order, clock::now());
            let outcome = (self.parts.calls.stage)(token, order.clone()).await;
            log::info!(
                event = "stage_ordered", endpoint = &*order.endpoint, stage:? = order.stage, token,
                roster_age_ms = self.parts.view.roster.age().map(|a| a.as_millis() as u64),
                outcome = outcome.as_str();
                "ordered an engine to change its stage"
            );
        }
    }
}
