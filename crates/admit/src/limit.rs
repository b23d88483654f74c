//! Adaptive bound on the requests that one endpoint holds.
//!
//! The bound grows by one per bound's worth of answers while the time to first token stays near
//! the least one seen lately, and shrinks by a tenth when it does not, at most once in the time of
//! one answer. It never exceeds the slots that the endpoint reports, and never falls below one.

use {agate_core::Mono, std::time::Duration};

/// Ratio of latency to its floor above which the bound shrinks.
pub const TOLERANCE: f64 = 2.5;
/// Latency below which the bound never shrinks.
pub const SLACK: Duration = Duration::from_millis(50);
/// Factor by which the bound shrinks.
pub const SHRINK: f64 = 0.9;
/// Time for which a floor of the latency is kept.
pub const FLOOR_AGE: Duration = Duration::from_secs(60);

/// How a request at the endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The first token came after this time.
    Answered(Duration),
    /// The endpoint refused for lack of capacity, or ran out of time.
    Overloaded,
    /// The end says nothing about the load.
    Neutral,
}

/// Adaptive bound of one endpoint.
#[derive(Clone, Debug)]
pub struct Limit {
    bound: f64,
    slots: u32,
    inflight: u32,
    // Least latencies of the current and of the previous period.
    floors: [Option<Duration>; 2],
    period: Mono,
    shrunk: Option<Mono>,
}

impl Limit {
    /// Starts at the reported slots.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        let bound = f64::from(slots);
        Self { bound, slots, inflight: 0, floors: [None; 2], period: Mono::ZERO, shrunk: None }
    }

    /// Requests that the endpoint may hold.
    pub fn bound(&self) -> u32 {
        self.bound as u32
    }

    /// Requests that may be started now.
    pub fn free(&self) -> u32 {
        self.bound().saturating_sub(self.inflight)
    }

    /// Takes over a newly reported number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.bound = self.bound.min(f64::from(self.slots));
    }

    /// Counts a request; returns whether the bound allowed it.
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
            Finish::Overloaded => self.shrink(Duration::ZERO, now),
            Finish::Answered(latency) => self.answered(latency, used, now),
        }
    }

    fn answered(&mut self, latency: Duration, used: u32, now: Mono) {
        let floor = self.floor(latency, now);
        if latency > SLACK && latency > floor.mul_f64(TOLERANCE) {
            self.shrink(latency, now);
        } else if used + 1 >= self.bound() {
            self.bound = (self.bound + 1.0 / self.bound).min(f64::from(self.slots));
        }
    }

    fn shrink(&mut self, latency: Duration, now: Mono) {
        if self.shrunk.is_some_and(|at| now.saturating_sub(at) < latency.max(SLACK)) {
            return;
        }
        self.shrunk = Some(now);
        self.bound = (self.bound * SHRINK).max(1.0);
    }

    /// Least latency of the last one to two periods, `latency` included.
    fn floor(&mut self, latency: Duration, now: Mono) -> Duration {
        if now.saturating_sub(self.period) >= FLOOR_AGE {
            self.floors = [None, self.floors[0]];
            self.period = now;
        }
        let current = self.floors[0].map_or(latency, |f| f.min(latency));
        self.floors[0] = Some(current);
        self.floors[1].map_or(current, |f| f.min(current))
    }
}
