//! Newest freshness proofs.

use {
    agate_core::{Generation, Mono},
    std::time::Duration,
};

/// The newest instants at which the head was known not to be above a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proofs {
    /// For the installed generation.
    held: Option<Mono>,
    /// For a greater generation, which is being fetched.
    ahead: Option<(Generation, Mono)>,
}

impl Proofs {
    /// Records that the head was not above `generation` at `at`, while `installed` is the installed
    /// generation.
    pub fn add(&mut self, generation: Generation, at: Mono, installed: Generation) {
        if generation <= installed {
            self.held = self.held.max(Some(at));
            return;
        }
        if self.ahead.is_none_or(|(g, _)| g <= generation) {
            self.ahead = Some((generation, at));
        }
    }

    /// Records that `installed` is now the installed generation.
    pub fn install(&mut self, installed: Generation) {
        if let Some((generation, at)) = self.ahead.take_if(|(g, _)| *g <= installed) {
            self.add(generation, at, installed);
        }
    }

    /// Returns the age of the newest proof of the installed generation.
    pub fn age(&self, now: Mono) -> Option<Duration> {
        self.held.map(|at| now.saturating_sub(at))
    }
}
