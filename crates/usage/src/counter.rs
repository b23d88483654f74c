//! Counters of one instance, with the changes that its peers have not acknowledged.
//!
//! A row holds the absolute value of a counter, so messages may be lost, duplicated or reordered. A
//! message to a peer contains all rows that changed since the last round the peer acknowledged. A
//! peer that merged it therefore has everything counted up to its round. A restarted peer has a new
//! name and gets all rows again.

use {
    crate::{
        clock::WindowClock,
        figures::{Figures, Row, RowKey, Rows, Source, Window, shard_of},
        ledger::Part,
    },
    agate_core::{Mono, Wall},
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Rows that a peer may not have yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Instance that counted.
    pub source: Source,
    /// Round of the message, which the peer's acknowledgement repeats.
    pub round: u64,
    /// Windows below this one are final.
    pub closed: Window,
    /// Changed rows with their absolute values.
    #[serde(with = "crate::pack")]
    pub rows: Vec<Row>,
}

/// Value of a counter and the round in which it last changed.
#[derive(Clone, Copy, Debug)]
struct Cell {
    figures: Figures,
    round: u64,
}

/// Counters of one instance.
#[derive(Clone, Debug)]
pub struct Counter {
    source: Source,
    clock: WindowClock,
    round: u64,
    cells: IndexMap<RowKey, Cell>,
    /// Rows whose current values each peer has not acknowledged.
    pending: IndexMap<Source, IndexSet<RowKey>>,
}

impl Counter {
    /// Creates empty counters. The name `source` must be different for each start of an instance.
    pub fn open(source: impl Into<Source>, clock: WindowClock) -> Self {
        Self {
            source: source.into(),
            clock,
            round: 1,
            cells: IndexMap::new(),
            pending: IndexMap::new(),
        }
    }

    /// Adds work that ended now to the current window.
    pub fn count(
        &mut self,
        org: &Arc<str>,
        model: &Arc<str>,
        work: Figures,
        wall: Wall,
        now: Mono,
    ) {
        self.clock.read(wall, now);
        let key = RowKey { window: self.clock.window(), org: org.clone(), model: model.clone() };
        let empty = Cell { figures: Figures::default(), round: 0 };
        let cell = self.cells.entry(key.clone()).or_insert(empty);
        cell.figures = cell.figures.saturating_add(work);
        cell.round = self.round;
        for pending in self.pending.values_mut() {
            if !pending.contains(&key) {
                pending.insert(key.clone());
            }
        }
    }

    /// Sets the peers that keep copies. New peers are sent all rows.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Source>) {
        let mut old = std::mem::take(&mut self.pending);
        for peer in peers {
            let all = || self.cells.keys().cloned().collect();
            let pending = old.swap_remove(&peer).unwrap_or_else(all);
            self.pending.insert(peer, pending);
        }
    }

    /// Starts a round and returns the message for each peer.
    pub fn ship(&mut self, wall: Wall, now: Mono) -> Vec<(Source, Message)> {
        self.clock.read(wall, now);
        let (round, closed) = (self.round, self.clock.window());
        self.round += 1;
        let message = |rows: &IndexSet<RowKey>| Message {
            source: self.source.clone(),
            round,
            closed,
            rows: rows.iter().map(|k| self.row(k)).collect(),
        };
        self.pending.iter().map(|(peer, rows)| (peer.clone(), message(rows))).collect()
    }

    /// Records that `peer` has merged the message of `round`.
    pub fn acknowledge(&mut self, peer: &str, round: u64) {
        let cells = &self.cells;
        if let Some(pending) = self.pending.get_mut(peer) {
            pending.retain(|key| cells.get(key).is_some_and(|c| c.round > round));
        }
    }

    /// Whether at least one peer has acknowledged everything, or nothing was counted. A graceful
    /// stop waits for it.
    pub fn is_shipped(&self) -> bool {
        self.pending.values().any(IndexSet::is_empty) || self.cells.is_empty()
    }

    /// Rows of `shard`, one of `shards`, in the windows from `oldest` to `newest`.
    pub fn part(&self, shard: u32, shards: u32, oldest: Window, newest: Window) -> Part {
        let selected =
            |k: &RowKey| (oldest..=newest).contains(&k.window) && shard_of(&k.org, shards) == shard;
        let rows: Rows = self
            .cells
            .iter()
            .filter(|(k, _)| selected(k))
            .map(|(k, c)| (k.clone(), c.figures))
            .collect();
        let closed = self.clock.window().min(newest + 1);
        Part { source: self.source.clone(), closed, rows: to_vec(rows) }
    }

    /// Removes windows below `oldest`.
    pub fn prune(&mut self, oldest: Window) {
        self.cells.retain(|k, _| k.window >= oldest);
        for pending in self.pending.values_mut() {
            pending.retain(|k| k.window >= oldest);
        }
    }

    fn row(&self, key: &RowKey) -> Row {
        Row { key: key.clone(), figures: self.cells[key].figures }
    }
}

pub(crate) fn to_vec(rows: Rows) -> Vec<Row> {
    rows.into_iter().map(|(key, figures)| Row { key, figures }).collect()
}
