//! Assigns the candidates for the leases of usage shards, so that no instance has two expensive
//! roles: watching the configuration, holding a shard, keeping copies.
//!
//! All instances compute the same assignment from their own views of the members; differing views
//! cost calls and bytes but not safety. In a fleet too small to separate these roles they overlap.

use {
    agate_config::spread::{self, watchers},
    agate_lease::rank,
    agate_member::Member,
    agate_usage::Source,
    indexmap::{IndexMap, IndexSet},
    std::sync::Arc,
};

/// Number of candidates for each shard's lease.
pub const CANDIDATES: usize = 3;
/// Minimum ratio of instances to candidates for keeping roles apart; in a smaller fleet, candidates
/// keep copies like all others.
const MIN_ROLE_RATIO: usize = 3;

/// Roles of the instances in one membership snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoleAssignment {
    /// Names of the candidates for each shard, by shard number.
    pub shards: Vec<IndexSet<Source>>,
    /// Instances that should keep no copies for others.
    pub busy: IndexSet<Source>,
}

/// Roles for the last snapshot, recomputed only for a different one.
#[derive(Default)]
pub struct CachedRoles {
    source: Arc<Vec<Member>>,
    roles: Arc<RoleAssignment>,
}

impl CachedRoles {
    /// Returns the roles among the members of `live` and the instance `own` of `zone`.
    pub fn update(
        &mut self,
        live: Arc<Vec<Member>>,
        zone: &str,
        own: &str,
        shards: u32,
    ) -> Arc<RoleAssignment> {
        if self.roles.shards.is_empty() || !Arc::ptr_eq(&self.source, &live) {
            let others = live.iter().map(|m| (&*m.place.zone, &*m.name));
            self.roles = Arc::new(assign(others.chain([(zone, own)]), shards));
            self.source = live;
        }
        self.roles.clone()
    }
}

/// Assigns the roles among `members`, given as pairs of availability zone and name.
pub fn assign<'a>(
    members: impl Iterator<Item = (&'a str, &'a str)>,
    shards: u32,
) -> RoleAssignment {
    let mut zones: IndexMap<&str, Vec<Source>> = IndexMap::new();
    members.for_each(|(zone, name)| zones.entry(zone).or_default().push(name.into()));
    let settings = spread::Settings::default();
    let watch = |zone: &Vec<Source>| watchers(zone, settings.watcher_share, settings.min_watchers);
    let config_watchers: IndexSet<Source> = zones.values().flat_map(watch).collect();
    let all: Vec<&Source> = zones.values().flatten().collect();
    let free: Vec<&Source> =
        all.iter().copied().filter(|n| !config_watchers.contains(*n)).collect();
    let eligible = if 2 * free.len() >= all.len() { &free } else { &all };
    let mut candidates: IndexSet<Source> = IndexSet::new();
    let mut choose = |shard| {
        // No instance is a candidate for two shards as long as there are enough others.
        let apart = MIN_ROLE_RATIO * (candidates.len() + CANDIDATES) <= eligible.len();
        let names = eligible.iter().filter(|n| !apart || !candidates.contains(**n));
        let (name, names) = (lease_name(shard), names.map(|n| &***n));
        let chosen = rank::candidates(&name, names, CANDIDATES).into_iter().map(Source::from);
        let chosen: IndexSet<Source> = chosen.collect();
        candidates.extend(chosen.iter().cloned());
        chosen
    };
    let shards = (0..shards).map(&mut choose).collect();
    let busy =
        if MIN_ROLE_RATIO * candidates.len() <= all.len() { candidates } else { IndexSet::new() };
    RoleAssignment { shards, busy }
}

/// Name of a shard's lease.
pub fn lease_name(shard: u32) -> String {
    format!("usage/{shard}")
}
