//! A caller's stream that lets only replies of this system through.
//!
//! The server library answers a request that it cannot parse by itself, without the documented
//! error body. Its own replies are told apart by the moment of writing: while no request was
//! handed over and the last reply was flushed, nothing else writes. Such bytes are dropped here,
//! and the connection's task sends the documented reply in their place.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// No request is being answered.
const IDLE: u8 = 0;
/// A request was handed over and its reply is not yet made whole.
const REPLYING: u8 = 1;
/// The reply is whole and its last bytes are being written.
const FLUSHING: u8 = 2;

/// Progress of the requests of one connection, shared with its stream.
#[derive(Clone, Default)]
pub struct Stage {
    at: Arc<AtomicU8>,
}

impl Stage {
    /// Notes that a request was handed over.
    pub fn begin(&self) {
        self.at.store(REPLYING, Ordering::Release);
    }

    /// Watches the body of the reply for its end.
    pub fn watch<B>(&self, body: B) -> Watched<B> {
        Watched { body, stage: self.clone() }
    }

    fn moved(&self, from: u8, to: u8) {
        // Another stage than `from` means that a later event came first, which then holds.
        let _ = self.at.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
    }

    fn idle(&self) -> bool {
        self.at.load(Ordering::Acquire) == IDLE
    }
}

/// Body of a reply; its drop is the end of the reply.
pub struct Watched<B> {
    body: B,
    stage: Stage,
}

impl<B> Drop for Watched<B> {
    fn drop(&mut self) {
        self.stage.moved(REPLYING, FLUSHING);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Watched<B> {
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

/// The stream of one connection.
pub struct Filtered<S> {
    io: S,
    stage: Stage,
    dropped: bool,
}

impl<S> Filtered<S> {
    /// Wraps `io`; the stage is moved on by whoever answers the requests.
    pub fn new(io: S, stage: Stage) -> Self {
        Self { io, stage, dropped: false }
    }

    /// The stream itself, and whether a reply of the library was dropped on it.
    pub fn into_parts(self) -> (S, bool) {
        (self.io, self.dropped)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Filtered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Filtered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.stage.idle() {
            self.dropped = true;
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.stage.idle() {
            self.dropped = true;
            return Poll::Ready(Ok(bufs.iter().map(|b| b.len()).sum()));
        }
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes the stream only when nothing is left in its own buffer.
        self.stage.moved(FLUSHING, IDLE);
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
