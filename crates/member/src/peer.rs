//! Authenticated requests between instances over TCP, for content too large for datagrams.
//!
//! One connection carries one request and one response, each preceded by its length. The response's
//! MAC covers the request's, so an answer to another request is rejected. Sizes, the number of
//! connections and the time of an exchange are bounded on both sides.

use {
    crate::{Counters, Name, udp::Identity},
    agate_wire::{
        Answer, Body, Context, Envelope, Keys, Query, Reject, ReplayTable, SealError, Tag, open,
        seal, tag_of,
    },
    futures_util::future::BoxFuture,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        task::JoinHandle,
        time::timeout,
    },
};

/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Time for one exchange once the connection is open.
const EXCHANGE: Duration = Duration::from_secs(5);
/// Connections served at once; further ones wait to be accepted.
const SERVED: usize = 32;
/// Requests under way at once from one client; below the replay window, so that none is overtaken
/// by so many that it looks replayed.
const ASKED: usize = 32;
/// Senders whose sequence numbers are kept.
const REPLAY_SENDERS: usize = 1_024;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed or ended early.
    #[error("{step} with {peer}: {source}")]
    Io {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The step took too long.
    #[error("{step} with {peer}: timed out")]
    Timeout {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
    },
    /// The response was rejected.
    #[error("{step} with {peer}: {reason}")]
    Rejected {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Cause.
        reason: Reject,
    },
    /// The request is too large.
    #[error("{step} with {peer}: {source}")]
    Large {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Cause.
        source: SealError,
    },
}

/// Result of a request.
pub type FetchResult<T> = std::result::Result<T, FetchError>;

/// Makes requests to other instances.
#[derive(Clone, Debug)]
pub struct Client {
    identity: Arc<Identity>,
    keys: Keys,
    sequence: Arc<AtomicU64>,
    slots: Arc<Semaphore>,
}

impl Client {
    /// Returns a client that signs with the first of `keys`.
    pub fn new(identity: Arc<Identity>, keys: Keys) -> Self {
        let slots = Arc::new(Semaphore::new(ASKED));
        Self { identity, keys, sequence: Arc::default(), slots }
    }

    /// Sends a query to the instance at `peer` and returns its answer.
    pub async fn fetch(&self, peer: SocketAddr, query: Query) -> FetchResult<Answer> {
        let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
        let request = self.request(peer, query)?;
        let step = "connecting";
        let opened = timeout(CONNECT, TcpStream::connect(peer)).await;
        let opened = opened.map_err(|_| FetchError::Timeout { step, peer })?;
        let mut stream = opened.map_err(|source| FetchError::Io { step, peer, source })?;
        let step = "exchange";
        let exchange = exchange(&mut stream, &request, peer);
        let exchanged = timeout(EXCHANGE, exchange).await;
        let response = exchanged.map_err(|_| FetchError::Timeout { step, peer })??;
        self.answer(peer, &request, &response)
    }

    fn request(&self, peer: SocketAddr, query: Query) -> FetchResult<Vec<u8>> {
        let envelope = Envelope {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation(),
            sequence: self.sequence.fetch_add(1, Relaxed) + 1,
            body: Body::Query(query),
        };
        let sealed = seal(&self.keys, &envelope, Context::Request(peer));
        sealed.map_err(|source| FetchError::Large { step: "encoding a request", peer, source })
    }

    fn answer(&self, peer: SocketAddr, request: &[u8], response: &[u8]) -> FetchResult<Answer> {
        let step = "checking an answer";
        let tag = tag_of(request).expect("a sealed message has a MAC");
        let opened = open(&self.keys, response, Context::Response(tag));
        let opened = opened.map_err(|reason| FetchError::Rejected { step, peer, reason })?;
        match opened.body {
            Body::Answer(a) => Ok(a),
            _ => Err(FetchError::Rejected { step, peer, reason: Reject::Malformed }),
        }
    }
}

async fn exchange(s: &mut TcpStream, request: &[u8], peer: SocketAddr) -> FetchResult<Vec<u8>> {
    let failed = |step| move |source| FetchError::Io { step, peer, source };
    s.set_nodelay(true).map_err(failed("configuring the connection"))?;
    write_frame(s, request).await.map_err(failed("sending a request"))?;
    let limit = Context::Response(Tag::default()).limit();
    let frame = read_frame(s, limit).await.map_err(failed("receiving an answer"))?;
    frame.map_err(|reason| FetchError::Rejected { step: "receiving an answer", peer, reason })
}

async fn write_frame(s: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let size = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    s.write_all(&size.to_be_bytes()).await?;
    s.write_all(bytes).await
}

/// Reads one frame; the buffer grows with the bytes that arrive, not with the length announced.
async fn read_frame(s: &mut TcpStream, limit: usize) -> io::Result<Result<Vec<u8>, Reject>> {
    let size = s.read_u32().await? as usize;
    if size > limit {
        return Ok(Err(Reject::Large));
    }
    let mut bytes = Vec::new();
    s.take(size as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < size {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Ok(bytes))
}

type Handler = dyn Fn(Name, Query) -> BoxFuture<'static, Answer> + Send + Sync;

/// Handle of a running server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Server {
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Server {
    /// Requests received and dropped.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Service {
    identity: Arc<Identity>,
    keys: Keys,
    replay: Mutex<ReplayTable>,
    counters: Arc<Counters>,
    handler: Box<Handler>,
}

/// Serves requests at the identity's address with `handler`.
pub async fn serve(
    identity: Arc<Identity>,
    keys: Keys,
    handler: impl Fn(Name, Query) -> BoxFuture<'static, Answer> + Send + Sync + 'static,
) -> FetchResult<Server> {
    let peer = identity.address;
    let listening = TcpListener::bind(peer).await;
    let step = "binding the peer listener";
    let listener = listening.map_err(|source| FetchError::Io { step, peer, source })?;
    let counters = Arc::new(Counters::default());
    let service = Service {
        identity,
        keys,
        replay: Mutex::new(ReplayTable::new(REPLAY_SENDERS)),
        counters: counters.clone(),
        handler: Box::new(handler),
    };
    let task = tokio::spawn(accept(listener, Arc::new(service)));
    Ok(Server { counters, task })
}

async fn accept(listener: TcpListener, service: Arc<Service>) {
    let slots = Arc::new(Semaphore::new(SERVED));
    loop {
        let slot = slots.clone().acquire_owned().await.expect("the semaphore is never closed");
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let service = service.clone();
        tokio::spawn(async move {
            if timeout(EXCHANGE, service.serve_one(stream)).await.is_err() {
                log::debug!(step = "serve", peer:% = peer; "a peer request timed out");
            }
            drop(slot);
        });
    }
}

/// Wait after a failure to accept, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

impl Service {
    async fn serve_one(&self, mut s: TcpStream) -> io::Result<()> {
        s.set_nodelay(true)?;
        let limit = Context::Request(self.identity.address).limit();
        let read = read_frame(&mut s, limit).await?;
        let Ok((from, query, tag)) = read.and_then(|b| self.accept_request(&b)).inspect_err(|r| {
            self.counters.count_rejected(*r);
        }) else {
            return Ok(());
        };
        let answer = (self.handler)(from, query).await;
        if let Some(bytes) = self.response(answer, tag) {
            write_frame(&mut s, &bytes).await?;
            self.counters.count_sent(bytes.len());
        }
        Ok(())
    }

    fn accept_request(&self, bytes: &[u8]) -> Result<(Name, Query, Tag), Reject> {
        self.counters.count_received(bytes.len());
        let e = open(&self.keys, bytes, Context::Request(self.identity.address))?;
        let tag = tag_of(bytes).ok_or(Reject::Short)?;
        let Body::Query(query) = e.body else { return Err(Reject::Malformed) };
        let mut replay = self.replay.lock().expect("no holder of the lock panics");
        replay.accept(&e.from, e.incarnation, e.sequence)?;
        Ok((e.from, query, tag))
    }

    fn response(&self, answer: Answer, tag: Tag) -> Option<Vec<u8>> {
        let envelope = |body| Envelope {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation(),
            sequence: 0,
            body: Body::Answer(body),
        };
        let sealed = seal(&self.keys, &envelope(answer), Context::Response(tag));
        // An answer that does not fit is refused rather than cut.
        sealed
            .or_else(|_| seal(&self.keys, &envelope(Answer::Refused), Context::Response(tag)))
            .ok()
    }
}
