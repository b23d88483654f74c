//! Keeps beliefs up to date from the store.
//!
//! Each belief is read by a loop of its own, so a slow answer to one does not age the others. A
//! waiting watch is not used: its silence proves nothing, while every answered read is a proof.

use {
    crate::{
        announce,
        belief::Belief,
        clock,
        peers::Peer,
        reach::{RETRY, Reach},
        roster::{Entry, Input, Roster, Stage},
        table::{Parts, Table},
    },
    agate_core::Mono,
    agate_store::{Freshness, Item, Purpose, Record, Result, Store},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Where the shared state lies, and how its records are read.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Key of the configuration.
    pub config: &'static str,
    /// Prefix of the endpoints' entries.
    pub entries: &'static str,
    /// Reads a configuration.
    pub read_config: fn(&[u8]) -> std::result::Result<Parts, String>,
    /// Reads the entry of an endpoint; `None` if it names nothing that can be used.
    pub read_entry: fn(&str, &[u8]) -> Option<Entry>,
}

/// How often beliefs are renewed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time between two reads of the configuration.
    pub config: Duration,
    /// Time between two reads of the endpoints.
    pub entries: Duration,
    /// Time that the first coordinator's proofs may take to the other instances.
    pub passing: Duration,
    /// Time between two reads of the instances.
    pub peers: Duration,
    /// Time to live of this instance's own record without renewal.
    pub record: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            config: Duration::from_millis(550),
            entries: Duration::from_millis(600),
            passing: Duration::from_millis(550),
            peers: Duration::from_secs(2),
            record: Duration::from_secs(6),
        }
    }
}

impl Pace {
    /// Age of a proof at which this instance reads: the coordinator that leads reads for all, so the
    /// others wait until its proofs must have arrived.
    fn limit(&self, period: Duration, belief: &Belief) -> Duration {
        if belief.leads() { period } else { period + self.passing }
    }
}

/// Running followers; dropping them ends the loops.
#[derive(Debug)]
pub struct Followers {
    _tasks: JoinSet<()>,
}

/// Starts to follow the shared state, and announces this instance as `own`.
pub fn spawn(
    store: Store,
    source: Source,
    pace: Pace,
    own: Peer,
    belief: Arc<Belief>,
) -> Followers {
    let mut tasks = JoinSet::new();
    tasks.spawn(config(store.clone(), source, pace, belief.clone()));
    tasks.spawn(entries(store.clone(), source, pace, belief.clone()));
    tasks.spawn(announce::instances(store.clone(), own.name.clone(), pace.peers, belief));
    tasks.spawn(announce::own(store, own, pace.record));
    Followers { _tasks: tasks }
}

async fn config(store: Store, source: Source, pace: Pace, belief: Arc<Belief>) {
    let mut known = 0;
    let mut reach = Reach::new("configuration");
    let mut read = Instant::now() - pace.config;
    await_config(&store, source, &mut reach).await;
    loop {
        // A proof that came from another instance saves the read.
        belief.config.expired(pace.limit(pace.config, &belief)).await;
        // Quick successions of configurations are read together.
        sleep_until(read + pace.config).await;
        read = Instant::now();
        match told(&store, source, &belief, known).await {
            // The proof comes with the next answer of the instance that told of it.
            Ok(Some(record)) if install(&record, source, &belief) => {
                known = record.revision;
                continue;
            }
            Ok(_) => {}
            Err(e) => {
                reach.failed(&e);
                sleep(reach.pause(belief.led())).await;
                continue;
            }
        }
        let sent = clock::now();
        match store.get(Purpose::Config, source.config).await {
            Ok(Some(record)) => {
                reach.answered();
                if record.revision <= known || install(&record, source, &belief) {
                    known = known.max(record.revision);
                    belief.config.note(sent);
                } else {
                    sleep(pace.config).await;
                }
            }
            Ok(None) => {
                reach.answered();
                sleep(RETRY).await;
            }
            Err(e) => {
                reach.failed(&e);
                sleep(reach.pause(belief.led())).await;
            }
        }
    }
}

/// Waits by cheap reads until there is a configuration or the store does not answer.
async fn await_config(store: &Store, source: Source, reach: &mut Reach) {
    loop {
        match store.peek(Purpose::Config, source.config).await {
            Ok(Some(_)) => return,
            Ok(None) => sleep(RETRY).await,
            Err(e) => return reach.failed(&e),
        }
    }
}

/// Reads a configuration that another instance already has, with a read that costs little and may be
/// old; `None` if it shows an older one than was told.
async fn told(
    store: &Store,
    source: Source,
    belief: &Belief,
    known: u64,
) -> Result<Option<Record>> {
    let Some(newer) = belief.newer_config(known) else { return Ok(None) };
    let found = store.peek(Purpose::Config, source.config).await?;
    Ok(found.filter(|record| record.revision >= newer))
}

/// Puts a configuration in force; returns whether it could be read.
fn install(record: &Record, source: Source, belief: &Belief) -> bool {
    match (source.read_config)(&record.value) {
        Ok(parts) => {
            let table = Table::new(parts);
            log::info!(
                event = "config_in_force", version = table.version, revision = record.revision,
                routes = table.routes.len(), organisations = table.orgs.len();
                "a new configuration is in force"
            );
            belief.table.store(Some(Arc::new(table)));
            belief.revision.store(record.revision, Ordering::Release);
            belief.announce();
            true
        }
        Err(e) => {
            log::error!(
                event = "config_refused", revision = record.revision, cause = e.as_str();
                "the configuration cannot be read; the one in force stays and ages"
            );
            false
        }
    }
}

async fn entries(store: Store, source: Source, pace: Pace, belief: Arc<Belief>) {
    let mut roster = Roster::default();
    let mut reach = Reach::new("endpoints");
    loop {
        belief.roster.expired(pace.limit(pace.entries, &belief)).await;
        let (entries, sent) = match belief.take_offered() {
            Some(offered) => offered,
            None => match read(&store, source, &mut reach, &belief).await {
                Some(read) => read,
                None => continue,
            },
        };
        let input = Input::Read { entries, sent };
        if let Some(age) = belief.roster.age() {
            roster.confirm(clock::now().saturating_sub(age));
        }
        let changed = roster.step(input, clock::now());
        belief.set_graced(roster.missing() > 0);
        if changed {
            let list: Vec<Entry> = roster.entries().cloned().collect();
            log::info!(
                event = "endpoints_changed", known = list.len(),
                leaving = list.iter().filter(|e| e.leaving).count(), missing = roster.missing(),
                reading = list.iter().filter(|e| e.stage == Some(Stage::Prefill)).count(),
                generating = list.iter().filter(|e| e.stage == Some(Stage::Decode)).count(),
                spot = list.iter().filter(|e| e.spot).count();
                "the set of endpoints changed"
            );
            belief.install(list, roster.digest());
        }
        belief.roster.note(sent);
    }
}

/// Reads the entries from the store, with the time before the read was sent.
async fn read(
    store: &Store,
    source: Source,
    reach: &mut Reach,
    belief: &Belief,
) -> Option<(Vec<Entry>, Mono)> {
    let sent = clock::now();
    match store.range(Purpose::Roster, source.entries, Freshness::Linearizable).await {
        Ok(items) => {
            reach.answered();
            Some((decode(&items, source), sent))
        }
        Err(e) => {
            reach.failed(&e);
            sleep(reach.pause(belief.led())).await;
            None
        }
    }
}

fn decode(items: &[Item], source: Source) -> Vec<Entry> {
    let name = |item: &Item| item.key.strip_prefix(source.entries).unwrap_or_default().to_owned();
    let mut out = Vec::with_capacity(items.len());
    for item in items {
        match (source.read_entry)(&name(item), &item.record.value) {
            Some(entry) => out.push(entry),
            None => log::debug!(
                event = "entry_ignored", key = item.key.as_str();
                "the entry names no endpoint that can be used"
            ),
        }
    }
    out
}
