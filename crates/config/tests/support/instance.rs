//! One simulated instance.

use {
    agate_config::spread::{Input, Peer, Settings, State, serve::Fetchers},
    agate_core::{Generation, Mono},
    rand::{RngExt, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

pub struct Instance {
    pub name: Peer,
    pub zone: usize,
    pub state: State,
    /// Instances communicate only within their group; a partition sets it.
    pub group: usize,
    /// Whether it receives messages, and whether its messages are delivered.
    pub can_receive: bool,
    pub can_send: bool,
    pub reaches_store: bool,
    pub paused: bool,
    pub installed: Mono,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// When the last message in its send queue will be sent.
    pub sent: Mono,
    pub fetchers: Fetchers,
    pub alarms: u64,
    /// Greatest generation whose head and chunks it holds.
    pub held: Generation,
    pub offset: Mono,
    pub serial: u64,
    pub scheduled: Mono,
    pub backlog: Vec<Input>,
}

/// Returns the instance with number `i`.
pub fn instance(i: usize, zone: usize, rng: &mut StdRng) -> Instance {
    let name: Peer = Arc::from(format!("i{i}"));
    Instance {
        state: State::new(name.clone(), Settings::default(), rng.random()),
        name,
        zone,
        group: 0,
        can_receive: true,
        can_send: true,
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
