//! Runs the distribution state machine of one instance over the store and its peers.
//!
//! The machine is stepped under a lock, and no I/O happens under the lock. Each action runs as a
//! task and ends in one input. Peers may fetch the installed head and its chunks from this
//! instance. A generation that cannot be read is logged and counted, and the last valid one stays
//! installed.

use {
    crate::{
        doc::Document,
        freshness::{ConfigFreshness, MAX_PROOF_AGE},
        head::{HEAD_KEY, Head, check_chunk, chunk_key},
        index,
        section::ChunkId,
        spread::{Action, HeadSummary, Input, Peer, Settings, Source, State, serve::Fetchers},
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

/// Maximum number of heads that wait for their chunks.
const MAX_HEADS: usize = 4;

/// A peer's installed generation and the age of its newest freshness proof.
pub type PeerDigest = (Generation, Option<Duration>);
type Query = dyn Fn(Peer) -> BoxFuture<'static, Option<PeerDigest>> + Send + Sync;
type Announce = dyn Fn(Peer, Generation) + Send + Sync;
type FetchHead = dyn Fn(Peer) -> BoxFuture<'static, Option<Head>> + Send + Sync;
type FetchChunk = dyn Fn(Peer, ChunkId) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync;
type Install = dyn Fn(&Head, Document) + Send + Sync;

/// Calls to other instances. Each call ends within a bounded time.
#[derive(Clone)]
pub struct Peers {
    /// Asks a peer for its generation and the age of its proof; `None` if the call failed.
    pub query: Arc<Query>,
    /// Sends a generation to a peer, without a guarantee that it arrives.
    pub announce: Arc<Announce>,
    /// Fetches the installed head of a peer; `None` if the call failed or the peer has none.
    pub head: Arc<FetchHead>,
    /// Fetches a chunk from a peer; `None` if the call failed or the peer refused it.
    pub chunk: Arc<FetchChunk>,
}

/// Handle of a running follower. Dropping it stops the follower.
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
    /// Time in nanoseconds since the origin up to which the newest proof is recent.
    fresh_until: AtomicU64,
    /// Number of generations and records that could not be read.
    refused: AtomicU64,
    inner: Mutex<Inner>,
}

struct Inner {
    state: State,
    /// Generation of the document that `install` has returned for.
    in_force: Generation,
    revision: Revision,
    /// Heads that were read and are not installed yet.
    heads: IndexMap<Generation, Head>,
    head: Option<Arc<Head>>,
    chunks: IndexMap<ChunkId, Arc<Vec<u8>>>,
    fetchers: Fetchers,
}

impl Inner {
    /// Returns whether the installed generation is still being put in force. Its proofs do not hold
    /// for the former document, which serves requests meanwhile.
    fn installing(&self) -> bool {
        self.in_force < self.state.installed()
    }

    fn chunk(&self, id: &str) -> Option<&[u8]> {
        self.chunks.get(id).map(|c| c.as_slice())
    }

    /// Adds a chunk and returns those chunks that it lists and that are missing.
    fn add(&mut self, id: &str, bytes: Vec<u8>) -> Vec<ChunkId> {
        let mut ids = index::child_ids(&bytes).unwrap_or_default();
        self.chunks.insert(id.into(), Arc::new(bytes));
        ids.retain(|id| !self.chunks.contains_key(id));
        ids
    }
}

/// Starts to follow the configuration in the store. `install` installs a document; it must refuse
/// one older than the installed one, since two calls may run at the same time.
///
/// The follower does nothing before [`Follower::set_members`] is called.
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
    let inner = Inner {
        state: State::new(own, settings, seed),
        in_force: 0,
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
        fresh_until: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        inner: Mutex::new(inner),
    });
    let timer = tokio::spawn(shared.clone().run_timer());
    Follower { shared, timer }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

impl Follower {
    /// Sets the members: those of the own availability zone, a sample of each other zone, and the
    /// approximate size of the fleet.
    pub fn set_members(&self, zone: Vec<Peer>, remote: Vec<Vec<Peer>>, fleet: usize) {
        self.shared.input(Input::Members { zone, remote, fleet });
    }

    /// Applies a peer's digest. `since` is the time since this instance sent the query that it
    /// responses, or `None` if the peer sent it without a query.
    pub fn on_digest(&self, peer: Peer, response: PeerDigest, since: Option<Duration>) {
        let now = self.shared.now();
        let sent_at = since.and_then(|s| now.checked_sub(s));
        self.shared.on_digest(peer, response, sent_at);
    }

    /// Returns the installed generation and the age of its newest proof, as a response to a peer.
    pub fn digest(&self) -> PeerDigest {
        let now = self.shared.now();
        let inner = self.shared.lock();
        (inner.state.installed(), inner.state.proof_age(now))
    }

    /// Returns the installed head, as a response to a peer.
    pub fn head(&self) -> Option<Arc<Head>> {
        self.shared.lock().head.clone()
    }

    /// Returns a chunk to send to a peer. Returns `None` if this instance lacks it, or if too many
    /// peers fetch from this instance.
    pub fn chunk(&self, peer: &Peer, id: &str) -> Option<Arc<Vec<u8>>> {
        let now = self.shared.now();
        let mut inner = self.shared.lock();
        let chunk = inner.chunks.get(id).cloned()?;
        inner.fetchers.admit(peer, now).then_some(chunk)
    }

    /// Returns whether requests that need a key may be served now. Takes no lock while the newest
    /// proof is recent.
    pub fn freshness(&self) -> ConfigFreshness {
        let now = self.shared.now();
        if now.as_nanos() <= u128::from(self.shared.fresh_until.load(Ordering::Acquire)) {
            return ConfigFreshness::Fresh;
        }
        let inner = self.shared.lock();
        if inner.installing() { ConfigFreshness::Stale } else { inner.state.freshness(now) }
    }

    /// Returns the counters of the state machine, and the number of generations and records that
    /// were refused.
    pub fn counters(&self) -> (crate::spread::Counters, u64) {
        let refused = self.shared.refused.load(Ordering::Relaxed);
        (self.shared.lock().state.counters, refused)
    }
}

impl Shared {
    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    async fn run_timer(self: Arc<Self>) {
        loop {
            let due = self.lock().state.due();
            tokio::select! {
                () = sleep(due.saturating_sub(self.now())) => self.input(Input::Due),
                () = self.wake.notified() => {}
            }
        }
    }

    fn on_digest(
        self: &Arc<Self>,
        peer: Peer,
        (generation, age): PeerDigest,
        sent_at: Option<Mono>,
    ) {
        let proof = sent_at.map(|sent_at| crate::spread::Proof { sent_at, age });
        self.input(Input::Digest { peer, generation, proof });
    }

    fn input(self: &Arc<Self>, input: Input) {
        let now = self.now();
        let actions = self.lock().state.step(input, now);
        for action in actions {
            self.execute(action);
        }
        self.update_fresh_until();
        self.wake.notify_one();
    }

    /// Publishes the time until which the newest proof is recent.
    fn update_fresh_until(&self) {
        let now = self.now();
        let inner = self.lock();
        let proved = inner.state.proof_age(now).filter(|_| !inner.installing());
        drop(inner);
        let Some(age) = proved else { return };
        let until = (now + MAX_PROOF_AGE).saturating_sub(age);
        let nanos = u64::try_from(until.as_nanos()).unwrap_or(u64::MAX);
        self.fresh_until.fetch_max(nanos, Ordering::AcqRel);
    }

    fn execute(self: &Arc<Self>, action: Action) {
        let this = self.clone();
        match action {
            Action::Install(generation) => self.install_generation(generation),
            Action::Announce(peer) => {
                let generation = self.lock().state.installed();
                (self.peers.announce)(peer, generation);
            }
            Action::Alarm(generation) => {
                log::error!("the store's head is generation {generation}, older than one known");
            }
            Action::Read => drop(tokio::spawn(async move { this.read().await })),
            Action::Watch(wait) => drop(tokio::spawn(async move { this.watch(wait).await })),
            Action::Query(peer) => drop(tokio::spawn(async move { this.query(peer).await })),
            Action::FetchHead(peer) => {
                drop(tokio::spawn(async move { this.peer_head(peer).await }))
            }
            Action::FetchChunk(id, from) => {
                drop(tokio::spawn(async move { this.fetch_chunk(id, from).await }));
            }
        }
    }

    async fn query(self: Arc<Self>, peer: Peer) {
        let sent_at = self.now();
        if let Some(response) = (self.peers.query)(peer.clone()).await {
            self.on_digest(peer, response, Some(sent_at));
        }
    }

    async fn read(self: Arc<Self>) {
        let result = self.store.get(Purpose::Config, HEAD_KEY).await;
        let input = match result {
            Ok(None) => Input::Head(HeadSummary { generation: 0, missing: Vec::new() }),
            Ok(Some(record)) => self.decode(record.revision, &record.value),
            Err(e) => self.store_failed(&e),
        };
        self.input(input);
    }

    async fn watch(self: Arc<Self>, wait: Duration) {
        let after = self.lock().revision;
        let result = self.store.watch(Purpose::Config, HEAD_KEY, after, wait).await;
        let input = match result {
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

    /// Decodes a head from the store. One that cannot be decoded counts as a failed read.
    fn decode(&self, revision: Revision, bytes: &[u8]) -> Input {
        match Head::decode(HEAD_KEY, bytes) {
            Ok(head) => {
                self.lock().revision = revision;
                Input::Head(self.add_head(head))
            }
            Err(e) => {
                self.record_refusal(&e);
                Input::StoreFailed
            }
        }
    }

    fn record_refusal(&self, cause: &crate::head::BadRecord) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        log::error!("refused a configuration: {cause}");
    }

    fn add_head(&self, head: Head) -> HeadSummary {
        let mut inner = self.lock();
        let missing = head.missing(|id| inner.chunk(id));
        let generation = head.generation;
        inner.heads.insert(generation, head);
        if inner.heads.len() > MAX_HEADS {
            let oldest = inner.heads.keys().min().copied();
            oldest.map(|g| inner.heads.swap_remove(&g));
        }
        HeadSummary { generation, missing }
    }

    async fn peer_head(self: Arc<Self>, peer: Peer) {
        let input = match (self.peers.head)(peer.clone()).await {
            Some(head) => Input::PeerHead { peer, summary: self.add_head(head) },
            None => Input::FetchFailed(Source::Peer(peer)),
        };
        self.input(input);
    }

    async fn fetch_chunk(self: Arc<Self>, id: ChunkId, from: Source) {
        let result = match &from {
            Source::Peer(peer) => (self.peers.chunk)(peer.clone(), id.clone()).await,
            Source::Store => {
                let record = self.store.get(Purpose::Config, chunk_key(&id)).await;
                record.ok().flatten().map(|r| r.value)
            }
        };
        let checked = result.map(|bytes| check_chunk(&id, &bytes).map(|()| bytes));
        let input = match checked {
            Some(Ok(bytes)) => {
                let missing = self.lock().add(&id, bytes);
                Input::Chunk { id, missing }
            }
            Some(Err(e)) => {
                self.record_refusal(&e);
                Input::FetchFailed(from)
            }
            None => Input::FetchFailed(from),
        };
        self.input(input);
    }

    fn install_generation(&self, generation: Generation) {
        let mut inner = self.lock();
        let Some(head) = inner.heads.swap_remove(&generation) else { return };
        inner.heads.retain(|g, _| *g > generation);
        let doc = head.assemble(|id| inner.chunk(id));
        if inner.heads.is_empty() {
            let needed = head.all_chunks(|id| inner.chunk(id));
            inner.chunks.retain(|id, _| needed.contains(id));
        }
        inner.head = Some(Arc::new(head.clone()));
        drop(inner);
        match doc {
            Ok(doc) => (self.install)(&head, doc),
            Err(e) => self.record_refusal(&e),
        }
        let mut inner = self.lock();
        inner.in_force = inner.in_force.max(generation);
    }
}
