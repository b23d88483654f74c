//! Copies of counters at peers: to whom they go, and the messages that carry them.

use {
    super::{BEAT, Usage, wall},
    agate_lease::rank::candidates,
    agate_member::Member,
    agate_usage::{
        Source,
        counter::Message,
        ledger::{Part, Want},
    },
    futures_util::future::join_all,
    indexmap::IndexSet,
    std::time::Duration,
};

/// Topic of a peer's counters; the answer names the receiver's start.
pub(super) const SHIP: &str = "usage/ship";
/// Topic of copies that are handed on.
pub(super) const RELAY: &str = "usage/relay";
/// Peers that keep copies.
const COPIES: usize = 2;
/// Rows in one message, which keeps it below the size of a request.
const ROWS: usize = 1000;

impl Usage {
    /// Sends every peer what it lacks.
    pub(super) async fn ship(&self) {
        let (messages, beat) = {
            let mut state = self.state();
            state.round += 1;
            let beat = state.round.is_multiple_of(BEAT);
            (state.counter.ship(wall(), self.now()), beat)
        };
        let due = messages.into_iter().filter(|(_, m)| beat || !m.rows.is_empty());
        join_all(due.map(|(peer, message)| self.ship_to(peer, message))).await;
    }

    async fn ship_to(&self, peer: Source, message: Message) {
        let Message { source, round, closed, rows } = message;
        let mut start = None;
        for piece in pieces(&rows) {
            // A window may be taken for closed only once all of its rows are there.
            let last = piece.as_ptr_range().end == rows.as_ptr_range().end;
            let closed = if last { closed } else { 0 };
            let message = Message { source: source.clone(), round, closed, rows: piece.to_vec() };
            let answer: Option<Source> = self.mesh.ask(&peer, SHIP, &message).await;
            if answer.is_none() || start.as_ref().is_some_and(|s| Some(s) != answer.as_ref()) {
                return;
            }
            start = answer;
        }
        if let Some(start) = start {
            self.state().acknowledge(&peer, start, round);
        }
    }

    /// Hands on what is held of instances that have been silent for `quiet`.
    pub(super) async fn relay(&self, quiet: Duration) {
        let (parts, peers) = {
            let state = self.state();
            let parts = state.ledger.parts(&Want::everything(0), quiet, self.now());
            (parts, state.peers.clone())
        };
        for part in &parts {
            for piece in pieces(&part.rows) {
                let last = piece.as_ptr_range().end == part.rows.as_ptr_range().end;
                let closed = if last { part.closed } else { 0 };
                let part = Part { source: part.source.clone(), closed, rows: piece.to_vec() };
                let sends = peers.iter().map(|p| self.mesh.ask::<Source>(p, RELAY, &part));
                join_all(sends).await;
            }
        }
    }
}

/// Peers that keep copies: those of `held` that are live, then others, each in an availability zone
/// of its own and away from `zone` as long as there are such. Those that are `busy` come last.
pub fn choose(
    zone: &str,
    own: &str,
    held: &[Source],
    live: &[Member],
    busy: &IndexSet<Source>,
) -> Vec<Source> {
    let mut ranked: Vec<&Member> = live.iter().filter(|m| !m.contact).collect();
    let order = candidates(own, ranked.iter().map(|m| &*m.name), ranked.len());
    let order: IndexSet<&str> = order.into_iter().collect();
    let place = |m: &Member| order.get_index_of(&*m.name);
    let spared = |m: &Member| busy.contains(&m.name);
    ranked.sort_by_cached_key(|m| {
        (*m.place.zone == *zone, spared(m), !held.contains(&m.name), place(m))
    });
    let mut out: Vec<&Member> = Vec::new();
    // Away and apart, then away, then any.
    for (away, apart) in [(true, true), (true, false), (false, false)] {
        for member in &ranked {
            let taken = out.iter().any(|o| o.name == member.name);
            let near = apart && out.iter().any(|o| o.place.zone == member.place.zone);
            let home = away && *member.place.zone == *zone;
            if out.len() < COPIES && !taken && !near && !home {
                out.push(member);
            }
        }
    }
    out.into_iter().map(|m| m.name.clone()).collect()
}

/// Rows in pieces that fit a message; one empty piece if there are none.
fn pieces<T>(rows: &[T]) -> impl Iterator<Item = &[T]> {
    let count = rows.len().div_ceil(ROWS).max(1);
    (0..count).map(move |i| &rows[i * ROWS..rows.len().min((i + 1) * ROWS)])
}
