//! Answers to the requests of other instances.

use {
    super::{EXCHANGE, FetchError, FetchResult, frame, read_rest},
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

/// Time after which a connection without a request is closed.
const IDLE: Duration = Duration::from_secs(15);
/// Fewest connections that are served at once, whatever the size of the fleet.
const MIN_LINKS: usize = 64;
/// Most connections that are served at once.
const MAX_LINKS: usize = 1_024;
/// Connections served at once for each member known.
const LINKS_EACH: usize = 8;
/// Requests read and answered at once; further ones wait on their connections.
const EXCHANGES: usize = 64;
/// Wait after a failure to accept, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Senders whose sequence numbers are kept.
const REPLAY_SENDERS: usize = 1_024;

type Handler = dyn Fn(Name, Query) -> BoxFuture<'static, Answer> + Send + Sync;

/// Handle of a running server; it stops, and its connections end, when the handle is dropped.
#[derive(Debug)]
pub struct Server {
    counters: Arc<Counters>,
    links: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Server {
    /// Requests received and dropped, and connections refused.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Bound of the connections, to be set by the number of members.
    pub fn capacity(&self) -> Capacity {
        Capacity { links: self.links.clone(), counters: self.counters.clone() }
    }
}

/// Bound of the connections that a server takes.
#[derive(Clone, Debug)]
pub struct Capacity {
    links: Arc<AtomicUsize>,
    counters: Arc<Counters>,
}

impl Capacity {
    /// Sets the bound for a fleet of so many known members.
    pub fn set_members(&self, members: usize) {
        let links = (members * LINKS_EACH).clamp(MIN_LINKS, MAX_LINKS);
        self.links.store(links, Relaxed);
    }

    /// Connections that were refused so far.
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
        exchanges: Semaphore::new(EXCHANGES),
        handler: Box::new(handler),
    };
    let links = Arc::new(AtomicUsize::new(MIN_LINKS));
    let task = tokio::spawn(accept(listener, Arc::new(service), links.clone()));
    Ok(Server { counters, links, task })
}

async fn accept(listener: TcpListener, service: Arc<Service>, links: Arc<AtomicUsize>) {
    // Dropped with this task, which ends the connections.
    let mut open = JoinSet::new();
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            Some(_) = open.join_next() => continue,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if open.len() >= links.load(Relaxed) {
            service.counters.count_refused();
            log::debug!(step = "accept", peer:% = peer; "refused a peer's connection");
            continue;
        }
        let service = service.clone();
        open.spawn(async move {
            if let Err(e) = service.serve_all(stream).await {
                log::debug!(step = "serve", peer:% = peer; "a peer's connection ended: {e}");
            }
        });
    }
}

impl Service {
    /// Serves one request after the other until the peer closes or stays silent, or a request is
    /// rejected.
    async fn serve_all(&self, mut s: TcpStream) -> io::Result<()> {
        s.set_nodelay(true)?;
        loop {
            let Ok(size) = timeout(IDLE, s.read_u32()).await else { return Ok(()) };
            let size = match size {
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                size => size? as usize,
            };
            let _slot = self.exchanges.acquire().await.expect("the semaphore is never closed");
            let served = timeout(EXCHANGE, self.serve_one(&mut s, size)).await;
            if !served.map_err(|_| io::ErrorKind::TimedOut)?? {
                return Ok(());
            }
        }
    }

    /// Serves one request; false if it was rejected.
    async fn serve_one(&self, s: &mut TcpStream, size: usize) -> io::Result<bool> {
        let limit = Context::Request(self.identity.address).limit();
        let read = read_rest(s, size, limit).await?;
        let accepted = read.and_then(|b| self.accept_request(&b));
        let accepted = accepted.inspect_err(|r| self.counters.count_rejected(*r));
        let Ok((from, query, tag)) = accepted else { return Ok(false) };
        let answer = (self.handler)(from, query).await;
        let Some(bytes) = self.response(answer, tag) else { return Ok(false) };
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
