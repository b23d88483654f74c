//! Connections to one endpoint, and the pool that keeps idle ones.
//!
//! A link carries one exchange at a time. It returns to the pool only after a whole answer; a link
//! whose exchange was cancelled, timed out or failed is closed. Links older than a purge are never
//! handed out again, which is how connections that went silent are retired together.

use {
    crate::tally::{Count, Head, Tally},
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
/// Time after which an idle connection is probed by the operating system.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between two probes of an idle connection.
const KEEPALIVE_GAP: Duration = Duration::from_secs(2);
/// Longest time that a link stays idle before it is closed.
pub const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Time before the end of the idle time that a peer announced at which a link is closed.
const REST_MARGIN: Duration = Duration::from_millis(700);
/// Most idle links kept for one endpoint.
const IDLE_LINKS: usize = 64;

/// One open connection.
pub struct Link {
    /// Sends a request on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Bytes written so far.
    pub count: Count,
    /// Bytes read of a head that is due.
    pub head: Head,
    /// When the connection was opened.
    pub born: Instant,
    /// Longest idle time after which it may be used again.
    pub rest: Duration,
    driver: JoinHandle<()>,
}

impl Link {
    /// Takes over the idle time that the peer announced in an answer's `Keep-Alive` header.
    pub fn heed(&mut self, headers: &HeaderMap) {
        let value = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
        let mut fields = value.split(',').filter_map(|f| f.trim().strip_prefix("timeout="));
        if let Some(seconds) = fields.next().and_then(|s| s.parse().ok()) {
            let announced = Duration::from_secs(seconds);
            self.rest = announced.saturating_sub(REST_MARGIN).min(IDLE_LIMIT);
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        // Ending the driver closes the socket at once, which cancels work at the endpoint.
        self.driver.abort();
    }
}

/// Opens a connection to `address`.
///
/// Errors: the operating system's, or `TimedOut` after the connect limit.
pub async fn open(address: SocketAddr) -> io::Result<Link> {
    let io = timeout(CONNECT_LIMIT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&io)?;
    let (tally, count, head) = Tally::wrap(io);
    let (sender, conn) = handshake(TokioIo::new(tally)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::trace!("connection to endpoint {address} ended: {e}");
        }
    });
    Ok(Link { sender, count, head, born: Instant::now(), rest: IDLE_LIMIT, driver })
}

/// Sets the options that bound how long a dead connection can look alive.
pub fn configure(io: &TcpStream) -> io::Result<()> {
    let sock = SockRef::from(io);
    sock.set_tcp_nodelay(true)?;
    sock.set_tcp_user_timeout(Some(ACK_LIMIT))?;
    let probe = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_GAP);
    sock.set_tcp_keepalive(&probe)
}

struct Idle {
    link: Link,
    since: Instant,
}

#[derive(Default)]
struct State {
    idle: Vec<Idle>,
    /// Links born at or before this moment are not reused.
    purged: Option<Instant>,
}

/// Idle connections to one endpoint.
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
    /// Makes an empty pool for `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default() }
    }

    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the idle link used last, if one is still fit for use and was idle for `rest` at most.
    pub fn take(&self, rest: Duration) -> Option<Link> {
        let mut state = self.state.lock().expect("no panic under the pool lock");
        state.idle.retain(|i| i.since.elapsed() < i.link.rest && i.link.sender.is_ready());
        let last = state.idle.pop_if(|i| i.since.elapsed() <= rest);
        last.map(|i| i.link)
    }

    /// Returns a link after a whole answer; it is closed if it is unfit or the pool is full.
    pub fn put(&self, link: Link) {
        let mut state = self.state.lock().expect("no panic under the pool lock");
        let stale = state.purged.is_some_and(|t| link.born <= t);
        if !stale && !link.sender.is_closed() && state.idle.len() < IDLE_LINKS {
            state.idle.push(Idle { link, since: Instant::now() });
        }
    }

    /// Closes every idle link and refuses the return of links opened until now.
    pub fn purge(&self) -> usize {
        let mut state = self.state.lock().expect("no panic under the pool lock");
        state.purged = Some(Instant::now());
        let n = state.idle.len();
        state.idle.clear();
        n
    }

    /// Number of idle links.
    pub fn idle(&self) -> usize {
        self.state.lock().expect("no panic under the pool lock").idle.len()
    }
}
