//! Replication of usage counters to peers.

use {
    super::{HEARTBEAT_ROUNDS, Usage, wall_time},
    agate_lease::rank::candidates,
    agate_member::Member,
    agate_usage::{
        Source,
        counter::Message,
        ledger::{Part, PartRequest},
    },
    futures_util::future::join_all,
    indexmap::IndexSet,
    std::time::Duration,
};

/// Topic of replicated counters; the response names the receiver's incarnation.
pub(super) const REPLICATE_TOPIC: &str = "usage/ship";
/// Topic of relayed copies of another instance's counters.
pub(super) const RELAY_TOPIC: &str = "usage/relay";
/// Number of peers that keep copies.
const COPY_COUNT: usize = 2;
/// Maximum number of rows in one message, which keeps it below the size limit of a request.
const MAX_ROWS: usize = 1000;

impl Usage {
    /// Sends every peer the rows that it lacks.
    pub(super) async fn replicate(&self) {
        let (messages, beat) = {
            let mut state = self.state();
            state.round += 1;
            let beat = state.round.is_multiple_of(HEARTBEAT_ROUNDS);
            (state.counter.ship(wall_time(), self.now()), beat)
        };
        let due = messages.into_iter().filter(|(_, m)| beat || !m.rows.is_empty());
        join_all(due.map(|(peer, message)| self.replicate_to(peer, message))).await;
    }

    async fn replicate_to(&self, peer: Source, message: Message) {
        let Message { source, round, closed, rows } = message;
        let mut start = None;
        for chunk in chunks(&rows) {
            // A window may count as closed only once all of its rows have arrived.
            let last = chunk.as_ptr_range().end == rows.as_ptr_range().end;
            let closed = if last { closed } else { 0 };
            let message = Message { source: source.clone(), round, closed, rows: chunk.to_vec() };
            let response: Option<Source> = self.mesh.ask(&peer, REPLICATE_TOPIC, &message).await;
            if response.is_none() || start.as_ref().is_some_and(|s| Some(s) != response.as_ref()) {
                return;
            }
            start = response;
        }
        if let Some(start) = start {
            self.state().acknowledge(&peer, start, round);
        }
    }

    /// Relays the copies of instances that have been silent for `quiet`.
    pub(super) async fn relay(&self, quiet: Duration) {
        let (parts, peers) = {
            let state = self.state();
            let parts = state.ledger.parts(&PartRequest::everything(0), quiet, self.now());
            (parts, state.peers.clone())
        };
        for part in &parts {
            for chunk in chunks(&part.rows) {
                let last = chunk.as_ptr_range().end == part.rows.as_ptr_range().end;
                let closed = if last { part.closed } else { 0 };
                let part = Part { source: part.source.clone(), closed, rows: chunk.to_vec() };
                let sends = peers.iter().map(|p| self.mesh.ask::<Source>(p, RELAY_TOPIC, &part));
                join_all(sends).await;
            }
        }
    }
}

/// Selects the peers that keep copies: peers of `held` that are live, then others, each in a
/// different availability zone and outside `zone` as far as possible. Instances in `busy` come
/// last.
pub fn select_peers(
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
    let busy_last = |m: &Member| busy.contains(&m.name);
    ranked.sort_by_cached_key(|m| {
        (*m.place.zone == *zone, busy_last(m), !held.contains(&m.name), place(m))
    });
    let mut out: Vec<&Member> = Vec::new();
    // Prefers other zones that differ from each other, then any other zone, then any instance.
    for (away, apart) in [(true, true), (true, false), (false, false)] {
        for member in &ranked {
            let selected = out.iter().any(|o| o.name == member.name);
            let zone_taken = apart && out.iter().any(|o| o.place.zone == member.place.zone);
            let in_zone = away && *member.place.zone == *zone;
            if out.len() < COPY_COUNT && !selected && !zone_taken && !in_zone {
                out.push(member);
            }
        }
    }
    out.into_iter().map(|m| m.name.clone()).collect()
}

/// Splits rows into chunks that fit a message; one empty chunk if there are none.
fn chunks<T>(rows: &[T]) -> impl Iterator<Item = &[T]> {
    let count = rows.len().div_ceil(MAX_ROWS).max(1);
    (0..count).map(move |i| &rows[i * MAX_ROWS..rows.len().min((i + 1) * MAX_ROWS)])
}
