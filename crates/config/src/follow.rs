//! Runs the spread machine of one instance over the store and its peers.
//!
//! The machine is stepped under a lock that no I/O is done under; each action runs as a task and
//! ends in one input. What peers may fetch is what this instance holds: the head in force and its
//! chunks. A generation whose content cannot be read is logged and counted, and the last good one
//! stays in force.

use {
    crate::{
        doc::Document,
        freshness::{PROOF_BOUND, Standing},
        head::{HEAD_KEY, Head, check_chunk, chunk_key},
        index,
        section::ChunkId,
        spread::{Action, Found, Input, Peer, Settings, Source, State, serve::Fetchers},
    },
    agate_core::{Generation, Mono},
    agate_store::{Purpose, Revision, Store},
    futures_util::future::BoxFuture,
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Most heads that wait for their chunks.
const MAX_HEADS: usize = 4;

/// A peer's generation and the age of its newest proof.
pub type Answer = (Generation, Option<Duration>);
type Ask = dyn Fn(Peer) -> BoxFuture<'static, Option<Answer>> + Send + Sync;
type Announce = dyn Fn(Peer, Generation) + Send + Sync;
type FetchHead = dyn Fn(Peer) -> BoxFuture<'static, Option<Head>> + Send + Sync;
type FetchChunk = dyn Fn(Peer, ChunkId) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync;
type Install = dyn Fn(&Head, Document) + Send + Sync;

/// Ways to other instances; each call ends within a bounded time.
#[derive(Clone)]
pub struct Peers {
    /// Asks for the peer's generation and proof.
    pub ask: Arc<Ask>,
    /// Tells the peer a generation; it may get lost.
    pub announce: Arc<Announce>,
    /// Fetches the peer's head.
    pub head: Arc<FetchHead>,
    /// Fetches a chunk.
    pub chunk: Arc<FetchChunk>,
}

/// Handle of a running follower; it stops when the handle is dropped.
pub struct Follower {
    shared: Arc<Shared>,
    timer: JoinHandle<()>,
}

struct Shared {
    store: Store,
    peers: Peers,
    install: Box<Install>,
    origin: Instant,
    wake: Notify,
    /// Instant, in nanoseconds since the origin, up to which the newest proof is recent.
    fresh: AtomicU64,
    /// Generations and records that could not be read.
    refused: AtomicU64,
    held: Mutex<Held>,
}

struct Held {
    state: State,
    revision: Revision,
    /// Heads found and not yet in force.
    heads: IndexMap<Generation, Head>,
    head: Option<Arc<Head>>,
    chunks: IndexMap<ChunkId, Arc<Vec<u8>>>,
    fetchers: Fetchers,
}

impl Held {
    fn chunk(&self, id: &str) -> Option<&[u8]> {
        self.chunks.get(id).map(|c| c.as_slice())
    }

    /// Holds a chunk; returns those that it lists and that are not held.
    fn add(&mut self, id: &str, bytes: Vec<u8>) -> Vec<ChunkId> {
        let mut ids = index::listed(&bytes).unwrap_or_default();
        self.chunks.insert(id.into(), Arc::new(bytes));
        ids.retain(|id| !self.chunks.contains_key(id));
        ids
    }
}

/// Starts to follow the configuration; `install` puts one in force, and refuses one that is older
/// than the present one, since two may be put in force at the same time.
///
/// The follower does nothing before its members are set.
pub fn spawn(
    own: Peer,
    settings: Settings,
    store: Store,
    peers: Peers,
    install: impl Fn(&Head, Document) + Send + Sync + 'static,
) -> Follower {
    let seed = u64::from_le_bytes(
        *blake3::hash(own.as_bytes()).as_bytes().first_chunk().expect("32 bytes"),
    );
    let held = Held {
        state: State::new(own, settings, seed),
        revision: 0,
        heads: IndexMap::new(),
        head: None,
        chunks: IndexMap::new(),
        fetchers: Fetchers::default(),
    };
    let shared = Arc::new(Shared {
        store,
        peers,
        install: Box::new(install),
        origin: Instant::now(),
        wake: Notify::new(),
        fresh: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        held: Mutex::new(held),
    });
    let timer = tokio::spawn(shared.clone().tick());
    Follower { shared, timer }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

impl Follower {
    /// Takes over the members of the own availability zone and a sample of each other one.
    pub fn set_members(&self, zone: Vec<Peer>, far: Vec<Vec<Peer>>, fleet: usize) {
        self.shared.input(Input::Members { zone, far, fleet });
    }

    /// Notes a peer's digest. `since` is the time since the question left that it answers, `None`
    /// for one that came unasked.
    pub fn hear(&self, peer: Peer, answer: Answer, since: Option<Duration>) {
        let now = self.shared.now();
        let asked = since.and_then(|s| now.checked_sub(s));
        self.shared.hear(peer, answer, asked);
    }

    /// The generation in force and the age of its newest proof, for a peer that asks.
    pub fn digest(&self) -> Answer {
        let now = self.shared.now();
        let held = self.shared.lock();
        (held.state.installed(), held.state.proof_age(now))
    }

    /// The head in force, for a peer that fetches it.
    pub fn head(&self) -> Option<Arc<Head>> {
        self.shared.lock().head.clone()
    }

    /// A chunk, for a peer that fetches it; none if too many fetch from here at present.
    pub fn chunk(&self, peer: &Peer, id: &str) -> Option<Arc<Vec<u8>>> {
        let now = self.shared.now();
        let mut held = self.shared.lock();
        let chunk = held.chunks.get(id).cloned()?;
        held.fetchers.admit(peer, now).then_some(chunk)
    }

    /// What may be done with keyed work now; takes no lock while the newest proof is recent.
    pub fn standing(&self) -> Standing {
        let now = self.shared.now();
        if now.as_nanos() <= u128::from(self.shared.fresh.load(Ordering::Acquire)) {
            return Standing::Fresh;
        }
        self.shared.lock().state.standing(now)
    }

    /// Counts of the machine, and of generations and records that were refused.
    pub fn counters(&self) -> (crate::spread::Counters, u64) {
        let refused = self.shared.refused.load(Ordering::Relaxed);
        (self.shared.lock().state.counters, refused)
    }
}

impl Shared {
    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().expect("no holder of the lock panics")
    }

    async fn tick(self: Arc<Self>) {
        loop {
            let due = self.lock().state.due();
            tokio::select! {
                () = sleep(due.saturating_sub(self.now())) => self.input(Input::Due),
                () = self.wake.notified() => {}
            }
        }
    }

    fn hear(self: &Arc<Self>, peer: Peer, (generation, age): Answer, asked: Option<Mono>) {
        let proof = asked.map(|asked| crate::spread::Proof { asked, age });
        self.input(Input::Digest { peer, generation, proof });
    }

    fn input(self: &Arc<Self>, input: Input) {
        let now = self.now();
        let actions = self.lock().state.step(input, now);
        for action in actions {
            self.act(action);
        }
        self.note_proof();
        self.wake.notify_one();
    }

    /// Publishes until when the newest proof is recent.
    fn note_proof(&self) {
        let now = self.now();
        let Some(age) = self.lock().state.proof_age(now) else { return };
        let until = (now + PROOF_BOUND).saturating_sub(age);
        let nanos = u64::try_from(until.as_nanos()).unwrap_or(u64::MAX);
        self.fresh.fetch_max(nanos, Ordering::AcqRel);
    }

    fn act(self: &Arc<Self>, action: Action) {
        let this = self.clone();
        match action {
            Action::Install(generation) => self.put_in_force(generation),
            Action::Announce(peer) => {
                let generation = self.lock().state.installed();
                (self.peers.announce)(peer, generation);
            }
            Action::Alarm(generation) => {
                log::error!("the store's head is generation {generation}, older than one known");
            }
            Action::Read => drop(tokio::spawn(async move { this.read().await })),
            Action::Watch(wait) => drop(tokio::spawn(async move { this.watch(wait).await })),
            Action::Ask(peer) => drop(tokio::spawn(async move { this.ask(peer).await })),
            Action::FetchHead(peer) => {
                drop(tokio::spawn(async move { this.peer_head(peer).await }))
            }
            Action::FetchChunk(id, from) => {
                drop(tokio::spawn(async move { this.fetch_chunk(id, from).await }));
            }
        }
    }

    async fn ask(self: Arc<Self>, peer: Peer) {
        let asked = self.now();
        if let Some(answer) = (self.peers.ask)(peer.clone()).await {
            self.hear(peer, answer, Some(asked));
        }
    }

    async fn read(self: Arc<Self>) {
        let got = self.store.get(Purpose::Config, HEAD_KEY).await;
        let input = match got {
            Ok(None) => Input::Head(Found { generation: 0, missing: Vec::new() }),
            Ok(Some(record)) => self.decode(record.revision, &record.value),
            Err(e) => self.store_failed(&e),
        };
        self.input(input);
    }

    async fn watch(self: Arc<Self>, wait: Duration) {
        let after = self.lock().revision;
        let got = self.store.watch(Purpose::Config, HEAD_KEY, after, wait).await;
        let input = match got {
            Ok(None) => Input::Unchanged,
            Ok(Some(record)) => self.decode(record.revision, &record.value),
            Err(e) => self.store_failed(&e),
        };
        self.input(input);
    }

    fn store_failed(&self, cause: &agate_store::Error) -> Input {
        log::warn!("following the configuration: {cause}");
        Input::StoreFailed
    }

    /// Takes over a head from the store; one that cannot be read counts as a failed read.
    fn decode(&self, revision: Revision, bytes: &[u8]) -> Input {
        match Head::decode(HEAD_KEY, bytes) {
            Ok(head) => {
                self.lock().revision = revision;
                Input::Head(self.found(head))
            }
            Err(e) => {
                self.refuse(&e);
                Input::StoreFailed
            }
        }
    }

    fn refuse(&self, cause: &crate::head::BadRecord) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        log::error!("refused a configuration: {cause}");
    }

    fn found(&self, head: Head) -> Found {
        let mut held = self.lock();
        let missing = head.missing(|id| held.chunk(id));
        let generation = head.generation;
        held.heads.insert(generation, head);
        if held.heads.len() > MAX_HEADS {
            let oldest = held.heads.keys().min().copied();
            oldest.map(|g| held.heads.swap_remove(&g));
        }
        Found { generation, missing }
    }

    async fn peer_head(self: Arc<Self>, peer: Peer) {
        let input = match (self.peers.head)(peer.clone()).await {
            Some(head) => Input::PeerHead { peer, found: self.found(head) },
            None => Input::FetchFailed(Source::Peer(peer)),
        };
        self.input(input);
    }

    async fn fetch_chunk(self: Arc<Self>, id: ChunkId, from: Source) {
        let got = match &from {
            Source::Peer(peer) => (self.peers.chunk)(peer.clone(), id.clone()).await,
            Source::Store => {
                let record = self.store.get(Purpose::Config, chunk_key(&id)).await;
                record.ok().flatten().map(|r| r.value)
            }
        };
        let checked = got.map(|bytes| check_chunk(&id, &bytes).map(|()| bytes));
        let input = match checked {
            Some(Ok(bytes)) => {
                let missing = self.lock().add(&id, bytes);
                Input::Chunk { id, missing }
            }
            Some(Err(e)) => {
                self.refuse(&e);
                Input::FetchFailed(from)
            }
            None => Input::FetchFailed(from),
        };
        self.input(input);
    }

    fn put_in_force(&self, generation: Generation) {
        let mut held = self.lock();
        let Some(head) = held.heads.swap_remove(&generation) else { return };
        held.heads.retain(|g, _| *g > generation);
        let doc = head.assemble(|id| held.chunk(id));
        if held.heads.is_empty() {
            let needed = head.listed(|id| held.chunk(id));
            held.chunks.retain(|id, _| needed.contains(id));
        }
        held.head = Some(Arc::new(head.clone()));
        drop(held);
        match doc {
            Ok(doc) => (self.install)(&head, doc),
            Err(e) => self.refuse(&e),
        }
    }
}
