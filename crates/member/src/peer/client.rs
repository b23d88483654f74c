//! Requests of this instance, over kept connections.
//!
//! A request that fails before a byte of it was written is sent again over a new connection. After
//! the first byte the peer may have carried it out, so the failure goes to the caller, and all other
//! connections to that peer are dropped with it: what silenced one may have silenced them all.

use {
    super::{
        EXCHANGE, FetchError, FetchResult, frame,
        line::Lines,
        pool::{Bounds, Pool},
        read_frame,
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

/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Requests under way at once from one client.
const ASKED: usize = 32;

/// Makes requests to other instances.
#[derive(Clone, Debug)]
pub struct Client {
    identity: Arc<Identity>,
    keys: Keys,
    lines: Arc<Lines>,
    slots: Arc<Semaphore>,
    links: Arc<Links>,
}

/// Kept connections, and counts of their use.
#[derive(Debug)]
struct Links {
    pool: Mutex<Pool<TcpStream>>,
    origin: Instant,
    opened: AtomicU64,
    reused: AtomicU64,
}

/// Why an exchange over one connection failed.
enum Broken {
    /// No byte of the request was written.
    Unsent,
    /// The peer may have carried the request out.
    Sent(FetchError),
}

impl Client {
    /// Returns a client that signs with the first of `keys`.
    pub fn new(identity: Arc<Identity>, keys: Keys) -> Self {
        Self::with_bounds(identity, keys, Bounds::default())
    }

    /// Returns a client that opens a connection for each request, as a measure of what keeping
    /// them saves.
    pub fn unpooled(identity: Arc<Identity>, keys: Keys) -> Self {
        Self::with_bounds(identity, keys, Bounds { each: 0, ..Bounds::default() })
    }

    fn with_bounds(identity: Arc<Identity>, keys: Keys, bounds: Bounds) -> Self {
        let slots = Arc::new(Semaphore::new(ASKED));
        let links = Links {
            pool: Mutex::new(Pool::open(bounds)),
            origin: Instant::now(),
            opened: AtomicU64::new(0),
            reused: AtomicU64::new(0),
        };
        Self { identity, keys, lines: Arc::default(), slots, links: Arc::new(links) }
    }

    /// Sends a query to the instance at `peer` and returns its answer.
    ///
    /// # Errors
    ///
    /// After any error but [`FetchError::Large`] and a failure to connect, the peer may have
    /// carried the query out.
    pub async fn fetch(&self, peer: SocketAddr, query: Query) -> FetchResult<Answer> {
        let ticket = self.lines.draw(peer).await;
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        let request = self.request(peer, ticket.sequence, query)?;
        while let Some(kept) = self.links.take(peer) {
            if !is_open(&kept) {
                continue;
            }
            match self.exchange(kept, &request, peer).await {
                Ok(answer) => {
                    self.links.reused.fetch_add(1, Relaxed);
                    return Ok(answer);
                }
                Err(Broken::Unsent) => {}
                Err(Broken::Sent(e)) => return Err(e),
            }
        }
        let fresh = self.connect(peer).await?;
        let unsent = || FetchError::Io {
            step: "sending a request",
            peer,
            source: io::ErrorKind::BrokenPipe.into(),
        };
        self.exchange(fresh, &request, peer).await.map_err(|broken| match broken {
            Broken::Unsent => unsent(),
            Broken::Sent(e) => e,
        })
    }

    /// Drops the kept connections to an instance that ended; returns their number.
    pub fn retire(&self, peer: SocketAddr) -> usize {
        self.links.pool().purge(peer)
    }

    /// Connections opened so far, requests answered over kept ones, and connections kept now.
    pub fn usage(&self) -> (u64, u64, usize) {
        let (opened, reused) = (&self.links.opened, &self.links.reused);
        (opened.load(Relaxed), reused.load(Relaxed), self.links.pool().len())
    }

    async fn connect(&self, peer: SocketAddr) -> FetchResult<TcpStream> {
        let step = "connecting";
        let opened = timeout(CONNECT, TcpStream::connect(peer)).await;
        let opened = opened.map_err(|_| FetchError::Timeout { step, peer })?;
        let stream = opened.map_err(|source| FetchError::Io { step, peer, source })?;
        let step = "configuring the connection";
        stream.set_nodelay(true).map_err(|source| FetchError::Io { step, peer, source })?;
        self.links.opened.fetch_add(1, Relaxed);
        Ok(stream)
    }

    fn request(&self, peer: SocketAddr, sequence: u64, query: Query) -> FetchResult<Vec<u8>> {
        let envelope = Envelope {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation(),
            sequence,
            body: Body::Query(query),
        };
        let sealed = seal(&self.keys, &envelope, Context::Request(peer));
        sealed.map_err(|source| FetchError::Large { step: "encoding a request", peer, source })
    }

    /// Makes one exchange; the connection is kept only after a whole and sound answer.
    async fn exchange(
        &self,
        mut s: TcpStream,
        request: &[u8],
        peer: SocketAddr,
    ) -> Result<Answer, Broken> {
        let doubt = Doubt { links: &self.links, peer };
        let step = "exchange";
        let exchanged = timeout(EXCHANGE, converse(&mut s, request, peer)).await;
        let response =
            exchanged.map_err(|_| Broken::Sent(FetchError::Timeout { step, peer }))??;
        let answer = self.answer(peer, request, &response).map_err(Broken::Sent)?;
        std::mem::forget(doubt);
        self.links.put(peer, s);
        Ok(answer)
    }

    fn answer(&self, peer: SocketAddr, request: &[u8], response: &[u8]) -> FetchResult<Answer> {
        let step = "checking an answer";
        let tag = tag_of(request).expect("a sealed message has a MAC");
        let opened = open::<Envelope>(&self.keys, response, Context::Response(tag));
        let opened = opened.map_err(|reason| FetchError::Rejected { step, peer, reason })?;
        match opened.body {
            Body::Answer(a) => Ok(a),
            _ => Err(FetchError::Rejected { step, peer, reason: Reject::Malformed }),
        }
    }
}

/// An exchange that has not succeeded; its end, also by a caller that gave up, drops the other kept
/// connections to the peer.
struct Doubt<'a> {
    links: &'a Links,
    peer: SocketAddr,
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        self.links.pool().purge(self.peer);
    }
}

impl Links {
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

/// Whether the peer has neither closed the connection nor sent what nobody asked for. The socket
/// itself is asked, since the runtime may not have looked at it yet.
fn is_open(s: &TcpStream) -> bool {
    let peeked = SockRef::from(s).peek(&mut [MaybeUninit::uninit()]);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

async fn converse(s: &mut TcpStream, request: &[u8], peer: SocketAddr) -> Result<Vec<u8>, Broken> {
    let failed = |step| move |source| Broken::Sent(FetchError::Io { step, peer, source });
    let framed = frame(request).map_err(failed("encoding a request"))?;
    let written = s.write(&framed).await.map_err(|_| Broken::Unsent)?;
    s.write_all(&framed[written..]).await.map_err(failed("sending a request"))?;
    let limit = Context::Response(Tag::default()).limit();
    let step = "receiving an answer";
    let frame = read_frame(s, limit).await.map_err(failed(step))?;
    frame.map_err(|reason| Broken::Sent(FetchError::Rejected { step, peer, reason }))
}
