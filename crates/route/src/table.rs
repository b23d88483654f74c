//! Dense table of endpoints.
//!
//! Endpoints are kept by identifier; each pool lists its members and the rendezvous ranking of
//! those near the home availability zone. A table is immutable but for the shared [`Live`]
//! figures: [`Table::rebuild`] makes the next one and carries these over by identifier, so counts
//! of requests in flight survive a change of the configuration.

use {
    crate::{
        health::{self, Kind},
        known::{Known, depths},
        live::Live,
        prefix::BLOCK_TOKENS,
        ranking::{Ranking, mix, name_hash},
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

/// Near endpoints of a pool that one instance samples and counts at most.
pub const SUBSET: usize = 128;
/// Part of an endpoint's slots that is reserved for urgent requests, as a divisor.
pub const RESERVE: u32 = 8;
/// Distance up to which an availability zone counts as near.
pub const NEAR: Duration = Duration::from_millis(10);

/// What an engine does for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill of long prompts only.
    Prefill,
    /// Decode, and short prompts as a whole.
    Decode,
}

/// One endpoint as the configuration describes it.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// Identifier in this process.
    pub id: EndpointId,
    /// Name, the same on every instance.
    pub name: &'a str,
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Requests it takes at once, until it reports its own number.
    pub slots: u32,
    /// Its role.
    pub role: Role,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Configured slots.
    pub slots: u32,
    /// Its role.
    pub role: Role,
    /// Live figures.
    pub live: Arc<Live>,
}

/// One-way delays between availability zones.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    rows: Vec<Vec<Duration>>,
}

impl Distances {
    /// Delay assumed between two zones of which nothing is known.
    pub const DEFAULT: Duration = Duration::from_micros(1_500);

    /// Sets the delay between two zones, both ways.
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

    /// Delay between two zones.
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
pub struct Room {
    /// Slots for any request.
    pub free: u32,
    /// Further slots, for urgent requests: other instances may be filling the same ones.
    pub reserved: u32,
}

/// Members of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// Members that take new requests and lie near the home zone.
    pub near: Vec<EndpointId>,
    /// The other members that take new requests, nearest first.
    pub far: Vec<EndpointId>,
    /// Part of `near` that this instance samples; instances differ in it.
    pub local: Vec<EndpointId>,
    /// Ranking of the near members.
    pub ranking: Arc<Ranking>,
}

/// State of every endpoint that this instance knows.
#[derive(Debug)]
pub struct Table {
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) distances: Distances,
    pub(crate) turn: AtomicU32,
    pub(crate) seed: u64,
    pub(crate) known: Arc<Known>,
    home: ZoneId,
}

impl Table {
    /// Returns a table without endpoints for an instance in zone `home`; `seed` varies the sampling
    /// between instances.
    pub fn new(home: ZoneId, distances: Distances, seed: u64) -> Self {
        let turn = AtomicU32::new(0);
        let known = Arc::new(Known::default());
        Self { endpoints: Vec::new(), pools: Vec::new(), distances, turn, seed, known, home }
    }

    /// Returns the same table as seen from zone `home` with other distances; pools keep their order
    /// until the table is rebuilt.
    pub fn relocate(&self, home: ZoneId, distances: Distances) -> Self {
        let mut next = Self::new(home, distances, self.seed);
        next.turn = AtomicU32::new(self.turn.load(Relaxed));
        next.endpoints = self.endpoints.clone();
        next.pools = self.pools.clone();
        next
    }

    /// Builds the next table from the whole new list of endpoints.
    ///
    /// Live figures are carried over by identifier. An endpoint that is no longer listed keeps its
    /// entry, so that its requests in flight can finish, but belongs to no pool.
    pub fn rebuild<'a>(old: &Table, specs: impl IntoIterator<Item = Spec<'a>>) -> Self {
        let mut next = Self {
            endpoints: old.endpoints.clone(),
            pools: Vec::new(),
            distances: old.distances.clone(),
            turn: AtomicU32::new(old.turn.load(Relaxed)),
            seed: old.seed,
            known: old.known.clone(),
            home: old.home,
        };
        let mut members: Vec<Vec<(EndpointId, u64)>> = vec![Vec::new(); old.pools.len()];
        for spec in specs {
            next.put(&spec);
            let pool = spec.pool as usize;
            if members.len() <= pool {
                members.resize(pool + 1, Vec::new());
            }
            if spec.role != Role::Prefill {
                members[pool].push((spec.id, name_hash(spec.name)));
            }
        }
        for (i, list) in members.into_iter().enumerate() {
            let pool = next.pool(list, old.pools.get(i));
            next.pools.push(pool);
        }
        next
    }

    fn put(&mut self, spec: &Spec<'_>) {
        let i = spec.id as usize;
        while self.endpoints.len() <= i {
            let live = Arc::new(Live::default());
            let empty = Endpoint { pool: 0, zone: 0, slots: 0, role: Role::Whole, live };
            self.endpoints.push(empty);
        }
        let live = self.endpoints[i].live.clone();
        live.leaving.store(spec.leaving, Relaxed);
        let (pool, zone, slots, role) = (spec.pool, spec.zone, spec.slots, spec.role);
        self.endpoints[i] = Endpoint { pool, zone, slots, role, live };
    }

    fn pool(&self, mut members: Vec<(EndpointId, u64)>, old: Option<&Pool>) -> Pool {
        members.sort_by_key(|(_, hash)| *hash);
        let delay = |id: EndpointId| self.distance(self.home, id);
        let (near, mut far): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|(id, _)| delay(*id) <= NEAR);
        far.sort_by_key(|(id, hash)| (delay(*id), *hash));
        let ranking = match old {
            Some(p) if p.ranking.same(&near) => p.ranking.clone(),
            _ => Arc::new(Ranking::build(near.clone())),
        };
        let local = subset(&near, self.seed);
        let ids = |list: Vec<(EndpointId, u64)>| list.into_iter().map(|(id, _)| id).collect();
        Pool { near: ids(near), far: ids(far), local, ranking }
    }

    /// Counts free slots of a pool as this instance sees them, up to `limit` in all.
    ///
    /// Looks at no more than [`SUBSET`] near endpoints, beginning at a rotating one, and at far
    /// ones only if none of these takes requests.
    pub fn room(&self, pool: PoolId, limit: u32, now: Mono) -> Room {
        let Some(pool) = self.pools.get(pool as usize) else { return Room::default() };
        let start = self.turn.fetch_add(1, Relaxed) as usize;
        let count = pool.local.len();
        let local = (0..count).map(|i| pool.local[(start + i) % count]);
        match self.room_of(local, limit, now) {
            Some(room) => room,
            None => {
                let rest = pool.near.iter().chain(&pool.far).copied();
                self.room_of(rest, limit, now).unwrap_or_default()
            }
        }
    }

    /// Slots of the endpoints at which [`Table::room`] looks, filled or not.
    pub fn capacity(&self, pool: PoolId, now: Mono) -> u32 {
        let Some(pool) = self.pools.get(pool as usize) else { return 0 };
        let slots = |ids: &[EndpointId]| ids.iter().map(|id| self.use_of(*id, now).0).sum::<u32>();
        match slots(&pool.local) {
            0 => slots(&pool.near) + slots(&pool.far),
            local => local,
        }
    }

    /// Whether any member of a pool takes requests.
    pub fn usable(&self, pool: PoolId, now: Mono) -> bool {
        self.members(pool).any(|id| self.use_of(id, now).0 > 0)
    }

    /// Counts free slots of some endpoints; none if no endpoint takes requests.
    fn room_of(
        &self,
        ids: impl Iterator<Item = EndpointId>,
        limit: u32,
        now: Mono,
    ) -> Option<Room> {
        let mut room = Room::default();
        let mut usable = false;
        for id in ids {
            let (slots, inflight) = self.use_of(id, now);
            usable |= slots > 0;
            let reserve = slots / RESERVE;
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

    /// Counts free slots of a pool as this instance sees them, up to `limit`.
    pub fn free_slots(&self, pool: PoolId, limit: u32, now: Mono) -> u32 {
        let room = self.room(pool, limit, now);
        room.free + room.reserved
    }

    /// Slots of an endpoint and requests at it; no slots if it takes no new requests.
    fn use_of(&self, id: EndpointId, now: Mono) -> (u32, u32) {
        let endpoint = &self.endpoints[id as usize];
        let live = &endpoint.live;
        if live.leaving.load(Relaxed) || !health::usable(&live.health, now) {
            return (0, 0);
        }
        (live.slots(endpoint.slots), live.inflight(now))
    }

    /// Availability zone of this instance.
    pub fn home(&self) -> ZoneId {
        self.home
    }

    /// Delay from zone `from` to an endpoint.
    pub fn distance(&self, from: ZoneId, id: EndpointId) -> Duration {
        self.distances.get(from, self.endpoints[id as usize].zone)
    }

    /// The entry of an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if the identifier was never listed.
    pub fn endpoint(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id as usize]
    }

    /// Members of a pool that take new requests, near ones first.
    pub fn members(&self, pool: PoolId) -> impl Iterator<Item = EndpointId> + '_ {
        let pool = self.pools.get(pool as usize);
        pool.into_iter().flat_map(|p| p.near.iter().chain(&p.far)).copied()
    }

    /// Counts a request as sent to an endpoint.
    pub fn start(&self, id: EndpointId) {
        self.endpoint(id).live.outstanding.fetch_add(1, Relaxed);
    }

    /// Counts a request as ended, and records its result and the time that it held its slot.
    pub fn finish(&self, id: EndpointId, kind: Kind, held: Duration, now: Mono) {
        let live = &self.endpoint(id).live;
        let before = live.outstanding.fetch_sub(1, Relaxed);
        debug_assert!(before > 0, "a request ended that was never started");
        if kind == Kind::Success {
            live.note_hold(held);
        }
        if health::on_result(&live.health, kind, now) {
            self.return_early(self.endpoint(id).pool, now);
        }
    }

    /// Records that an endpoint answered a prompt with this prefix, of which it had `cached` tokens
    /// in its cache; the whole prefix is cached there now.
    pub fn note_cached(&self, id: EndpointId, prefix: &[u64], cached: u32) {
        let ranking = &self.pools[self.endpoint(id).pool as usize].ranking;
        for (i, depth) in depths(prefix.len()) {
            let block = prefix[depth - 1];
            let hit = cached >= depth as u32 * BLOCK_TOKENS;
            if let Some(rank) = ranking.get(block).position(|home| home == id) {
                self.known.learn(i, rank, hit);
            }
            self.known.store(block, id);
        }
    }

    /// Takes over an endpoint's cache event; the blocks are hashes of this instance's kind.
    pub fn cache_event(&self, id: EndpointId, stored: &[u64], evicted: &[u64]) {
        stored.iter().for_each(|block| self.known.store(*block, id));
        evicted.iter().for_each(|block| self.known.evict(*block, id));
    }

    /// Brings endpoints back before their time if too few of a pool are left.
    fn return_early(&self, pool: PoolId, now: Mono) {
        let members: Vec<_> = self.members(pool).collect();
        let list: Vec<_> = members.iter().map(|id| &self.endpoint(*id).live.health).collect();
        health::return_early(&list, now);
    }
}

/// The [`SUBSET`] members with the highest rendezvous hash for the instance of this seed.
fn subset(members: &[(EndpointId, u64)], seed: u64) -> Vec<EndpointId> {
    let mut ranked: Vec<_> = members.iter().map(|(id, hash)| (mix(*hash, seed), *id)).collect();
    ranked.sort_unstable();
    ranked.truncate(SUBSET);
    ranked.into_iter().map(|(_, id)| id).collect()
}
