//! Live figures of one endpoint.
//!
//! Everything here is an atomic or a small mutex, so the request path works on a shared reference.
//! Readers may see a load report half replaced; the figures are estimates and every use of them
//! tolerates that.

use {
    crate::health::Health,
    agate_core::Mono,
    std::{
        sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
        time::Duration,
    },
};

/// Prefill speed assumed before the first answer, in tokens per second.
pub const PREFILL_RATE: u32 = 8_000;
/// Time that a request holds its slot, assumed before the first answer.
pub const HOLD_TIME: Duration = Duration::from_secs(2);
/// Age beyond which a load report is ignored.
pub const REPORT_AGE: Duration = Duration::from_secs(2);

/// Weight of a new sample in the running means, as a right shift.
const MEAN_SHIFT: u32 = 3;
const MICROS: u64 = 1_000_000;

/// Load as an endpoint reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the endpoint's own queue.
    pub waiting: u32,
    /// Requests that the batch can hold.
    pub slots: u32,
    /// Time of the report.
    pub at: Mono,
}

/// Live figures of one endpoint, shared by successive tables.
#[derive(Debug)]
pub struct Live {
    /// Requests of this instance at the endpoint.
    pub outstanding: AtomicU32,
    /// Requests of all other instances at the endpoint, as last gossiped.
    pub foreign: AtomicU32,
    /// Whether the endpoint is leaving and takes no new work.
    pub leaving: AtomicBool,
    /// Whether the endpoint is about to be taken away, so that its streams go on elsewhere.
    pub ending: AtomicBool,
    /// Failure detector.
    pub health: Health,
    running: AtomicU32,
    waiting: AtomicU32,
    slots: AtomicU32,
    // Requests of this instance when the report arrived.
    base: AtomicU32,
    // Time of the report in microseconds plus one; zero means none.
    at: AtomicU64,
    // Running mean of the time that a request holds its slot, in microseconds.
    hold: AtomicU64,
    // Running mean of the prefill speed, in tokens per second.
    prefill: AtomicU32,
}

impl Default for Live {
    fn default() -> Self {
        Self {
            outstanding: AtomicU32::new(0),
            foreign: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            health: Health::default(),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            slots: AtomicU32::new(0),
            base: AtomicU32::new(0),
            at: AtomicU64::new(0),
            hold: AtomicU64::new(HOLD_TIME.as_micros() as u64),
            prefill: AtomicU32::new(PREFILL_RATE),
        }
    }
}

impl Live {
    /// Stores a load report.
    pub fn set_load(&self, report: LoadReport) {
        self.running.store(report.running, Relaxed);
        self.waiting.store(report.waiting, Relaxed);
        self.slots.store(report.slots, Relaxed);
        self.base.store(self.outstanding.load(Relaxed), Relaxed);
        self.at.store(report.at.as_micros() as u64 + 1, Relaxed);
    }

    /// The newest load report, if any.
    pub fn load(&self) -> Option<LoadReport> {
        let at = self.at.load(Relaxed).checked_sub(1)?;
        Some(LoadReport {
            running: self.running.load(Relaxed),
            waiting: self.waiting.load(Relaxed),
            slots: self.slots.load(Relaxed),
            at: Duration::from_micros(at),
        })
    }

    /// Estimates the requests at the endpoint now.
    ///
    /// A report lags, so what this instance started or finished since it arrived is added. The
    /// known requests of all instances are a floor: a report that misses them is older than they.
    pub fn inflight(&self, now: Mono) -> u32 {
        let own = self.outstanding.load(Relaxed);
        let known = own + self.foreign.load(Relaxed);
        match self.load() {
            Some(r) if now.saturating_sub(r.at) <= REPORT_AGE => {
                let reported =
                    (r.running + r.waiting + own).saturating_sub(self.base.load(Relaxed));
                reported.max(known)
            }
            _ => known,
        }
    }

    /// Slots of the endpoint: the reported number, or `configured` while none was reported.
    pub fn slots(&self, configured: u32) -> u32 {
        match self.slots.load(Relaxed) {
            0 => configured.max(1),
            n => n,
        }
    }

    /// Mean time that a request holds its slot.
    pub fn hold(&self) -> Duration {
        Duration::from_micros(self.hold.load(Relaxed))
    }

    /// Mean prefill speed in tokens per second.
    pub fn prefill(&self) -> u32 {
        self.prefill.load(Relaxed).max(1)
    }

    /// Records the time that a finished request held its slot.
    pub fn note_hold(&self, time: Duration) {
        let old = self.hold.load(Relaxed);
        let new = time.as_micros() as u64;
        self.hold.store(old - (old >> MEAN_SHIFT) + (new >> MEAN_SHIFT), Relaxed);
    }

    /// Records a prefill of `tokens` uncached tokens that took `time`.
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
