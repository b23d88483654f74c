//! Carries the duties out: writes own counts, and acts for all while the lease is held.

use {
    crate::{
        Window,
        count::{self, SteadyWall, Tally, end_of, window_of},
        order::{self, Answer, Order},
        window::{self, Sealed},
    },
    agate_core::FenceToken,
    agate_lease::Lease,
    agate_store::{Call, Freshness, Purpose, Reply, Store},
    agate_view::{Belief, clock, table::Name},
    futures_util::future::BoxFuture,
    indexmap::{IndexMap, IndexSet},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Time between two rounds of the holder.
const ROUND: Duration = Duration::from_millis(500);
/// Time between two writes of the own counts while they change.
const WRITE: Duration = Duration::from_millis(1_000);
/// Time between two looks at whether the own counts have to be written.
const LOOK: Duration = Duration::from_millis(250);

/// How a report was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    /// Accepted, or an exact repeat.
    Done,
    /// Refused for good.
    Refused,
    /// To be sent again.
    Again,
}

type ReportFn = dyn Fn(FenceToken, Window, Sealed) -> BoxFuture<'static, Reported> + Send + Sync;
type OrderFn = dyn Fn(FenceToken, Order) -> BoxFuture<'static, Answer> + Send + Sync;

/// Calls that the holder makes.
pub struct Calls {
    /// Reports a window.
    pub report: Box<ReportFn>,
    /// Orders endpoints.
    pub order: Box<OrderFn>,
}

/// Counts of this instance, shared with the request path.
pub struct Counter {
    state: Mutex<Counting>,
    length: Duration,
}

struct Counting {
    tally: Tally,
    wall: SteadyWall,
    dirty: bool,
}

impl Counter {
    /// Opens empty counts for windows of `length`.
    pub fn new(length: Duration) -> Arc<Self> {
        let wall = SteadyWall::new(clock::wall(), clock::now());
        let state = Mutex::new(Counting { tally: Tally::default(), wall, dirty: false });
        Arc::new(Self { state, length })
    }

    /// Counts one request of `org` that began to run now.
    pub fn count(&self, org: &Name) {
        let mut state = self.lock();
        let wall = state.wall.read(clock::wall(), clock::now());
        state.tally.count(window_of(wall, self.length), org);
        state.dirty = true;
    }

    /// Steady time of day.
    pub fn wall(&self) -> Duration {
        self.lock().wall.read(clock::wall(), clock::now())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counting> {
        self.state.lock().expect("no panic under the lock of the counts")
    }

    /// The counts, if they changed since they were last taken.
    fn take(&self) -> Option<Tally> {
        let mut state = self.lock();
        std::mem::take(&mut state.dirty).then(|| state.tally.clone())
    }

    fn put_back(&self) {
        self.lock().dirty = true;
    }
}

/// What the duties need.
pub struct Parts {
    /// The store.
    pub store: Store,
    /// Beliefs of this instance.
    pub belief: Arc<Belief>,
    /// Lease of the duties.
    pub lease: Lease,
    /// Calls that the holder makes.
    pub calls: Calls,
    /// Counts of this instance.
    pub counter: Arc<Counter>,
    /// Times of usage windows.
    pub windows: window::Settings,
    /// Name of this incarnation of the instance.
    pub incarnation: String,
}

/// Running duties; dropping them ends the loops.
pub struct Duties {
    _tasks: JoinSet<()>,
    store: Store,
    counter: Arc<Counter>,
    key: String,
}

/// Starts the duties.
pub fn spawn(parts: Parts) -> Duties {
    let mut tasks = JoinSet::new();
    let key = format!("{}{}", count::PREFIX, parts.incarnation);
    let (store, counter) = (parts.store.clone(), parts.counter.clone());
    tasks.spawn(write_counts(store.clone(), counter.clone(), key.clone(), parts.windows.length));
    tasks.spawn(hold(parts));
    Duties { _tasks: tasks, store, counter, key }
}

impl Duties {
    /// Writes the counts that were not written yet; the last step before a stop.
    pub async fn hand_over(&self) {
        let mut revision = None;
        if let Some(tally) = self.counter.take() {
            write(&self.store, &self.key, &tally, &mut revision).await;
        }
    }
}

async fn write_counts(store: Store, counter: Arc<Counter>, key: String, length: Duration) {
    let mut revision = None;
    let (mut written, mut window) = (Duration::ZERO, 0);
    loop {
        sleep(LOOK).await;
        let (now, current) = (clock::now(), window_of(counter.wall(), length));
        // Right after the end of a window its last counts are waited for.
        let ended = current != window;
        if !ended && now.saturating_sub(written) < WRITE {
            continue;
        }
        let Some(tally) = counter.take() else { continue };
        if write(&store, &key, &tally, &mut revision).await {
            (written, window) = (now, current);
        } else {
            counter.put_back();
        }
    }
}

/// Writes the record; `revision` is that of the last write, if it is known.
async fn write(store: &Store, key: &str, tally: &Tally, revision: &mut Option<u64>) -> bool {
    let expect = match *revision {
        Some(known) => known,
        None => match store.get(Purpose::Report, key).await {
            Ok(found) => found.map_or(0, |r| r.revision),
            Err(e) => {
                log::debug!("reading the own usage record: {e}");
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
            log::info!(event = "usage_unwritten", cause:% = e; "own usage is written again soon");
            false
        }
    }
}

struct Holder {
    parts: Parts,
    done: IndexSet<Window>,
    orders: order::State,
    token: FenceToken,
    cleaned: Window,
}

async fn hold(parts: Parts) {
    let orders = order::State::default();
    let mut holder = Holder { parts, done: IndexSet::new(), orders, token: 0, cleaned: 0 };
    loop {
        sleep(ROUND).await;
        let Some(token) = holder.parts.lease.may_act() else { continue };
        if token != holder.token {
            holder.token = token;
            holder.done.clear();
            holder.orders = order::State::default();
        }
        holder.report().await;
        holder.order().await;
    }
}

impl Holder {
    async fn report(&mut self) {
        let now = self.parts.counter.wall();
        let due: Vec<Window> =
            window::due(&self.parts.windows, now).filter(|w| !self.done.contains(w)).collect();
        if due.is_empty() {
            return;
        }
        let store = &self.parts.store;
        let tallies = match store
            .range(Purpose::Report, count::PREFIX, Freshness::Linearizable)
            .await
        {
            Ok(items) => items,
            Err(e) => {
                return log::info!(event = "usage_unread", cause:% = e; "usage is gathered later");
            }
        };
        let tallies: IndexMap<String, Option<Tally>> =
            tallies.into_iter().map(|i| (i.key, Tally::decode(&i.record.value))).collect();
        for window in due {
            let Some(sealed) = self.seal(window, &tallies).await else { return };
            let Some(token) = self.parts.lease.may_act() else { return };
            let reported = (self.parts.calls.report)(token, window, sealed.clone()).await;
            log::info!(
                event = "usage_reported", window, token, outcome:? = reported,
                requests = sealed.counts().values().sum::<u64>(), instances = tallies.len();
                "usage of a window reported"
            );
            if reported != Reported::Again {
                self.done.insert(window);
            }
        }
        self.clean(&tallies, now).await;
    }

    /// Seals a window, or reads what was sealed before.
    async fn seal(
        &self,
        window: Window,
        tallies: &IndexMap<String, Option<Tally>>,
    ) -> Option<Sealed> {
        let own = Sealed::new(&count::sum(tallies.values().flatten(), window));
        let store = &self.parts.store;
        let key = window::key(window);
        match store.swap(Purpose::Report, key, 0, own.encode()).await {
            Ok(Ok(_)) => Some(own),
            Ok(Err(Some(found))) => Sealed::decode(&found.value),
            Ok(Err(None)) => None,
            Err(e) => {
                log::info!(event = "usage_unsealed", window, cause:% = e; "the window is sealed later");
                None
            }
        }
    }

    /// Deletes records that nobody needs any more, once a window.
    async fn clean(&mut self, tallies: &IndexMap<String, Option<Tally>>, now: Duration) {
        let settings = self.parts.windows;
        let current = window_of(now, settings.length);
        if self.cleaned == current {
            return;
        }
        self.cleaned = current;
        let old = |w: Option<Window>| w.is_none_or(|w| window::is_old(&settings, w, now));
        let stale = tallies.iter().filter(|(_, t)| old(t.as_ref().and_then(Tally::newest)));
        let mut keys: Vec<String> = stale.map(|(key, _)| key.clone()).collect();
        let sealed =
            self.parts.store.range(Purpose::Report, window::PREFIX, Freshness::Stale).await;
        let sealed = sealed.unwrap_or_default().into_iter().map(|i| i.key);
        keys.extend(sealed.filter(|k| old(window::window_in(k))));
        for key in keys {
            self.delete(key).await;
        }
        self.done.retain(|w| now < end_of(*w, settings.length) + settings.late * 2);
    }

    async fn delete(&self, key: String) {
        let store = &self.parts.store;
        let Ok(Some(record)) = store.get(Purpose::Record, key.clone()).await else { return };
        let call =
            Call::Swap { key: key.clone(), expect: record.revision, value: None, lease: None };
        match store.call(Purpose::Record, call).await {
            Ok(Reply::Swapped(_)) => {}
            // It is deleted in a later round.
            other => log::debug!("deleting {key}: {other:?}"),
        }
    }

    async fn order(&mut self) {
        let Some(table) = self.parts.belief.table.load_full() else { return };
        let entries = self.parts.belief.entries.load_full();
        for order in order::plan(&self.orders, &table, &entries, clock::now()) {
            let Some(token) = self.parts.lease.may_act() else { return };
            let answer = (self.parts.calls.order)(token, order.clone()).await;
            log::info!(
                event = "endpoints_ordered", service = &*order.subject.service,
                zone = &*order.subject.zone, count = order.count, spot = order.spot, token,
                roster_age_ms = self.parts.belief.roster.age().map(|a| a.as_millis() as u64),
                outcome:? = answer;
                "endpoints ordered"
            );
            self.orders.answered(&order, answer, clock::now());
        }
    }
}
