//! Estimated demand for engine time, split into prefill and decode.
//!
//! Prefill and decode run on engines of different stages. Both are counted for every request that
//! arrives, served or not, so that engines are assigned to stages by what callers ask for instead
//! of what the present assignment lets through. The cost of a request is learned from served ones.

use {
    agate_core::{Mono, time},
    agate_route::rate_meter::RateMeter,
    std::time::Duration,
};

/// Time constant of the average over arrivals; about half the time that a change of stage takes.
pub const TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Weight of a new sample in the moving averages of request costs.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Initial estimate of the time for which a request holds a slot.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(25);
/// Initial estimate of the engine time that a prefill takes.
const INITIAL_PREFILL: Duration = Duration::from_millis(10);

/// Slot time charged to a request on an engine with `slots` slots, if it held a slot for `run` and
/// its prefill took `reading`. A prefill stalls all slots of the engine, also the free ones.
pub fn slot_time(run: Duration, reading: Duration, slots: u32) -> Duration {
    run.max(reading * slots)
}

/// Class of a model request by the length of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptClass {
    /// Long enough to be prefilled by another engine.
    Long,
    /// Prefilled by the engine that decodes.
    Short,
}

/// Engine time that callers ask for per unit of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    /// Number of engines that prefill all the time.
    pub prefill: f64,
    /// Number of slots that decode all the time.
    pub slots: f64,
}

/// Estimator of the demand for one service at one instance.
#[derive(Clone, Debug)]
pub struct Demand {
    // In seconds of engine time and of slot time.
    prefill: RateMeter,
    slots: RateMeter,
    slot_times: [f64; 2],
    /// Number of samples in each of `slot_times`, up to what a moving average covers.
    samples: [f64; 2],
    prefill_time: f64,
}

impl Default for Demand {
    fn default() -> Self {
        let slot_time = INITIAL_SLOT_TIME.as_secs_f64();
        let prefill_time = INITIAL_PREFILL.as_secs_f64();
        Self {
            prefill: RateMeter::new(TIME_CONSTANT),
            slots: RateMeter::new(TIME_CONSTANT),
            slot_times: [slot_time; 2],
            samples: [0.0; 2],
            prefill_time,
        }
    }
}

impl Demand {
    /// Counts a request that arrived at `now`, served or not.
    pub fn on_request(&mut self, class: PromptClass, now: Mono) {
        self.slots.add(self.slot_times[class as usize], now);
        if class == PromptClass::Long {
            self.prefill.add(self.prefill_time, now);
        }
    }

    /// Updates the average slot time of `class`.
    pub fn on_slot_released(&mut self, class: PromptClass, slot_time: Duration) {
        self.add_slot_time(class, slot_time, SAMPLE_WEIGHT);
    }

    /// Updates the average slot time of `class`; the first samples count fully. An instance of a
    /// large fleet serves a request with a long output every few seconds only, so with a fixed
    /// weight the initial estimate, which is for short outputs, would outweigh them for a minute.
    pub fn on_slot_measured(&mut self, class: PromptClass, slot_time: Duration) {
        let samples = &mut self.samples[class as usize];
        *samples = (*samples + 1.0).min(1.0 / SAMPLE_WEIGHT);
        let weight = 1.0 / *samples;
        self.add_slot_time(class, slot_time, weight);
    }

    fn add_slot_time(&mut self, class: PromptClass, slot_time: Duration, weight: f64) {
        let mean = &mut self.slot_times[class as usize];
        *mean += weight * (slot_time.as_secs_f64() - *mean);
    }

    /// Updates the average engine time of a prefill.
    pub fn on_prefill(&mut self, time: Duration) {
        self.prefill_time += SAMPLE_WEIGHT * (time.as_secs_f64() - self.prefill_time);
    }

    /// Average time for which a request of `class` holds a slot.
    pub fn usual_slot_time(&self, class: PromptClass) -> Duration {
        time::seconds(self.slot_times[class as usize])
    }

    /// Average engine time of a prefill.
    pub fn usual_prefill(&self) -> Duration {
        time::seconds(self.prefill_time)
    }

    /// Demand averaged over the time before `now`.
    pub fn rates(&mut self, now: Mono) -> EngineDemand {
        EngineDemand { prefill: self.prefill.per_second(now), slots: self.slots.per_second(now) }
    }
}
