//! Carries the duties out: writes own counts, and acts for all while the lease is held.

use {
    crate::{
        Window,
        count::{self, Tally, end_of, window_of},
        counter::Counter,
        order::{self, Answer, Order},
        seat::Seat,
        stage::{self, Asked, StageOrder},
        window::{self, Sealed},
    },
    agate_core::FenceToken,
    agate_store::{Call, Freshness, Purpose, Reply, Store},
    agate_view::{Belief, clock, table::Name},
    futures_util::future::BoxFuture,
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Time between two rounds of the holder.
const ROUND: Duration = Duration::from_millis(500);
/// Time after which counts that no coordinator has acknowledged are written to the store; shorter
/// than the time in which counts of a window are gathered.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// Time from the end of a window until the holder must have told that it has the counts; one push and
/// its answer take less.
const SETTLE: Duration = Duration::from_millis(700);
/// Pause after a failed write of the own counts; after one lost write there is time for another
/// before the window is reported.
const UNWRITTEN_FIRST: Duration = Duration::from_millis(250);
/// Longest such pause: calls that the store refuses are paid for too.
const UNWRITTEN_MOST: Duration = Duration::from_secs(1);
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
type StageFn = dyn Fn(FenceToken, StageOrder) -> BoxFuture<'static, String> + Send + Sync;
type AnnounceFn = dyn Fn(&[Name]) + Send + Sync;
type AskedFn = dyn Fn(&Name) -> Asked + Send + Sync;
type OrderFn = dyn Fn(FenceToken, Order) -> BoxFuture<'static, Answer> + Send + Sync;

/// Calls that the holder makes.
pub struct Calls {
    /// Reports a window.
    pub report: Box<ReportFn>,
    /// Orders endpoints.
    pub order: Box<OrderFn>,
    /// Orders an engine to change its stage; gives what came of it, for the log.
    pub stage: Box<StageFn>,
}

/// What the duties need.
pub struct Parts {
    /// The store.
    pub store: Store,
    /// Beliefs of this instance.
    pub belief: Arc<Belief>,
    /// Lease of the duties, while this instance stands for it.
    pub seat: Arc<Seat>,
    /// Calls that the holder makes.
    pub calls: Calls,
    /// Engine time that callers of all instances ask of a service.
    pub asked: Box<AskedFn>,
    /// Tells the own request path and all others which engines are about to change.
    pub announce: Box<AnnounceFn>,
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
    tasks.spawn(write_counts(store.clone(), counter.clone(), key.clone()));
    tasks.spawn(hold(parts));
    Duties { _tasks: tasks, store, counter, key }
}

impl Duties {
    /// Writes the counts that nobody else has; the last step before a stop.
    pub async fn hand_over(&self) {
        let mut revision = None;
        if let Some((version, tally)) = self.counter.unheld()
            && write(&self.store, &self.key, &tally, &mut revision).await
        {
            self.counter.note_kept(version);
        }
    }
}

/// Writes counts to the store that no coordinator has taken in.
async fn write_counts(store: Store, counter: Arc<Counter>, key: String) {
    let mut revision = None;
    loop {
        sleep(LOOK).await;
        let Some((version, tally)) = counter.unkept(PATIENCE, SETTLE) else { continue };
        match write(&store, &key, &tally, &mut revision).await {
            true => counter.note_kept(version),
            false => {
                counter.note_unwritten(UNWRITTEN_FIRST, UNWRITTEN_MOST);
            }
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
    stages: stage::State,
    token: FenceToken,
    cleaned: Window,
}

async fn hold(parts: Parts) {
    let mut holder = Holder {
        parts,
        done: IndexSet::new(),
        orders: order::State::default(),
        stages: stage::State::default(),
        token: 0,
        cleaned: 0,
    };
    loop {
        sleep(ROUND).await;
        let Some(token) = holder.parts.seat.may_act() else {
            (holder.parts.announce)(&[]);
            continue;
        };
        if token != holder.token {
            holder.token = token;
            holder.done.clear();
            holder.orders = order::State::default();
            holder.stages = stage::State::default();
        }
        holder.report().await;
        holder.order().await;
        holder.change_stages().await;
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
        let stored: IndexMap<String, Option<Tally>> =
            tallies.into_iter().map(|i| (i.key, Tally::decode(&i.record.value))).collect();
        let tallies = self.gather(&stored);
        for window in due {
            let Some(sealed) = self.seal(window, &tallies).await else { return };
            let Some(token) = self.parts.seat.may_act() else { return };
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
        self.clean(&stored, now).await;
    }

    /// Counts of every incarnation: those in the store, those told, and the own ones.
    fn gather(&self, stored: &IndexMap<String, Option<Tally>>) -> IndexMap<String, Tally> {
        let mut out = self.parts.counter.collected();
        for (key, tally) in stored {
            let Some(tally) = tally else { continue };
            let from = key.strip_prefix(count::PREFIX).unwrap_or(key);
            out.entry(from.to_owned()).or_default().merge_all(tally);
        }
        let own = self.parts.counter.tally();
        out.entry(self.parts.incarnation.clone()).or_default().merge_all(&own);
        out
    }

    /// Seals a window, or reads what was sealed before.
    async fn seal(&self, window: Window, tallies: &IndexMap<String, Tally>) -> Option<Sealed> {
        let own = Sealed::new(&count::sum(tallies.values(), window));
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
            let Some(token) = self.parts.seat.may_act() else { return };
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

    async fn change_stages(&mut self) {
        let Some(table) = self.parts.belief.table.load_full() else { return };
        let entries = self.parts.belief.entries.load_full();
        let now = clock::now();
        let planned = stage::plan(&mut self.stages, &table, &entries, &self.parts.asked, now);
        let due = self.stages.announce(planned, now);
        (self.parts.announce)(&self.stages.changing(&entries, now));
        for order in due {
            let Some(token) = self.parts.seat.may_act() else { return };
            self.stages.sent(&order, clock::now());
            let outcome = (self.parts.calls.stage)(token, order.clone()).await;
            log::info!(
                event = "stage_ordered", endpoint = &*order.endpoint, stage:? = order.stage, token,
                roster_age_ms = self.parts.belief.roster.age().map(|a| a.as_millis() as u64),
                outcome = outcome.as_str();
                "an engine was ordered to change its stage"
            );
        }
    }
}
