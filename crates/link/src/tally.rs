//! A stream that counts the bytes written through it.
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

/// A TCP stream with a count of written bytes.
pub struct Tally {
    io: TcpStream,
    count: Count,
}

impl Tally {
    /// Wraps `io`; the returned count is shared with the stream.
    pub fn wrap(io: TcpStream) -> (Self, Count) {
        let count = Count::default();
        (Self { io, count: count.clone() }, count)
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
        Pin::new(&mut self.io).poll_read(cx, buf)
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
