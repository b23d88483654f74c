//! Whether the store answers one of the loops that use it, and how long to wait if it does not.

use {agate_store::Error, std::time::Duration, tokio::time::Instant};

/// Pause after a failed read.
pub(crate) const RETRY: Duration = Duration::from_millis(150);
/// Doublings of that pause while reads go on failing; the longest is about the usual period.
const MOST_DOUBLINGS: u32 = 2;
/// The same for an instance that hears a coordinator: that one tells it when the store answers again.
const LED_DOUBLINGS: u32 = 3;

/// Logs when a read of the store begins to fail, and when it works again.
pub(crate) struct Reach {
    what: &'static str,
    lost: Option<Instant>,
    failures: u32,
}

impl Reach {
    /// Begins to watch reads of `what`.
    pub(crate) fn new(what: &'static str) -> Self {
        Self { what, lost: None, failures: 0 }
    }

    /// Notes an answer.
    pub(crate) fn answered(&mut self) {
        self.failures = 0;
        if let Some(at) = self.lost.take() {
            log::info!(
                event = "store_regained", what = self.what,
                away_ms = at.elapsed().as_millis() as u64;
                "the store answers again"
            );
        }
    }

    /// Pause before the next try: refused calls are paid for too, and every belief ages meanwhile.
    pub(crate) fn pause(&self, led: bool) -> Duration {
        let most = if led { LED_DOUBLINGS } else { MOST_DOUBLINGS };
        RETRY * (1 << self.failures.saturating_sub(1).min(most))
    }

    /// Notes a failure.
    pub(crate) fn failed(&mut self, e: &Error) {
        self.failures += 1;
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!(event = "store_lost", what = self.what, cause:% = e; "the store does not answer");
        }
    }
}
