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
/// Time between two questions to a coordinator that did not answer.
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
    /// Whether it came from the coordinator that is asked now, not from one that is tried again.
    pub current: bool,
}

/// State of one instance that asks.
#[derive(Clone, Debug, Default)]
pub struct Asker {
    round: Round,
    sent: IndexMap<Round, (String, Mono)>,
    answered: Mono,
    target: Option<String>,
    left_out: IndexMap<String, Mono>,
    ahead: Option<Ahead>,
}

impl Asker {
    /// Chooses whom to ask now among `coordinators`, best first, and numbers the questions: one to
    /// the best that answers, and from time to time one to each better that did not.
    pub fn ask<'a>(&mut self, coordinators: &[&'a str], now: Mono) -> Vec<(&'a str, Round)> {
        if let Some(target) = &self.target
            && now.saturating_sub(self.answered) > SILENCE
        {
            self.left_out.insert(target.clone(), now);
            self.target = None;
        }
        self.left_out.retain(|name, _| coordinators.contains(&name.as_str()));
        let mut out = Vec::new();
        for name in coordinators.iter().copied() {
            let Some(at) = self.left_out.get_mut(name) else {
                out.push(name);
                break;
            };
            if now.saturating_sub(*at) >= LEFT_OUT {
                *at = now;
                out.push(name);
            }
        }
        let target = out.last().copied().filter(|name| !self.left_out.contains_key(*name));
        if self.target.as_deref() != target {
            self.target = target.map(str::to_owned);
            self.answered = now;
            self.ahead = None;
        }
        out.into_iter().map(|name| (name, self.number(name, now))).collect()
    }

    fn number(&mut self, name: &str, now: Mono) -> Round {
        self.round += 1;
        if self.sent.len() == OPEN_ROUNDS {
            self.sent.shift_remove_index(0);
        }
        self.sent.insert(self.round, (name.to_owned(), now));
        self.round
    }

    /// Whether some coordinator is expected to answer.
    pub fn has_target(&self) -> bool {
        self.target.is_some()
    }

    /// By how much the own time of day is ahead of that of the coordinator which is asked.
    pub fn ahead(&self) -> Option<Ahead> {
        self.ahead
    }

    /// Takes an answer in that came when the own time of day was `own`. One to a question that is no
    /// longer open is ignored.
    pub fn on_state(&mut self, state: &State, own: Wall, now: Mono) -> Option<Told> {
        let (name, sent) = self.sent.shift_remove(&state.round)?;
        self.left_out.shift_remove(&name);
        let asked = self.target.as_deref() == Some(&name);
        if asked {
            self.answered = now;
        }
        let proof = |known: Option<crate::message::Known>| {
            let known = known?;
            let at = sent.checked_sub(Duration::from_micros(known.age))?;
            Some(Confirmed { version: known.version, at })
        };
        // The own clock is compared with one coordinator's only.
        let clock = state.clock.as_ref().filter(|_| asked);
        let theirs = clock.and_then(|clock| clocks::answered(clock, sent, now));
        if let Some(theirs) = theirs {
            self.ahead = Some(clocks::ahead(own, theirs));
        }
        let agreed = clock.and_then(|clock| clock.agreed);
        let wall = theirs.zip(agreed).map(|(theirs, ahead)| clocks::shifted(theirs, ahead));
        let (config, roster) = (proof(state.config), proof(state.roster));
        Some(Told { config, roster, wall, current: asked })
    }
}
