//! The way of one role change: drain, order, verify, return.

use {
    crate::{Action, Grant, Outcome, Piece, Reading, Role, Saved, Verb, piece::Engine},
    agate_core::Mono,
    serde::{Deserialize, Serialize},
};

/// How far the orders of a change may have gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The engine may have been told to take no new work.
    Draining,
    /// The engine may have been told to change its role.
    Ordered,
    /// The new role was read back; the engine is to take work again.
    Verified,
    /// The change was given up; the engine is to take work again in its old role.
    Undoing,
}

/// A role change under way.
#[derive(Clone, Debug)]
pub struct Change {
    /// Position of the engine.
    pub engine: usize,
    /// Role before.
    pub from: Role,
    /// Role after.
    pub to: Role,
    /// Progress.
    pub phase: Phase,
    /// Number of the write that makes the phase durable.
    pub(crate) stamp: u64,
}

impl Change {
    /// Whether the engine is to end in its new role.
    pub(crate) fn moves(&self) -> bool {
        self.phase != Phase::Undoing
    }

    /// The change as an intention.
    pub(crate) fn saved(&self, engines: &[Engine]) -> Saved {
        let engine = engines[self.engine].name.to_string();
        Saved { engine, from: self.from, to: self.to, phase: self.phase }
    }
}

/// Engines asked at once for proof that they serve a role.
const WITNESSES: usize = 3;

/// What a change needs next.
enum Next {
    /// Wait for something under way.
    Wait,
    /// Read the engine's state.
    Read,
    /// Read the state of other engines that serve the role.
    Prove,
    /// Give an order.
    Order(Verb),
    /// Go on to another phase.
    Enter(Phase),
    /// The change has ended.
    End,
}

impl Piece {
    /// Takes the state of an engine.
    pub(crate) fn take_reading(&mut self, i: usize, number: u64, r: Option<Reading>, now: Mono) {
        let e = &mut self.engines[i];
        // A state that was asked for before an order ended proves nothing.
        if e.asked.is_none_or(|(n, _)| n != number) {
            return;
        }
        e.known = true;
        e.reading = r.map(|r| (now, r));
        match r {
            Some(r) => (e.role, e.absent) = (r.role, None),
            None => {
                e.absent.get_or_insert(now);
            }
        }
    }

    /// Takes the result of an order; the engine's state has to be read anew in any case.
    pub(crate) fn take_outcome(&mut self, i: usize, number: u64, outcome: Outcome) {
        let e = &mut self.engines[i];
        let Some((n, expires)) = e.flight else { return };
        if n != number {
            return;
        }
        e.flight = None;
        (e.reading, e.asked) = (None, None);
        if outcome == Outcome::Unknown {
            e.quiet = expires;
        }
    }

    /// Treats orders without an answer as of unknown result.
    pub(crate) fn expire_flights(&mut self, now: Mono) {
        for e in &mut self.engines {
            if e.flight.is_some_and(|(_, expires)| now >= expires) {
                (e.flight, e.reading, e.asked) = (None, None, None);
            }
        }
    }

    /// An engine of `role` that may be taken, from the zone that has most of them.
    pub(crate) fn candidate(&self, role: Role) -> Option<usize> {
        let free = |e: &Engine| e.role == role && e.absent.is_none() && !e.changing;
        let zones = self.engines.iter().map(|e| e.zone as usize + 1).max()?;
        let mut counts = vec![0; zones];
        for e in self.engines.iter().filter(|e| free(e)) {
            counts[e.zone as usize] += 1;
        }
        let (zone, count) = counts.iter().enumerate().max_by_key(|(_, n)| **n)?;
        if *count < 2 {
            return None;
        }
        self.engines.iter().position(|e| free(e) && e.zone as usize == zone)
    }

    /// Engines besides `i` that serve `role` in its availability zone and are not being changed.
    fn others(&self, i: usize, role: Role) -> usize {
        self.other_engines(i, role).count()
    }

    fn other_engines(&self, i: usize, role: Role) -> impl Iterator<Item = usize> {
        let zone = self.engines[i].zone;
        let all = self.engines.iter().enumerate();
        all.filter(move |(j, e)| {
            *j != i && e.zone == zone && e.role == role && e.absent.is_none() && !e.changing
        })
        .map(|(j, _)| j)
    }

    /// Whether another engine was lately seen to serve the role that this one leaves.
    fn proven(&self, c: &Change, now: Mono) -> bool {
        let fresh = |e: &Engine| {
            e.reading.is_some_and(|(at, r)| {
                now < at + self.settings.proof && r.role == c.from && !r.draining
            })
        };
        self.other_engines(c.engine, c.from).any(|j| fresh(&self.engines[j]))
    }

    fn ask_others(&mut self, i: usize, role: Role, now: Mono, out: &mut Vec<Action>) {
        let others: Vec<usize> = self.other_engines(i, role).take(WITNESSES).collect();
        for j in others {
            self.ask(j, now, out);
        }
    }

    /// Carries every change as far as it can go now.
    pub(crate) fn progress(&mut self, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
        let mut k = 0;
        while k < self.changes.len() {
            let next = self.next(&self.changes[k], now);
            if let Next::End = next {
                let ended = self.changes.remove(k);
                self.engines[ended.engine].changing = false;
                self.touch();
                continue;
            }
            self.carry_out(k, next, grant, now, out);
            k += 1;
        }
    }

    fn next(&self, c: &Change, now: Mono) -> Next {
        let e = &self.engines[c.engine];
        if e.absent.is_some_and(|t| now >= t + self.settings.absence) {
            return Next::End;
        }
        if e.flight.is_some() || now < e.quiet || !self.is_durable(c.stamp) {
            return Next::Wait;
        }
        let Some((at, r)) = e.reading else { return Next::Read };
        if r.busy || now >= at + self.settings.reread * 2 {
            return Next::Read;
        }
        match self.next_by_reading(c, r) {
            Next::Order(Verb::Drain | Verb::Role(_)) if !self.proven(c, now) => Next::Prove,
            next => next,
        }
    }

    fn next_by_reading(&self, c: &Change, r: Reading) -> Next {
        let changed = r.role == c.to;
        let last = self.others(c.engine, c.from) == 0;
        match c.phase {
            Phase::Draining | Phase::Ordered if changed => Next::Enter(Phase::Verified),
            Phase::Draining | Phase::Ordered if last => Next::Enter(Phase::Undoing),
            Phase::Draining if !r.draining => Next::Order(Verb::Drain),
            Phase::Draining if r.running > 0 => Next::Read,
            Phase::Draining => Next::Enter(Phase::Ordered),
            // Work that arrived nonetheless must end first.
            Phase::Ordered if !r.draining => Next::Order(Verb::Drain),
            Phase::Ordered if r.running > 0 => Next::Read,
            Phase::Ordered => Next::Order(Verb::Role(c.to)),
            Phase::Verified | Phase::Undoing if r.draining => Next::Order(Verb::Undrain),
            Phase::Verified | Phase::Undoing => Next::End,
        }
    }

    fn carry_out(&mut self, k: usize, next: Next, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
        let i = self.changes[k].engine;
        match next {
            Next::Wait | Next::End => {}
            Next::Read => self.ask(i, now, out),
            Next::Prove => self.ask_others(i, self.changes[k].from, now, out),
            Next::Enter(phase) => {
                let stamp = self.touch();
                let c = &mut self.changes[k];
                (c.phase, c.stamp) = (phase, stamp);
            }
            Next::Order(verb) => self.order(i, verb, grant, now, out),
        }
    }

    pub(crate) fn ask(&mut self, i: usize, now: Mono, out: &mut Vec<Action>) {
        let e = &mut self.engines[i];
        // What is read while an order may still arrive proves nothing.
        if e.flight.is_some() || now < e.quiet {
            return;
        }
        if e.asked.is_none_or(|(_, t)| now >= t + self.settings.reread) {
            self.number += 1;
            let number = self.number;
            e.asked = Some((number, now));
            out.push(Action::Read { engine: i, number });
        }
    }

    fn order(&mut self, i: usize, verb: Verb, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
        self.number += 1;
        let number = self.number;
        // May lie past the end of the authority; a successor waits for it.
        let expires = now + self.settings.order_life;
        let e = &mut self.engines[i];
        assert!(e.flight.is_none(), "an engine has one order under way");
        e.flight = Some((number, expires));
        (e.reading, e.asked) = (None, None);
        out.push(Action::Order { engine: i, fence: grant.fence, number, verb, expires });
    }
}
