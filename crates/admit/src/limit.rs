//! Adaptive concurrency limit of one endpoint (additive increase, multiplicative decrease).
//!
//! While the time to first token stays near its recent minimum, the bound grows by one for as many
//! responses as the bound allows concurrently. When it does not, the bound shrinks by a tenth, at
//! most once per time to first token. The bound is between one and the slots that the endpoint
//! reports.

use {agate_core::Mono, std::time::Duration};

/// Ratio of the latency to its recent minimum above which the bound shrinks.
pub const TOLERANCE: f64 = 2.5;
/// Latency below which the bound never shrinks.
pub const SLACK: Duration = Duration::from_millis(50);
/// Factor by which the bound shrinks.
pub const DECREASE_FACTOR: f64 = 0.9;
/// Period over which a minimum of the latency is taken; the last two periods apply.
pub const FLOOR_PERIOD: Duration = Duration::from_secs(60);

/// How a request at the endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The endpoint responded, with this time to first token.
    Responded(Duration),
    /// The endpoint rejected the request for lack of capacity, or did not respond in time.
    Overloaded,
    /// The request ended for a reason that says nothing about the load.
    Neutral,
}

/// Adaptive concurrency limit of one endpoint.
#[derive(Clone, Debug)]
pub struct Limit {
    bound: f64,
    slots: u32,
    inflight: u32,
    // Minimum latencies of the current and of the previous period.
    floors: [Option<Duration>; 2],
    period: Mono,
    last_decrease: Option<Mono>,
}

impl Limit {
    /// Makes a limit whose bound starts at the reported `slots`.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        let bound = f64::from(slots);
        Self {
            bound,
            slots,
            inflight: 0,
            floors: [None; 2],
            period: Mono::ZERO,
            last_decrease: None,
        }
    }

    /// Maximum number of concurrent requests.
    pub fn bound(&self) -> u32 {
        self.bound as u32
    }

    /// Number of requests that may be started now.
    pub fn free(&self) -> u32 {
        self.bound().saturating_sub(self.inflight)
    }

    /// Sets a newly reported number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.bound = self.bound.min(f64::from(self.slots));
    }

    /// Counts a request if the bound allows it; returns whether it does.
    pub fn on_start(&mut self) -> bool {
        let allowed = self.free() > 0;
        self.inflight += u32::from(allowed);
        allowed
    }

    /// Counts the end of a request and adapts the bound.
    pub fn on_finish(&mut self, finish: Finish, now: Mono) {
        debug_assert!(self.inflight > 0, "a request ended that was never started");
        let used = self.inflight;
        self.inflight = self.inflight.saturating_sub(1);
        match finish {
            Finish::Neutral => {}
            Finish::Overloaded => self.decrease(Duration::ZERO, now),
            Finish::Responded(latency) => self.on_response(latency, used, now),
        }
    }

    fn on_response(&mut self, latency: Duration, used: u32, now: Mono) {
        let floor = self.floor(latency, now);
        if latency > SLACK && latency > floor.mul_f64(TOLERANCE) {
            self.decrease(latency, now);
        } else if used + 1 >= self.bound() {
            self.bound = (self.bound + 1.0 / self.bound).min(f64::from(self.slots));
        }
    }

    fn decrease(&mut self, latency: Duration, now: Mono) {
        if self.last_decrease.is_some_and(|at| now.saturating_sub(at) < latency.max(SLACK)) {
            return;
        }
        self.last_decrease = Some(now);
        self.bound = (self.bound * DECREASE_FACTOR).max(1.0);
    }

    /// Minimum latency of the current and the previous period, including `latency`.
    fn floor(&mut self, latency: Duration, now: Mono) -> Duration {
        if now.saturating_sub(self.period) >= FLOOR_PERIOD {
            self.floors = [None, self.floors[0]];
            self.period = now;
        }
        let current = self.floors[0].map_or(latency, |f| f.min(latency));
        self.floors[0] = Some(current);
        self.floors[1].map_or(current, |f| f.min(current))
    }
}
