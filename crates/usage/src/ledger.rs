//! Copies of other instances' counters.
//!
//! Merging takes the greater value of each counter, so it is idempotent, commutative and
//! associative: the order and number of messages make no difference.

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

/// What one source counted, as far as the sender of the part knows, for one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Who counted.
    pub source: Source,
    /// The rows of windows below this one are final and complete.
    pub closed: Window,
    /// Rows of the shard.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
}

/// Copy of one source's counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Copy {
    /// Windows below this one are final and complete.
    pub closed: Window,
    /// Latest known rows.
    pub rows: Rows,
    heard: Mono,
}

/// Copies of counters by source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    copies: IndexMap<Source, Copy>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a peer's message; afterwards its round may be acknowledged.
    pub fn merge(&mut self, message: &Message, now: Mono) {
        self.take(&message.source, message.closed, &message.rows, now);
    }

    /// Merges a part that was collected for a shard.
    pub fn merge_part(&mut self, part: &Part, now: Mono) {
        self.take(&part.source, part.closed, &part.rows, now);
    }

    /// Merges what another instance holds of a source that is silent, or hands on when it stops.
    ///
    /// The part must hold all shards and every window of the horizon. It is no sign of life: the
    /// source stays silent here, so this instance answers for it and hands it on in its turn.
    pub fn merge_relayed(&mut self, part: &Part) {
        self.take(&part.source, part.closed, &part.rows, Mono::ZERO);
    }

    /// Copies by source.
    pub fn copies(&self) -> impl Iterator<Item = (&Source, &Copy)> {
        self.copies.iter()
    }

    /// What is held of sources that have been silent for `quiet`: a source that is heard answers
    /// for itself. With a `quiet` of zero, everything that is held.
    pub fn parts(&self, want: &Want, quiet: Duration, now: Mono) -> Vec<Part> {
        let silent = self.copies.iter().filter(|(_, c)| c.heard + quiet <= now);
        silent.map(|(source, c)| want.part(source, c)).collect()
    }

    /// Drops windows below `oldest`, and sources of which nothing is left.
    pub fn prune(&mut self, oldest: Window) {
        for copy in self.copies.values_mut() {
            copy.rows.retain(|k, _| k.window >= oldest);
        }
        self.copies.retain(|_, c| !c.rows.is_empty() || c.closed >= oldest);
    }

    fn take(&mut self, source: &Source, closed: Window, rows: &[Row], now: Mono) {
        let copy = self.copies.entry(source.clone()).or_default();
        copy.closed = copy.closed.max(closed);
        copy.heard = copy.heard.max(now);
        for row in rows {
            let held = copy.rows.entry(row.key.clone()).or_default();
            *held = held.latest(row.figures);
        }
    }
}

/// What the holder of a shard asks of every instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The shard.
    pub shard: u32,
    /// Number of shards.
    pub shards: u32,
    /// Oldest window wanted.
    pub oldest: Window,
    /// Newest window wanted.
    pub newest: Window,
}

impl Want {
    /// Everything from window `oldest` on: what is relayed to peers.
    pub fn everything(oldest: Window) -> Self {
        Self { shard: 0, shards: 1, oldest, newest: Window::MAX - 1 }
    }

    fn part(&self, source: &Source, copy: &Copy) -> Part {
        let wanted = |w: Window, org: &str| {
            (self.oldest..=self.newest).contains(&w) && shard_of(org, self.shards) == self.shard
        };
        let rows = copy.rows.iter().filter(|(k, _)| wanted(k.window, &k.org));
        let rows = rows.map(|(k, f)| (k.clone(), *f)).collect();
        let closed = copy.closed.min(self.newest + 1);
        Part { source: source.clone(), closed, rows: to_vec(rows) }
    }
}
