//! Stream that counts the bytes written to it and limits the size of response heads.
//!
//! The count decides whether a request may be reported as not run. The HTTP library may accept a
//! request and fail later, so only the socket shows whether a byte left this process.

use {
    crate::buffer_budget::{BufferAccount, BufferBudget},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Number of bytes passed to the operating system on one connection.
pub type WrittenBytes = Arc<AtomicU64>;

/// Most bytes read before a response head is complete, interim responses included. It is above the
/// HTTP library's limit for one head.
const MAX_HEAD_BYTES: u64 = 512 << 10;

/// Number of bytes read on one connection while a response head is due.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    /// Starts counting. The stored value is one above the bytes read, since zero means that no head
    /// is due.
    pub fn begin(&self) {
        self.0.store(1, Ordering::Release);
    }

    /// Stops counting once the head is complete.
    pub fn end(&self) {
        self.0.store(0, Ordering::Release);
    }

    /// Counts bytes; returns how many there are of a head that is due, zero if none is.
    fn add(&self, bytes: u64) -> u64 {
        match self.0.load(Ordering::Acquire) > 0 {
            true => self.0.fetch_add(bytes, Ordering::AcqRel) + bytes,
            false => 0,
        }
    }
}

/// Stream with a count of written bytes and a limit on response heads.
pub struct CountingStream<T> {
    io: T,
    written: WrittenBytes,
    head: HeadLimit,
    account: BufferAccount,
}

impl<T> CountingStream<T> {
    /// Wraps `io`, whose response heads draw on `budget`. The returned counters are shared with the stream.
    pub fn wrap(io: T, budget: &BufferBudget) -> (Self, WrittenBytes, HeadLimit) {
        let (written, head) = (WrittenBytes::default(), HeadLimit::default());
        let account = budget.account();
        (Self { io, written: written.clone(), head: head.clone(), account }, written, head)
    }

    fn record(&self, done: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = done {
            self.written.fetch_add(*n as u64, Ordering::Release);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountingStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let held = self.head.add((buf.filled().len() - before) as u64);
        if held > MAX_HEAD_BYTES {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response head too large");
            return Poll::Ready(Err(error));
        }
        self.account.set(held as usize)?;
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountingStream<T> {
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
