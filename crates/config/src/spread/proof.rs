//! Newest proofs of freshness.

use {
    agate_core::{Generation, Mono},
    std::time::Duration,
};

/// The newest instants at which the head was known not to be above a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proofs {
    /// For the generation in force.
    held: Option<Mono>,
    /// For a greater one, which is being fetched.
    ahead: Option<(Generation, Mono)>,
}

impl Proofs {
    /// Notes that the head was not above `generation` at `at`, while `installed` is in force.
    pub fn add(&mut self, generation: Generation, at: Mono, installed: Generation) {
        if generation <= installed {
            self.held = self.held.max(Some(at));
            return;
        }
        if self.ahead.is_none_or(|(g, _)| g <= generation) {
            self.ahead = Some((generation, at));
        }
    }

    /// Notes that `installed` is in force now.
    pub fn install(&mut self, installed: Generation) {
        if let Some((generation, at)) = self.ahead.take_if(|(g, _)| *g <= installed) {
            self.add(generation, at, installed);
        }
    }

    /// Age of the newest proof for the generation in force.
    pub fn age(&self, now: Mono) -> Option<Duration> {
        self.held.map(|at| now.saturating_sub(at))
    }
}
