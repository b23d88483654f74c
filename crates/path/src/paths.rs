//! Opens and checks connections to endpoints, directly or through another instance.

use {
    crate::{
        DialFn, KeysFn,
        decision::{
            Avoided, Change, DIRECT_GRACE, DIRECT_HEAD_START, Observation, PathState, choose_relay,
        },
        handshake::{self, Reply},
        metrics::Metrics,
        relay::OPEN_TIMEOUT,
    },
    agate_transport::link::{self, Connection},
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
        Self::new("", dial, || None, Arc::default, Metrics::default())
    }
}

impl Paths {
    /// Paths of the instance `own`, which opens direct connections with `dial` and authenticates
    /// requests to other instances with `keys`.
    pub fn new(
        own: impl Into<String>,
        dial: Arc<DialFn>,
        keys: impl Fn() -> Option<Arc<Keys>> + Send + Sync + 'static,
        peers: impl Fn() -> Arc<Vec<Peer>> + Send + Sync + 'static,
        metrics: Metrics,
    ) -> Self {
        Self(Arc::new(Shared {
            own: own.into(),
            dial,
            keys: Box::new(keys),
            peers: Box::new(peers),
            avoided: Mutex::default(),
            metrics,
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

/// How a connection was opened, or why not.
enum Opened {
    Direct(TcpStream),
    Relayed(TcpStream),
    Failed(io::Error),
}

/// Result of a direct connection that failed with `error`, and of asking another instance.
fn settle(error: io::Error, relayed: Result<TcpStream, Option<Reply>>) -> Opened {
    match relayed {
        Ok(io) => Opened::Relayed(io),
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
        match opened {
            Opened::Direct(io) => link::wrap(io, false).await,
            Opened::Relayed(io) => {
                self.lock_state().suspect();
                link::wrap(io, true).await
            }
            Opened::Failed(e) => Err(e),
        }
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
            Opened::Direct(io) => (Observation::Direct, Some((io, false))),
            Opened::Relayed(io) => {
                match timeout(DIRECT_GRACE, (self.shared.dial)(self.address)).await {
                    Ok(Ok(direct)) => (Observation::Direct, Some((direct, false))),
                    Ok(Err(_)) | Err(_) => (Observation::OnlyRelayed, Some((io, true))),
                }
            }
            Opened::Failed(_) => (Observation::Neither, None),
        };
        let change = self.observe(seen);
        let connection = match opened {
            Some((io, relayed)) => link::wrap(io, relayed).await.ok(),
            None => None,
        };
        Checked { change, connection }
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
    async fn open_relayed(&self) -> Result<TcpStream, Option<Reply>> {
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
            let request = request(relay, &keys, &self.name, &*self.shared.dial);
            let result = timeout(RELAY_TIMEOUT, request).await;
            let outcome = match &result {
                Ok(Ok((_, Reply::Opened))) => "opened",
                Ok(Ok((_, Reply::Refused))) => "refused",
                Ok(Ok(_)) => "unreachable",
                Ok(Err(_)) | Err(_) => "no_reply",
            };
            self.shared.metrics.requested.with_label_values(&[outcome]).inc();
            match result {
                Ok(Ok((io, Reply::Opened))) => return Ok(io),
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

    fn lock_state(&self) -> MutexGuard<'_, PathState> {
        self.state.lock().expect("lock of a path is not poisoned")
    }
}

impl Shared {
    fn lock_avoided(&self) -> MutexGuard<'_, Avoided> {
        self.avoided.lock().expect("lock of the avoided relays is not poisoned")
    }
}

/// Requests a connection to `endpoint` from another instance.
async fn request(
    relay: &Peer,
    keys: &Keys,
    endpoint: &str,
    dial: &DialFn,
) -> handshake::Result<(TcpStream, Reply)> {
    let mut io = dial(relay.address).await?;
    io.set_nodelay(true)?;
    let reply = handshake::request(&mut io, keys, relay.address, endpoint).await?;
    Ok((io, reply))
}
