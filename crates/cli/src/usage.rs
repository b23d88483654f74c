//! Usage accounting: usage is counted, replicated to peers, sealed and reported.
//!
//! Requests send their usage through a channel, so they never wait; the channel is emptied whenever
//! the counters are read. Each round sends the rows that a peer lacks to two peers, in other
//! availability zones if possible. The lease holder of a shard requests the counters of all live
//! members, including their copies of unresponsive instances, then seals and reports the window.
//! [`agate_usage`] decides what to request and when; this module only transfers data.

pub mod copies;
mod handover;
mod reports;
pub mod roles;

use {
    self::{
        copies::{RELAY_TOPIC, REPLICATE_TOPIC, select_peers},
        reports::{ReportMetrics, ReportSender},
        roles::{CachedRoles, RoleAssignment, lease_name},
    },
    crate::{
        mesh::{self, Mesh},
        settings::Settings,
    },
    agate_core::{Mono, Wall},
    agate_flow::proxy_state::UsageSink,
    agate_lease::{Lease, Settings as LeaseSettings},
    agate_member::Member,
    agate_store::Store,
    agate_usage::{
        Figures, Shard, Source,
        clock::{WindowClock, window_of},
        counter::{Counter, Message},
        ledger::{Ledger, Part, PartRequest},
        runner::Ports,
        sealer,
    },
    futures_util::{FutureExt, future::join_all},
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, Weak},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::mpsc,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Topic of a request for the counters of a shard.
const GATHER_TOPIC: &str = "usage/gather";
/// Time between two rounds of replication.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Rounds between two heartbeats to a peer that lacks nothing, and between two relays of copies.
const HEARTBEAT_ROUNDS: u64 = 4;
/// Time without a message after which peers report their copies of an instance's counters.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Maximum time to hand over counters, and to release leases, at a graceful stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of past windows for which late usage is still reported.
const LATE_WINDOWS: u64 = 60;
/// Number of windows for which counters and copies are kept; longer than any outage of the report
/// interface that is provided for.
const RETAINED_WINDOWS: u64 = 3 * LATE_WINDOWS;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

type CountedWork = (Arc<str>, Arc<str>, Figures);

struct State {
    counter: Counter,
    ledger: Ledger,
    inbox: mpsc::UnboundedReceiver<CountedWork>,
    /// Incarnation of each peer that has acknowledged a message, by peer name.
    incarnations: IndexMap<Source, Source>,
    peers: Vec<Source>,
    round: u64,
}

struct ShardHolder {
    lease: Lease,
    shard: Shard,
}

/// Usage accounting of one instance.
pub struct Usage {
    own: Source,
    source: Source,
    settings: Settings,
    mesh: Arc<Mesh>,
    clock_start: Instant,
    state: Mutex<State>,
    sender: mpsc::UnboundedSender<CountedWork>,
    store: OnceLock<Store>,
    holders: OnceLock<Vec<ShardHolder>>,
    roles: Mutex<CachedRoles>,
    task: OnceLock<JoinHandle<()>>,
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.halt();
    }
}

impl Usage {
    /// Creates empty counters under a source name that is unique to this start of the instance.
    pub fn open(settings: &Settings, mesh: Arc<Mesh>) -> Arc<Self> {
        let source: Source = format!("{}@{:016x}", settings.name, rand::random::<u64>()).into();
        let clock = WindowClock::open(settings.usage.window, wall_time(), Mono::ZERO);
        let (sender, inbox) = mpsc::unbounded_channel();
        let state = State {
            counter: Counter::open(source.clone(), clock),
            ledger: Ledger::new(),
            inbox,
            incarnations: IndexMap::new(),
            peers: Vec::new(),
            round: 0,
        };
        Arc::new(Self {
            own: settings.name.as_str().into(),
            source,
            settings: settings.clone(),
            mesh,
            clock_start: Instant::now(),
            state: Mutex::new(state),
            sender,
            store: OnceLock::new(),
            holders: OnceLock::new(),
            roles: Mutex::default(),
            task: OnceLock::new(),
        })
    }

    /// Returns the callback by which requests report their usage.
    pub fn usage_sink(&self) -> UsageSink {
        let sender = self.sender.clone();
        Arc::new(move |org, model, prompt, output| {
            // Sending fails only after the instance has ended.
            let _ =
                sender.send((org.into(), model.into(), Figures { requests: 1, prompt, output }));
        })
    }

    /// Starts the rounds, serves other instances and runs for the leases of the shards.
    pub fn start(self: &Arc<Self>, store: &Store, registry: &prometheus::Registry) {
        let reports = ReportSender::open(&self.settings, ReportMetrics::open(registry));
        let shards = 0..self.settings.usage.shards;
        let holders = shards.map(|shard| self.spawn_holder(shard, store, &reports)).collect();
        let _ = self.store.set(store.clone());
        let _ = self.holders.set(holders);
        let weak = Arc::downgrade(self);
        self.mesh.serve_usage(Arc::new(move |topic, bytes| weak.upgrade()?.serve(topic, bytes)));
        let _ = self.task.set(tokio::spawn(run(Arc::downgrade(self))));
    }

    /// Whether some peer has a complete copy of the counters.
    pub fn is_replicated(&self) -> bool {
        self.state().counter.is_shipped()
    }

    /// Whether this instance holds the lease of some shard.
    pub fn is_holder(&self) -> bool {
        self.holders().iter().any(|h| h.lease.may_act().is_some())
    }

    /// Replicates all counters to peers and releases the leases, before a graceful stop ends.
    /// Without a peer, the counters are written to the store.
    pub async fn hand_over(&self) {
        // Peers report copies only of an instance that has stopped sending, so the rounds end
        // first.
        self.halt();
        let replicated = async {
            while !self.is_replicated() {
                self.replicate().await;
                sleep(RETRY_DELAY / 10).await;
            }
            self.relay(Duration::ZERO).await;
        };
        let delivered = self.choose_peers() && timeout(HANDOVER_TIMEOUT, replicated).await.is_ok();
        if !delivered && !self.store_parts().await {
            log::warn!(
                "the last usage counters could be handed over neither to peers nor to the store"
            );
        }
        let releases = self.holders().iter().map(|h| h.lease.release());
        let _ = timeout(HANDOVER_TIMEOUT, join_all(releases)).await;
    }

    /// Stops the rounds at once, as a crash would.
    pub fn halt(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    fn spawn_holder(
        self: &Arc<Self>,
        shard: u32,
        store: &Store,
        reports: &ReportSender,
    ) -> ShardHolder {
        let name = lease_name(shard);
        let lease = Lease::spawn(store.clone(), LeaseSettings::new(name, &*self.source));
        let (reports, weak) = (reports.clone(), Arc::downgrade(self));
        let ports = Ports {
            store: store.clone(),
            lease: lease.clone(),
            report: Arc::new(move |sealed| reports.clone().send(sealed).boxed()),
            gather: Arc::new(move |want| {
                if let Some(usage) = weak.upgrade() {
                    usage.gather(want);
                }
            }),
            wall: Arc::new(wall_time),
        };
        ShardHolder { lease, shard: Shard::spawn(self.sealer_settings(shard), ports) }
    }

    fn sealer_settings(&self, shard: u32) -> sealer::Settings {
        let usage = &self.settings.usage;
        sealer::Settings {
            shard,
            shards: usage.shards,
            window: usage.window,
            gather: usage.gather,
            grace: usage.grace,
            horizon: LATE_WINDOWS,
            retry: RETRY_DELAY,
            timeout: CALL_TIMEOUT,
        }
    }

    fn holders(&self) -> &[ShardHolder] {
        self.holders.get().map_or(&[], |h| h)
    }

    fn now(&self) -> Mono {
        self.clock_start.elapsed()
    }

    /// Locks the counters, after adding all usage in the channel.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let (wall, now) = (wall_time(), self.now());
        while let Ok((org, model, work)) = state.inbox.try_recv() {
            state.counter.count(&org, &model, work, wall, now);
        }
        state
    }

    /// Requests the counters of every live member and reads those left in the store; responses are
    /// merged as they arrive.
    fn gather(self: &Arc<Self>, want: PartRequest) {
        self.merge(want.shard, &self.collect_parts(&want));
        let (usage, wanted) = (self.clone(), want.clone());
        tokio::spawn(async move {
            let Some(store) = usage.store.get() else { return };
            let parts = handover::read(store, &wanted, LATE_WINDOWS).await;
            usage.merge(wanted.shard, &parts);
        });
        for member in self.mesh.live().iter() {
            let (usage, want, name) = (self.clone(), want.clone(), member.name.clone());
            tokio::spawn(async move {
                if let Some(parts) = usage.mesh.ask::<Vec<Part>>(&name, GATHER_TOPIC, &want).await {
                    usage.merge(want.shard, &parts);
                }
            });
        }
    }

    fn merge(&self, shard: u32, parts: &[Part]) {
        let Some(holder) = self.holders().get(shard as usize) else { return };
        parts.iter().for_each(|p| holder.shard.merge_part(p));
    }

    /// This instance's counters, and its copies of those of unresponsive instances.
    fn collect_parts(&self, want: &PartRequest) -> Vec<Part> {
        let state = self.state();
        let mut parts = state.ledger.parts(want, SILENT_AFTER, self.now());
        parts.push(state.counter.part(want.shard, want.shards, want.oldest, want.newest));
        parts
    }

    fn serve(&self, topic: &str, bytes: &[u8]) -> Option<Vec<u8>> {
        match topic {
            REPLICATE_TOPIC => {
                self.state().ledger.merge(&mesh::decode::<Message>(bytes)?, self.now());
                Some(mesh::encode(&self.source))
            }
            RELAY_TOPIC => {
                let part: Part = mesh::decode(bytes)?;
                if part.source != self.source {
                    self.state().ledger.merge_relayed(&part);
                }
                Some(mesh::encode(&self.source))
            }
            GATHER_TOPIC => {
                let want: PartRequest = mesh::decode(bytes)?;
                let fits = want.shards > 0 && want.newest < u64::MAX;
                fits.then(|| mesh::encode(&self.collect_parts(&want)))
            }
            _ => None,
        }
    }

    /// Writes all counters and copies to the store when there is no peer; false if that failed.
    async fn store_parts(&self) -> bool {
        let Some(store) = self.store.get() else { return true };
        let parts = {
            let state = self.state();
            let mut parts =
                state.ledger.parts(&PartRequest::everything(0), Duration::ZERO, self.now());
            parts.push(state.counter.part(0, 1, 0, u64::MAX - 1));
            parts
        };
        if parts.iter().all(|p| p.rows.is_empty()) {
            return true;
        }
        handover::write(store, &self.source, &parts).await
    }

    /// Keeps the replication peers that are still live and selects new ones; false if there is
    /// none.
    fn choose_peers(&self) -> bool {
        let live = self.mesh.live();
        let roles = self.roles(&live);
        let mut state = self.state();
        let peers = select_peers(&self.settings.zone, &self.own, &state.peers, &live, &roles.busy);
        if peers != state.peers {
            state.counter.set_peers(peers.iter().cloned());
            state.incarnations.retain(|p, _| peers.contains(p));
            state.peers = peers;
        }
        !state.peers.is_empty()
    }

    /// Runs for the leases for which this instance is a candidate.
    fn update_candidacy(&self) {
        let roles = self.roles(&self.mesh.live());
        for (candidates, holder) in roles.shards.iter().zip(self.holders()) {
            holder.lease.set_candidate(candidates.contains(&self.own));
        }
    }

    fn roles(&self, live: &Arc<Vec<Member>>) -> Arc<RoleAssignment> {
        let mut held = self.roles.lock().expect("no holder of the lock panics");
        held.update(live.clone(), &self.settings.zone, &self.own, self.settings.usage.shards)
    }

    fn prune(&self) {
        let oldest =
            window_of(wall_time(), self.settings.usage.window).saturating_sub(RETAINED_WINDOWS);
        let mut state = self.state();
        state.counter.prune(oldest);
        state.ledger.prune(oldest);
    }
}

impl State {
    /// Records that `peer` has merged a round; a peer that has restarted since lacks everything.
    fn acknowledge(&mut self, peer: &Source, start: Source, round: u64) {
        let old = self.incarnations.insert(peer.clone(), start.clone());
        if old.is_none_or(|old| old == start) {
            return self.counter.acknowledge(peer, round);
        }
        let others = self.peers.iter().filter(|p| *p != peer).cloned();
        self.counter.set_peers(others);
        self.counter.set_peers(self.peers.iter().cloned());
    }
}

async fn run(usage: Weak<Usage>) {
    while let Some(usage) = usage.upgrade() {
        usage.choose_peers();
        usage.replicate().await;
        if usage.state().round.is_multiple_of(HEARTBEAT_ROUNDS) {
            usage.update_candidacy();
            usage.relay(SILENT_AFTER).await;
            usage.prune();
        }
        drop(usage);
        sleep(ROUND_INTERVAL).await;
    }
}

fn wall_time() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
