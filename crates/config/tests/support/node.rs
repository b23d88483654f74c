//! One simulated instance.

use {
    agate_config::spread::{Input, Peer, Settings, State, serve::Fetchers},
    agate_core::{Generation, Mono},
    rand::{RngExt, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

pub struct Node {
    pub name: Peer,
    pub zone: usize,
    pub state: State,
    /// Group of instances that hear each other; a partition sets it.
    pub group: usize,
    /// Whether it hears others, and others hear it.
    pub hears: bool,
    pub heard: bool,
    pub reaches_store: bool,
    pub paused: bool,
    pub installed: Mono,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// When what it has to send will have left.
    pub sent: Mono,
    pub fetchers: Fetchers,
    pub alarms: u64,
    /// Greatest generation of which head and chunks are held.
    pub held: Generation,
    pub offset: Mono,
    pub serial: u64,
    pub scheduled: Mono,
    pub backlog: Vec<Input>,
}

/// Starts the instance with number `i`.
pub fn node(i: usize, zone: usize, rng: &mut StdRng) -> Node {
    let name: Peer = Arc::from(format!("i{i}"));
    Node {
        state: State::new(name.clone(), Settings::default(), rng.random()),
        name,
        zone,
        group: 0,
        hears: true,
        heard: true,
        reaches_store: true,
        paused: false,
        installed: Mono::ZERO,
        bytes_in: 0,
        bytes_out: 0,
        sent: Mono::ZERO,
        fetchers: Fetchers::default(),
        alarms: 0,
        held: 0,
        offset: Duration::from_secs(rng.random_range(100..100_000)),
        serial: 0,
        scheduled: Mono::MAX,
        backlog: Vec::new(),
    }
}
