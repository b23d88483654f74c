//! A request's place at an endpoint.

use {
    crate::{endpoint::Endpoint, pace::Sample},
    std::{
        sync::{Arc, atomic::Ordering::Relaxed},
        time::{Duration, Instant},
    },
};

/// Objectives after which silence of an endpoint that is not full is a failure; one that is slow for a
/// while still answers.
const OVERDUE: u32 = 3;

/// A request at an endpoint; its end is counted when this is dropped.
#[derive(Debug)]
pub struct Stay {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    tokens: u32,
    ahead: u64,
    since: Instant,
    reading: bool,
}

impl Stay {
    /// Counts a request with `tokens` to read at `endpoint`.
    pub(crate) fn new(endpoint: Arc<Endpoint>, tokens: u32) -> Self {
        let ahead = endpoint.reading().ahead(tokens, endpoint.beside());
        endpoint.live.open.fetch_add(1, Relaxed);
        endpoint.live.unread().own += u64::from(tokens);
        Self { endpoint, tokens, ahead, since: Instant::now(), reading: true }
    }

    /// Notes that the first token came, and learns from it.
    pub fn first_token(&mut self) {
        if self.end_reading() && self.tokens > 0 {
            let millis = self.since.elapsed().as_secs_f64() * 1e3;
            self.endpoint.learn(&Sample { own: self.tokens, ahead: self.ahead, millis });
        }
    }

    /// Requests that its endpoint runs at once.
    pub fn slots(&self) -> u32 {
        self.endpoint.entry.slots
    }

    /// Prompt tokens known to be ahead of the request when it was placed, its own included.
    pub fn ahead(&self) -> u64 {
        self.ahead
    }

    /// Engine time that reading the request's own prompt takes.
    pub fn reading_time(&self) -> Duration {
        self.endpoint.reading().time(self.tokens)
    }

    /// Whether the endpoint has had the request for many times its `objective` although it had a
    /// slot for it.
    pub fn overdue(&self, objective: Duration) -> bool {
        let live = &self.endpoint.live;
        let used = live.open.load(Relaxed) + live.others.load(Relaxed);
        used <= self.endpoint.entry.slots && self.elapsed() >= objective * OVERDUE
    }

    /// Time since the request was placed.
    pub fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }

    fn end_reading(&mut self) -> bool {
        let reading = std::mem::take(&mut self.reading);
        if reading {
            let mut unread = self.endpoint.live.unread();
            unread.own = unread.own.saturating_sub(self.tokens.into());
        }
        reading
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        self.end_reading();
        self.endpoint.live.open.fetch_sub(1, Relaxed);
    }
}
