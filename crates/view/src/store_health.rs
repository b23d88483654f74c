//! Tracks whether the reads of one loop succeed, and how long to wait if they fail.

use {agate_store::Error, std::time::Duration, tokio::time::Instant};

/// Delay after a failed read.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of doublings of that delay while reads keep failing; the longest delay is about
/// the regular interval.
const MAX_DOUBLINGS: u32 = 2;
/// The same for an instance that has a coordinator, which reports when the store is available
/// again.
const COORDINATED_DOUBLINGS: u32 = 3;

/// Logs when reads of the store begin to fail and when they succeed again.
pub(crate) struct StoreHealth {
    what: &'static str,
    failing_since: Option<Instant>,
    failures: u32,
}

impl StoreHealth {
    /// Starts to track reads of `what`.
    pub(crate) fn new(what: &'static str) -> Self {
        Self { what, failing_since: None, failures: 0 }
    }

    /// Records a successful call.
    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
        if let Some(at) = self.failing_since.take() {
            log::info!(
                event = "store_regained", what = self.what,
                away_ms = at.elapsed().as_millis() as u64;
                "the store is available again"
            );
        }
    }

    /// Delay before the next attempt. `has_coordinator` allows a longer one. Delays stay short
    /// because the view ages, and grow because refused calls are charged too.
    pub(crate) fn retry_delay(&self, has_coordinator: bool) -> Duration {
        let most = if has_coordinator { COORDINATED_DOUBLINGS } else { MAX_DOUBLINGS };
        RETRY_DELAY * (1 << self.failures.saturating_sub(1).min(most))
    }

    /// Records a failed call.
    pub(crate) fn on_failure(&mut self, e: &Error) {
        self.failures += 1;
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!(event = "store_lost", what = self.what, cause:% = e; "the store is unavailable");
        }
    }
}
