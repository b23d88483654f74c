//! A connection of bounded life whose every write is authorised.

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

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Tells whether a byte may be written now.
pub type Allow = Arc<dyn Fn() -> bool + Send + Sync>;

/// One open connection.
pub(crate) struct Link {
    /// Sends a request on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
    driver: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Resets the connection and returns the bytes that had been handed to the operating system.
    pub async fn close(mut self) -> u64 {
        self.driver.abort();
        // The socket is closed once the driver has ended.
        let _ = (&mut self.driver).await;
        self.written.load(Ordering::Acquire)
    }
}

/// Opens a connection whose bytes are discarded when it is dropped, and after `life` without an
/// acknowledgement even if this process does not run.
pub(crate) async fn open(address: SocketAddr, life: Duration, allow: Allow) -> io::Result<Link> {
    let io = timeout(CONNECT_LIMIT.min(life), TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let sock = SockRef::from(&io);
    sock.set_tcp_nodelay(true)?;
    sock.set_tcp_user_timeout(Some(life))?;
    // Closing sends a reset in place of what is still in the buffer.
    sock.set_linger(Some(Duration::ZERO))?;
    let written = Arc::<AtomicU64>::default();
    let guarded = Guarded { io, allow, written: written.clone() };
    let (sender, conn) = handshake(TokioIo::new(guarded)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::trace!("connection to engine {address} ended: {e}");
        }
    });
    Ok(Link { sender, written, driver })
}

/// A stream that asks for permission before each write and counts the bytes written.
struct Guarded {
    io: TcpStream,
    allow: Allow,
    written: Arc<AtomicU64>,
}

impl Guarded {
    fn check(&self) -> io::Result<()> {
        if (self.allow)() { Ok(()) } else { Err(io::ErrorKind::PermissionDenied.into()) }
    }

    fn record(&self, done: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = done {
            self.written.fetch_add(*n as u64, Ordering::Release);
        }
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let done = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record(&done);
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
