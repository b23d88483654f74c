//! A loopback byte forwarder that brings about failures below HTTP.
//!
//! A tap listens on its own address and forwards each connection to an upstream address. Faults
//! apply to bytes that arrive after they were set. A silenced connection stays open at both ends
//! and passes nothing more, not even its end, while new connections work.
//!
//! The tap's port stays bound for its whole life, so that a refused connection can never reach
//! another program that took the port meanwhile.

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

/// Bytes that one read forwards at most.
const CHUNK_BYTES: usize = 16 * 1024;
/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 1024;

/// Faults that a tap applies to the bytes passing through it.
#[derive(Clone, Debug, Default)]
pub struct TapFaults {
    /// Delay of each piece of bytes, in both directions.
    pub delay: Duration,
    /// Closes a connection after this many bytes of reply.
    pub cut_after: Option<u64>,
    /// Bytes added after each piece of reply that ends a message.
    pub append: Vec<u8>,
    /// Holds all bytes back, on new connections too, until cleared.
    pub stall: bool,
    /// Holds a connection up when a piece of request begins with this; empty: none. As in a network
    /// that loses every packet, what is held is lost if its sender resets the connection before
    /// [`Tap::release`].
    pub hold: Vec<u8>,
}

#[derive(Debug)]
struct Shared {
    faults: watch::Sender<TapFaults>,
    refuse: watch::Sender<bool>,
    kills: watch::Sender<u64>,
    accepted: AtomicU64,
    silent: AtomicU64,
    held: AtomicU64,
    releases: watch::Sender<u64>,
    upstream: Mutex<SocketAddr>,
}

/// Handle of a running tap.
#[derive(Clone, Debug)]
pub struct Tap {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Tap {
    /// Listens on `address`, port 0 for an ephemeral one, and forwards to `upstream`.
    pub async fn bind(address: SocketAddr, upstream: SocketAddr) -> crate::Result<Tap> {
        let fail = |source| crate::Error::Listen { address, source };
        let holder = socket(address).map_err(fail)?;
        let bound = holder.local_addr().map_err(fail)?;
        let address = bound.as_socket().expect("an internet address was bound");
        let listener = listen(address).map_err(fail)?;
        let shared = Arc::new(Shared {
            faults: watch::Sender::new(TapFaults::default()),
            refuse: watch::Sender::new(false),
            kills: watch::Sender::new(0),
            accepted: AtomicU64::new(0),
            silent: AtomicU64::new(0),
            held: AtomicU64::new(0),
            releases: watch::Sender::new(0),
            upstream: Mutex::new(upstream),
        });
        tokio::spawn(accept_loop(holder, address, listener, shared.clone()));
        Ok(Tap { address, shared })
    }

    /// Address that the tap listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults in force.
    pub fn set(&self, change: impl FnOnce(&mut TapFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Makes every connection that exists now pass nothing more; new ones work.
    pub fn silence(&self) {
        self.shared.silent.store(self.accepted(), Ordering::SeqCst);
    }

    /// Number of connections held up so far.
    pub fn held(&self) -> u64 {
        self.shared.held.load(Ordering::SeqCst)
    }

    /// Lets the connections go on that are held up now.
    pub fn release(&self) {
        self.shared.releases.send_modify(|r| *r += 1);
    }

    /// Closes every connection.
    pub fn kill(&self) {
        self.shared.kills.send_modify(|k| *k += 1);
    }

    /// Closes every connection and refuses new ones until [`Tap::admit`].
    pub fn refuse(&self) {
        self.shared.refuse.send_replace(true);
        self.kill();
    }

    /// Accepts connections again.
    pub fn admit(&self) {
        self.shared.refuse.send_replace(false);
    }

    /// Forwards new connections to another address.
    pub fn redirect(&self, upstream: SocketAddr) {
        *self.shared.upstream.lock().expect("no panic while locked") = upstream;
    }
}

fn socket(address: SocketAddr) -> io::Result<Socket> {
    let s = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    s.set_reuse_port(true)?;
    s.set_nonblocking(true)?;
    s.bind(&address.into())?;
    Ok(s)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let s = socket(address)?;
    s.listen(BACKLOG)?;
    TcpListener::from_std(s.into())
}

/// Accepts until every handle is gone; `_holder` keeps the port while nothing listens on it.
async fn accept_loop(
    _holder: Socket,
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
            Some(Err(e)) => log::warn!("tap at {address}: {e}"),
            None => {
                drop(listener);
                let _ = refuse.wait_for(|r| !*r).await;
                listener = match listen(address) {
                    Ok(l) => l,
                    Err(e) => return log::error!("tap at {address}: {e}"),
                };
            }
        }
    }
}

async fn forward(id: u64, near: TcpStream, shared: Arc<Shared>) {
    let mut kills = shared.kills.subscribe();
    if *shared.refuse.borrow() {
        return;
    }
    let upstream = *shared.upstream.lock().expect("no panic while locked");
    let Ok(far) = TcpStream::connect(upstream).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = Pump { id, reply: false, shared: shared.clone() };
    let back = Pump { id, reply: true, shared };
    tokio::select! {
        _ = kills.changed() => {}
        r = async { tokio::try_join!(there.run(near_in, far_out), back.run(far_in, near_out)) } => {
            if let Err(e) = r {
                log::trace!("tap connection {id}: {e}");
            }
        }
    }
}

/// One direction of one connection.
struct Pump {
    id: u64,
    reply: bool,
    shared: Arc<Shared>,
}

impl Pump {
    async fn run(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        let (mut passed, mut late) = (0, false);
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
            if self.id <= self.shared.silent.load(Ordering::SeqCst) {
                if !matches!(n, Ok(n) if n > 0) {
                    return pending().await;
                }
                continue;
            }
            let n = n?;
            let held = !f.hold.is_empty() && buf[..n].starts_with(&f.hold);
            if held && !self.reply {
                self.hold(&from).await?;
                late = true;
            }
            // A packet that comes late comes before the end of its connection.
            if n == 0 && late {
                return pending().await;
            }
            if n == 0 {
                return to.shutdown().await;
            }
            let piece = &buf[..n];
            let cut = f.cut_after.filter(|_| self.reply).map(|c| c.saturating_sub(passed) as usize);
            if let Some(c) = cut.filter(|c| *c <= n) {
                to.write_all(&piece[..c]).await?;
                return Err(io::Error::other("cut"));
            }
            to.write_all(piece).await?;
            passed += n as u64;
            if self.reply && ends_message(piece) {
                to.write_all(&f.append).await?;
            }
        }
    }
}

impl Pump {
    /// Waits for the release; fails if the sender has reset the connection meanwhile.
    async fn hold(&self, from: &OwnedReadHalf) -> io::Result<()> {
        let mut releases = self.shared.releases.subscribe();
        self.shared.held.fetch_add(1, Ordering::SeqCst);
        let _ = releases.changed().await;
        from.as_ref().take_error()?.map_or(Ok(()), Err)
    }
}

/// Whether a piece of reply ends as a chunked body or a JSON body does.
fn ends_message(piece: &[u8]) -> bool {
    piece.ends_with(b"\r\n0\r\n\r\n") || piece.ends_with(b"0\r\n\r\n") || piece.ends_with(b"}")
}
