//! Engine time that callers ask for, by what it is spent on.
//!
//! Reading a prompt and generating an answer bind engines of different stages. Both are counted for
//! every request that arrives, whether it is served or not, so that the stages can follow what
//! callers ask instead of what the present stages let through. What a request costs is learned from
//! those that were served.

use {agate_core::Mono, std::time::Duration};

/// Time over which arrivals are averaged; about half of the time that a change of stage takes.
pub const MEMORY: Duration = Duration::from_millis(1_500);
/// Weight of a new sample in what a request costs.
const WEIGHT: f64 = 0.05;
/// Time that generating a short answer holds a slot, assumed before the first one ends.
const FIRST_HOLD: Duration = Duration::from_millis(25);
/// Engine time that reading a prompt takes, assumed before the first one was read.
const FIRST_READ: Duration = Duration::from_millis(10);

/// Time for which a request takes a slot of an engine of `slots` slots, if it had it for `run` and kept
/// the engine reading for `reading`: while an engine reads, all its slots wait, however many are free.
pub fn hold(run: Duration, reading: Duration, slots: u32) -> Duration {
    run.max(reading * slots)
}

/// Class of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Its prompt is long enough to be read by another engine.
    Long,
    /// Its prompt is read where it runs.
    Short,
}

/// Engine time asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Asked {
    /// Engines that read all the time.
    pub reading: f64,
    /// Slots that generate all the time.
    pub slots: f64,
}

/// Demand for one service at one instance.
#[derive(Clone, Debug)]
pub struct Demand {
    // Sums that decay with the time constant `MEMORY`, in seconds of engine and slot time.
    sums: Asked,
    at: Mono,
    holds: [f64; 2],
    read: f64,
}

impl Default for Demand {
    fn default() -> Self {
        let hold = FIRST_HOLD.as_secs_f64();
        let read = FIRST_READ.as_secs_f64();
        Self { sums: Asked::default(), at: Mono::ZERO, holds: [hold; 2], read }
    }
}

impl Demand {
    /// Counts a request that arrived.
    pub fn on_request(&mut self, class: Class, now: Mono) {
        self.decay(now);
        self.sums.slots += self.holds[class as usize];
        if class == Class::Long {
            self.sums.reading += self.read;
        }
    }

    /// Learns how long a request held its slot.
    pub fn on_generated(&mut self, class: Class, hold: Duration) {
        let mean = &mut self.holds[class as usize];
        *mean += WEIGHT * (hold.as_secs_f64() - *mean);
    }

    /// Learns how much engine time reading a prompt took.
    pub fn on_read(&mut self, time: Duration) {
        self.read += WEIGHT * (time.as_secs_f64() - self.read);
    }

    /// Engine time that reading a prompt takes.
    pub fn usual_read(&self) -> Duration {
        Duration::from_secs_f64(self.read)
    }

    /// What is asked for at `now`.
    pub fn asked(&mut self, now: Mono) -> Asked {
        self.decay(now);
        let memory = MEMORY.as_secs_f64();
        Asked { reading: self.sums.reading / memory, slots: self.sums.slots / memory }
    }

    fn decay(&mut self, now: Mono) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / MEMORY.as_secs_f64()).exp();
        self.sums.reading *= kept;
        self.sums.slots *= kept;
        self.at = self.at.max(now);
    }
}
