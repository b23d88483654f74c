//! Keeps the local view up to date from the store.
//!
//! Each part is read by its own loop, so that a slow read of one does not delay the others. Watches
//! are not used: a watch without events confirms nothing, while every answered read is a
//! confirmation.

use {
    crate::{
        announce, clock,
        local_view::LocalView,
        peers::Peer,
        roster::{Entry, Input, Roster, Stage},
        store_health::{RETRY_DELAY, StoreHealth},
        table::{Parts, Table},
    },
    agate_core::Mono,
    agate_store::{Freshness, Item, Purpose, Record, Result, Store},
    agate_task::Supervisor,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Store keys of the shared state and parsers of its records.
#[derive(Clone, Copy, Debug)]
pub struct StoreLayout {
    /// Key of the configuration.
    pub config: &'static str,
    /// Key prefix of the endpoint entries.
    pub entries: &'static str,
    /// Parses a configuration; the error is the reason for the log.
    pub read_config: fn(&[u8]) -> std::result::Result<Parts, String>,
    /// Parses the entry of the endpoint with this name; `None` if it describes no usable endpoint.
    pub read_entry: fn(&str, &[u8]) -> Option<Entry>,
}

/// Intervals at which the local view is refreshed.
#[derive(Clone, Copy, Debug)]
pub struct RefreshIntervals {
    /// Time between two reads of the configuration.
    pub config: Duration,
    /// Time between two reads of the endpoints.
    pub entries: Duration,
    /// Time allowed for the active coordinator's confirmations to reach the other instances.
    pub propagation: Duration,
    /// Time between two reads of the instances.
    pub peers: Duration,
    /// Time to live of this instance's own record without renewal.
    pub record_ttl: Duration,
}

impl Default for RefreshIntervals {
    fn default() -> Self {
        Self {
            config: Duration::from_millis(550),
            entries: Duration::from_millis(600),
            propagation: Duration::from_millis(550),
            peers: Duration::from_secs(2),
            record_ttl: Duration::from_secs(6),
        }
    }
}

impl RefreshIntervals {
    /// Age of a confirmation at which this instance reads. The active coordinator reads for all, so
    /// the others wait until its confirmations should have arrived.
    fn max_age(&self, interval: Duration, view: &LocalView) -> Duration {
        if view.is_coordinating() { interval } else { interval + self.propagation }
    }
}

/// Running refresh loops, which end when this is dropped.
#[derive(Debug)]
pub struct Followers {
    _tasks: JoinSet<()>,
}

/// Starts to refresh `view` from the store, and registers this instance as `own`.
pub fn spawn(
    store: Store,
    source: StoreLayout,
    intervals: RefreshIntervals,
    own: Peer,
    view: Arc<LocalView>,
    supervisor: &Supervisor,
) -> Followers {
    let mut tasks = JoinSet::new();
    let (from, shared) = (store.clone(), view.clone());
    let configs = move || follow_config(from.clone(), source, intervals, shared.clone());
    tasks.spawn(supervisor.clone().run("configuration", configs));
    let (from, shared) = (store.clone(), view.clone());
    let entries = move || follow_entries(from.clone(), source, intervals, shared.clone());
    tasks.spawn(supervisor.clone().run("endpoints", entries));
    let (from, name) = (store.clone(), own.name.clone());
    let instances = move || {
        announce::follow_instances(from.clone(), name.clone(), intervals.peers, view.clone())
    };
    tasks.spawn(supervisor.clone().run("instances", instances));
    let record =
        move || announce::maintain_record(store.clone(), own.clone(), intervals.record_ttl);
    tasks.spawn(supervisor.clone().run("own_record", record));
    Followers { _tasks: tasks }
}

async fn follow_config(
    store: Store,
    source: StoreLayout,
    intervals: RefreshIntervals,
    view: Arc<LocalView>,
) {
    let mut known = None;
    let mut health = StoreHealth::new("configuration");
    let mut read = Instant::now() - intervals.config;
    wait_for_config(&store, source, &mut health).await;
    loop {
        // A confirmation from another instance saves the read.
        view.config.wait_expired(intervals.max_age(intervals.config, &view)).await;
        // Configurations in quick succession are covered by one read.
        sleep_until(read + intervals.config).await;
        read = Instant::now();
        let reported = match read_reported(&store, source, &view).await {
            Ok(reported) => reported,
            Err(e) => {
                health.on_failure(&e);
                sleep(health.retry_delay(view.has_coordinator())).await;
                continue;
            }
        };
        let shown = reported.map(|record| apply_config(record, &mut known, source, &view));
        if shown == Some(Shown::Current) {
            // The next response of the instance that reported it confirms it.
            continue;
        }
        let (sent, accepted) = (clock::now(), view.accepted_version());
        let found = match store.get(Purpose::Config, source.config).await {
            Ok(found) => found,
            Err(e) => {
                health.on_failure(&e);
                sleep(health.retry_delay(view.has_coordinator())).await;
                continue;
            }
        };
        health.on_success();
        let Some(record) = found else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        match apply_config(record, &mut known, source, &view) {
            Shown::Current if view.version() >= accepted => view.config.confirm(sent),
            Shown::Current => {
                log::warn!(
                    event = "config_behind", version = view.version(), accepted;
                    "the store lacks a configuration that other instances have; refusing requests"
                );
                view.config.revoke();
                sleep(RETRY_DELAY).await;
            }
            Shown::Older | Shown::Invalid => sleep(intervals.config).await,
        }
    }
}

/// Polls with stale reads until there is a configuration or the store fails.
async fn wait_for_config(store: &Store, source: StoreLayout, health: &mut StoreHealth) {
    loop {
        match store.get_stale(Purpose::Config, source.config).await {
            Ok(Some(_)) => return,
            Ok(None) => sleep(RETRY_DELAY).await,
            Err(e) => return health.on_failure(&e),
        }
    }
}

/// Reads a configuration that another instance has reported, with a cheap and possibly stale read.
/// `None` if nothing newer was reported or the read shows an older one.
async fn read_reported(
    store: &Store,
    source: StoreLayout,
    view: &LocalView,
) -> Result<Option<Record>> {
    let Some(newer) = view.newer_config() else { return Ok(None) };
    let found = store.get_stale(Purpose::Config, source.config).await?;
    Ok(found.filter(|record| record.revision >= newer))
}

/// What a read of the configuration showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    /// The configuration in force, which it may have put in force.
    Current,
    /// An older version than the one in force: the store came back from an older copy.
    Older,
    /// One that could not be parsed.
    Invalid,
}

/// Puts a configuration in force unless it is `known` to be or its version is older.
fn apply_config(
    record: Record,
    known: &mut Option<Record>,
    source: StoreLayout,
    view: &LocalView,
) -> Shown {
    // The revision alone does not identify a configuration: a store that came back from an older
    // copy may give it out again.
    if known.as_ref() == Some(&record) {
        return Shown::Current;
    }
    let revision = record.revision;
    let table = match (source.read_config)(&record.value) {
        Ok(parts) => Table::new(parts),
        Err(e) => {
            log::error!(
                event = "config_refused", revision, cause = e.as_str();
                "failed to parse the configuration; the previous one stays in force"
            );
            return Shown::Invalid;
        }
    };
    if table.version < view.version() {
        log::warn!(
            event = "config_older", version = table.version, in_force = view.version(), revision;
            "the store has an older configuration than this instance"
        );
        return Shown::Older;
    }
    log::info!(
        event = "config_in_force", version = table.version, revision,
        routes = table.routes.len(), organisations = table.orgs.len();
        "a new configuration is in force"
    );
    view.table.store(Some(Arc::new(table)));
    view.config_revision.store(revision, Ordering::Release);
    view.notify_changed();
    *known = Some(record);
    Shown::Current
}

async fn follow_entries(
    store: Store,
    source: StoreLayout,
    intervals: RefreshIntervals,
    view: Arc<LocalView>,
) {
    let mut roster = Roster::default();
    let mut health = StoreHealth::new("endpoints");
    loop {
        view.roster.wait_expired(intervals.max_age(intervals.entries, &view)).await;
        let (entries, sent) = match view.take_offered() {
            Some(offered) => offered,
            None => match read_entries(&store, source, &mut health, &view).await {
                Some(read) => read,
                None => continue,
            },
        };
        let input = Input::Read { entries, sent, era: store.era() };
        if let Some(age) = view.roster.age() {
            roster.confirm(clock::now().saturating_sub(age));
        }
        let changed = roster.step(input, clock::now());
        view.set_retained(roster.missing().cloned().collect());
        if changed {
            let list: Vec<Entry> = roster.entries().cloned().collect();
            log::info!(
                event = "endpoints_changed", known = list.len(),
                leaving = list.iter().filter(|e| e.leaving).count(), missing = roster.missing().count(),
                reading = list.iter().filter(|e| e.stage == Some(Stage::Prefill)).count(),
                generating = list.iter().filter(|e| e.stage == Some(Stage::Decode)).count(),
                spot = list.iter().filter(|e| e.spot).count();
                "the set of endpoints changed"
            );
            view.install_entries(list, roster.digest());
        }
        view.roster.confirm(sent);
    }
}

/// Reads the entries from the store; returns them with the time before the read was sent.
async fn read_entries(
    store: &Store,
    source: StoreLayout,
    health: &mut StoreHealth,
    view: &LocalView,
) -> Option<(Vec<Entry>, Mono)> {
    let sent = clock::now();
    match store.range(Purpose::Roster, source.entries, Freshness::Linearizable).await {
        Ok(items) => {
            health.on_success();
            Some((decode_entries(&items, source), sent))
        }
        Err(e) => {
            health.on_failure(&e);
            sleep(health.retry_delay(view.has_coordinator())).await;
            None
        }
    }
}

fn decode_entries(items: &[Item], source: StoreLayout) -> Vec<Entry> {
    let name = |item: &Item| item.key.strip_prefix(source.entries).unwrap_or_default().to_owned();
    let mut out = Vec::with_capacity(items.len());
    for item in items {
        match (source.read_entry)(&name(item), &item.record.value) {
            Some(entry) => out.push(entry),
            None => log::debug!(
                event = "entry_ignored", key = item.key.as_str();
                "ignored an entry without a usable endpoint"
            ),
        }
    }
    out
}
