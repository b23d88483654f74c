//! A TCP proxy on loopback that injects faults of connections.
//!
//! A proxy listens on its own address and forwards each connection to an upstream address. Faults
//! apply to bytes that arrive after they were set. A stalled connection stays open at both ends and
//! forwards nothing more, not even its end, while new connections work.
//!
//! The port stays bound as long as the proxy runs, so that connections can't reach another program
//! that takes the port while the proxy refuses connections.

use {
    socket2::{Domain, Socket, Type},
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
};

/// Maximum number of bytes read at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Faults that a proxy injects into forwarded bytes.
#[derive(Clone, Debug, Default)]
pub struct ProxyFaults {
    /// Delay of each chunk, in both directions.
    pub delay: Duration,
    /// Closes a connection after this many response bytes.
    pub cut_after: Option<u64>,
    /// Bytes inserted after each response chunk that ends a message.
    pub append: Vec<u8>,
    /// Holds back all bytes, also on new connections, until cleared.
    pub stall: bool,
    /// Holds back a request chunk that begins with these bytes; empty holds back none. As in a
    /// network that loses all packets, the held bytes are lost if their sender resets the
    /// connection before [`FaultProxy::release`].
    pub hold: Vec<u8>,
}

#[derive(Debug)]
struct Shared {
    faults: watch::Sender<ProxyFaults>,
    refuse: watch::Sender<bool>,
    close_signal: watch::Sender<u64>,
    accepted: AtomicU64,
    stalled_up_to: AtomicU64,
    held: AtomicU64,
    release_signal: watch::Sender<u64>,
    upstream: Mutex<SocketAddr>,
}

/// Handle of a running proxy; clones refer to the same proxy.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Listens on `address`, where port 0 selects an ephemeral port, and forwards to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(address: SocketAddr, upstream: SocketAddr) -> crate::Result<FaultProxy> {
        let fail = |source| crate::Error::Listen { address, source };
        let reservation = bind_socket(address).map_err(fail)?;
        let bound = reservation.local_addr().map_err(fail)?;
        let address = bound.as_socket().expect("an internet address was bound");
        let listener = listen(address).map_err(fail)?;
        let shared = Arc::new(Shared {
            faults: watch::Sender::new(ProxyFaults::default()),
            refuse: watch::Sender::new(false),
            close_signal: watch::Sender::new(0),
            accepted: AtomicU64::new(0),
            stalled_up_to: AtomicU64::new(0),
            held: AtomicU64::new(0),
            release_signal: watch::Sender::new(0),
            upstream: Mutex::new(upstream),
        });
        tokio::spawn(accept_loop(reservation, address, listener, shared.clone()));
        Ok(FaultProxy { address, shared })
    }

    /// Address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the active faults.
    pub fn set(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Stalls all existing connections permanently; new ones work.
    pub fn stall_open(&self) {
        self.shared.stalled_up_to.store(self.accepted(), Ordering::SeqCst);
    }

    /// Number of chunks held back so far by [`ProxyFaults::hold`].
    pub fn held(&self) -> u64 {
        self.shared.held.load(Ordering::SeqCst)
    }

    /// Forwards the chunks that are being held back.
    pub fn release(&self) {
        self.shared.release_signal.send_modify(|r| *r += 1);
    }

    /// Closes all connections.
    pub fn kill(&self) {
        self.shared.close_signal.send_modify(|k| *k += 1);
    }

    /// Closes all connections and refuses new ones until [`FaultProxy::accept`].
    pub fn refuse(&self) {
        self.shared.refuse.send_replace(true);
        self.kill();
    }

    /// Accepts connections again after [`FaultProxy::refuse`].
    pub fn accept(&self) {
        self.shared.refuse.send_replace(false);
    }

    /// Forwards new connections to a different address.
    pub fn redirect(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock().expect("not poisoned") = upstream;
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<Socket> {
    let s = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    s.set_reuse_port(true)?;
    s.set_nonblocking(true)?;
    s.bind(&address.into())?;
    Ok(s)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let s = bind_socket(address)?;
    s.listen(BACKLOG)?;
    TcpListener::from_std(s.into())
}

/// Accepts connections. `_reservation` keeps the port bound while nothing listens on it.
async fn accept_loop(
    _reservation: Socket,
    address: SocketAddr,
    mut listener: TcpListener,
    shared: Arc<Shared>,
) {
    let mut refuse = shared.refuse.subscribe();
    loop {
        let conn = tokio::select! {
            _ = refuse.wait_for(|r| *r) => None,
            conn = listener.accept() => Some(conn),
        };
        match conn {
            Some(Ok((conn, _))) => {
                let id = shared.accepted.fetch_add(1, Ordering::SeqCst) + 1;
                tokio::spawn(forward(id, conn, shared.clone()));
            }
            Some(Err(e)) => log::warn!("proxy at {address}: {e}"),
            None => {
                drop(listener);
                let _ = refuse.wait_for(|r| !*r).await;
                listener = match listen(address) {
                    Ok(l) => l,
                    Err(e) => return log::error!("proxy at {address}: {e}"),
                };
            }
        }
    }
}

async fn forward(id: u64, client: TcpStream, shared: Arc<Shared>) {
    let mut close_signal = shared.close_signal.subscribe();
    if *shared.refuse.borrow() {
        return;
    }
    let upstream = *shared.upstream.lock().expect("not poisoned");
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let to_upstream = Direction { id, is_response: false, shared: shared.clone() };
    let to_client = Direction { id, is_response: true, shared };
    tokio::select! {
        _ = close_signal.changed() => {}
        r = async { tokio::try_join!(to_upstream.run(client_in, server_out), to_client.run(server_in, client_out)) } => {
            if let Err(e) = r {
                log::trace!("proxy connection {id}: {e}");
            }
        }
    }
}

/// One direction of one connection.
struct Direction {
    id: u64,
    is_response: bool,
    shared: Arc<Shared>,
}

impl Direction {
    async fn run(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        let (mut forwarded, mut was_held) = (0, false);
        let mut faults = self.shared.faults.subscribe();
        loop {
            let n = from.read(&mut buf).await;
            let f = match faults.wait_for(|f| !f.stall).await {
                Ok(f) => f.clone(),
                Err(_) => return Ok(()),
            };
            if !f.delay.is_zero() {
                tokio::time::sleep(f.delay).await;
            }
            if self.id <= self.shared.stalled_up_to.load(Ordering::SeqCst) {
                if !matches!(n, Ok(n) if n > 0) {
                    return pending().await;
                }
                continue;
            }
            let n = n?;
            let held = !f.hold.is_empty() && buf[..n].starts_with(&f.hold);
            if held && !self.is_response {
                self.hold(&from).await?;
                was_held = true;
            }
            // After a delayed chunk the end of the connection is not forwarded, so that upstream
            // gets the chunk on an open connection.
            if n == 0 && was_held {
                return pending().await;
            }
            if n == 0 {
                return to.shutdown().await;
            }
            let chunk = &buf[..n];
            let cut = f
                .cut_after
                .filter(|_| self.is_response)
                .map(|c| c.saturating_sub(forwarded) as usize);
            if let Some(c) = cut.filter(|c| *c <= n) {
                to.write_all(&chunk[..c]).await?;
                return Err(io::Error::other("cut"));
            }
            to.write_all(chunk).await?;
            forwarded += n as u64;
            if self.is_response && ends_message(chunk) {
                to.write_all(&f.append).await?;
            }
        }
    }
}

impl Direction {
    /// Waits for [`FaultProxy::release`]; fails if the sender has reset the connection meanwhile.
    async fn hold(&self, from: &OwnedReadHalf) -> io::Result<()> {
        let mut release_signal = self.shared.release_signal.subscribe();
        self.shared.held.fetch_add(1, Ordering::SeqCst);
        let _ = release_signal.changed().await;
        from.as_ref().take_error()?.map_or(Ok(()), Err)
    }
}

/// Whether a response chunk ends with the end of a chunked body or of a JSON object.
fn ends_message(chunk: &[u8]) -> bool {
    chunk.ends_with(b"\r\n0\r\n\r\n") || chunk.ends_with(b"0\r\n\r\n") || chunk.ends_with(b"}")
}
