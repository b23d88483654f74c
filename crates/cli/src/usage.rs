//! Usage of a running instance: counted, copied to peers, sealed and reported.
//!
//! Requests hand their work to a channel, so they never wait; whoever looks at the counters takes
//! it in first. Each round sends the rows that a peer lacks to two peers, in other availability
//! zones where there are any. The holder of a shard's lease asks all live members for their own
//! counters and for their copies of silent instances, then seals and reports. What it asks for and
//! when is decided by [`agate_usage`]; this module only moves data.

pub mod copies;
mod left;
pub mod ranks;
mod reports;

use {
    self::{
        copies::{RELAY, SHIP, choose},
        ranks::{Held, Ranks, lease_name},
        reports::{Meter, Reports},
    },
    crate::{
        mesh::{self, Mesh},
        settings::Settings,
    },
    agate_core::{Mono, Wall},
    agate_flow::gate::Count,
    agate_lease::{Lease, Settings as LeaseSettings},
    agate_member::Member,
    agate_store::Store,
    agate_usage::{
        Figures, Shard, Source,
        clock::{WindowClock, window_of},
        counter::{Counter, Message},
        ledger::{Ledger, Part, Want},
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

/// Topic of a question for the counters of a shard.
const GATHER: &str = "usage/gather";
/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(250);
/// Rounds between two messages to a peer that lacks nothing, and between two relays.
const BEAT: u64 = 4;
/// Time after which an instance that was not heard is answered for by its peers.
const QUIET: Duration = Duration::from_secs(3);
/// Longest time for handing over at a graceful stop.
const HAND_LIMIT: Duration = Duration::from_secs(3);
/// Windows back to which late figures are taken in.
const HORIZON: u64 = 60;
/// Windows that counters and copies are kept for; longer than the report interface may be away.
const KEPT: u64 = 3 * HORIZON;
/// Pause between two tries of a failed call.
const RETRY: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a call.
const TIMEOUT: Duration = Duration::from_secs(5);

type Work = (Arc<str>, Arc<str>, Figures);

struct State {
    counter: Counter,
    ledger: Ledger,
    inbox: mpsc::UnboundedReceiver<Work>,
    /// Start of each peer that acknowledged something, by its name.
    starts: IndexMap<Source, Source>,
    peers: Vec<Source>,
    round: u64,
}

struct Holder {
    lease: Lease,
    shard: Shard,
}

/// Usage of one instance.
pub struct Usage {
    own: Source,
    source: Source,
    settings: Settings,
    mesh: Arc<Mesh>,
    origin: Instant,
    state: Mutex<State>,
    sender: mpsc::UnboundedSender<Work>,
    store: OnceLock<Store>,
    holders: OnceLock<Vec<Holder>>,
    ranks: Mutex<Held>,
    task: OnceLock<JoinHandle<()>>,
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.halt();
    }
}

impl Usage {
    /// Opens empty counters under a name that differs between starts.
    pub fn open(settings: &Settings, mesh: Arc<Mesh>) -> Arc<Self> {
        let source: Source = format!("{}@{:016x}", settings.name, rand::random::<u64>()).into();
        let clock = WindowClock::open(settings.usage.window, wall(), Mono::ZERO);
        let (sender, inbox) = mpsc::unbounded_channel();
        let state = State {
            counter: Counter::open(source.clone(), clock),
            ledger: Ledger::new(),
            inbox,
            starts: IndexMap::new(),
            peers: Vec::new(),
            round: 0,
        };
        Arc::new(Self {
            own: settings.name.as_str().into(),
            source,
            settings: settings.clone(),
            mesh,
            origin: Instant::now(),
            state: Mutex::new(state),
            sender,
            store: OnceLock::new(),
            holders: OnceLock::new(),
            ranks: Mutex::default(),
            task: OnceLock::new(),
        })
    }

    /// Way for requests to hand over their work.
    pub fn counting(&self) -> Count {
        let sender = self.sender.clone();
        Arc::new(move |org, model, prompt, output| {
            // Fails only after the instance has ended.
            let _ =
                sender.send((org.into(), model.into(), Figures { requests: 1, prompt, output }));
        })
    }

    /// Starts the rounds, answers other instances and stands for the shards' leases.
    pub fn start(self: &Arc<Self>, store: &Store, registry: &prometheus::Registry) {
        let reports = Reports::open(&self.settings, Meter::open(registry));
        let shards = 0..self.settings.usage.shards;
        let holders = shards.map(|shard| self.hold(shard, store, &reports)).collect();
        let _ = self.store.set(store.clone());
        let _ = self.holders.set(holders);
        let weak = Arc::downgrade(self);
        self.mesh.serve_usage(Arc::new(move |topic, bytes| weak.upgrade()?.serve(topic, bytes)));
        let _ = self.task.set(tokio::spawn(run(Arc::downgrade(self))));
    }

    /// Whether some peer has everything that was counted.
    pub fn is_shipped(&self) -> bool {
        self.state().counter.is_shipped()
    }

    /// Whether this instance may act for some shard.
    pub fn is_holder(&self) -> bool {
        self.holders().iter().any(|h| h.lease.may_act().is_some())
    }

    /// Hands everything over to peers and frees the leases, before a graceful stop ends.
    pub async fn hand_over(&self) {
        // The last message is the last sign of life: peers answer for a silent instance only.
        self.halt();
        let shipped = async {
            while !self.is_shipped() {
                self.ship().await;
                sleep(RETRY / 10).await;
            }
            self.relay(Duration::ZERO).await;
        };
        let taken = self.choose_peers() && timeout(HAND_LIMIT, shipped).await.is_ok();
        if !taken && !self.leave().await {
            log::warn!("the last usage figures could not be handed over");
        }
        let releases = self.holders().iter().map(|h| h.lease.release());
        let _ = timeout(HAND_LIMIT, join_all(releases)).await;
    }

    /// Ends all work at once, as a crash would.
    pub fn halt(&self) {
        if let Some(task) = self.task.get() {
            task.abort();
        }
    }

    fn hold(self: &Arc<Self>, shard: u32, store: &Store, reports: &Reports) -> Holder {
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
            wall: Arc::new(wall),
        };
        Holder { lease, shard: Shard::spawn(self.sealing(shard), ports) }
    }

    fn sealing(&self, shard: u32) -> sealer::Settings {
        let usage = &self.settings.usage;
        sealer::Settings {
            shard,
            shards: usage.shards,
            window: usage.window,
            gather: usage.gather,
            grace: usage.grace,
            horizon: HORIZON,
            retry: RETRY,
            timeout: TIMEOUT,
        }
    }

    fn holders(&self) -> &[Holder] {
        self.holders.get().map_or(&[], |h| h)
    }

    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    /// The counters, with all work taken in that was handed over so far.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let (wall, now) = (wall(), self.now());
        while let Ok((org, model, work)) = state.inbox.try_recv() {
            state.counter.count(&org, &model, work, wall, now);
        }
        state
    }

    /// Asks every live member for its counters; answers are merged as they come.
    fn gather(self: &Arc<Self>, want: Want) {
        self.merge(want.shard, &self.parts(&want));
        let (usage, left) = (self.clone(), want.clone());
        tokio::spawn(async move {
            let Some(store) = usage.store.get() else { return };
            let parts = left::read(store, &left, HORIZON).await;
            usage.merge(left.shard, &parts);
        });
        for member in self.mesh.live().iter() {
            let (usage, want, name) = (self.clone(), want.clone(), member.name.clone());
            tokio::spawn(async move {
                if let Some(parts) = usage.mesh.ask::<Vec<Part>>(&name, GATHER, &want).await {
                    usage.merge(want.shard, &parts);
                }
            });
        }
    }

    fn merge(&self, shard: u32, parts: &[Part]) {
        let Some(holder) = self.holders().get(shard as usize) else { return };
        parts.iter().for_each(|p| holder.shard.merge_part(p));
    }

    /// Own counters, and copies of those that were not heard for a while.
    fn parts(&self, want: &Want) -> Vec<Part> {
        let state = self.state();
        let mut parts = state.ledger.parts(want, QUIET, self.now());
        parts.push(state.counter.part(want.shard, want.shards, want.oldest, want.newest));
        parts
    }

    fn serve(&self, topic: &str, bytes: &[u8]) -> Option<Vec<u8>> {
        match topic {
            SHIP => {
                self.state().ledger.merge(&mesh::decode::<Message>(bytes)?, self.now());
                Some(mesh::encode(&self.source))
            }
            RELAY => {
                let part: Part = mesh::decode(bytes)?;
                if part.source != self.source {
                    self.state().ledger.merge_relayed(&part);
                }
                Some(mesh::encode(&self.source))
            }
            GATHER => {
                let want: Want = mesh::decode(bytes)?;
                let fits = want.shards > 0 && want.newest < u64::MAX;
                fits.then(|| mesh::encode(&self.parts(&want)))
            }
            _ => None,
        }
    }

    /// Leaves everything in the store, for want of a peer.
    async fn leave(&self) -> bool {
        let Some(store) = self.store.get() else { return true };
        let parts = {
            let state = self.state();
            let mut parts = state.ledger.parts(&Want::everything(0), Duration::ZERO, self.now());
            parts.push(state.counter.part(0, 1, 0, u64::MAX - 1));
            parts
        };
        if parts.iter().all(|p| p.rows.is_empty()) {
            return true;
        }
        left::write(store, &self.source, &parts).await
    }

    /// Keeps the peers that are still live and fills up; false if there is none.
    fn choose_peers(&self) -> bool {
        let live = self.mesh.live();
        let ranks = self.ranks(&live);
        let mut state = self.state();
        let peers = choose(&self.settings.zone, &self.own, &state.peers, &live, &ranks.busy);
        if peers != state.peers {
            state.counter.set_peers(peers.iter().cloned());
            state.starts.retain(|p, _| peers.contains(p));
            state.peers = peers;
        }
        !state.peers.is_empty()
    }

    /// Stands for the leases whose few candidates this instance is among.
    fn stand(&self) {
        let ranks = self.ranks(&self.mesh.live());
        for (candidates, holder) in ranks.shards.iter().zip(self.holders()) {
            holder.lease.set_wanted(candidates.contains(&self.own));
        }
    }

    fn ranks(&self, live: &Arc<Vec<Member>>) -> Arc<Ranks> {
        let mut held = self.ranks.lock().expect("no holder of the lock panics");
        held.of(live.clone(), &self.settings.zone, &self.own, self.settings.usage.shards)
    }

    fn prune(&self) {
        let oldest = window_of(wall(), self.settings.usage.window).saturating_sub(KEPT);
        let mut state = self.state();
        state.counter.prune(oldest);
        state.ledger.prune(oldest);
    }
}

impl State {
    /// Takes in that `peer` merged a round; one that started anew since lacks everything.
    fn acknowledge(&mut self, peer: &Source, start: Source, round: u64) {
        let old = self.starts.insert(peer.clone(), start.clone());
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
        usage.ship().await;
        if usage.state().round.is_multiple_of(BEAT) {
            usage.stand();
            usage.relay(QUIET).await;
            usage.prune();
        }
        drop(usage);
        sleep(ROUND).await;
    }
}

fn wall() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
