//! What changed in the set of endpoints, so that an instance is sent no more than it lacks.
//!
//! A coordinator remembers which endpoints each of the newest steps of its set touched. An instance
//! tells the digest of the set that it knows; if that is one of the remembered ones, it gets the
//! entries of the endpoints that were touched since. Otherwise it gets all entries.

use {
    crate::message::{Change, Changes, Entries, Message},
    agate_view::{
        Entry,
        roster::{Digest, EndpointName},
    },
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, sync::Arc},
};

/// Steps that are remembered; at two reads of the store a second, about half a minute.
const STEPS: usize = 64;
/// Entries of endpoints in one message, below what a datagram holds.
pub const ROWS: usize = 8;
/// Answers that are kept made, for as many digests.
const MADE: usize = 16;

/// The set of endpoints that a coordinator vouches for, and what its newest steps touched.
#[derive(Clone, Debug, Default)]
pub struct History {
    digest: Digest,
    entries: Arc<Vec<Entry>>,
    /// Digests before each step, with the endpoints that it touched; oldest first.
    steps: VecDeque<(Digest, Vec<EndpointName>)>,
    made: IndexMap<Digest, Arc<Vec<Message>>>,
}

impl History {
    /// Takes over the set that is in force now.
    pub fn note(&mut self, digest: Digest, entries: &Arc<Vec<Entry>>) {
        if digest == self.digest {
            return;
        }
        let touched = touched(&self.entries, entries);
        self.steps.push_back((self.digest, touched));
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        (self.digest, self.entries) = (digest, entries.clone());
        self.made.clear();
    }

    /// Messages that bring an instance which knows the set of digest `known` up to this one.
    pub fn since(&mut self, known: Digest) -> Arc<Vec<Message>> {
        if let Some(made) = self.made.get(&known) {
            return made.clone();
        }
        let made = Arc::new(self.changes(known).unwrap_or_else(|| self.whole()));
        if self.made.len() == MADE {
            self.made.shift_remove_index(0);
        }
        self.made.insert(known, made.clone());
        made
    }

    /// The changes since `known`; `None` if that is not remembered or all entries are less.
    fn changes(&self, known: Digest) -> Option<Vec<Message>> {
        let from = self.steps.iter().rposition(|(before, _)| *before == known)?;
        let touched: IndexSet<&EndpointName> =
            self.steps.range(from..).flat_map(|(_, names)| names).collect();
        if touched.len() >= self.entries.len() {
            return None;
        }
        let put: IndexMap<&EndpointName, &Entry> = self
            .entries
            .iter()
            .filter(|e| touched.contains(&e.name))
            .map(|e| (&e.name, e))
            .collect();
        let row = |name: &EndpointName| match put.get(name) {
            Some(entry) => Change::Put((*entry).clone()),
            None => Change::Remove(name.clone()),
        };
        let rows: Vec<Change> = touched.into_iter().map(row).collect();
        // A set that went back to what it was has no rows, but the instance waits for a part.
        let chunks: Vec<&[Change]> =
            if rows.is_empty() { vec![&[]] } else { rows.chunks(ROWS).collect() };
        let parts = chunks.len() as u32;
        let message = |(part, chunk): (usize, &&[Change])| {
            let (part, rows) = (part as u32, chunk.to_vec());
            Message::Changes(Changes { from: known, digest: self.digest, part, parts, rows })
        };
        Some(chunks.iter().enumerate().map(message).collect())
    }

    fn whole(&self) -> Vec<Message> {
        let parts = self.entries.len().div_ceil(ROWS) as u32;
        let message = |(part, chunk): (usize, &[Entry])| {
            let (part, entries) = (part as u32, chunk.to_vec());
            Message::Entries(Entries { digest: self.digest, part, parts, entries })
        };
        self.entries.chunks(ROWS).enumerate().map(message).collect()
    }
}

/// Endpoints whose entries differ between two sets.
fn touched(old: &[Entry], new: &[Entry]) -> Vec<EndpointName> {
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
