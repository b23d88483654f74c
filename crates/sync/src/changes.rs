//! Incremental updates of the endpoint set, so that an instance receives only the entries that it
//! lacks.
//!
//! A coordinator remembers which endpoints changed in each of the latest versions of its set. A
//! request holds the digest of the set that the instance knows. If that digest is remembered, the
//! instance receives the entries that changed since. Otherwise it receives the full set.

use {
    crate::message::{Change, Changes, Entries, Message},
    agate_view::{
        Entry,
        roster::{Digest, EndpointName},
    },
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, sync::Arc},
};

/// Number of versions remembered: about half a minute at two reads of the store per second.
const MAX_STEPS: usize = 64;
/// Entries in one message; they fit into a datagram.
pub const CHUNK_ENTRIES: usize = 8;
/// Number of digests for which the update messages are cached.
const MAX_CACHED: usize = 16;

/// Endpoint set that a coordinator has confirmed, and what changed in its latest versions.
#[derive(Clone, Debug, Default)]
pub struct History {
    digest: Digest,
    entries: Arc<Vec<Entry>>,
    /// Digest before each change of the set and the names of the endpoints that changed; oldest
    /// first.
    steps: VecDeque<(Digest, Vec<EndpointName>)>,
    cached: IndexMap<Digest, Arc<Vec<Message>>>,
}

impl History {
    /// Replaces the current set by `entries`, whose digest is `digest`, and records what changed.
    /// Does nothing if the digest is the current one.
    pub fn record(&mut self, digest: Digest, entries: &Arc<Vec<Entry>>) {
        if digest == self.digest {
            return;
        }
        let changed = changed_names(&self.entries, entries);
        self.steps.push_back((self.digest, changed));
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
        (self.digest, self.entries) = (digest, entries.clone());
        self.cached.clear();
    }

    /// Messages that update an instance from the set with digest `known` to the current one.
    pub fn updates_since(&mut self, known: Digest) -> Arc<Vec<Message>> {
        if let Some(messages) = self.cached.get(&known) {
            return messages.clone();
        }
        let messages = Arc::new(self.delta_since(known).unwrap_or_else(|| self.full_set()));
        if self.cached.len() == MAX_CACHED {
            self.cached.shift_remove_index(0);
        }
        self.cached.insert(known, messages.clone());
        messages
    }

    /// Changes since the set with digest `known`; `None` if it is not remembered or the full set is
    /// not larger.
    fn delta_since(&self, known: Digest) -> Option<Vec<Message>> {
        let from = self.steps.iter().rposition(|(before, _)| *before == known)?;
        let changed: IndexSet<&EndpointName> =
            self.steps.range(from..).flat_map(|(_, names)| names).collect();
        if changed.len() >= self.entries.len() {
            return None;
        }
        let current: IndexMap<&EndpointName, &Entry> = self
            .entries
            .iter()
            .filter(|e| changed.contains(&e.name))
            .map(|e| (&e.name, e))
            .collect();
        let row = |name: &EndpointName| match current.get(name) {
            Some(entry) => Change::Put((*entry).clone()),
            None => Change::Remove(name.clone()),
        };
        let rows: Vec<Change> = changed.into_iter().map(row).collect();
        // A set that changed back has no changes, but the instance still waits for one message.
        let chunks: Vec<&[Change]> =
            if rows.is_empty() { vec![&[]] } else { rows.chunks(CHUNK_ENTRIES).collect() };
        let parts = chunks.len() as u32;
        let message = |(part, chunk): (usize, &&[Change])| {
            let (part, rows) = (part as u32, chunk.to_vec());
            Message::Changes(Changes { from: known, digest: self.digest, part, parts, rows })
        };
        Some(chunks.iter().enumerate().map(message).collect())
    }

    fn full_set(&self) -> Vec<Message> {
        let parts = self.entries.len().div_ceil(CHUNK_ENTRIES) as u32;
        let message = |(part, chunk): (usize, &[Entry])| {
            let (part, entries) = (part as u32, chunk.to_vec());
            Message::Entries(Entries { digest: self.digest, part, parts, entries })
        };
        self.entries.chunks(CHUNK_ENTRIES).enumerate().map(message).collect()
    }
}

/// Names of the endpoints whose entries differ between two sets.
fn changed_names(old: &[Entry], new: &[Entry]) -> Vec<EndpointName> {
    let mut before: IndexMap<&EndpointName, &Entry> = old.iter().map(|e| (&e.name, e)).collect();
    let mut out = Vec::new();
    for entry in new {
        if before.swap_remove(&entry.name) != Some(entry) {
            out.push(entry.name.clone());
        }
    }
    out.extend(before.into_keys().cloned());
    out
}
