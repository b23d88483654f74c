//! Connection with a limited lifetime that checks before each write whether it is allowed.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        task::JoinHandle,
        time::timeout,
    },
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether bytes may be written now, as the lease still holds.
pub type Allow = Arc<dyn Fn() -> bool + Send + Sync>;

/// Open HTTP connection; dropping it resets the TCP connection.
pub(crate) struct Connection {
    /// Sends a request on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Resets the connection and returns the number of bytes passed to the operating system.
    pub async fn close(mut self) -> u64 {
        self.driver.abort();
        // The driver owns the socket, so the socket is closed once the driver has ended.
        let _ = (&mut self.driver).await;
        self.written.load(Ordering::Acquire)
    }
}

/// Opens a connection that discards unsent bytes when it is dropped. The operating system resets it
/// after `life` without an acknowledgement, also if this process does not run.
pub(crate) async fn open(
    address: SocketAddr,
    life: Duration,
    allow: Allow,
) -> io::Result<Connection> {
    let io = timeout(CONNECT_TIMEOUT.min(life), TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let sock = SockRef::from(&io);
    sock.set_tcp_nodelay(true)?;
    sock.set_tcp_user_timeout(Some(life))?;
    // Closing discards the send buffer and sends a reset.
    sock.set_linger(Some(Duration::ZERO))?;
    let written = Arc::<AtomicU64>::default();
    let stream = CheckedStream { io, allow, written: written.clone() };
    let (sender, conn) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::trace!("connection to engine {address} ended: {e}");
        }
    });
    Ok(Connection { sender, written, driver })
}

/// Stream that checks `allow` before each write and counts the bytes written.
struct CheckedStream {
    io: TcpStream,
    allow: Allow,
    written: Arc<AtomicU64>,
}

impl CheckedStream {
    fn check(&self) -> io::Result<()> {
        if (self.allow)() { Ok(()) } else { Err(io::ErrorKind::PermissionDenied.into()) }
    }

    fn count(&self, done: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = done {
            self.written.fetch_add(*n as u64, Ordering::Release);
        }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let done = Pin::new(&mut self.io).poll_write(cx, buf);
        self.count(&done);
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
