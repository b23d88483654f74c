//! Connections to one endpoint, and the pool of idle ones.
//!
//! A connection carries one exchange at a time. It returns to the pool only after a complete
//! response; after a cancellation, a timeout or an error it is closed. Connections opened before a
//! purge are never reused, so that all connections of an endpoint that stopped responding are
//! retired together.

use {
    crate::counting_stream::{CountingStream, HeadLimit, WrittenBytes},
    bytes::Bytes,
    http::HeaderMap,
    http_body_util::Full,
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt, io,
        net::SocketAddr,
        sync::Mutex,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
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
/// Most idle connections kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

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
    let io = timeout(CONNECT_LIMIT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&io)?;
    let (stream, written, head) = CountingStream::wrap(io);
    let (sender, conn) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::trace!("connection to endpoint {address} ended: {e}");
        }
    });
    Ok(Connection {
        sender,
        written,
        head,
        opened_at: Instant::now(),
        max_idle: IDLE_LIMIT,
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
}

/// Pool of idle connections to one endpoint.
pub struct Pool {
    address: SocketAddr,
    state: Mutex<State>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Pool({})", self.address)
    }
}

impl Pool {
    /// Creates an empty pool for `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default() }
    }

    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the most recently used idle connection, if one is usable and was idle for at most
    /// `max_idle`.
    pub fn take(&self, max_idle: Duration) -> Option<Connection> {
        let mut state = self.state.lock().expect("no panic under the pool lock");
        state.idle.retain(|i| i.since.elapsed() < i.conn.max_idle && i.conn.sender.is_ready());
        let last = state.idle.pop_if(|i| i.since.elapsed() <= max_idle);
        last.map(|i| i.conn)
    }

    /// Returns a connection after a complete response. It is closed if it is unusable or the pool
    /// is full.
    pub fn put(&self, conn: Connection) {
        let mut state = self.state.lock().expect("no panic under the pool lock");
        let stale = state.purged.is_some_and(|t| conn.opened_at <= t);
        if !stale && !conn.sender.is_closed() && state.idle.len() < MAX_IDLE_CONNECTIONS {
            state.idle.push(Idle { conn, since: Instant::now() });
        }
    }

    /// Closes every idle connection and prevents the return of those opened until now. Returns the
    /// number of idle connections closed.
    pub fn purge(&self) -> usize {
        let mut state = self.state.lock().expect("no panic under the pool lock");
        state.purged = Some(Instant::now());
        let n = state.idle.len();
        state.idle.clear();
        n
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.state.lock().expect("no panic under the pool lock").idle.len()
    }
}
