//! Steps of a role change: drain the engine, order the new role, verify it, undrain.

use {
    crate::{Action, ChangeIntent, EngineState, Grant, Outcome, Piece, Role, Verb, piece::Engine},
    agate_core::Mono,
    serde::{Deserialize, Serialize},
};

/// Phase of a role change; it bounds which orders the engine may have received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The engine may have received the order to drain.
    Draining,
    /// The engine may have received the order to change its role.
    Ordered,
    /// The new role was confirmed by a read; the engine is to be undrained.
    Verified,
    /// The change was abandoned; the engine is to be undrained in its old role.
    Undoing,
}

/// A role change in progress.
#[derive(Clone, Debug)]
pub struct Change {
    /// Index of the engine in [`Piece::engines`].
    pub engine: usize,
    /// Role before.
    pub from: Role,
    /// Role after.
    pub to: Role,
    /// Phase that the change reached.
    pub phase: Phase,
    /// Number of the record write that makes the phase durable.
    pub(crate) write_number: u64,
}

impl Change {
    /// Whether the change still leads to the new role.
    pub(crate) fn is_forward(&self) -> bool {
        self.phase != Phase::Undoing
    }

    /// Form of the change for the record.
    pub(crate) fn to_record(&self, engines: &[Engine]) -> ChangeIntent {
        let engine = engines[self.engine].name.to_string();
        ChangeIntent { engine, from: self.from, to: self.to, phase: self.phase }
    }
}

/// Most engines that are read at once to confirm that one of them serves a role.
const MAX_CONFIRM_READS: usize = 3;

/// Next step of a change.
enum Next {
    /// Wait for an order, its expiry or a write.
    Wait,
    /// Read the engine's state.
    Read,
    /// Read other engines, to confirm that one of them serves the role.
    Confirm,
    /// Send an order.
    Order(Verb),
    /// Change to another phase.
    Enter(Phase),
    /// Remove the change, which is complete or dropped.
    End,
}

impl Piece {
    /// Processes the result of reading an engine's state.
    pub(crate) fn on_read(&mut self, i: usize, number: u64, r: Option<EngineState>, now: Mono) {
        let e = &mut self.engines[i];
        // A state requested before an order ended may be from before the order.
        if e.pending_read.is_none_or(|(n, _)| n != number) {
            return;
        }
        e.was_read = true;
        e.last_state = r.map(|r| (now, r));
        match r {
            Some(r) => (e.role, e.failing_since) = (r.role, None),
            None => {
                e.failing_since.get_or_insert(now);
            }
        }
    }

    /// Processes the result of an order. The engine's state must be read again in every case.
    pub(crate) fn on_outcome(&mut self, i: usize, number: u64, outcome: Outcome) {
        let e = &mut self.engines[i];
        let Some((n, expires)) = e.in_flight else { return };
        if n != number {
            return;
        }
        e.in_flight = None;
        (e.last_state, e.pending_read) = (None, None);
        if outcome == Outcome::Unknown {
            e.blocked_until = expires;
        }
    }

    /// Treats orders that expired without a response as of unknown result.
    pub(crate) fn expire_orders(&mut self, now: Mono) {
        for e in &mut self.engines {
            if e.in_flight.is_some_and(|(_, expires)| now >= expires) {
                (e.in_flight, e.last_state, e.pending_read) = (None, None, None);
            }
        }
    }

    /// Selects an engine of `role` for a change, from the zone with the most of them. `None` if no
    /// zone has two.
    pub(crate) fn candidate(&self, role: Role) -> Option<usize> {
        let free = |e: &Engine| e.role == role && e.failing_since.is_none() && !e.changing;
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

    /// Number of other engines that serve `role` in the zone of engine `i` and are not being
    /// changed.
    fn count_others(&self, i: usize, role: Role) -> usize {
        self.other_engines(i, role).count()
    }

    fn other_engines(&self, i: usize, role: Role) -> impl Iterator<Item = usize> {
        let zone = self.engines[i].zone;
        let all = self.engines.iter().enumerate();
        all.filter(move |(j, e)| {
            *j != i && e.zone == zone && e.role == role && e.failing_since.is_none() && !e.changing
        })
        .map(|(j, _)| j)
    }

    /// Whether a recent read shows another engine in the zone that serves the role being left.
    fn is_confirmed(&self, c: &Change, now: Mono) -> bool {
        let fresh = |e: &Engine| {
            e.last_state.is_some_and(|(at, r)| {
                now < at + self.settings.max_age && r.role == c.from && !r.draining
            })
        };
        self.other_engines(c.engine, c.from).any(|j| fresh(&self.engines[j]))
    }

    fn read_others(&mut self, i: usize, role: Role, now: Mono, out: &mut Vec<Action>) {
        let others: Vec<usize> = self.other_engines(i, role).take(MAX_CONFIRM_READS).collect();
        for j in others {
            self.read_engine(j, now, out);
        }
    }

    /// Advances every change by one step where that is possible now.
    pub(crate) fn advance_changes(&mut self, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
        let mut k = 0;
        while k < self.changes.len() {
            let next = self.next(&self.changes[k], now);
            if let Next::End = next {
                let ended = self.changes.remove(k);
                self.engines[ended.engine].changing = false;
                self.mark_dirty();
                continue;
            }
            self.execute(k, next, grant, now, out);
            k += 1;
        }
    }

    fn next(&self, c: &Change, now: Mono) -> Next {
        let e = &self.engines[c.engine];
        if e.failing_since.is_some_and(|t| now >= t + self.settings.failure_limit) {
            return Next::End;
        }
        if e.in_flight.is_some() || now < e.blocked_until || !self.is_durable(c.write_number) {
            return Next::Wait;
        }
        let Some((at, r)) = e.last_state else { return Next::Read };
        if r.busy || now >= at + self.settings.read_interval * 2 {
            return Next::Read;
        }
        match self.next_by_state(c, r) {
            Next::Order(Verb::Drain | Verb::Role(_)) if !self.is_confirmed(c, now) => Next::Confirm,
            next => next,
        }
    }

    fn next_by_state(&self, c: &Change, r: EngineState) -> Next {
        let changed = r.role == c.to;
        let last = self.count_others(c.engine, c.from) == 0;
        match c.phase {
            Phase::Draining | Phase::Ordered if changed => Next::Enter(Phase::Verified),
            Phase::Draining | Phase::Ordered if last => Next::Enter(Phase::Undoing),
            Phase::Draining if !r.draining => Next::Order(Verb::Drain),
            Phase::Draining if r.running > 0 => Next::Read,
            Phase::Draining => Next::Enter(Phase::Ordered),
            // Requests may have arrived after the drain; they must end first.
            Phase::Ordered if !r.draining => Next::Order(Verb::Drain),
            Phase::Ordered if r.running > 0 => Next::Read,
            Phase::Ordered => Next::Order(Verb::Role(c.to)),
            Phase::Verified | Phase::Undoing if r.draining => Next::Order(Verb::Undrain),
            Phase::Verified | Phase::Undoing => Next::End,
        }
    }

    fn execute(&mut self, k: usize, next: Next, grant: &Grant, now: Mono, out: &mut Vec<Action>) {
        let i = self.changes[k].engine;
        match next {
            Next::Wait | Next::End => {}
            Next::Read => self.read_engine(i, now, out),
            Next::Confirm => self.read_others(i, self.changes[k].from, now, out),
            Next::Enter(phase) => {
                let write_number = self.mark_dirty();
                let c = &mut self.changes[k];
                (c.phase, c.write_number) = (phase, write_number);
            }
            Next::Order(verb) => self.send_order(i, verb, grant, now, out),
        }
    }

    pub(crate) fn read_engine(&mut self, i: usize, now: Mono, out: &mut Vec<Action>) {
        let e = &mut self.engines[i];
        // While an order may still arrive, a read would not show the engine's final state.
        if e.in_flight.is_some() || now < e.blocked_until {
            return;
        }
        if e.pending_read.is_none_or(|(_, t)| now >= t + self.settings.read_interval) {
            self.number += 1;
            let number = self.number;
            e.pending_read = Some((number, now));
            out.push(Action::Read { engine: i, number });
        }
    }

    fn send_order(
        &mut self,
        i: usize,
        verb: Verb,
        grant: &Grant,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        self.number += 1;
        let number = self.number;
        // May be later than the end of the lease; the next holder waits for it.
        let expires = now + self.settings.order_life;
        let e = &mut self.engines[i];
        assert!(e.in_flight.is_none(), "an engine has at most one order in flight");
        e.in_flight = Some((number, expires));
        (e.last_state, e.pending_read) = (None, None);
        out.push(Action::Order { engine: i, fence: grant.fence, number, verb, expires });
    }
}
