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
/// Time between two questions to a coordinator that did not answer, or not with fresh proofs.
pub const LEFT_OUT: Duration = Duration::from_secs(2);
/// Age of a coordinator's proof of the configuration above which another one is asked: it does not
/// reach the store, since it reads about twice a second.
pub const FRESH: Duration = Duration::from_millis(950);
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
    /// Coordinators that did not answer, with the time of the newest question to them.
    left_out: IndexMap<String, Mono>,
    /// The same of those that answer with old proofs.
    stale: IndexMap<String, Mono>,
    ahead: Option<Ahead>,
}

impl Asker {
    /// Chooses whom to ask now among `coordinators`, best first, and numbers the questions: one to
    /// the best that answers with fresh proofs, and from time to time one to each better. If none has
    /// fresh proofs, the best that answers is asked.
    pub fn ask<'a>(&mut self, coordinators: &[&'a str], now: Mono) -> Vec<(&'a str, Round)> {
        if let Some(target) = self.target.take_if(|_| now.saturating_sub(self.answered) > SILENCE) {
            self.left_out.insert(target, now);
        }
        for doubted in [&mut self.left_out, &mut self.stale] {
            doubted.retain(|name, _| coordinators.contains(&name.as_str()));
        }
        let (mut out, mut fresh, mut answers) = (Vec::new(), None, None);
        for name in coordinators.iter().copied() {
            let silent = self.left_out.get_mut(name);
            if silent.is_none() {
                answers = answers.or(Some(name));
            }
            let Some(tried) = silent.or(self.stale.get_mut(name)) else {
                fresh = Some(name);
                break;
            };
            if now.saturating_sub(*tried) >= LEFT_OUT {
                *tried = now;
                out.push(name);
            }
        }
        let target = fresh.or(answers);
        out.retain(|name| Some(*name) != target);
        out.extend(target);
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

    /// Whether some coordinator is expected to answer with fresh proofs.
    pub fn has_fresh(&self) -> bool {
        self.target.as_ref().is_some_and(|name| !self.stale.contains_key(name))
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
        let age = state.config.map(|known| Duration::from_micros(known.age));
        if age.is_some_and(|age| age <= FRESH) {
            self.stale.shift_remove(&name);
        } else {
            self.stale.entry(name.clone()).or_insert(now);
        }
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
