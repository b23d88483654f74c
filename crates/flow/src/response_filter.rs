//! Stream to a caller that passes only the responses of this crate.
//!
//! The HTTP library itself responds to a request that it cannot parse, without the documented error
//! body. Its own responses are recognised by the time at which they are written: while no request
//! is being handled and the last response is flushed, only the library writes. These bytes are
//! dropped, and the connection's task sends the documented response in their place.

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
/// A request was passed to the handler and its response body is not complete yet.
const RESPONDING: u8 = 1;
/// The response body is complete and its last bytes are being written.
const FLUSHING: u8 = 2;

/// Progress of the request on one connection, shared with its stream.
#[derive(Clone, Default)]
pub struct Stage {
    at: Arc<AtomicU8>,
}

impl Stage {
    /// Records that a request was passed to the handler.
    pub fn begin(&self) {
        self.at.store(RESPONDING, Ordering::Release);
    }

    /// Wraps the body of the response to detect its end.
    pub fn track<B>(&self, body: B) -> TrackedBody<B> {
        TrackedBody { body, stage: self.clone() }
    }

    fn advance(&self, from: u8, to: u8) {
        // If the stage is not `from`, a later event came first and its stage is kept.
        let _ = self.at.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
    }

    fn idle(&self) -> bool {
        self.at.load(Ordering::Acquire) == IDLE
    }
}

/// Body of a response; its drop marks the end of the response.
pub struct TrackedBody<B> {
    body: B,
    stage: Stage,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.stage.advance(RESPONDING, FLUSHING);
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
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

/// Stream of one connection, with the library's own responses removed.
pub struct FilteredStream<S> {
    io: S,
    stage: Stage,
    dropped: bool,
}

impl<S> FilteredStream<S> {
    /// Wraps `io`; the code that handles the requests updates `stage`.
    pub fn new(io: S, stage: Stage) -> Self {
        Self { io, stage, dropped: false }
    }

    /// Returns the wrapped stream and whether a response of the library was dropped.
    pub fn into_parts(self) -> (S, bool) {
        (self.io, self.dropped)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FilteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FilteredStream<S> {
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
        // The library flushes the stream only when its own buffer is empty.
        self.stage.advance(FLUSHING, IDLE);
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
