//! Opens and checks connections to endpoints, directly or through another instance.

use {
    crate::{
        DialFn, KeysFn,
        decision::{
            Avoided, Change, DIRECT_GRACE, DIRECT_HEAD_START, Observation, PathState, choose_relay,
        },
        frames,
        handshake::{self, Reply, Transfer},
        metrics::Metrics,
        relay::OPEN_TIMEOUT,
    },
    agate_transport::{
        buffer_budget::BufferBudget,
        link::{self, Connection, Way},
    },
    agate_view::{clock, peers::Peer, table::Name},
    agate_wire::Keys,
    futures_util::FutureExt,
    std::{
        fmt,
        io::{self, ErrorKind},
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Longest time until another instance has replied, a few round trips more than it may take to open
/// the connection.
const RELAY_TIMEOUT: Duration = OPEN_TIMEOUT.saturating_add(Duration::from_millis(100));
/// Maximum number of instances asked for one connection.
const MAX_RELAYS: usize = 2;

/// Returns the known instances.
type PeersFn = dyn Fn() -> Arc<Vec<Peer>> + Send + Sync;

struct Shared {
    own: String,
    dial: Arc<DialFn>,
    keys: Box<KeysFn>,
    peers: Box<PeersFn>,
    avoided: Mutex<Avoided>,
    metrics: Metrics,
    budget: BufferBudget,
}

/// Paths of one instance; clones share its state.
#[derive(Clone)]
pub struct Paths(Arc<Shared>);

impl fmt::Debug for Paths {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Paths({})", self.0.own)
    }
}

impl Default for Paths {
    /// Paths of an instance that knows no other one.
    fn default() -> Self {
        let dial: Arc<DialFn> = Arc::new(|address| link::connect(address).boxed());
        Self::new("", dial, || None, Arc::default, Metrics::default(), BufferBudget::default())
    }
}

impl Paths {
    /// Paths of the instance `own`, which opens direct connections with `dial` and authenticates
    /// requests to other instances with `keys`. The endpoints' responses draw on `budget`.
    pub fn new(
        own: impl Into<String>,
        dial: Arc<DialFn>,
        keys: impl Fn() -> Option<Arc<Keys>> + Send + Sync + 'static,
        peers: impl Fn() -> Arc<Vec<Peer>> + Send + Sync + 'static,
        metrics: Metrics,
        budget: BufferBudget,
    ) -> Self {
        Self(Arc::new(Shared {
            own: own.into(),
            dial,
            keys: Box::new(keys),
            peers: Box::new(peers),
            avoided: Mutex::default(),
            metrics,
            budget,
        }))
    }

    /// Path to the endpoint `name` at `address`.
    pub fn to(&self, name: Name, address: SocketAddr) -> Arc<Path> {
        Arc::new(Path { shared: self.0.clone(), name, address, state: Mutex::default() })
    }

    /// Metrics of the paths.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }
}

/// Path to one endpoint.
pub struct Path {
    shared: Arc<Shared>,
    name: Name,
    address: SocketAddr,
    state: Mutex<PathState>,
}

impl fmt::Debug for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Path({} at {})", self.name, self.address)
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        if self.lock_state().is_broken() {
            self.shared.metrics.broken.dec();
        }
    }
}

/// Result of a check.
pub struct Checked {
    /// Change of the path.
    pub change: Option<Change>,
    /// A new connection, if one could be opened.
    pub connection: Option<Connection>,
}

/// Connection through another instance.
struct Relayed {
    io: TcpStream,
    transfer: Transfer,
}

impl Relayed {
    async fn wrap(self, budget: BufferBudget) -> io::Result<Connection> {
        link::configure(&self.io)?;
        match self.transfer {
            Transfer::Plain => link::wrap(self.io, Way::Spliced, budget).await,
            Transfer::Framed => {
                link::wrap(frames::read_framed(self.io), Way::Relayed, budget).await
            }
        }
    }
}

/// How a connection was opened, or why not.
enum Opened {
    Direct(TcpStream),
    Relayed(Relayed),
    Failed(io::Error),
}

impl Opened {
    async fn wrap(self, budget: &BufferBudget) -> io::Result<Connection> {
        match self {
            Self::Direct(io) => {
                link::configure(&io)?;
                link::wrap(io, Way::Direct, budget.clone()).await
            }
            Self::Relayed(relayed) => relayed.wrap(budget.clone()).await,
            Self::Failed(e) => Err(e),
        }
    }
}

/// Result of a direct connection that failed with `error`, and of asking another instance.
fn settle(error: io::Error, relayed: Result<Relayed, Option<Reply>>) -> Opened {
    match relayed {
        Ok(relayed) => Opened::Relayed(relayed),
        Err(Some(Reply::Refused)) => Opened::Failed(ErrorKind::ConnectionRefused.into()),
        Err(_) => Opened::Failed(error),
    }
}

impl Path {
    /// Opens a connection: directly, or through another instance if the path is broken or the
    /// direct one does not open.
    ///
    /// # Errors
    ///
    /// The error of the direct connection, or `ConnectionRefused` if the instances that were asked found
    /// that nothing listens at the address.
    pub async fn open(&self) -> io::Result<Connection> {
        let broken = self.lock_state().is_broken();
        let opened = match broken {
            true => self.open_broken().await,
            false => self.open_either().await,
        };
        if matches!(opened, Opened::Relayed(_)) {
            self.lock_state().suspect();
        }
        opened.wrap(&self.shared.budget).await
    }

    /// Address of the endpoint, unless direct connections to it cannot be opened.
    pub fn direct_address(&self) -> Option<SocketAddr> {
        (!self.lock_state().is_broken()).then_some(self.address)
    }

    /// Whether a check is due, which counts as begun then. `silence` is how long the endpoint has been
    /// silent although it has open requests.
    pub fn begin_check(&self, silence: Option<Duration>) -> bool {
        self.lock_state().begin_check(silence, clock::now())
    }

    /// Checks whether a direct connection can be opened, or only one through another instance.
    pub async fn check(&self) -> Checked {
        let (seen, opened) = match self.open_either().await {
            Opened::Relayed(relayed) => {
                match timeout(DIRECT_GRACE, (self.shared.dial)(self.address)).await {
                    Ok(Ok(direct)) => (Observation::Direct, Opened::Direct(direct)),
                    Ok(Err(_)) | Err(_) => (Observation::OnlyRelayed, Opened::Relayed(relayed)),
                }
            }
            Opened::Direct(io) => (Observation::Direct, Opened::Direct(io)),
            failed @ Opened::Failed(_) => (Observation::Neither, failed),
        };
        let change = self.observe(seen);
        Checked { change, connection: opened.wrap(&self.shared.budget).await.ok() }
    }

    fn observe(&self, seen: Observation) -> Option<Change> {
        let change = self.lock_state().observe(seen, clock::now())?;
        let endpoint = &*self.name;
        match change {
            Change::Broken => {
                self.shared.metrics.broken.inc();
                log::warn!(event = "path_broken", endpoint; "only another instance can connect to the endpoint");
            }
            Change::Restored => {
                self.shared.metrics.broken.dec();
                log::info!(event = "path_restored", endpoint; "direct connections to the endpoint work again");
            }
        }
        Some(change)
    }

    /// Opens a connection through another instance, or a direct one if that fails.
    async fn open_broken(&self) -> Opened {
        // A refusal on a broken path does not show that the endpoint is down.
        match settle(ErrorKind::TimedOut.into(), self.open_relayed().await) {
            Opened::Failed(e) if e.kind() == ErrorKind::TimedOut => {
                match timeout(DIRECT_HEAD_START, (self.shared.dial)(self.address)).await {
                    Ok(Ok(io)) => Opened::Direct(io),
                    Ok(Err(_)) | Err(_) => Opened::Failed(e),
                }
            }
            settled => settled,
        }
    }

    /// Opens a direct connection, and asks another instance if it fails or takes long.
    async fn open_either(&self) -> Opened {
        let mut direct = (self.shared.dial)(self.address);
        let early = timeout(DIRECT_HEAD_START, &mut direct).await;
        let mut relayed = pin!(self.open_relayed());
        match early {
            Ok(Ok(io)) => return Opened::Direct(io),
            Ok(Err(e)) => return settle(e, relayed.await),
            Err(_) => {}
        }
        tokio::select! {
            io = &mut direct => match io {
                Ok(io) => Opened::Direct(io),
                Err(e) => settle(e, relayed.await),
            },
            found = &mut relayed => match found {
                Ok(_) | Err(Some(Reply::Refused)) => settle(ErrorKind::TimedOut.into(), found),
                Err(_) => direct.await.map_or_else(Opened::Failed, Opened::Direct),
            },
        }
    }

    /// Opens a connection through another instance; the error is its last reply, if any.
    async fn open_relayed(&self) -> Result<Relayed, Option<Reply>> {
        let Some(keys) = (self.shared.keys)() else { return Err(None) };
        let peers = (self.shared.peers)();
        let mut tried: Option<&Peer> = None;
        let mut last = None;
        for _ in 0..MAX_RELAYS {
            let relay = {
                let (avoided, now) = (self.shared.lock_avoided(), clock::now());
                let draw = rand::random();
                choose_relay(&peers, &self.shared.own, tried, &avoided, draw, now)
            };
            let Some(relay) = relay else { break };
            let result = timeout(RELAY_TIMEOUT, self.request(relay, &keys)).await;
            let outcome = match &result {
                Ok(Ok((_, Reply::Opened))) => "opened",
                Ok(Ok((_, Reply::Refused))) => "refused",
                Ok(Ok(_)) => "unreachable",
                Ok(Err(_)) | Err(_) => "no_reply",
            };
            self.shared.metrics.requested.with_label_values(&[outcome]).inc();
            match result {
                Ok(Ok((relayed, Reply::Opened))) => return Ok(relayed),
                Ok(Ok((_, reply @ (Reply::Refused | Reply::Unknown)))) => {
                    // The relay may be cut off itself without knowing it yet.
                    (last, tried) = (Some(reply), Some(relay));
                    continue;
                }
                Ok(Ok((_, reply))) => last = Some(reply),
                Ok(Err(e)) => log::debug!("relay {}: {e}", relay.name),
                Err(_) => log::debug!("relay {}: no reply in time", relay.name),
            }
            self.shared.lock_avoided().on_failure(&relay.name, clock::now());
            tried = Some(relay);
        }
        Err(last)
    }

    /// Requests a connection from another instance, first in frames, then as earlier builds do.
    async fn request(&self, relay: &Peer, keys: &Keys) -> handshake::Result<(Relayed, Reply)> {
        match self.request_as(Transfer::Framed, relay, keys).await {
            // An earlier build closes the connection in place of a reply.
            Err(handshake::Error::Io(e)) if e.kind() == ErrorKind::UnexpectedEof => {
                self.request_as(Transfer::Plain, relay, keys).await
            }
            result => result,
        }
    }

    async fn request_as(
        &self,
        transfer: Transfer,
        relay: &Peer,
        keys: &Keys,
    ) -> handshake::Result<(Relayed, Reply)> {
        let mut io = (self.shared.dial)(relay.address).await?;
        io.set_nodelay(true)?;
        let (address, endpoint) = (relay.address, &*self.name);
        let reply = handshake::request(&mut io, keys, address, endpoint, transfer).await?;
        Ok((Relayed { io, transfer }, reply))
    }

    fn lock_state(&self) -> MutexGuard<'_, PathState> {
        self.state.lock().expect("lock of a path is not poisoned")
    }
}

impl Shared {
    fn lock_avoided(&self) -> MutexGuard<'_, Avoided> {
        self.avoided.lock().expect("lock of the avoided relays is not poisoned")
    }
}
