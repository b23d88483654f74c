//! A stream that counts the bytes written through it, and bounds those of an answer's head.
//!
//! The count is what decides whether a request may be reported as not run: hyper may accept a
//! request and fail later, so only the socket itself knows whether a byte left this process.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes handed to the operating system on one connection.
pub type Count = Arc<AtomicU64>;

/// Most bytes before the head of an answer is whole, interim answers included; above what the HTTP
/// library holds of one head.
const HEAD_BYTES: u64 = 512 << 10;

/// Bytes read on one connection while the head of an answer is due.
#[derive(Clone, Debug, Default)]
pub struct Head(Arc<AtomicU64>);

impl Head {
    /// Begins to count; the value is one above the bytes read.
    pub fn begin(&self) {
        self.0.store(1, Ordering::Release);
    }

    /// Ends the count, since the head is there.
    pub fn end(&self) {
        self.0.store(0, Ordering::Release);
    }

    /// Counts bytes; returns whether there may be more.
    fn note(&self, bytes: u64) -> bool {
        let due = self.0.load(Ordering::Acquire) > 0;
        !due || self.0.fetch_add(bytes, Ordering::AcqRel) <= HEAD_BYTES
    }
}

/// A TCP stream with a count of written bytes.
pub struct Tally {
    io: TcpStream,
    count: Count,
    head: Head,
}

impl Tally {
    /// Wraps `io`; the returned counts are shared with the stream.
    pub fn wrap(io: TcpStream) -> (Self, Count, Head) {
        let (count, head) = (Count::default(), Head::default());
        (Self { io, count: count.clone(), head: head.clone() }, count, head)
    }

    fn record(&self, done: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = done {
            self.count.fetch_add(*n as u64, Ordering::Release);
        }
    }
}

impl AsyncRead for Tally {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if !self.head.note((buf.filled().len() - before) as u64) {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "endless head")));
        }
        read
    }
}

impl AsyncWrite for Tally {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record(&done);
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
