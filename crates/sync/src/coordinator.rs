//! What a coordinator collects from all instances, without I/O or a clock.

use {
    crate::{
        Round,
        clocks::{self, Ahead, Vote},
        message::{Figures, Question, Usage},
        sums::Sums,
    },
    agate_core::Mono,
    indexmap::IndexMap,
    std::time::Duration,
};

/// Age above which the load that an instance told no longer counts: it stopped or asks another
/// coordinator.
pub const LOAD_AGE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug, Default)]
struct Told {
    round: Round,
    at: Mono,
    clock: Option<Vote>,
    figures: Figures,
}

#[derive(Clone, Copy, Debug, Default)]
struct Parts {
    round: Round,
    arrived: u32,
}

/// State of one coordinator.
///
/// Figures are kept as sums that follow each question, so an answer costs what it tells, not what
/// all instances told.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    told: IndexMap<String, Told>,
    sums: Sums,
    parts: IndexMap<String, Parts>,
}

impl Coordinator {
    /// Takes a question in; one that was overtaken changes nothing.
    pub fn on_question(&mut self, question: &Question, now: Mono) {
        let Self { told, sums, .. } = self;
        told.retain(|_, t| {
            let fresh = now.saturating_sub(t.at) < LOAD_AGE;
            if !fresh {
                sums.remove(&t.figures);
            }
            fresh
        });
        let told = told.entry(question.from.clone()).or_default();
        if question.round > told.round || told.round == 0 {
            let Question { round, clock, figures, .. } = question.clone();
            sums.remove(&told.figures);
            sums.add(&figures);
            *told = Told { round, at: now, clock, figures };
        }
    }

    /// Figures of all instances but `except`, with `own` of this one.
    pub fn totals(&self, except: &str, own: &Figures, now: Mono) -> Figures {
        let mut sums = self.sums.clone();
        sums.add(own);
        let stale = |t: &Told| now.saturating_sub(t.at) >= LOAD_AGE;
        let left_out = self.told.iter().filter(|(from, t)| *from == except || stale(t));
        left_out.for_each(|(_, t)| sums.remove(&t.figures));
        let mut others = self.told.iter().filter(|(from, t)| *from != except && !stale(t));
        let holder = others.find_map(|(_, t)| t.figures.holder.clone());
        Figures { holder: holder.or_else(|| own.holder.clone()), ..sums.figures().bounded() }
    }

    /// By how much the time of day that the `known` instances agree on is ahead of this one's own,
    /// which has been `kept` for so long.
    pub fn agreed(&self, kept: Duration, known: usize, now: Mono) -> Option<Ahead> {
        let fresh = self.told.values().filter(|t| now.saturating_sub(t.at) < LOAD_AGE);
        let votes = fresh.filter_map(|t| t.clock).chain([Vote::new(0, kept)]);
        clocks::agreed(votes.collect(), known)
    }

    /// Counts a part of a round of usage.
    pub fn on_usage(&mut self, usage: &Usage) {
        let parts = self.parts.entry(usage.from.clone()).or_default();
        if usage.round > parts.round {
            *parts = Parts { round: usage.round, arrived: 0 };
        }
        if usage.round == parts.round {
            parts.arrived += 1;
        }
    }

    /// Whether all `parts` of a round of usage arrived.
    pub fn usage_complete(&self, from: &str, round: Round, parts: u32) -> bool {
        let known = self.parts.get(from);
        parts == 0 || known.is_some_and(|p| p.round == round && p.arrived >= parts)
    }

    /// Forgets instances that are not in `alive` any more.
    pub fn retain(&mut self, alive: impl Fn(&str) -> bool) {
        self.parts.retain(|from, _| alive(from));
    }
}
