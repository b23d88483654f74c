//! Assignment of a request to an endpoint.

use {
    crate::{endpoint::Endpoint, latency::Sample},
    std::{
        sync::{Arc, atomic::Ordering::Relaxed},
        time::{Duration, Instant},
    },
};

/// Number of objectives after which no response from an endpoint that is not full is a failure. An
/// endpoint that is only slow for a while responds before that.
const OVERDUE_FACTOR: u32 = 3;

/// A request assigned to an endpoint; counted in the endpoint's load until released or dropped.
#[derive(Debug)]
pub struct Assignment {
    /// Endpoint that the request is sent to.
    pub endpoint: Arc<Endpoint>,
    tokens: u32,
    ahead: u64,
    since: Instant,
    prefilling: bool,
    open: bool,
}

impl Assignment {
    /// Adds a request with `tokens` to prefill to the load of `endpoint`.
    pub(crate) fn new(endpoint: Arc<Endpoint>, tokens: u32) -> Self {
        let ahead = endpoint.prefill_load().ahead(tokens, endpoint.concurrent());
        if endpoint.stats.open.fetch_add(1, Relaxed) == 0 {
            endpoint.pool.touch();
        }
        endpoint.stats.lock_prefill_queue().own += u64::from(tokens);
        Self { endpoint, tokens, ahead, since: Instant::now(), prefilling: true, open: true }
    }

    /// Removes the prompt from the prefill queue and updates the latency model; later calls do
    /// nothing.
    pub fn on_first_token(&mut self) {
        if self.end_prefill() && self.tokens > 0 {
            let millis = self.since.elapsed().as_secs_f64() * 1e3;
            self.endpoint.on_first_token(&Sample { own: self.tokens, ahead: self.ahead, millis });
        }
    }

    /// Number of requests that the endpoint runs concurrently.
    pub fn slots(&self) -> u32 {
        self.endpoint.entry.slots
    }

    /// Tokens ahead of the first token as known at placement, the prompt's own included.
    pub fn ahead(&self) -> u64 {
        self.ahead
    }

    /// Engine time to prefill the request's own uncached tokens.
    pub fn prefill_time(&self) -> Duration {
        self.endpoint.prefill_load().prefill_time(self.tokens)
    }

    /// Whether the request has been at the endpoint for several times its `objective` although it
    /// had a free slot.
    pub fn is_overdue(&self, objective: Duration) -> bool {
        let live = &self.endpoint.stats;
        let used = live.open.load(Relaxed) + live.others_open.load(Relaxed);
        used <= self.endpoint.entry.slots && self.elapsed() >= objective * OVERDUE_FACTOR
    }

    /// Time since the request was assigned.
    pub fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }

    /// Removes the request from the endpoint's load, once its body has ended; later calls do nothing.
    pub fn release(&mut self) {
        self.end_prefill();
        if std::mem::take(&mut self.open) {
            self.endpoint.stats.open.fetch_sub(1, Relaxed);
        }
    }

    fn end_prefill(&mut self) -> bool {
        let reading = std::mem::take(&mut self.prefilling);
        if reading {
            let mut unread = self.endpoint.stats.lock_prefill_queue();
            unread.own = unread.own.saturating_sub(self.tokens.into());
        }
        reading
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        self.release();
    }
}
