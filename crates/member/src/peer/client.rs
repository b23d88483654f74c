//! Client for requests to other instances, over pooled connections.
//!
//! A request that fails before any byte of it was written is retried on a new connection. After the
//! first byte the peer may have executed it, so the error is returned to the caller. All other idle
//! connections to that peer are then dropped, since they may be broken for the same reason.

use {
    super::{
        EXCHANGE_TIMEOUT, FetchError, FetchResult, frame,
        pool::{Pool, PoolLimits},
        read_frame,
        sequence::SequenceNumbers,
    },
    crate::udp::Identity,
    agate_wire::{Answer, Body, Context, Envelope, Keys, Query, Reject, Tag, open, seal, tag_of},
    socket2::SockRef,
    std::{
        io,
        mem::MaybeUninit,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, sync::Semaphore, time::timeout},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent requests of one client.
const MAX_REQUESTS: usize = 32;

/// Sends requests to other instances.
#[derive(Clone, Debug)]
pub struct Client {
    identity: Arc<Identity>,
    keys: Keys,
    sequences: Arc<SequenceNumbers>,
    slots: Arc<Semaphore>,
    connections: Arc<Connections>,
}

/// The connection pool, and counters of its use.
#[derive(Debug)]
struct Connections {
    pool: Mutex<Pool<TcpStream>>,
    origin: Instant,
    opened: AtomicU64,
    reused: AtomicU64,
}

/// Error of an exchange over one connection.
enum ExchangeError {
    /// No byte of the request was written.
    Unsent,
    /// The peer may have executed the request.
    Sent(FetchError),
}

impl Client {
    /// Returns a client that authenticates with the first of `keys`.
    pub fn new(identity: Arc<Identity>, keys: Keys) -> Self {
        Self::with_limits(identity, keys, PoolLimits::default())
    }

    /// Returns a client that opens a connection for each request. It serves as the baseline for
    /// measuring the pool.
    pub fn unpooled(identity: Arc<Identity>, keys: Keys) -> Self {
        Self::with_limits(identity, keys, PoolLimits { per_peer: 0, ..PoolLimits::default() })
    }

    fn with_limits(identity: Arc<Identity>, keys: Keys, limits: PoolLimits) -> Self {
        let slots = Arc::new(Semaphore::new(MAX_REQUESTS));
        let connections = Connections {
            pool: Mutex::new(Pool::open(limits)),
            origin: Instant::now(),
            opened: AtomicU64::new(0),
            reused: AtomicU64::new(0),
        };
        Self {
            identity,
            keys,
            sequences: Arc::default(),
            slots,
            connections: Arc::new(connections),
        }
    }

    /// Sends a query to the instance at `peer` and returns its response.
    ///
    /// # Errors
    ///
    /// [`FetchError::Large`] if the query exceeds the limit of a request. Otherwise the error of
    /// the step that failed: connecting, sending, receiving or checking the response. After any error
    /// but [`FetchError::Large`] and a failure to connect, the peer may have executed the query.
    pub async fn fetch(&self, peer: SocketAddr, query: Query) -> FetchResult<Answer> {
        let guard = self.sequences.allocate(peer).await;
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        let request = self.seal_request(peer, guard.sequence, query)?;
        while let Some(idle) = self.connections.take(peer) {
            if !is_open(&idle) {
                continue;
            }
            match self.exchange(idle, &request, peer).await {
                Ok(response) => {
                    self.connections.reused.fetch_add(1, Relaxed);
                    return Ok(response);
                }
                Err(ExchangeError::Unsent) => {}
                Err(ExchangeError::Sent(e)) => return Err(e),
            }
        }
        let stream = self.connect(peer).await?;
        let unsent = || FetchError::Io {
            step: "sending a request",
            peer,
            source: io::ErrorKind::BrokenPipe.into(),
        };
        self.exchange(stream, &request, peer).await.map_err(|error| match error {
            ExchangeError::Unsent => unsent(),
            ExchangeError::Sent(e) => e,
        })
    }

    /// Drops the idle connections to an instance that ended, and returns their number.
    pub fn retire(&self, peer: SocketAddr) -> usize {
        self.connections.pool().purge(peer)
    }

    /// Returns the number of connections opened so far, of requests answered over pooled ones, and
    /// of idle connections now.
    pub fn usage(&self) -> (u64, u64, usize) {
        let (opened, reused) = (&self.connections.opened, &self.connections.reused);
        (opened.load(Relaxed), reused.load(Relaxed), self.connections.pool().len())
    }

    async fn connect(&self, peer: SocketAddr) -> FetchResult<TcpStream> {
        let step = "connecting";
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
        let opened = opened.map_err(|_| FetchError::Timeout { step, peer })?;
        let stream = opened.map_err(|source| FetchError::Io { step, peer, source })?;
        let step = "configuring the connection";
        stream.set_nodelay(true).map_err(|source| FetchError::Io { step, peer, source })?;
        self.connections.opened.fetch_add(1, Relaxed);
        Ok(stream)
    }

    fn seal_request(&self, peer: SocketAddr, sequence: u64, query: Query) -> FetchResult<Vec<u8>> {
        let envelope = Envelope {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation(),
            sequence,
            body: Body::Query(query),
        };
        let sealed = seal(&self.keys, &envelope, Context::Request(peer));
        sealed.map_err(|source| FetchError::Large { step: "encoding a request", peer, source })
    }

    /// Makes one exchange. The connection returns to the pool only after a complete and valid
    /// response.
    async fn exchange(
        &self,
        mut s: TcpStream,
        request: &[u8],
        peer: SocketAddr,
    ) -> Result<Answer, ExchangeError> {
        let purge = PurgeGuard { connections: &self.connections, peer };
        let step = "exchange";
        let exchanged = timeout(EXCHANGE_TIMEOUT, send_and_receive(&mut s, request, peer)).await;
        let response =
            exchanged.map_err(|_| ExchangeError::Sent(FetchError::Timeout { step, peer }))??;
        let response =
            self.check_response(peer, request, &response).map_err(ExchangeError::Sent)?;
        std::mem::forget(purge);
        self.connections.put(peer, s);
        Ok(response)
    }

    fn check_response(
        &self,
        peer: SocketAddr,
        request: &[u8],
        response: &[u8],
    ) -> FetchResult<Answer> {
        let step = "checking a response";
        let tag = tag_of(request).expect("a sealed message has a MAC");
        let opened = open::<Envelope>(&self.keys, response, Context::Response(tag));
        let opened = opened.map_err(|reason| FetchError::Rejected { step, peer, reason })?;
        match opened.body {
            Body::Answer(a) => Ok(a),
            _ => Err(FetchError::Rejected { step, peer, reason: Reject::Malformed }),
        }
    }
}

/// Guard of an exchange that has not succeeded. Dropping it, also when the caller cancels the
/// exchange, drops the idle connections to the peer.
struct PurgeGuard<'a> {
    connections: &'a Connections,
    peer: SocketAddr,
}

impl Drop for PurgeGuard<'_> {
    fn drop(&mut self) {
        self.connections.pool().purge(self.peer);
    }
}

impl Connections {
    fn pool(&self) -> MutexGuard<'_, Pool<TcpStream>> {
        self.pool.lock().expect("no holder of the lock panics")
    }

    fn take(&self, peer: SocketAddr) -> Option<TcpStream> {
        self.pool().take(peer, self.origin.elapsed())
    }

    fn put(&self, peer: SocketAddr, stream: TcpStream) {
        self.pool().put(peer, stream, self.origin.elapsed());
    }
}

/// Returns whether the peer has neither closed the connection nor sent unexpected bytes. It peeks
/// at the socket itself, since the runtime may not have processed the event yet.
fn is_open(s: &TcpStream) -> bool {
    let peeked = SockRef::from(s).peek(&mut [MaybeUninit::uninit()]);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

async fn send_and_receive(
    s: &mut TcpStream,
    request: &[u8],
    peer: SocketAddr,
) -> Result<Vec<u8>, ExchangeError> {
    let failed = |step| move |source| ExchangeError::Sent(FetchError::Io { step, peer, source });
    let framed = frame(request).map_err(failed("encoding a request"))?;
    let written = s.write(&framed).await.map_err(|_| ExchangeError::Unsent)?;
    s.write_all(&framed[written..]).await.map_err(failed("sending a request"))?;
    let limit = Context::Response(Tag::default()).limit();
    let step = "receiving a response";
    let frame = read_frame(s, limit).await.map_err(failed(step))?;
    frame.map_err(|reason| ExchangeError::Sent(FetchError::Rejected { step, peer, reason }))
}
