//! Message counters of the UDP and TCP adapters, for metrics.

use {
    agate_wire::Reject,
    std::sync::atomic::{AtomicU64, Ordering::Relaxed},
};

/// Counts messages sent, received and dropped since the start.
#[derive(Debug, Default)]
pub struct Counters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    unsent: AtomicU64,
    refused: AtomicU64,
    rejected: [AtomicU64; Reject::COUNT],
}

/// Values of [`Counters`] at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages received, including dropped ones.
    pub received: u64,
    /// Bytes of the messages received.
    pub received_bytes: u64,
    /// Messages that could not be encoded or handed to the operating system.
    pub unsent: u64,
    /// Connections refused because too many were open.
    pub refused: u64,
    /// Messages dropped, indexed by [`Reject::index`].
    pub rejected: [u64; Reject::COUNT],
}

impl Totals {
    /// Returns the number of messages dropped for `reason`.
    pub fn rejected(&self, reason: Reject) -> u64 {
        self.rejected[reason.index()]
    }
}

impl Counters {
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn count_unsent(&self) {
        self.unsent.fetch_add(1, Relaxed);
    }

    pub(crate) fn count_refused(&self) {
        self.refused.fetch_add(1, Relaxed);
    }

    pub(crate) fn count_rejected(&self, reason: Reject) {
        self.rejected[reason.index()].fetch_add(1, Relaxed);
    }

    /// Returns the current values.
    pub fn totals(&self) -> Totals {
        Totals {
            sent: self.sent.load(Relaxed),
            sent_bytes: self.sent_bytes.load(Relaxed),
            received: self.received.load(Relaxed),
            received_bytes: self.received_bytes.load(Relaxed),
            unsent: self.unsent.load(Relaxed),
            refused: self.refused.load(Relaxed),
            rejected: std::array::from_fn(|i| self.rejected[i].load(Relaxed)),
        }
    }
}
