//! Whom an instance asks, and what it takes over from the answers; without I/O or a clock.

use {
    crate::{Round, message::State},
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time without an answer after which the next coordinator is asked.
pub const SILENCE: Duration = Duration::from_millis(400);
/// Time for which a silent coordinator is left out.
pub const LEFT_OUT: Duration = Duration::from_secs(2);
/// Questions whose answers are still taken in.
const OPEN_ROUNDS: usize = 8;

/// A proof taken over: what was known, and when at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// Revision or digest.
    pub version: u64,
    /// Time at which the coordinator's proof held.
    pub at: Mono,
}

/// State of one instance that asks.
#[derive(Clone, Debug, Default)]
pub struct Asker {
    round: Round,
    sent: IndexMap<Round, Mono>,
    answered: Mono,
    target: Option<String>,
    left_out: IndexMap<String, Mono>,
}

impl Asker {
    /// Chooses whom to ask now among `coordinators`, best first, and numbers the question.
    pub fn ask<'a>(&mut self, coordinators: &[&'a str], now: Mono) -> Option<(&'a str, Round)> {
        self.left_out.retain(|_, at| now.saturating_sub(*at) < LEFT_OUT);
        if let Some(target) = &self.target
            && now.saturating_sub(self.answered) > SILENCE
        {
            self.left_out.insert(target.clone(), now);
            self.target = None;
        }
        let usable = coordinators.iter().copied().find(|c| !self.left_out.contains_key(*c));
        let target = usable?;
        if self.target.as_deref() != Some(target) {
            self.target = Some(target.to_owned());
            self.answered = now;
        }
        self.round += 1;
        if self.sent.len() == OPEN_ROUNDS {
            self.sent.shift_remove_index(0);
        }
        self.sent.insert(self.round, now);
        Some((target, self.round))
    }

    /// Takes an answer in; returns the proofs of configuration and endpoints that it holds. An
    /// answer to a question that is no longer open is ignored.
    pub fn on_state(
        &mut self,
        state: &State,
        now: Mono,
    ) -> Option<(Option<Confirmed>, Option<Confirmed>)> {
        let sent = self.sent.shift_remove(&state.round)?;
        self.answered = now;
        let proof = |known: Option<crate::message::Known>| {
            let known = known?;
            let at = sent.checked_sub(Duration::from_micros(known.age))?;
            Some(Confirmed { version: known.version, at })
        };
        Some((proof(state.config), proof(state.roster)))
    }
}
