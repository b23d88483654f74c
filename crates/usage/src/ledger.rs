//! Copies of the counters of other instances.
//!
//! Merging takes the maximum of each counter, so it is idempotent, commutative and associative:
//! duplicated and reordered messages do no harm.

use {
    crate::{
        counter::{Message, to_vec},
        figures::{Row, Rows, Source, Window, shard_of},
    },
    agate_core::Mono,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Counters of one source for one shard, as known to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Instance that counted.
    pub source: Source,
    /// The rows of windows below this one are complete and final.
    pub closed: Window,
    /// Rows of the shard with their absolute values.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
}

/// Copy of the counters of one source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterCopy {
    /// Windows below this one are complete and final.
    pub closed: Window,
    /// Latest known values.
    pub rows: Rows,
    /// When a message or a requested part was last merged; unaffected by relayed parts.
    last_merge: Mono,
}

/// Copies of counters, by source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    copies: IndexMap<Source, CounterCopy>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a peer's message, after which its round can be acknowledged.
    pub fn merge(&mut self, message: &Message, now: Mono) {
        self.apply(&message.source, message.closed, &message.rows, now);
    }

    /// Merges a part that was requested for a shard.
    pub fn merge_part(&mut self, part: &Part, now: Mono) {
        self.apply(&part.source, part.closed, &part.rows, now);
    }

    /// Merges a part that another instance relays, either for a silent source or because that
    /// instance stops.
    ///
    /// The part must contain all shards and all windows of the horizon. It does not count as a
    /// message of the source: the source stays silent here, so this instance provides and relays
    /// its copy too.
    pub fn merge_relayed(&mut self, part: &Part) {
        self.apply(&part.source, part.closed, &part.rows, Mono::ZERO);
    }

    /// Iterates over all sources and copies.
    pub fn copies(&self) -> impl Iterator<Item = (&Source, &CounterCopy)> {
        self.copies.iter()
    }

    /// Copies of sources that have been silent for at least `quiet`, restricted to `want`. Other
    /// sources provide their counters themselves. A `quiet` of zero selects all copies.
    pub fn parts(&self, want: &PartRequest, quiet: Duration, now: Mono) -> Vec<Part> {
        let silent = self.copies.iter().filter(|(_, c)| c.last_merge + quiet <= now);
        silent.map(|(source, c)| want.part(source, c)).collect()
    }

    /// Removes windows below `oldest`, and sources without any remaining data.
    pub fn prune(&mut self, oldest: Window) {
        for copy in self.copies.values_mut() {
            copy.rows.retain(|k, _| k.window >= oldest);
        }
        self.copies.retain(|_, c| !c.rows.is_empty() || c.closed >= oldest);
    }

    fn apply(&mut self, source: &Source, closed: Window, rows: &[Row], now: Mono) {
        let copy = self.copies.entry(source.clone()).or_default();
        copy.closed = copy.closed.max(closed);
        copy.last_merge = copy.last_merge.max(now);
        for row in rows {
            let known = copy.rows.entry(row.key.clone()).or_default();
            *known = known.max(row.figures);
        }
    }
}

/// Request for counters that the lease holder of a shard sends to all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Number of the shard.
    pub shard: u32,
    /// Total number of shards.
    pub shards: u32,
    /// Oldest window, inclusive.
    pub oldest: Window,
    /// Newest window, inclusive.
    pub newest: Window,
}

impl PartRequest {
    /// Selects all shards and all windows from `oldest` on, as for relaying to peers.
    pub fn everything(oldest: Window) -> Self {
        Self { shard: 0, shards: 1, oldest, newest: Window::MAX - 1 }
    }

    fn part(&self, source: &Source, copy: &CounterCopy) -> Part {
        let selected = |w: Window, org: &str| {
            (self.oldest..=self.newest).contains(&w) && shard_of(org, self.shards) == self.shard
        };
        let rows = copy.rows.iter().filter(|(k, _)| selected(k.window, &k.org));
        let rows = rows.map(|(k, f)| (k.clone(), *f)).collect();
        let closed = copy.closed.min(self.newest + 1);
        Part { source: source.clone(), closed, rows: to_vec(rows) }
    }
}
