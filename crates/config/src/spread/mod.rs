//! How a new configuration reaches every instance, as a pure state machine.
//!
//! A few watchers in each availability zone, chosen by rendezvous hash so that all members agree
//! without talking, wait on the head in the store. Every other instance asks a watcher about once a
//! second; the answer carries the watcher's generation and the age of its newest proof. An instance
//! that puts a generation in force announces it to a few peers, which fetch it from there, so most
//! learn it without asking and no watcher serves its whole availability zone. Polling the store is
//! the last resort, paced by the size of the fleet.
//!
//! Chunks of a large change, or of all of it at a cold start, are read from the store by one watcher
//! in each availability zone, at a pace that holds for the whole fleet (`reader`). The others
//! hear of a holder when they ask around, and fetch a bounded number of chunks at a time from it.
//!
//! Invariants:
//! - the generation in force only grows, whatever the store or a peer answers;
//! - a head that is older than one known when the question left is refused and counted;
//! - a proof dates from when the question left this instance (see [`crate::freshness`]).
//!
//! The caller carries out the actions, holds the heads and chunks, and has one store call of this
//! machine under way at most.

mod fetch;
mod fetching;
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
        freshness::{Hearing, Standing, judge},
        section::ChunkId,
    },
    agate_core::{Generation, Mono},
    fetch::Fetch,
    rand::{SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

/// Name of an instance.
pub type Peer = Arc<str>;

/// Settings of the machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Members of an availability zone for each watcher.
    pub share: usize,
    /// Fewest watchers in an availability zone.
    pub min_watchers: usize,
    /// Longest wait of one watch, which is also the age of the proof that it gives.
    pub wait: Duration,
    /// Mean time between two questions while proofs are recent.
    pub ask: Duration,
    /// Mean time between two questions otherwise.
    pub hasty: Duration,
    /// Age of the newest proof above which questions become hasty.
    pub recent: Duration,
    /// Peers to which a watcher announces a new generation; each may fetch it from there, and
    /// watchers have the questions of the others to answer as well.
    pub seeds: usize,
    /// Peers to which any other instance announces it.
    pub fanout: usize,
    /// Most polls a second by the whole fleet.
    pub poll_rate: f64,
    /// Shortest mean time between two polls of one instance.
    pub poll: Duration,
    /// Time after which a fetch is tried elsewhere.
    pub patience: Duration,
    /// Time between two full reads of the head by a watcher.
    pub reread: Duration,
    /// Most chunks a second that the readers of the whole fleet read from the store.
    pub chunk_rate: f64,
    /// Most chunks of a fetch that any instance reads from the store, if it needs no more.
    pub direct: usize,
    /// Chunks for which a peer is asked at a time.
    pub window: usize,
    /// Time without a holder after which the next watcher takes over the reading.
    pub takeover: Duration,
    /// Most instances of the fleet that watch; with more by their own judgement, they poll.
    pub max_watchers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 16,
            min_watchers: 2,
            wait: Duration::from_secs(1),
            ask: Duration::from_secs(1),
            hasty: Duration::from_millis(250),
            recent: Duration::from_secs(3),
            seeds: 1,
            fanout: 4,
            poll_rate: 200.0,
            poll: Duration::from_secs(1),
            patience: Duration::from_millis(500),
            reread: Duration::from_secs(30),
            chunk_rate: 600.0,
            direct: 4,
            window: 8,
            takeover: Duration::from_secs(8),
            max_watchers: 500,
        }
    }
}

/// Where something is fetched from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another instance.
    Peer(Peer),
    /// The store.
    Store,
}

/// A head that was read, as far as the machine needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Its generation; zero if the store holds no head.
    pub generation: Generation,
    /// Chunks that this instance lacks, as far as they are known.
    pub missing: Vec<ChunkId>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The membership changed.
    Members {
        /// Members of the own availability zone, this instance included.
        zone: Vec<Peer>,
        /// A few members of each other availability zone.
        far: Vec<Vec<Peer>>,
        /// Size of the whole fleet, roughly; never less while members are still being learned.
        fleet: usize,
    },
    /// A peer told its generation.
    Digest {
        /// The peer.
        peer: Peer,
        /// Its generation in force.
        generation: Generation,
        /// Set if this answers a question of this instance.
        proof: Option<Proof>,
    },
    /// The store answered a read, or a watch with news.
    Head(Found),
    /// A watch ended without news.
    Unchanged,
    /// A read or a watch failed.
    StoreFailed,
    /// A peer sent its head.
    PeerHead {
        /// The peer.
        peer: Peer,
        /// Its head.
        found: Found,
    },
    /// A chunk arrived and is held.
    Chunk {
        /// The chunk.
        id: ChunkId,
        /// Chunks that it lists and that this instance lacks.
        missing: Vec<ChunkId>,
    },
    /// A fetch of a head or of a chunk failed.
    FetchFailed(Source),
    /// The time of [`State::due`] has come.
    Due,
}

/// A peer's statement of how recent its generation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the question left this instance.
    pub asked: Mono,
    /// Age of the peer's newest proof when it answered, if it had one.
    pub age: Option<Duration>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Watch the head in the store from the revision last read.
    Watch(Duration),
    /// Read the head from the store.
    Read,
    /// Ask a peer for its digest.
    Ask(Peer),
    /// Tell a peer the generation in force.
    Announce(Peer),
    /// Fetch a peer's head.
    FetchHead(Peer),
    /// Fetch a chunk.
    FetchChunk(ChunkId, Source),
    /// Put the head that was found last at this generation in force.
    Install(Generation),
    /// The store answered with an older head than one known before: tell the operators.
    Alarm(Generation),
}

/// Counts of noteworthy events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Heads in the store that were older than one known before.
    pub older: u64,
    /// Fetches that failed or took too long.
    pub failed: u64,
    /// Store calls that failed.
    pub store_failed: u64,
    /// Polls of the store outside of watching.
    pub polls: u64,
}

/// A store call under way.
#[derive(Clone, Copy, Debug)]
struct Call {
    asked: Mono,
    /// Greatest generation known when it left.
    floor: Generation,
    watch: bool,
}

/// State of one instance.
#[derive(Debug)]
pub struct State {
    own: Peer,
    settings: Settings,
    rng: StdRng,
    zone: Vec<Peer>,
    fleet: usize,
    /// Sample of other availability zones, neighbours in the list being of different ones.
    far: Vec<Peer>,
    /// Number of questions so far, which turns through `far`.
    asks: usize,
    hearing: Hearing,
    watchers: Vec<Peer>,
    installed: Generation,
    /// Greatest generation that anyone told of.
    seen: Generation,
    proofs: Proofs,
    call: Option<Call>,
    fetch: Option<Fetch>,
    next_ask: Mono,
    next_poll: Mono,
    next_read: Mono,
    /// When the next chunk may be read from the store.
    next_chunk: Mono,
    /// Counts since the start.
    pub counters: Counters,
}

impl State {
    /// Returns the state of an instance that holds no configuration yet.
    pub fn new(own: Peer, settings: Settings, seed: u64) -> Self {
        Self {
            zone: vec![own.clone()],
            own,
            settings,
            rng: StdRng::seed_from_u64(seed),
            fleet: 1,
            far: Vec::new(),
            asks: 0,
            hearing: Hearing::default(),
            watchers: Vec::new(),
            installed: 0,
            seen: 0,
            proofs: Proofs::default(),
            call: None,
            fetch: None,
            next_ask: Mono::ZERO,
            next_poll: Mono::MAX,
            next_read: Mono::ZERO,
            next_chunk: Mono::MAX,
            counters: Counters::default(),
        }
    }

    /// Generation in force.
    pub fn installed(&self) -> Generation {
        self.installed
    }

    /// Greatest generation that anyone told of.
    pub fn seen(&self) -> Generation {
        self.seen
    }

    /// Age of the newest proof that the generation in force is the head.
    pub fn proof_age(&self, now: Mono) -> Option<Duration> {
        self.proofs.age(now)
    }

    /// What may be done with keyed work at `now`.
    pub fn standing(&self, now: Mono) -> Standing {
        judge(self.proof_age(now), self.hearing.reach(now))
    }

    /// Whether this instance is a watcher. While few members are known, too many would take
    /// themselves for one; then none is.
    pub fn is_watcher(&self) -> bool {
        let crowd = reader::views(self) * self.watchers.len();
        self.watchers.contains(&self.own) && crowd <= self.settings.max_watchers
    }

    /// When [`Input::Due`] is to come next.
    pub fn due(&self) -> Mono {
        let fetch = fetching::due(self);
        let poll = self.call.is_none().then_some(self.next_poll);
        [Some(self.next_ask), poll, fetch].into_iter().flatten().min().expect("asks never end")
    }

    /// Moves on by one input and returns what to do, in order.
    pub fn step(&mut self, input: Input, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        step::step(self, input, now, &mut out);
        out
    }
}
