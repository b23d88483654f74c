//! Choice of the endpoint for one request.
//!
//! Candidates come from two sources: the rendezvous ranking of the prompt's prefix blocks at
//! growing depths, on which all instances agree, and a rotating sample of the pool. The candidate
//! with the least predicted time to first token wins: time in the queue, prefill of what is
//! presumably not cached, and the distance of its availability zone. A candidate without a free
//! slot is over its bound and only taken if no other is left. The cost does not depend on the
//! number of endpoints, unless all the sampled ones are unusable.

use {
    crate::{
        health,
        known::depths,
        prefix::BLOCK_TOKENS,
        ranking::mix,
        table::{Pool, Table},
    },
    agate_core::{EndpointId, Mono, PoolId, ZoneId},
    std::{sync::atomic::Ordering::Relaxed, time::Duration},
    thiserror::Error,
};

/// Endpoints sampled beside those of the ranking.
pub const SAMPLE: usize = 2;
/// Endpoints scanned for a free slot when the ranked and the sampled ones have none.
pub const SCAN: usize = 64;
/// Least part of the prompt that a home is expected to cache to be considered, as a divisor.
pub const WORTH: u32 = 8;
/// Fraction of the hold time by which a full batch delays a first token, as a divisor.
pub const CONTENTION: u32 = 16;

/// One request to place.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Pool that serves it.
    pub pool: PoolId,
    /// Availability zone that distances are counted from.
    pub zone: ZoneId,
    /// Hashes of the prompt's blocks, salted with the organisation.
    pub prefix: &'a [u64],
    /// Estimated tokens of the prompt.
    pub tokens: u32,
    /// Endpoints that were tried before.
    pub avoid: &'a [EndpointId],
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NoEndpoint {
    /// The pool has no members.
    #[error("choosing an endpoint: pool {0} has no members")]
    Empty(PoolId),
    /// Every member is offline, leaving or was tried before.
    #[error("choosing an endpoint: no member of pool {0} is usable")]
    Unusable(PoolId),
}

/// An endpoint with what it was chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub id: EndpointId,
    /// Whether it has no free slot; then no other candidate had one.
    pub full: bool,
    /// Predicted time from sending the request to its first token.
    pub delay: Duration,
    /// Tokens of the prompt that it is expected to have cached.
    pub cached: u32,
}

/// Best candidate so far.
type Best = Option<Choice>;

/// Chooses the endpoint for `ask`.
pub fn choose(table: &Table, ask: &Ask<'_>, now: Mono) -> Result<EndpointId, NoEndpoint> {
    weigh(table, ask, now).map(|c| c.id)
}

/// Chooses the endpoint for `ask`, and tells what it was chosen by.
pub fn weigh(table: &Table, ask: &Ask<'_>, now: Mono) -> Result<Choice, NoEndpoint> {
    let pool = table.pools.get(ask.pool as usize).ok_or(NoEndpoint::Empty(ask.pool))?;
    if pool.near.is_empty() && pool.far.is_empty() {
        return Err(NoEndpoint::Empty(ask.pool));
    }
    let mut best: Best = None;
    by_prefix(table, pool, ask, now, &mut best);
    by_sample(table, pool, ask, now, &mut best);
    if best.is_none_or(|b| b.full) {
        by_scan(table, pool, ask, now, &mut best);
    }
    best.ok_or(NoEndpoint::Unusable(ask.pool))
}

/// Considers, at depths 1, 2, 4 and so on, the endpoint known to cache the prefix and its homes by
/// the ranking. A home counts with the share of prefixes that were cached there so far.
fn by_prefix(table: &Table, pool: &Pool, ask: &Ask<'_>, now: Mono, best: &mut Best) {
    for (i, depth) in depths(ask.prefix.len()) {
        let block = ask.prefix[depth - 1];
        let tokens = (depth as u32 * BLOCK_TOKENS).min(ask.tokens);
        if let Some(id) = table.known.get(block) {
            consider(table, ask, id, tokens, now, best);
        }
        for (rank, id) in pool.ranking.get(block).enumerate() {
            let expected = (table.known.trust(i, rank) * tokens as f32) as u32;
            if expected * WORTH >= ask.tokens {
                consider(table, ask, id, expected, now, best);
            }
        }
    }
}

/// Considers a rotating sample of the near endpoints.
fn by_sample(table: &Table, pool: &Pool, ask: &Ask<'_>, now: Mono, best: &mut Best) {
    if pool.local.is_empty() {
        return;
    }
    let turn = table.turn.fetch_add(SAMPLE as u32, Relaxed);
    for i in 0..SAMPLE as u32 {
        let draw = mix(table.seed, u64::from(turn.wrapping_add(i)));
        let id = pool.local[draw as usize % pool.local.len()];
        consider(table, ask, id, 0, now, best);
    }
}

/// Considers further endpoints from a rotating position until one has a free slot.
///
/// Looks at [`SCAN`] endpoints if one over its bound is in hand, else at all of them, far ones
/// last.
fn by_scan(table: &Table, pool: &Pool, ask: &Ask<'_>, now: Mono, best: &mut Best) {
    let start = table.turn.fetch_add(1, Relaxed) as usize;
    let count = pool.local.len();
    let local = (0..count).map(|i| pool.local[(start + i) % count]);
    let rest = pool.near.iter().chain(&pool.far).copied();
    for (i, id) in local.chain(rest).enumerate() {
        let full = best.is_none_or(|b| b.full);
        if !full || (best.is_some() && i >= SCAN) {
            return;
        }
        consider(table, ask, id, 0, now, best);
    }
}

fn consider(table: &Table, ask: &Ask<'_>, id: EndpointId, cached: u32, now: Mono, best: &mut Best) {
    let Some(endpoint) = table.endpoints.get(id as usize).filter(|e| e.pool == ask.pool) else {
        return;
    };
    let live = &endpoint.live;
    if live.leaving.load(Relaxed) || ask.avoid.contains(&id) || !health::usable(&live.health, now) {
        return;
    }
    let slots = live.slots(endpoint.slots);
    let inflight = live.inflight(now);
    let full = inflight >= slots;
    let delay = delay(table, ask, id, cached, inflight, slots);
    if best.is_none_or(|b| (full, delay) < (b.full, b.delay)) {
        *best = Some(Choice { id, full, delay, cached });
    }
}

/// Predicted time from sending the request to its first token.
fn delay(
    table: &Table,
    ask: &Ask<'_>,
    id: EndpointId,
    cached: u32,
    inflight: u32,
    slots: u32,
) -> Duration {
    let live = &table.endpoints[id as usize].live;
    let ahead = (inflight + 1).saturating_sub(slots);
    let queue = live.hold() * ahead / slots;
    let contention = live.hold() * inflight.min(slots) / slots / CONTENTION;
    let uncached = u64::from(ask.tokens.saturating_sub(cached));
    let prefill = Duration::from_micros(uncached * 1_000_000 / u64::from(live.prefill()));
    queue + contention + prefill + table.distance(ask.zone, id) * 2
}
