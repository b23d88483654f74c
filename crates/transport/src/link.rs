//! Connections to one endpoint, and the pool of idle ones.
//!
//! A connection carries one exchange at a time. It returns to the pool only after a complete
//! response; after a cancellation, a timeout or an error it is closed. Connections opened before a
//! purge are never reused, so that all connections of an endpoint that stopped responding are
//! retired together. A relayed connection leads through another instance and is reused for a short
//! time only.

use {
    crate::{
        buffer_budget::BufferBudget,
        counting_stream::{CountingStream, HeadLimit, WrittenBytes},
    },
    bytes::Bytes,
    futures_util::future::BoxFuture,
    http::HeaderMap,
    http_body_util::Full,
    hyper::client::conn::http1::{Builder, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt, io,
        net::SocketAddr,
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        sync::watch,
        task::JoinHandle,
        time::timeout,
    },
};

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest time that written bytes may stay unacknowledged by the peer.
const ACK_LIMIT: Duration = Duration::from_secs(5);
/// Idle time after which the operating system sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Interval of the keep-alive probes.
const KEEPALIVE_GAP: Duration = Duration::from_secs(2);
/// Longest time that a connection stays idle before it is closed.
pub const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Margin by which a connection is closed before the idle time announced by the peer ends.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Time after its opening for which a relayed connection is reused; much shorter than the time in
/// which an instance stops.
const RELAYED_LIFETIME: Duration = Duration::from_secs(2);
/// Most idle connections kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Way that a connection takes to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Directly.
    Direct,
    /// Through another instance, which tells whether the endpoint closed it.
    Relayed,
    /// Through an instance that does not tell this: it splices bytes, as earlier builds do.
    Spliced,
}

/// Most bytes that the HTTP library buffers of one connection, which limits a response head.
const MAX_READ_BUFFER: usize = 64 << 10;

/// One open connection.
pub struct Connection {
    /// Sends a request on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Number of bytes written so far.
    pub written: WrittenBytes,
    /// Limits the bytes read before a response head is complete.
    pub head: HeadLimit,
    /// Time at which the connection was opened.
    pub opened_at: Instant,
    /// Longest idle time after which it may be reused.
    pub max_idle: Duration,
    /// Way to the endpoint.
    pub way: Way,
    /// What its responses draw on.
    pub budget: BufferBudget,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Applies the idle time that the peer announced in a `Keep-Alive` header.
    pub fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let value = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
        let mut fields = value.split(',').filter_map(|f| f.trim().strip_prefix("timeout="));
        if let Some(seconds) = fields.next().and_then(|s| s.parse().ok()) {
            let announced = Duration::from_secs(seconds);
            self.max_idle = announced.saturating_sub(KEEP_ALIVE_MARGIN).min(IDLE_LIMIT);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Aborting the driver closes the socket at once, which cancels work at the endpoint.
        self.driver.abort();
    }
}

/// Opens a connection to `address`.
///
/// Errors: the operating system's error, or `TimedOut` after the connect limit.
pub async fn open(address: SocketAddr) -> io::Result<Connection> {
    open_within(address, BufferBudget::default()).await
}

/// Opens a connection to `address`, whose responses draw on `budget`.
///
/// Errors: those of [`open`].
pub async fn open_within(address: SocketAddr, budget: BufferBudget) -> io::Result<Connection> {
    let io = connect(address).await?;
    configure(&io)?;
    wrap(io, Way::Direct, budget).await
}

/// Opens a TCP connection to `address`.
///
/// Errors: the operating system's error, or `TimedOut` after the connect limit.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Makes a connection for HTTP of an open one, which is configured already. Its responses draw on `budget`.
///
/// Errors: that of the first step of HTTP.
pub async fn wrap(
    io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    way: Way,
    budget: BufferBudget,
) -> io::Result<Connection> {
    let (stream, written, head) = CountingStream::wrap(io, &budget);
    let builder = Builder::new().max_buf_size(MAX_READ_BUFFER).to_owned();
    let (sender, conn) = builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::trace!("connection to an endpoint ended: {e}");
        }
    });
    Ok(Connection {
        sender,
        written,
        head,
        opened_at: Instant::now(),
        max_idle: IDLE_LIMIT,
        way,
        budget,
        driver,
    })
}

/// Sets the socket options that limit how long a dead connection goes unnoticed.
///
/// Errors: the operating system's error.
pub fn configure(io: &TcpStream) -> io::Result<()> {
    let sock = SockRef::from(io);
    sock.set_tcp_nodelay(true)?;
    sock.set_tcp_user_timeout(Some(ACK_LIMIT))?;
    let probe = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_GAP);
    sock.set_tcp_keepalive(&probe)
}

struct Idle {
    conn: Connection,
    since: Instant,
}

#[derive(Default)]
struct State {
    idle: Vec<Idle>,
    /// Connections opened at or before this time are not reused.
    purged: Option<Instant>,
    /// Relayed connections opened at or before this time are not reused.
    restored: Option<Instant>,
}

impl State {
    fn is_stale(&self, conn: &Connection) -> bool {
        let before = |at: Option<Instant>| at.is_some_and(|at| conn.opened_at <= at);
        let relayed = before(self.restored) || conn.opened_at.elapsed() >= RELAYED_LIFETIME;
        before(self.purged) || conn.way != Way::Direct && relayed
    }
}

type OpenFn = dyn Fn() -> BoxFuture<'static, io::Result<Connection>> + Send + Sync;

/// Pool of idle connections to one endpoint.
pub struct Pool {
    address: SocketAddr,
    open: Box<OpenFn>,
    state: Mutex<State>,
    origin: Instant,
    /// When the endpoint was last heard, or was sent the first of its open requests, in milliseconds
    /// since the origin.
    active: AtomicU64,
    /// When the path to the endpoint was last found broken.
    cut: watch::Sender<Option<Instant>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Pool({})", self.address)
    }
}

impl Pool {
    /// Creates an empty pool for `address`, which opens direct connections.
    pub fn new(address: SocketAddr) -> Self {
        Self::opened_by(address, move || Box::pin(open(address)))
    }

    /// Creates an empty pool for `address`, whose connections `open` opens.
    pub fn opened_by(
        address: SocketAddr,
        open: impl Fn() -> BoxFuture<'static, io::Result<Connection>> + Send + Sync + 'static,
    ) -> Self {
        Self {
            address,
            open: Box::new(open),
            state: Mutex::default(),
            origin: Instant::now(),
            active: AtomicU64::new(0),
            cut: watch::Sender::new(None),
        }
    }

    /// Opens a connection, which belongs to the caller.
    ///
    /// Errors: that of the operating system or of the way in which connections are opened.
    pub async fn open(&self) -> io::Result<Connection> {
        (self.open)().await
    }

    /// Records that the endpoint was heard, or is sent the first of its open requests.
    pub fn touch(&self) {
        let millis = self.origin.elapsed().as_millis();
        self.active.store(millis.try_into().unwrap_or(u64::MAX), Relaxed);
    }

    /// Time since the last [`Pool::touch`].
    pub fn silence(&self) -> Duration {
        let active = Duration::from_millis(self.active.load(Relaxed));
        self.origin.elapsed().saturating_sub(active)
    }

    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the most recently used idle connection, if one is usable and was idle for at most
    /// `max_idle`.
    pub fn take(&self, max_idle: Duration) -> Option<Connection> {
        let mut state = self.lock_state();
        let mut idle = std::mem::take(&mut state.idle);
        idle.retain(|i| {
            let usable = i.since.elapsed() < i.conn.max_idle && i.conn.sender.is_ready();
            usable && !state.is_stale(&i.conn)
        });
        state.idle = idle;
        let last = state.idle.pop_if(|i| i.since.elapsed() <= max_idle);
        last.map(|i| i.conn)
    }

    /// Returns a connection after a complete response. It is closed if it is unusable or the pool
    /// is full.
    pub fn put(&self, conn: Connection) {
        let mut state = self.lock_state();
        if !state.is_stale(&conn)
            && !conn.sender.is_closed()
            && state.idle.len() < MAX_IDLE_CONNECTIONS
        {
            state.idle.push(Idle { conn, since: Instant::now() });
        }
    }

    /// Closes every idle connection and prevents the return of those opened until now. Returns the
    /// number of idle connections closed.
    pub fn purge(&self) -> usize {
        let mut state = self.lock_state();
        state.purged = Some(Instant::now());
        let n = state.idle.len();
        state.idle.clear();
        n
    }

    /// Retires the connections opened until `until`, since when the path to the endpoint is known to be
    /// broken: closes the idle ones and ends the waits of [`Pool::wait_cut`] for the others. Returns
    /// the number of idle connections closed.
    pub fn cut(&self, until: Instant) -> usize {
        let mut state = self.lock_state();
        state.purged = state.purged.max(Some(until));
        let before = state.idle.len();
        state.idle.retain(|i| i.conn.opened_at > until);
        let closed = before - state.idle.len();
        drop(state);
        self.cut.send_replace(Some(until));
        closed
    }

    /// Waits until [`Pool::cut`] retires connections opened at `opened`.
    pub async fn wait_cut(&self, opened: Instant) {
        let mut cut = self.cut.subscribe();
        if cut.wait_for(|at| at.is_some_and(|at| at >= opened)).await.is_err() {
            // The sender is dropped with the pool, so this is never reached.
            std::future::pending().await
        }
    }

    /// Closes the idle relayed connections and prevents the return of the others opened until now.
    pub fn retire_relayed(&self) {
        let mut state = self.lock_state();
        state.restored = Some(Instant::now());
        state.idle.retain(|i| i.conn.way == Way::Direct);
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.lock_state().idle.len()
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the pool lock")
    }
}
