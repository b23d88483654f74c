//! Server for the requests of other instances.

use {
    super::{EXCHANGE_TIMEOUT, FetchError, FetchResult, frame, read_body},
    crate::{Counters, Name, udp::Identity},
    agate_wire::{
        Answer, Body, Context, Envelope, Keys, Query, Reject, ReplayTable, Tag, open, seal, tag_of,
    },
    futures_util::future::BoxFuture,
    std::{
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        select,
        sync::Semaphore,
        task::{JoinHandle, JoinSet},
        time::timeout,
    },
};

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum of the connection limit, whatever the size of the fleet.
const MIN_CONNECTIONS: usize = 64;
/// Maximum of the connection limit.
const MAX_CONNECTIONS: usize = 1_024;
/// Connections for each known member.
const CONNECTIONS_PER_MEMBER: usize = 8;
/// Maximum number of requests that are read and answered at once. Further ones wait on their
/// connections.
const MAX_EXCHANGES: usize = 64;
/// Delay after a failure to accept, such as a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Maximum number of senders whose sequence numbers are tracked.
const REPLAY_SENDERS: usize = 1_024;

type Handler = dyn Fn(Name, Query) -> BoxFuture<'static, Answer> + Send + Sync;

/// Handle of a running server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Server {
    counters: Arc<Counters>,
    limit: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns the counters of requests received and dropped, and of connections refused.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a handle that sets the connection limit by the number of members.
    pub fn connection_limit(&self) -> ConnectionLimit {
        ConnectionLimit { limit: self.limit.clone(), counters: self.counters.clone() }
    }
}

/// Sets the connection limit of a server and reads the refusals.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    limit: Arc<AtomicUsize>,
    counters: Arc<Counters>,
}

impl ConnectionLimit {
    /// Sets the connection limit for a fleet of `members` known members.
    pub fn set_members(&self, members: usize) {
        let limit = (members * CONNECTIONS_PER_MEMBER).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        self.limit.store(limit, Relaxed);
    }

    /// Returns the number of connections refused so far.
    pub fn refused(&self) -> u64 {
        self.counters.totals().refused
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
    exchanges: Semaphore,
    handler: Box<Handler>,
}

/// Serves requests at the identity's address with `handler`.
///
/// # Errors
///
/// [`FetchError::Io`] if the address can't be bound.
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
        exchanges: Semaphore::new(MAX_EXCHANGES),
        handler: Box::new(handler),
    };
    let limit = Arc::new(AtomicUsize::new(MIN_CONNECTIONS));
    let task = tokio::spawn(accept(listener, Arc::new(service), limit.clone()));
    Ok(Server { counters, limit, task })
}

async fn accept(listener: TcpListener, service: Arc<Service>, limit: Arc<AtomicUsize>) {
    // Dropped with this task, which closes the connections.
    let mut connections = JoinSet::new();
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if connections.len() >= limit.load(Relaxed) {
            service.counters.count_refused();
            log::debug!(step = "accept", peer:% = peer; "refused a peer's connection");
            continue;
        }
        let service = service.clone();
        connections.spawn(async move {
            if let Err(e) = service.serve_connection(stream).await {
                log::debug!(step = "serve", peer:% = peer; "a peer's connection ended: {e}");
            }
        });
    }
}

impl Service {
    /// Serves requests one after the other, until the peer closes, is idle for [`IDLE_TIMEOUT`], or
    /// sends a request that is rejected.
    async fn serve_connection(&self, mut s: TcpStream) -> io::Result<()> {
        s.set_nodelay(true)?;
        loop {
            let Ok(size) = timeout(IDLE_TIMEOUT, s.read_u32()).await else { return Ok(()) };
            let size = match size {
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                size => size? as usize,
            };
            let _slot = self.exchanges.acquire().await.expect("the semaphore is never closed");
            let served = timeout(EXCHANGE_TIMEOUT, self.serve_request(&mut s, size)).await;
            if !served.map_err(|_| io::ErrorKind::TimedOut)?? {
                return Ok(());
            }
        }
    }

    /// Serves one request. Returns false if it was rejected, or if no response could be encoded.
    async fn serve_request(&self, s: &mut TcpStream, size: usize) -> io::Result<bool> {
        let limit = Context::Request(self.identity.address).limit();
        let read = read_body(s, size, limit).await?;
        let accepted = read.and_then(|b| self.accept_request(&b));
        let accepted = accepted.inspect_err(|r| self.counters.count_rejected(*r));
        let Ok((from, query, tag)) = accepted else { return Ok(false) };
        let response = (self.handler)(from, query).await;
        let Some(bytes) = self.seal_response(response, tag) else { return Ok(false) };
        s.write_all(&frame(&bytes)?).await?;
        self.counters.count_sent(bytes.len());
        Ok(true)
    }

    fn accept_request(&self, bytes: &[u8]) -> Result<(Name, Query, Tag), Reject> {
        self.counters.count_received(bytes.len());
        let e = open::<Envelope>(&self.keys, bytes, Context::Request(self.identity.address))?;
        let tag = tag_of(bytes).ok_or(Reject::Short)?;
        let Body::Query(query) = e.body else { return Err(Reject::Malformed) };
        let mut replay = self.replay.lock().expect("no holder of the lock panics");
        replay.accept(&e.from, e.incarnation, e.sequence)?;
        Ok((e.from, query, tag))
    }

    fn seal_response(&self, response: Answer, tag: Tag) -> Option<Vec<u8>> {
        let envelope = |body| Envelope {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation(),
            sequence: 0,
            body: Body::Answer(body),
        };
        let sealed = seal(&self.keys, &envelope(response), Context::Response(tag));
        // A response that exceeds the limit is refused, not truncated.
        sealed
            .or_else(|_| seal(&self.keys, &envelope(Answer::Refused), Context::Response(tag)))
            .ok()
    }
}
