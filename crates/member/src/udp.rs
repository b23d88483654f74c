//! Runs the membership protocol of one instance over a UDP socket.
//!
//! One task owns the socket and the [`State`]. It authenticates each datagram, drops and counts the
//! invalid ones by reason, and publishes the members as an immutable snapshot that readers load
//! without locking.

use {
    crate::{
        Action, Counters, Counts, Digest, Input, ListedInstance, Member, Name, Settings, State,
        step,
    },
    agate_core::Mono,
    agate_wire::{
        Body, Context, Envelope, Gossip, Keys, MAX_DATAGRAM, Reject, ReplayTable, open, seal,
    },
    arc_swap::ArcSwap,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::UdpSocket,
        select,
        sync::{mpsc, oneshot},
        task::JoinHandle,
        time::{MissedTickBehavior, interval},
    },
};

/// Maximum number of senders whose sequence numbers are tracked.
const REPLAY_SENDERS: usize = 1_024;
/// Capacity of the task's command channel.
const COMMAND_CAPACITY: usize = 16;
/// Low bits of an incarnation, which count the refutations during one run of the process.
const REFUTATION_BITS: u32 = 16;
/// Ticks after which the snapshot is published even if no member changed.
const PUBLISH_TICKS: u32 = 20;

/// Receives the digests that a member sent. The duration is an upper bound of the time since they
/// were made, or `None` if there is no bound.
pub type Deliver = dyn Fn(&Name, &[Digest], Option<Duration>) + Send + Sync;

/// Callbacks by which other subsystems attach digests to messages and receive them.
#[derive(Clone)]
pub struct Hooks {
    /// Returns the digests to attach. A message that would exceed the datagram limit is sent
    /// without digests.
    pub supply: Arc<dyn Fn() -> Vec<Digest> + Send + Sync>,
    /// Called with the digests that a member sent.
    pub deliver: Arc<Deliver>,
}

impl Hooks {
    /// Returns hooks that attach no digests and ignore received ones.
    pub fn none() -> Self {
        Self { supply: Arc::new(Vec::new), deliver: Arc::new(|_, _, _| {}) }
    }
}

/// Errors of starting or calling the membership task.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket could not be bound.
    #[error("binding the membership socket at {peer}: {source}")]
    Bind {
        /// Local address of the socket.
        peer: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The membership task has ended, so it can't handle the call.
    #[error("{step}: the membership of {peer} has ended")]
    Ended {
        /// The call that failed.
        step: &'static str,
        /// Name of this instance.
        peer: Name,
    },
}

/// Result of starting or calling the membership task.
pub type Result<T> = std::result::Result<T, Error>;

enum Command {
    Listed(Vec<ListedInstance>),
    Leave(oneshot::Sender<()>),
}

/// Identifies this instance and the current run of its process in messages.
#[derive(Debug)]
pub struct Identity {
    /// Name of this instance, unique in the fleet.
    pub name: Name,
    /// Address at which this instance receives; the MAC of each message to it covers this address.
    pub address: SocketAddr,
    incarnation: AtomicU64,
}

impl Identity {
    /// Returns the identity of an instance that starts with `incarnation`.
    pub fn new(name: Name, address: SocketAddr, incarnation: u64) -> Self {
        Self { name, address, incarnation: AtomicU64::new(incarnation) }
    }

    /// Returns the current incarnation, which a refutation raises.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Relaxed)
    }
}

/// Handle of a running membership task. Dropping it aborts the task.
#[derive(Debug)]
pub struct Handle {
    identity: Arc<Identity>,
    shared: Arc<Shared>,
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    members: ArcSwap<Vec<Member>>,
    counts: ArcSwap<Counts>,
    counters: Counters,
}

impl Handle {
    /// Returns the members of the last snapshot, without this instance.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.shared.members.load_full()
    }

    /// Returns the counters of messages sent, received and dropped.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Returns the counts of protocol events as of the last snapshot.
    pub fn counts(&self) -> Counts {
        **self.shared.counts.load()
    }

    /// Returns the identity, which the TCP client and server share.
    pub fn identity(&self) -> &Arc<Identity> {
        &self.identity
    }

    /// Passes the platform's list of instances to the membership.
    ///
    /// # Errors
    ///
    /// [`Error::Ended`] if the task has ended.
    pub async fn update_list(&self, list: Vec<ListedInstance>) -> Result<()> {
        let sent = self.commands.send(Command::Listed(list)).await;
        sent.map_err(|_| self.ended("passing on the platform's list"))
    }

    /// Announces that this instance leaves, and returns when the announcements are sent.
    ///
    /// # Errors
    ///
    /// [`Error::Ended`] if the task ends before that, or had ended already.
    pub async fn leave(&self) -> Result<()> {
        let ended = || self.ended("leaving");
        let (done, waiting) = oneshot::channel();
        self.commands.send(Command::Leave(done)).await.map_err(|_| ended())?;
        waiting.await.map_err(|_| ended())
    }

    fn ended(&self, step: &'static str) -> Error {
        Error::Ended { step, peer: self.identity.name.clone() }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds the socket and starts the membership task. With port zero the operating system picks a
/// free port.
///
/// # Errors
///
/// [`Error::Bind`] if the socket can't be bound or its address can't be read.
pub async fn bind(mut settings: Settings, keys: Keys, hooks: Hooks) -> Result<Handle> {
    let peer = settings.peer.place.address;
    let failed = |source| Error::Bind { peer, source };
    let socket = UdpSocket::bind(peer).await.map_err(failed)?;
    if peer.port() == 0 {
        settings.peer.place.address = socket.local_addr().map_err(failed)?;
    }
    let address = settings.peer.place.address;
    let name = settings.peer.name.clone();
    let identity = Arc::new(Identity::new(name, address, first_incarnation()));
    let shared = Arc::new(Shared::default());
    let (commands, waiting) = mpsc::channel(COMMAND_CAPACITY);
    let tick = settings.tick;
    let runner = Runner {
        state: State::new(settings, identity.incarnation(), Mono::ZERO),
        origin: Instant::now(),
        rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        replay: ReplayTable::new(REPLAY_SENDERS),
        identity: identity.clone(),
        shared: shared.clone(),
        socket,
        keys,
        hooks,
        leave_done: None,
        left: false,
        unpublished_ticks: PUBLISH_TICKS,
    };
    let task = tokio::spawn(runner.run(waiting, tick));
    Ok(Handle { identity, shared, commands, task })
}

/// Returns an incarnation above those of earlier runs, unless the clock was set back. In that case
/// peers respond with [`Body::Outdated`], and the instance raises its incarnation.
fn first_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since.as_millis() as u64) << REFUTATION_BITS
}

struct Runner {
    state: State,
    origin: Instant,
    rng: ChaCha8Rng,
    replay: ReplayTable,
    identity: Arc<Identity>,
    shared: Arc<Shared>,
    socket: UdpSocket,
    keys: Keys,
    hooks: Hooks,
    leave_done: Option<oneshot::Sender<()>>,
    left: bool,
    /// Ticks since the last snapshot was published.
    unpublished_ticks: u32,
}

impl Runner {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>, tick: Duration) {
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        // One byte more than the limit, so that an oversized datagram differs from a full one.
        let mut buf = [0; MAX_DATAGRAM + 1];
        while !self.left {
            select! {
                _ = ticks.tick() => self.tick().await,
                got = self.socket.recv_from(&mut buf) => match got {
                    Ok((n, source)) => self.on_datagram(&buf[..n], source).await,
                    Err(e) => log::debug!(step = "receive"; "the membership socket failed: {e}"),
                },
                Some(c) = commands.recv() => self.on_command(c).await,
            }
        }
        if let Some(done) = self.leave_done.take() {
            let _ = done.send(());
        }
    }

    async fn tick(&mut self) {
        self.unpublished_ticks += 1;
        self.input(Input::Tick).await;
        if self.unpublished_ticks >= PUBLISH_TICKS {
            self.publish();
        }
    }

    async fn on_command(&mut self, c: Command) {
        match c {
            Command::Listed(list) => self.input(Input::Listed(list)).await,
            Command::Leave(done) => {
                self.leave_done = Some(done);
                self.input(Input::Leave).await;
            }
        }
    }

    async fn on_datagram(&mut self, bytes: &[u8], source: SocketAddr) {
        self.shared.counters.count_received(bytes.len());
        match self.accept(bytes) {
            Ok(envelope) => self.input(Input::Received { source, envelope }).await,
            Err(reason) => {
                self.shared.counters.count_rejected(reason);
                log::trace!(step = "receive", peer:% = source; "dropped a datagram: {reason}");
                if let Reject::Outdated { seen } = reason {
                    self.input(Input::Outdated { source, seen }).await;
                }
            }
        }
    }

    fn accept(&mut self, bytes: &[u8]) -> std::result::Result<Envelope, Reject> {
        let e = open::<Envelope>(&self.keys, bytes, Context::Datagram(self.identity.address))?;
        if e.from == self.identity.name {
            return Err(Reject::Own);
        }
        self.replay.accept(&e.from, e.incarnation, e.sequence)?;
        Ok(e)
    }

    async fn input(&mut self, input: Input) {
        let now = self.origin.elapsed();
        let actions = step(&mut self.state, input, now, &mut self.rng);
        self.identity.incarnation.store(self.state.incarnation(), Relaxed);
        let mut changed = false;
        for a in actions {
            match a {
                Action::Send { to, envelope } => self.send(to, envelope).await,
                Action::Changed { name, status, .. } => {
                    log::trace!(step = "change", peer:% = name; "member is now {status:?}");
                    changed = true;
                }
                Action::Deliver { from, digests, elapsed } => {
                    (self.hooks.deliver)(&from, &digests, elapsed);
                }
                Action::Left => self.left = true,
            }
        }
        if changed {
            self.publish();
        }
    }

    async fn send(&mut self, to: SocketAddr, mut envelope: Envelope) {
        let context = Context::Datagram(to);
        if let Some(g) = gossip_of(&mut envelope) {
            g.digests = (self.hooks.supply)();
        }
        let mut sealed = seal(&self.keys, &envelope, context);
        if sealed.is_err()
            && let Some(g) = gossip_of(&mut envelope)
        {
            g.digests.clear();
            sealed = seal(&self.keys, &envelope, context);
        }
        let sent = match sealed {
            Ok(bytes) => self.socket.send_to(&bytes, to).await.ok(),
            Err(_) => None,
        };
        match sent {
            Some(n) => self.shared.counters.count_sent(n),
            None => self.shared.counters.count_unsent(),
        }
    }

    fn publish(&mut self) {
        self.unpublished_ticks = 0;
        self.shared.members.store(Arc::new(self.state.members()));
        self.shared.counts.store(Arc::new(self.state.counts()));
    }
}

fn gossip_of(e: &mut Envelope) -> Option<&mut Gossip> {
    match &mut e.body {
        Body::Probe { gossip, .. } | Body::Ack { gossip, .. } => Some(gossip),
        _ => None,
    }
}
