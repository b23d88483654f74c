//! Load statistics of one endpoint.
//!
//! All fields are atomics or small mutexes, so the request path works on a shared reference. A
//! reader may see a partly replaced load report; the values are estimates, and every use tolerates
//! that.

use {
    crate::health::Health,
    agate_core::Mono,
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// Initial estimate of the prefill speed, in tokens per second.
pub const PREFILL_RATE: u32 = 8_000;
/// Initial estimate of the time for which a request holds its slot.
pub const HOLD_TIME: Duration = Duration::from_secs(2);
/// Age above which a load report is ignored.
pub const REPORT_AGE: Duration = Duration::from_secs(2);

/// Weight of a new sample in the moving averages, as a right shift.
const MEAN_SHIFT: u32 = 3;
const MICROS: u64 = 1_000_000;

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests in the endpoint's own queue.
    pub waiting: u32,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Time of the report.
    pub at: Mono,
}

/// Load and health of one endpoint, shared by successive tables.
#[derive(Debug)]
pub struct EndpointStats {
    /// Open requests of this instance at the endpoint.
    pub outstanding: AtomicU32,
    /// Open requests of all other instances at the endpoint, as last gossiped.
    pub others_open: AtomicU32,
    /// Whether the endpoint is leaving and takes no new requests.
    pub leaving: AtomicBool,
    /// Whether the endpoint is about to be removed, so that its streams move to other endpoints.
    pub ending: AtomicBool,
    /// Failure detector.
    pub health: Health,
    // End of the rest that it asked for, in microseconds.
    rest_until: AtomicU64,
    running: AtomicU32,
    waiting: AtomicU32,
    slots: AtomicU32,
    // Open requests of this instance when the report arrived.
    baseline: AtomicU32,
    // Time of the report in microseconds plus one; zero means no report.
    reported: AtomicU64,
    // Moving average of the time for which a request holds its slot, in microseconds.
    hold: AtomicU64,
    // Moving average of the prefill speed, in tokens per second.
    prefill: AtomicU32,
}

impl Default for EndpointStats {
    fn default() -> Self {
        Self {
            outstanding: AtomicU32::new(0),
            others_open: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            health: Health::default(),
            rest_until: AtomicU64::new(0),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            baseline: AtomicU32::new(0),
            reported: AtomicU64::new(0),
            hold: AtomicU64::new(HOLD_TIME.as_micros() as u64),
            prefill: AtomicU32::new(PREFILL_RATE),
        }
    }
}

impl EndpointStats {
    /// Withholds requests from the endpoint until `until`, or until a later time set before.
    pub fn set_rest(&self, until: Mono) {
        self.rest_until.fetch_max(until.as_micros() as u64, Relaxed);
    }

    /// Whether the endpoint asked for rest that has not ended yet.
    pub fn resting(&self, now: Mono) -> bool {
        !self.rest_left(now).is_zero()
    }

    /// Time until its rest ends; zero if it does not rest.
    pub fn rest_left(&self, now: Mono) -> Duration {
        Duration::from_micros(self.rest_until.load(Relaxed)).saturating_sub(now)
    }

    /// Replaces the load report.
    pub fn set_load(&self, report: LoadReport) {
        self.running.store(report.running, Relaxed);
        self.waiting.store(report.waiting, Relaxed);
        self.slots.store(report.slots, Relaxed);
        self.baseline.store(self.outstanding.load(Relaxed), Relaxed);
        self.reported.store(report.at.as_micros() as u64 + 1, Relaxed);
    }

    /// Latest load report, if any.
    pub fn load(&self) -> Option<LoadReport> {
        let at = self.reported.load(Relaxed).checked_sub(1)?;
        Some(LoadReport {
            running: self.running.load(Relaxed),
            waiting: self.waiting.load(Relaxed),
            slots: self.slots.load(Relaxed),
            at: Duration::from_micros(at),
        })
    }

    /// Estimated number of requests at the endpoint at `now`.
    ///
    /// A report lags behind, so requests that this instance started or finished since it arrived
    /// are added or subtracted. The known requests of all instances are a lower bound: a report
    /// that does not contain them is older than they are.
    pub fn inflight(&self, now: Mono) -> u32 {
        let own = self.outstanding.load(Relaxed);
        let known = own + self.others_open.load(Relaxed);
        match self.load() {
            Some(r) if now.saturating_sub(r.at) <= REPORT_AGE => {
                let reported =
                    (r.running + r.waiting + own).saturating_sub(self.baseline.load(Relaxed));
                reported.max(known)
            }
            _ => known,
        }
    }

    /// Number of slots: as reported, or `configured` if none was reported; at least one.
    pub fn slots(&self, configured: u32) -> u32 {
        match self.slots.load(Relaxed) {
            0 => configured.max(1),
            n => n,
        }
    }

    /// Average time for which a request holds its slot.
    pub fn hold(&self) -> Duration {
        Duration::from_micros(self.hold.load(Relaxed))
    }

    /// Average prefill speed in tokens per second; at least one.
    pub fn prefill(&self) -> u32 {
        self.prefill.load(Relaxed).max(1)
    }

    /// Records the time for which a finished request held its slot.
    pub fn record_hold(&self, time: Duration) {
        let old = self.hold.load(Relaxed);
        let new = time.as_micros() as u64;
        self.hold.store(old - (old >> MEAN_SHIFT) + (new >> MEAN_SHIFT), Relaxed);
    }

    /// Records a prefill of `tokens` uncached tokens that took `time`; zero values are ignored.
    pub fn note_prefill(&self, tokens: u32, time: Duration) {
        let micros = time.as_micros() as u64;
        if micros == 0 || tokens == 0 {
            return;
        }
        let rate =
            (u64::from(tokens) * MICROS / micros).min(u64::from(u32::MAX >> MEAN_SHIFT)) as u32;
        let old = self.prefill.load(Relaxed);
        self.prefill.store(old - (old >> MEAN_SHIFT) + (rate >> MEAN_SHIFT), Relaxed);
    }
}
