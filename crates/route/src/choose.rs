//! Choice of the endpoint for one request.
//!
//! Candidates come from two sources: the rendezvous ranking of the prompt's prefix blocks at
//! increasing depths, on which all instances agree, and a rotating sample of the pool. The
//! candidate with the lowest predicted time to first token wins. The prediction covers queueing,
//! prefill of the tokens that are probably not cached, and the distance of the availability zone. A
//! candidate without a free slot is chosen only if no other is left. The cost does not depend on
//! the number of endpoints, unless no sampled endpoint is usable.

use {
    crate::{
        cache_index::depths,
        health,
        prefix::BLOCK_TOKENS,
        ranking::mix,
        table::{Pool, Table},
    },
    agate_core::{EndpointId, Mono, PoolId, ZoneId},
    std::{sync::atomic::Ordering::Relaxed, time::Duration},
    thiserror::Error,
};

/// Number of endpoints sampled in addition to those of the ranking.
pub const SAMPLE_SIZE: usize = 2;
/// Number of endpoints scanned for a free slot when the ranked and sampled ones have none.
pub const MAX_SCAN: usize = 64;
/// Minimum fraction of the prompt, as a divisor, that a home must be expected to cache to be
/// considered.
pub const MIN_CACHED_DIVISOR: u32 = 8;
/// Fraction of the slot time, as a divisor, by which a full batch delays a first token.
pub const CONTENTION_DIVISOR: u32 = 16;

/// One request to place.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Pool to choose from.
    pub pool: PoolId,
    /// Availability zone from which distances are measured.
    pub zone: ZoneId,
    /// Hashes of the prompt's blocks, as returned by [`crate::prefix::blocks`].
    pub prefix: &'a [u64],
    /// Estimated length of the prompt in tokens.
    pub tokens: u32,
    /// Endpoints that were already tried.
    pub avoid: &'a [EndpointId],
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NoEndpoint {
    /// The pool has no members.
    #[error("choosing an endpoint: pool {0} has no members")]
    Empty(PoolId),
    /// Every member is offline, leaving or was already tried.
    #[error("choosing an endpoint: no member of pool {0} is usable")]
    Unusable(PoolId),
}

/// A chosen endpoint with the values that decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Whether it has no free slot; no other candidate had one either.
    pub full: bool,
    /// Predicted time from sending the request to its first token.
    pub delay: Duration,
    /// Number of prompt tokens that it is expected to have cached.
    pub cached: u32,
}

/// Best candidate so far.
type Best = Option<Choice>;

/// Chooses the endpoint for `ask`.
///
/// # Errors
///
/// Returns [`NoEndpoint`] if the pool has no members or none is usable.
pub fn choose(table: &Table, ask: &RouteQuery<'_>, now: Mono) -> Result<EndpointId, NoEndpoint> {
    evaluate(table, ask, now).map(|c| c.id)
}

/// Chooses the endpoint for `ask` and returns it with the values that decided.
///
/// # Errors
///
/// Returns [`NoEndpoint`] if the pool has no members or none is usable.
pub fn evaluate(table: &Table, ask: &RouteQuery<'_>, now: Mono) -> Result<Choice, NoEndpoint> {
    let pool = table.pools.get(ask.pool as usize).ok_or(NoEndpoint::Empty(ask.pool))?;
    if pool.near.is_empty() && pool.far.is_empty() {
        return Err(NoEndpoint::Empty(ask.pool));
    }
    let mut best: Best = None;
    consider_prefix(table, pool, ask, now, &mut best);
    consider_sample(table, pool, ask, now, &mut best);
    if best.is_none_or(|b| b.full) {
        consider_scan(table, pool, ask, now, &mut best);
    }
    best.ok_or(NoEndpoint::Unusable(ask.pool))
}

/// Considers, at depths 1, 2, 4 and so on, the endpoint known to cache the prefix, and the prefix's
/// homes by the ranking. A home's cached tokens are weighted by its hit rate.
fn consider_prefix(table: &Table, pool: &Pool, ask: &RouteQuery<'_>, now: Mono, best: &mut Best) {
    for (i, depth) in depths(ask.prefix.len()) {
        let block = ask.prefix[depth - 1];
        let tokens = (depth as u32 * BLOCK_TOKENS).min(ask.tokens);
        if let Some(id) = table.cache_index.get(block) {
            consider(table, ask, id, tokens, now, best);
        }
        for (rank, id) in pool.ranking.get(block).enumerate() {
            let expected = (table.cache_index.hit_rate(i, rank) * tokens as f32) as u32;
            if expected * MIN_CACHED_DIVISOR >= ask.tokens {
                consider(table, ask, id, expected, now, best);
            }
        }
    }
}

/// Considers a rotating sample of the near endpoints.
fn consider_sample(table: &Table, pool: &Pool, ask: &RouteQuery<'_>, now: Mono, best: &mut Best) {
    if pool.subset.is_empty() {
        return;
    }
    let start = table.rotation.fetch_add(SAMPLE_SIZE as u32, Relaxed);
    for i in 0..SAMPLE_SIZE as u32 {
        let draw = mix(table.seed, u64::from(start.wrapping_add(i)));
        let id = pool.subset[draw as usize % pool.subset.len()];
        consider(table, ask, id, 0, now, best);
    }
}

/// Considers further endpoints from a rotating position until one has a free slot.
///
/// Stops after [`MAX_SCAN`] endpoints if a full candidate was found; otherwise considers all, far
/// ones last.
fn consider_scan(table: &Table, pool: &Pool, ask: &RouteQuery<'_>, now: Mono, best: &mut Best) {
    let start = table.rotation.fetch_add(1, Relaxed) as usize;
    let count = pool.subset.len();
    let local = (0..count).map(|i| pool.subset[(start + i) % count]);
    let rest = pool.near.iter().chain(&pool.far).copied();
    for (i, id) in local.chain(rest).enumerate() {
        let full = best.is_none_or(|b| b.full);
        if !full || (best.is_some() && i >= MAX_SCAN) {
            return;
        }
        consider(table, ask, id, 0, now, best);
    }
}

fn consider(
    table: &Table,
    ask: &RouteQuery<'_>,
    id: EndpointId,
    cached: u32,
    now: Mono,
    best: &mut Best,
) {
    let Some(endpoint) = table.endpoints.get(id as usize).filter(|e| e.pool == ask.pool) else {
        return;
    };
    let live = &endpoint.stats;
    let usable = health::usable(&live.health, now) && !live.resting(now);
    if live.leaving.load(Relaxed) || ask.avoid.contains(&id) || !usable {
        return;
    }
    let slots = live.slots(endpoint.slots);
    let inflight = live.inflight(now);
    let full = inflight >= slots;
    let delay = predicted_delay(table, ask, id, cached, inflight, slots);
    if best.is_none_or(|b| (full, delay) < (b.full, b.delay)) {
        *best = Some(Choice { id, full, delay, cached });
    }
}

/// Predicted time from sending the request to its first token.
fn predicted_delay(
    table: &Table,
    ask: &RouteQuery<'_>,
    id: EndpointId,
    cached: u32,
    inflight: u32,
    slots: u32,
) -> Duration {
    let live = &table.endpoints[id as usize].stats;
    let ahead = (inflight + 1).saturating_sub(slots);
    let queue = live.hold() * ahead / slots;
    let contention = live.hold() * inflight.min(slots) / slots / CONTENTION_DIVISOR;
    let uncached = u64::from(ask.tokens.saturating_sub(cached));
    let prefill = Duration::from_micros(uncached * 1_000_000 / u64::from(live.prefill()));
    queue + contention + prefill + table.distance(ask.zone, id) * 2
}
