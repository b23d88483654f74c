//! Count of requests in progress, for graceful shutdown.

use {
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
    tokio_util::sync::CancellationToken,
};

#[derive(Default)]
struct State {
    open: AtomicUsize,
    closed: AtomicBool,
    empty: Notify,
    cut: CancellationToken,
}

/// Counter of the requests in progress on this instance.
#[derive(Clone, Default)]
pub struct InFlight {
    state: Arc<State>,
}

/// Counts one request as in progress until it is dropped, after the last byte of the response was
/// handed over.
pub struct Guard {
    state: Arc<State>,
}

impl InFlight {
    /// Counts a new request; `None` if the instance has stopped accepting them.
    pub fn enter(&self) -> Option<Guard> {
        self.state.open.fetch_add(1, Ordering::SeqCst);
        let guard = Guard { state: self.state.clone() };
        (!self.state.closed.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Stops accepting new requests.
    pub fn close(&self) {
        self.state.closed.store(true, Ordering::SeqCst);
    }

    /// Tells the requests in progress to fail now.
    pub fn abort(&self) {
        self.state.cut.cancel();
    }

    /// Waits until [`InFlight::abort`] is called.
    pub async fn until_aborted(&self) {
        self.state.cut.cancelled().await;
    }

    /// Number of requests in progress.
    pub fn open(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub async fn drained(&self) {
        loop {
            let waiting = self.state.empty.notified();
            if self.open() == 0 {
                return;
            }
            waiting.await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.state.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.state.empty.notify_waiters();
        }
    }
}
