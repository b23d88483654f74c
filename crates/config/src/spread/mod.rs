//! Distribution of a new configuration to all instances, as a pure state machine.
//!
//! Each availability zone has a few watchers. They are chosen by rendezvous hash, so that all
//! members agree on them without communication. Watchers wait for changes of the head in the store.
//! Every other instance queries a watcher about once a second; the response carries the watcher's
//! generation and the age of its newest freshness proof. An instance that installs a generation
//! announces it to a few peers, which fetch it from there. So most instances learn of it without a
//! query, and no watcher serves its whole zone. Polling the store is the last resort, at a rate
//! limited for the whole fleet.
//!
//! The chunks of a large change, or all chunks at a cold start, are read from the store by one
//! watcher in each zone, at a rate limited for the whole fleet (`reader`). The others learn of a
//! peer that holds them by their queries, and fetch a limited number of chunks at a time from it.
//!
//! Invariants:
//!
//! - The installed generation only grows, whatever the store or a peer returns.
//! - A head that is older than one known when the read was sent is refused and counted.
//! - A proof dates from the time at which the query was sent (see [`crate::freshness`]).
//!
//! The caller carries out the actions, holds the heads and chunks, and runs at most one store call
//! for the head at a time.

mod fetch;
mod fetch_steps;
mod proof;
mod reader;
pub mod serve;
mod step;
mod watchers;

pub use {
    proof::Proofs,
    watchers::{rank, sample, watchers},
};

use {
    crate::{
        freshness::{ConfigFreshness, PeerTracker, assess},
        section::ChunkId,
    },
    agate_core::{Generation, Mono},
    fetch::Fetch,
    rand::{SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

/// Name of an instance.
pub type Peer = Arc<str>;

/// Settings of the state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of members of an availability zone for each watcher.
    pub watcher_share: usize,
    /// Minimum number of watchers in an availability zone.
    pub min_watchers: usize,
    /// Timeout of one watch, and thus the age of the proof that it gives.
    pub wait: Duration,
    /// Mean interval of queries while proofs are recent.
    pub query_interval: Duration,
    /// Mean interval of queries otherwise.
    pub stale_interval: Duration,
    /// Age of the newest proof up to which it is recent.
    pub recent: Duration,
    /// Number of peers to which a watcher announces a new generation. Each may fetch it from the
    /// watcher, which also has to respond to the queries of other members.
    pub seeds: usize,
    /// Number of peers to which any other instance announces it.
    pub fanout: usize,
    /// Maximum number of polls of the store per second by the whole fleet.
    pub poll_rate: f64,
    /// Minimum mean interval of polls by one instance.
    pub poll_interval: Duration,
    /// Time without progress after which a fetch switches to another source.
    pub fetch_timeout: Duration,
    /// Interval at which a watcher reads the whole head instead of watching it.
    pub reread: Duration,
    /// Maximum number of chunks per second that the readers of the whole fleet read from the store.
    pub chunk_rate: f64,
    /// Maximum size of a fetch, in chunks, that any instance may read from the store.
    pub direct: usize,
    /// Maximum number of pending chunk requests to a peer.
    pub window: usize,
    /// Time without a peer that holds the generation after which the next watcher starts to read
    /// from the store.
    pub takeover: Duration,
    /// Maximum number of watchers in the fleet. An instance that estimates more polls instead of
    /// watching.
    pub max_watchers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watcher_share: 16,
            min_watchers: 2,
            wait: Duration::from_secs(1),
            query_interval: Duration::from_secs(1),
            stale_interval: Duration::from_millis(250),
            recent: Duration::from_secs(3),
            seeds: 1,
            fanout: 4,
            poll_rate: 200.0,
            poll_interval: Duration::from_secs(1),
            fetch_timeout: Duration::from_millis(500),
            reread: Duration::from_secs(30),
            chunk_rate: 600.0,
            direct: 4,
            window: 8,
            takeover: Duration::from_secs(8),
            max_watchers: 500,
        }
    }
}

/// Source of a head or a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another instance.
    Peer(Peer),
    /// The store.
    Store,
}

/// Summary of a head that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadSummary {
    /// Generation of the head; zero if the store holds none.
    pub generation: Generation,
    /// Known chunks of the head that this instance lacks.
    pub missing: Vec<ChunkId>,
}

/// An event that the state machine reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The membership changed.
    Members {
        /// Members of the own availability zone, including this instance.
        zone: Vec<Peer>,
        /// A sample of the members of each other availability zone.
        remote: Vec<Vec<Peer>>,
        /// Approximate size of the fleet. It must not be an underestimate while members are still
        /// being discovered.
        fleet: usize,
    },
    /// A peer sent its digest.
    Digest {
        /// Name of the peer.
        peer: Peer,
        /// Generation that the peer has installed.
        generation: Generation,
        /// The peer's proof, if the digest responds to a query of this instance.
        proof: Option<Proof>,
    },
    /// The store responded to a read, or a watch found a change.
    Head(HeadSummary),
    /// A watch ended without a change.
    Unchanged,
    /// A read or a watch of the head failed.
    StoreFailed,
    /// A peer sent its head.
    PeerHead {
        /// Name of the peer.
        peer: Peer,
        /// Summary of its head.
        summary: HeadSummary,
    },
    /// A chunk arrived and the caller holds it.
    Chunk {
        /// Digest of the chunk.
        id: ChunkId,
        /// Chunks that it lists and that this instance lacks.
        missing: Vec<ChunkId>,
    },
    /// A fetch of a head or a chunk failed.
    FetchFailed(Source),
    /// The time of [`State::due`] was reached.
    Due,
}

/// A peer's response on how recent its generation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When this instance sent the query.
    pub sent_at: Mono,
    /// Age of the peer's newest proof when it responded, if it had one.
    pub age: Option<Duration>,
}

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Watch the head in the store for a change of the last revision read, with this timeout.
    Watch(Duration),
    /// Read the head from the store.
    Read,
    /// Query a peer for its digest.
    Query(Peer),
    /// Announce the installed generation to a peer.
    Announce(Peer),
    /// Fetch a peer's head.
    FetchHead(Peer),
    /// Fetch a chunk from a source.
    FetchChunk(ChunkId, Source),
    /// Install the last head that was found with this generation.
    Install(Generation),
    /// Alert the operators: the store responded with this generation, which is older than one known
    /// before.
    Alarm(Generation),
}

/// Counts of unusual events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Heads in the store that were older than one known before.
    pub older: u64,
    /// Sources that failed or timed out during a fetch.
    pub failed: u64,
    /// Reads or watches of the head that failed.
    pub store_failed: u64,
    /// Polls of the store outside of watching.
    pub polls: u64,
}

/// A running read or watch of the head.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent_at: Mono,
    /// Greatest generation known when the call was sent.
    min_generation: Generation,
    watch: bool,
}

/// State machine of one instance.
#[derive(Debug)]
pub struct State {
    own: Peer,
    settings: Settings,
    rng: StdRng,
    zone: Vec<Peer>,
    fleet: usize,
    /// Sample of the members of other availability zones. Neighbours in the list are of different
    /// zones if possible.
    remote: Vec<Peer>,
    /// Number of queries so far, used as an index into `far`.
    queries: usize,
    peer_tracker: PeerTracker,
    watchers: Vec<Peer>,
    installed: Generation,
    /// Greatest generation that the store or a peer reported.
    seen: Generation,
    proofs: Proofs,
    call: Option<Call>,
    fetch: Option<Fetch>,
    next_query: Mono,
    next_poll: Mono,
    next_read: Mono,
    /// Earliest time of the next read of a chunk from the store.
    next_chunk: Mono,
    /// Counts since the start.
    pub counters: Counters,
}

impl State {
    /// Returns the state of an instance without a configuration. `seed` is the seed of its random
    /// generator.
    pub fn new(own: Peer, settings: Settings, seed: u64) -> Self {
        Self {
            zone: vec![own.clone()],
            own,
            settings,
            rng: StdRng::seed_from_u64(seed),
            fleet: 1,
            remote: Vec::new(),
            queries: 0,
            peer_tracker: PeerTracker::default(),
            watchers: Vec::new(),
            installed: 0,
            seen: 0,
            proofs: Proofs::default(),
            call: None,
            fetch: None,
            next_query: Mono::ZERO,
            next_poll: Mono::MAX,
            next_read: Mono::ZERO,
            next_chunk: Mono::MAX,
            counters: Counters::default(),
        }
    }

    /// Returns the installed generation; zero if there is none.
    pub fn installed(&self) -> Generation {
        self.installed
    }

    /// Returns the greatest generation that the store or a peer reported.
    pub fn seen(&self) -> Generation {
        self.seen
    }

    /// Returns the age of the newest proof that the installed generation is the head's.
    pub fn proof_age(&self, now: Mono) -> Option<Duration> {
        self.proofs.age(now)
    }

    /// Returns whether requests that need a key may be served at `now`. Without a recent proof they
    /// are not served while a greater generation is known: it may have revoked a key.
    pub fn freshness(&self, now: Mono) -> ConfigFreshness {
        match assess(self.proof_age(now), self.peer_tracker.reach(now)) {
            ConfigFreshness::StoreDown if self.seen > self.installed => ConfigFreshness::Stale,
            standing => standing,
        }
    }

    /// Returns whether this instance is a watcher. At the start, when each instance knows few
    /// members, too many would consider themselves watchers; then none is.
    pub fn is_watcher(&self) -> bool {
        let estimate = reader::zone_count(self) * self.watchers.len();
        self.watchers.contains(&self.own) && estimate <= self.settings.max_watchers
    }

    /// Returns when [`Input::Due`] is expected next.
    pub fn due(&self) -> Mono {
        let fetch = fetch_steps::due(self);
        let poll = self.call.is_none().then_some(self.next_poll);
        [Some(self.next_query), poll, fetch]
            .into_iter()
            .flatten()
            .min()
            .expect("there is always a next query")
    }

    /// Applies one input and returns the actions to carry out, in order.
    pub fn step(&mut self, input: Input, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        step::step(self, input, now, &mut out);
        out
    }
}
