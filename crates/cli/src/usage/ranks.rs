//! Which instances stand for the leases of usage shards, so that no instance carries two of the
//! heavy roles: watcher of the configuration, holder of a shard, keeper of copies.
//!
//! Computed alike by all instances from their own views of the members; differing views cost calls
//! and bytes, not safety. In a small fleet, where these roles cannot be kept apart, they are not.

use {
    agate_config::spread::{self, watchers},
    agate_lease::rank,
    agate_member::Member,
    agate_usage::Source,
    indexmap::{IndexMap, IndexSet},
    std::sync::Arc,
};

/// Candidates of each shard's lease.
pub const CANDIDATES: usize = 3;
/// Part of the instances, as its inverse, above which candidates keep copies like all others.
const FEW: usize = 3;

/// Roles of the instances of one snapshot of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    /// Candidates of each shard.
    pub shards: Vec<IndexSet<Source>>,
    /// Instances that shall keep no copies of others.
    pub busy: IndexSet<Source>,
}

/// Ranks of the last snapshot, made anew only for another one.
#[derive(Default)]
pub struct Held {
    source: Arc<Vec<Member>>,
    ranks: Arc<Ranks>,
}

impl Held {
    /// Ranks of the members of `live` and the instance `own` of `zone`.
    pub fn of(&mut self, live: Arc<Vec<Member>>, zone: &str, own: &str, shards: u32) -> Arc<Ranks> {
        if self.ranks.shards.is_empty() || !Arc::ptr_eq(&self.source, &live) {
            let others = live.iter().map(|m| (&*m.place.zone, &*m.name));
            self.ranks = Arc::new(assign(others.chain([(zone, own)]), shards));
            self.source = live;
        }
        self.ranks.clone()
    }
}

/// Assigns the roles among `members`, given by availability zone and name.
pub fn assign<'a>(members: impl Iterator<Item = (&'a str, &'a str)>, shards: u32) -> Ranks {
    let mut zones: IndexMap<&str, Vec<Source>> = IndexMap::new();
    members.for_each(|(zone, name)| zones.entry(zone).or_default().push(name.into()));
    let settings = spread::Settings::default();
    let watch = |zone: &Vec<Source>| watchers(zone, settings.share, settings.min_watchers);
    let watching: IndexSet<Source> = zones.values().flat_map(watch).collect();
    let all: Vec<&Source> = zones.values().flatten().collect();
    let free: Vec<&Source> = all.iter().copied().filter(|n| !watching.contains(*n)).collect();
    let eligible = if 2 * free.len() >= all.len() { &free } else { &all };
    let mut standing: IndexSet<Source> = IndexSet::new();
    let mut stand = |shard| {
        // Nobody stands for two shards as long as there are enough others.
        let apart = FEW * (standing.len() + CANDIDATES) <= eligible.len();
        let names = eligible.iter().filter(|n| !apart || !standing.contains(**n));
        let (name, names) = (lease_name(shard), names.map(|n| &***n));
        let chosen = rank::candidates(&name, names, CANDIDATES).into_iter().map(Source::from);
        let chosen: IndexSet<Source> = chosen.collect();
        standing.extend(chosen.iter().cloned());
        chosen
    };
    let shards = (0..shards).map(&mut stand).collect();
    let busy = if FEW * standing.len() <= all.len() { standing } else { IndexSet::new() };
    Ranks { shards, busy }
}

/// Name of a shard's lease.
pub fn lease_name(shard: u32) -> String {
    format!("usage/{shard}")
}
