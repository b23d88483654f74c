//! Whom an instance asks, and what it takes over from the answers; without I/O or a clock.

use {
    crate::{
        Round,
        clocks::{self, Ahead},
        message::State,
    },
    agate_core::{Mono, Wall},
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

/// What an answer tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Proof of the configuration.
    pub config: Option<Confirmed>,
    /// Proof of the endpoints.
    pub roster: Option<Confirmed>,
    /// Time of day that the instances agree on.
    pub wall: Option<Wall>,
}

/// State of one instance that asks.
#[derive(Clone, Debug, Default)]
pub struct Asker {
    round: Round,
    sent: IndexMap<Round, Mono>,
    answered: Mono,
    target: Option<String>,
    left_out: IndexMap<String, Mono>,
    /// First question to the present target.
    first: Round,
    ahead: Option<Ahead>,
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
            self.first = self.round + 1;
            self.ahead = None;
        }
        self.round += 1;
        if self.sent.len() == OPEN_ROUNDS {
            self.sent.shift_remove_index(0);
        }
        self.sent.insert(self.round, now);
        Some((target, self.round))
    }

    /// By how much the own time of day is ahead of that of the coordinator which is asked.
    pub fn ahead(&self) -> Option<Ahead> {
        self.ahead
    }

    /// Takes an answer in that came when the own time of day was `own`. One to a question that is no
    /// longer open is ignored.
    pub fn on_state(&mut self, state: &State, own: Wall, now: Mono) -> Option<Told> {
        let sent = self.sent.shift_remove(&state.round)?;
        self.answered = now;
        let proof = |known: Option<crate::message::Known>| {
            let known = known?;
            let at = sent.checked_sub(Duration::from_micros(known.age))?;
            Some(Confirmed { version: known.version, at })
        };
        // An answer of the coordinator before says nothing of this one's clock.
        let clock = state.clock.as_ref().filter(|_| state.round >= self.first);
        let theirs = clock.and_then(|clock| clocks::answered(clock, sent, now));
        if let Some(theirs) = theirs {
            self.ahead = Some(clocks::ahead(own, theirs));
        }
        let agreed = clock.and_then(|clock| clock.agreed);
        let wall = theirs.zip(agreed).map(|(theirs, ahead)| clocks::shifted(theirs, ahead));
        Some(Told { config: proof(state.config), roster: proof(state.roster), wall })
    }
}
