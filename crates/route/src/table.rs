//! Table of endpoints, indexed by identifier.
//!
//! Each pool lists its members and the rendezvous ranking of those near the home availability zone.
//! A table is immutable except for the shared [`EndpointStats`]: [`Table::rebuild`] makes the next
//! table and carries them over by identifier, so the counts of requests in flight survive a change
//! of the configuration.

use {
    crate::{
        cache_index::{CacheIndex, depths},
        health::{self, ExchangeResult},
        prefix::BLOCK_TOKENS,
        ranking::{Ranking, mix, name_hash},
        stats::EndpointStats,
    },
    agate_core::{EndpointId, Mono, PoolId, ZoneId},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering::Relaxed},
        },
        time::Duration,
    },
};

/// Maximum number of near endpoints of a pool that one instance samples and counts.
pub const MAX_SUBSET: usize = 128;
/// Fraction of an endpoint's slots, as a divisor, that is reserved for urgent requests.
pub const RESERVE_DIVISOR: u32 = 8;
/// One-way delay up to which an availability zone counts as near.
pub const MAX_NEAR_DELAY: Duration = Duration::from_millis(10);

/// Part of the work that an engine does for requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill of long prompts only.
    Prefill,
    /// Decode, and both for short prompts.
    Decode,
}

/// Configuration of one endpoint.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// Identifier, valid in this process only.
    pub id: EndpointId,
    /// Name, equal on every instance.
    pub name: &'a str,
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Number of concurrent requests, used until it reports its own number.
    pub slots: u32,
    /// Work that it does; plain services do [`Role::Whole`].
    pub role: Role,
    /// Whether it takes no new requests.
    pub leaving: bool,
}

/// An endpoint in the table.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Configured number of concurrent requests.
    pub slots: u32,
    /// Work that it does.
    pub role: Role,
    /// Load and health, shared with earlier and later tables.
    pub stats: Arc<EndpointStats>,
}

/// One-way delays between availability zones.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    rows: Vec<Vec<Duration>>,
}

impl Distances {
    /// Delay between two zones for which none was set.
    pub const DEFAULT: Duration = Duration::from_micros(1_500);

    /// Sets the one-way delay between two zones, for both directions.
    pub fn set(&mut self, a: ZoneId, b: ZoneId, delay: Duration) {
        for (from, to) in [(a as usize, b as usize), (b as usize, a as usize)] {
            if self.rows.len() <= from {
                self.rows.resize(from + 1, Vec::new());
            }
            let row = &mut self.rows[from];
            if row.len() <= to {
                row.resize(to + 1, Self::DEFAULT);
            }
            row[to] = delay;
        }
    }

    /// One-way delay between two zones; zero within a zone.
    pub fn get(&self, a: ZoneId, b: ZoneId) -> Duration {
        if a == b {
            return Duration::ZERO;
        }
        let row = self.rows.get(a as usize);
        row.and_then(|r| r.get(b as usize)).copied().unwrap_or(Self::DEFAULT)
    }
}

/// Free slots of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeSlots {
    /// Free slots for any request.
    pub free: u32,
    /// Additional free slots for urgent requests. They are held back since other instances may be
    /// filling the same slots.
    pub reserved: u32,
}

/// Members of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// Members near the home zone.
    pub near: Vec<EndpointId>,
    /// The other members, nearest first.
    pub far: Vec<EndpointId>,
    /// Subset of `near` that this instance samples; it differs between instances.
    pub subset: Vec<EndpointId>,
    /// Ranking of the near members.
    pub ranking: Arc<Ranking>,
}

/// State of every endpoint that this instance knows.
#[derive(Debug)]
pub struct Table {
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) distances: Distances,
    pub(crate) rotation: AtomicU32,
    pub(crate) seed: u64,
    pub(crate) cache_index: Arc<CacheIndex>,
    home: ZoneId,
}

impl Table {
    /// Makes a table without endpoints for an instance in zone `home`; `seed` varies the sampling
    /// between instances.
    pub fn new(home: ZoneId, distances: Distances, seed: u64) -> Self {
        let rotation = AtomicU32::new(0);
        let cache_index = Arc::new(CacheIndex::default());
        Self {
            endpoints: Vec::new(),
            pools: Vec::new(),
            distances,
            rotation,
            seed,
            cache_index,
            home,
        }
    }

    /// Makes a copy of the table for zone `home` with other distances and an empty cache index.
    /// Pools keep their order until the table is rebuilt.
    pub fn relocate(&self, home: ZoneId, distances: Distances) -> Self {
        let mut next = Self::new(home, distances, self.seed);
        next.rotation = AtomicU32::new(self.rotation.load(Relaxed));
        next.endpoints = self.endpoints.clone();
        next.pools = self.pools.clone();
        next
    }

    /// Builds the next table from the complete new list of endpoints.
    ///
    /// Statistics are carried over by identifier. An endpoint that is no longer listed keeps its
    /// entry, so that its requests in flight can finish, but belongs to no pool.
    pub fn rebuild<'a>(old: &Table, specs: impl IntoIterator<Item = Spec<'a>>) -> Self {
        let mut next = Self {
            endpoints: old.endpoints.clone(),
            pools: Vec::new(),
            distances: old.distances.clone(),
            rotation: AtomicU32::new(old.rotation.load(Relaxed)),
            seed: old.seed,
            cache_index: old.cache_index.clone(),
            home: old.home,
        };
        let mut members: Vec<Vec<(EndpointId, u64)>> = vec![Vec::new(); old.pools.len()];
        for spec in specs {
            next.set_endpoint(&spec);
            let pool = spec.pool as usize;
            if members.len() <= pool {
                members.resize(pool + 1, Vec::new());
            }
            if spec.role != Role::Prefill {
                members[pool].push((spec.id, name_hash(spec.name)));
            }
        }
        for (i, list) in members.into_iter().enumerate() {
            let pool = next.build_pool(list, old.pools.get(i));
            next.pools.push(pool);
        }
        next
    }

    fn set_endpoint(&mut self, spec: &Spec<'_>) {
        let i = spec.id as usize;
        while self.endpoints.len() <= i {
            let stats = Arc::new(EndpointStats::default());
            let empty = Endpoint { pool: 0, zone: 0, slots: 0, role: Role::Whole, stats };
            self.endpoints.push(empty);
        }
        let stats = self.endpoints[i].stats.clone();
        stats.leaving.store(spec.leaving, Relaxed);
        let (pool, zone, slots, role) = (spec.pool, spec.zone, spec.slots, spec.role);
        self.endpoints[i] = Endpoint { pool, zone, slots, role, stats };
    }

    fn build_pool(&self, mut members: Vec<(EndpointId, u64)>, old: Option<&Pool>) -> Pool {
        members.sort_by_key(|(_, hash)| *hash);
        let delay = |id: EndpointId| self.distance(self.home, id);
        let (near, mut far): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|(id, _)| delay(*id) <= MAX_NEAR_DELAY);
        far.sort_by_key(|(id, hash)| (delay(*id), *hash));
        let ranking = match old {
            Some(p) if p.ranking.is_built_from(&near) => p.ranking.clone(),
            _ => Arc::new(Ranking::build(near.clone())),
        };
        let subset = subset(&near, self.seed);
        let ids = |list: Vec<(EndpointId, u64)>| list.into_iter().map(|(id, _)| id).collect();
        Pool { near: ids(near), far: ids(far), subset, ranking }
    }

    /// Counts free slots of a pool as this instance knows them, at most `limit` in total.
    ///
    /// Counts at most [`MAX_SUBSET`] near endpoints, starting at a rotating one. If none of these
    /// takes requests, counts all others.
    pub fn count_free(&self, pool: PoolId, limit: u32, now: Mono) -> FreeSlots {
        let Some(pool) = self.pools.get(pool as usize) else { return FreeSlots::default() };
        let start = self.rotation.fetch_add(1, Relaxed) as usize;
        let count = pool.subset.len();
        let local = (0..count).map(|i| pool.subset[(start + i) % count]);
        match self.count_free_of(local, limit, now) {
            Some(room) => room,
            None => {
                let rest = pool.near.iter().chain(&pool.far).copied();
                self.count_free_of(rest, limit, now).unwrap_or_default()
            }
        }
    }

    /// Total number of slots, free or not, of the endpoints that [`Table::count_free`] counts.
    pub fn capacity(&self, pool: PoolId, now: Mono) -> u32 {
        let Some(pool) = self.pools.get(pool as usize) else { return 0 };
        let slots =
            |ids: &[EndpointId]| ids.iter().map(|id| self.slot_usage(*id, now).0).sum::<u32>();
        match slots(&pool.subset) {
            0 => slots(&pool.near) + slots(&pool.far),
            local => local,
        }
    }

    /// Whether any member of a pool takes requests.
    pub fn usable(&self, pool: PoolId, now: Mono) -> bool {
        self.members(pool).any(|id| self.slot_usage(id, now).0 > 0)
    }

    /// Time until the first endpoint of a pool ends its rest; `None` if none rests.
    pub fn rest_left(&self, pool: PoolId, now: Mono) -> Option<Duration> {
        let left = self.members(pool).map(|id| self.endpoints[id as usize].stats.rest_left(now));
        left.filter(|left| !left.is_zero()).min()
    }

    /// Counts free slots of some endpoints; `None` if no endpoint takes requests.
    fn count_free_of(
        &self,
        ids: impl Iterator<Item = EndpointId>,
        limit: u32,
        now: Mono,
    ) -> Option<FreeSlots> {
        let mut room = FreeSlots::default();
        let mut usable = false;
        for id in ids {
            let (slots, inflight) = self.slot_usage(id, now);
            usable |= slots > 0;
            let reserve = slots / RESERVE_DIVISOR;
            room.free += (slots - reserve).saturating_sub(inflight);
            room.reserved += slots.saturating_sub(inflight).min(reserve);
            if room.free >= limit {
                break;
            }
        }
        room.free = room.free.min(limit);
        room.reserved = room.reserved.min(limit - room.free);
        usable.then_some(room)
    }

    /// Counts all free slots of a pool, including reserved ones, at most `limit`.
    pub fn free_slots(&self, pool: PoolId, limit: u32, now: Mono) -> u32 {
        let room = self.count_free(pool, limit, now);
        room.free + room.reserved
    }

    /// Number of slots of an endpoint and of requests there; no slots if it takes no new requests.
    fn slot_usage(&self, id: EndpointId, now: Mono) -> (u32, u32) {
        let endpoint = &self.endpoints[id as usize];
        let stats = &endpoint.stats;
        let usable = health::usable(&stats.health, now) && !stats.resting(now);
        if stats.leaving.load(Relaxed) || !usable {
            return (0, 0);
        }
        (stats.slots(endpoint.slots), stats.inflight(now))
    }

    /// Availability zone of this instance.
    pub fn home(&self) -> ZoneId {
        self.home
    }

    /// One-way delay from zone `from` to an endpoint.
    pub fn distance(&self, from: ZoneId, id: EndpointId) -> Duration {
        self.distances.get(from, self.endpoints[id as usize].zone)
    }

    /// Returns the entry of an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if no endpoint with this or a higher identifier was ever listed.
    pub fn endpoint(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id as usize]
    }

    /// Members of a pool, near ones first, without engines that only prefill.
    pub fn members(&self, pool: PoolId) -> impl Iterator<Item = EndpointId> + '_ {
        let pool = self.pools.get(pool as usize);
        pool.into_iter().flat_map(|p| p.near.iter().chain(&p.far)).copied()
    }

    /// Counts a request as sent to an endpoint.
    pub fn start(&self, id: EndpointId) {
        self.endpoint(id).stats.outstanding.fetch_add(1, Relaxed);
    }

    /// Counts a request as ended and records its result and the time for which it held its slot.
    pub fn finish(&self, id: EndpointId, kind: ExchangeResult, held: Duration, now: Mono) {
        let stats = &self.endpoint(id).stats;
        let before = stats.outstanding.fetch_sub(1, Relaxed);
        debug_assert!(before > 0, "a request ended that was never started");
        if kind == ExchangeResult::Success {
            stats.record_hold(held);
        }
        if health::on_result(&stats.health, kind, now) {
            self.return_early(self.endpoint(id).pool, now);
        }
    }

    /// Records that an endpoint responded to a prompt with this prefix, of which it had `cached`
    /// tokens in its cache; the whole prefix is cached there now.
    pub fn note_cached(&self, id: EndpointId, prefix: &[u64], cached: u32) {
        let ranking = &self.pools[self.endpoint(id).pool as usize].ranking;
        for (i, depth) in depths(prefix.len()) {
            let block = prefix[depth - 1];
            let hit = cached >= depth as u32 * BLOCK_TOKENS;
            if let Some(rank) = ranking.get(block).position(|home| home == id) {
                self.cache_index.record_hit(i, rank, hit);
            }
            self.cache_index.store(block, id);
        }
    }

    /// Applies an endpoint's cache event; the blocks are hashes as in [`crate::prefix::blocks`].
    pub fn cache_event(&self, id: EndpointId, stored: &[u64], evicted: &[u64]) {
        stored.iter().for_each(|block| self.cache_index.store(*block, id));
        evicted.iter().for_each(|block| self.cache_index.evict(*block, id));
    }

    /// Brings endpoints of a pool back online early if too few are usable.
    fn return_early(&self, pool: PoolId, now: Mono) {
        let members: Vec<_> = self.members(pool).collect();
        let list: Vec<_> = members.iter().map(|id| &self.endpoint(*id).stats.health).collect();
        health::return_early(&list, now);
    }
}

/// Selects at most [`MAX_SUBSET`] members by rendezvous hash with the instance's seed.
fn subset(members: &[(EndpointId, u64)], seed: u64) -> Vec<EndpointId> {
    let mut ranked: Vec<_> = members.iter().map(|(id, hash)| (mix(*hash, seed), *id)).collect();
    ranked.sort_unstable();
    ranked.truncate(MAX_SUBSET);
    ranked.into_iter().map(|(_, id)| id).collect()
}
