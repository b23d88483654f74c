//! A caller's connection, which counts what is moved on it and whether the caller reads.

use {
    crate::memory_budget::Account,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
        time::timeout,
    },
};

/// Longest time for which input is read and thrown away before a connection is closed.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

/// Reads and throws away input, for a limited time, until the caller closes its side. Closing a socket
/// with unread input resets the connection, which can destroy the response in transit.
pub async fn linger(mut io: impl AsyncRead + Unpin) {
    let drain = async {
        let mut unread = [0; 4 << 10];
        while io.read(&mut unread).await.is_ok_and(|n| n > 0) {}
    };
    if timeout(LINGER_LIMIT, drain).await.is_err() {
        log::trace!("a caller goes on sending after its response");
    }
}

/// Stream of a caller's connection.
pub struct CallerStream<S> {
    io: S,
    account: Arc<Account>,
}

impl<S> CallerStream<S> {
    /// Wraps `io`, whose account is `account`.
    pub fn new(io: S, account: Arc<Account>) -> Self {
        Self { io, account }
    }

    /// Returns the wrapped stream.
    pub fn into_inner(self) -> S {
        self.io
    }

    fn record(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.account.set_blocked(done.is_pending());
        if let Poll::Ready(Ok(n)) = &done {
            self.account.on_moved(*n);
        }
        done
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        self.account.on_moved(buf.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Body of a response; its drop marks the end of the response in the caller's account.
pub struct CallerBody<B> {
    body: B,
    account: Arc<Account>,
}

impl<B> CallerBody<B> {
    /// Wraps the `body` of a response to the caller with `account`.
    pub fn new(body: B, account: Arc<Account>) -> Self {
        Self { body, account }
    }
}

impl<B> Drop for CallerBody<B> {
    fn drop(&mut self) {
        self.account.on_ended();
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for CallerBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
