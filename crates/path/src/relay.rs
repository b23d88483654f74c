//! Opens connections to endpoints for other instances and forwards their bytes.

use {
    crate::{
        DialFn, KeysFn, Path, frames,
        handshake::{self, Accepted, Reply, Transfer},
        metrics::Metrics,
    },
    agate_transport::link,
    socket2::SockRef,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncWriteExt, copy, copy_bidirectional},
        net::{TcpListener, TcpStream},
        sync::{Semaphore, SemaphorePermit},
        task::JoinHandle,
        time::{sleep, timeout},
        try_join,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum number of connections forwarded at once.
const MAX_CONNECTIONS: usize = 512;
/// Maximum number of handshakes at once, which strangers may begin too.
const MAX_HANDSHAKES: usize = 64;
/// Longest time until a request has arrived.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to open a connection to an endpoint.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Returns the path to an endpoint that takes requests, by its name.
type FindFn = dyn Fn(&str) -> Option<Arc<Path>> + Send + Sync;

/// Running relay; dropping it ends the connections that it forwards.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    stop_accepting: CancellationToken,
    task: JoinHandle<()>,
}

struct Shared {
    own: SocketAddr,
    keys: Box<KeysFn>,
    find: Box<FindFn>,
    dial: Arc<DialFn>,
    connections: Semaphore,
    handshakes: Semaphore,
    metrics: Metrics,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Binds `address` and forwards connections to the endpoints that `find` knows.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        keys: impl Fn() -> Option<Arc<agate_wire::Keys>> + Send + Sync + 'static,
        find: impl Fn(&str) -> Option<Arc<Path>> + Send + Sync + 'static,
        dial: Arc<DialFn>,
        metrics: Metrics,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let own = listener.local_addr()?;
        let shared = Arc::new(Shared {
            own,
            keys: Box::new(keys),
            find: Box::new(find),
            dial,
            connections: Semaphore::new(MAX_CONNECTIONS),
            handshakes: Semaphore::new(MAX_HANDSHAKES),
            metrics,
        });
        let stop_accepting = CancellationToken::new();
        let task = tokio::spawn(accept(listener, shared, stop_accepting.clone()));
        Ok(Self { address: own, stop_accepting, task })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections; those that are forwarded go on.
    pub fn stop_accepting(&self) {
        self.stop_accepting.cancel();
    }
}

/// Ends the tasks of the connections when it is dropped.
struct Connections {
    tasks: TaskTracker,
    end: CancellationToken,
}

impl Drop for Connections {
    fn drop(&mut self) {
        self.end.cancel();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, stop_accepting: CancellationToken) {
    let connections = Connections { tasks: TaskTracker::new(), end: CancellationToken::new() };
    loop {
        let accepted = tokio::select! {
            () = stop_accepting.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((io, peer)) => {
                let (shared, end) = (shared.clone(), connections.end.clone());
                connections.tasks.spawn(async move {
                    tokio::select! {
                        () = end.cancelled() => {}
                        () = serve(&shared, io, peer) => {}
                    }
                });
            }
            Err(e) => {
                log::warn!(event = "accept_failed", cause:% = e; "accepting a connection of another instance failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.tasks.close();
    connections.tasks.wait().await;
}

async fn serve(shared: &Shared, mut io: TcpStream, peer: SocketAddr) {
    let Ok(handshake) = shared.handshakes.try_acquire() else {
        shared.metrics.relayed.with_label_values(&["overload"]).inc();
        return;
    };
    let begun = timeout(REQUEST_TIMEOUT, shared.begin(&mut io)).await;
    let begun = begun.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()));
    drop(handshake);
    let Opened { mut far, transfer, _permit } = match begun {
        Ok(Some(opened)) => opened,
        Ok(None) => return,
        Err(e) => {
            shared.metrics.relayed.with_label_values(&["rejected"]).inc();
            return log::debug!("request for a connection by {peer}: {e}");
        }
    };
    shared.metrics.forwarding.inc();
    if let Err(e) = forward(&mut io, &mut far, transfer).await {
        log::trace!("connection forwarded for {peer} ended: {e}");
    }
    shared.metrics.forwarding.dec();
}

/// Forwards bytes in both directions until both sides have ended, or one has failed.
async fn forward(io: &mut TcpStream, far: &mut TcpStream, transfer: Transfer) -> io::Result<()> {
    if transfer == Transfer::Plain {
        // An instance of an earlier build takes an ordinary end for the endpoint's. Until there is one,
        // whatever ends this task or process resets the connection.
        SockRef::from(&*io).set_linger(Some(Duration::ZERO))?;
        copy_bidirectional(io, far).await?;
        return SockRef::from(&*io).set_linger(None);
    }
    let (mut io_reader, mut io_writer) = io.split();
    let (mut far_reader, mut far_writer) = far.split();
    let request = async {
        copy(&mut io_reader, &mut far_writer).await?;
        far_writer.shutdown().await
    };
    try_join!(request, frames::copy_framed(&mut far_reader, &mut io_writer))?;
    Ok(())
}

/// Connection to an endpoint that another instance has requested.
struct Opened<'a> {
    far: TcpStream,
    transfer: Transfer,
    _permit: SemaphorePermit<'a>,
}

impl Shared {
    /// Carries out the handshake; returns the connection to the endpoint if it is open.
    async fn begin(&self, io: &mut TcpStream) -> handshake::Result<Option<Opened<'_>>> {
        let Some(keys) = (self.keys)() else { return Ok(None) };
        link::configure(io)?;
        let Accepted { endpoint, transfer, tag } = handshake::accept(io, &keys, self.own).await?;
        let permit = self.connections.try_acquire();
        let opened = match (&permit, (self.find)(&endpoint)) {
            (Err(_), _) => Err((Reply::Busy, "busy")),
            (Ok(_), None) => Err((Reply::Unknown, "unknown")),
            (Ok(_), Some(path)) => match path.direct_address() {
                Some(address) => self.open(address).await,
                None => Err((Reply::Unreachable, "unreachable")),
            },
        };
        let (reply, outcome) = opened.as_ref().map_or_else(|e| *e, |_| (Reply::Opened, "opened"));
        self.metrics.relayed.with_label_values(&[outcome]).inc();
        handshake::reply(io, &keys, tag, reply).await?;
        let opened = opened.ok().zip(permit.ok());
        Ok(opened.map(|(far, _permit)| Opened { far, transfer, _permit }))
    }

    async fn open(&self, address: SocketAddr) -> Result<TcpStream, (Reply, &'static str)> {
        let unreachable = (Reply::Unreachable, "unreachable");
        let far = match timeout(OPEN_TIMEOUT, (self.dial)(address)).await {
            Ok(Ok(far)) => far,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err((Reply::Refused, "refused"));
            }
            Ok(Err(_)) | Err(_) => return Err(unreachable),
        };
        link::configure(&far).map_err(|_| unreachable)?;
        Ok(far)
    }
}
