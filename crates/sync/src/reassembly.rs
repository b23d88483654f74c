//! Reassembles endpoint entries from the messages of a coordinator.
//!
//! These messages confirm nothing by themselves, since they may have been delayed for long. The
//! result is used only if its digest is the one that the coordinator's latest response confirmed.

use {
    crate::{
        message::{Change, Changes, Entries},
        poller::Confirmation,
    },
    agate_core::Mono,
    agate_view::{
        Entry,
        roster::{Digest, EndpointName, digest_of},
    },
    indexmap::IndexMap,
};

/// The update to which a message belongs. Messages of different updates are not combined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Transition {
    /// Digest of the set to which changes apply; `None` for a full set.
    from: Option<Digest>,
    /// Digest of the resulting set.
    to: Digest,
}

/// Messages of one update that have arrived so far.
#[derive(Clone, Debug, Default)]
pub struct Reassembly {
    transition: Transition,
    parts: IndexMap<u32, Vec<Change>>,
}

impl Reassembly {
    /// Adds a message of a full set. Returns the set and the time of its confirmation once all
    /// messages are there and `confirmed`, the latest confirmation by a coordinator, has the digest
    /// of this set.
    pub fn add_entries(
        &mut self,
        part: Entries,
        confirmed: Option<Confirmation>,
    ) -> Option<(Vec<Entry>, Mono)> {
        let rows = part.entries.into_iter().map(Change::Put).collect();
        let transition = Transition { from: None, to: part.digest };
        let whole = self.add_part(transition, part.part, part.parts, rows)?;
        apply_changes(&[], whole, part.digest, confirmed)
    }

    /// Same as [`Self::add_entries`] for an incremental update of the set `known`, whose digest is
    /// `digest`. An update of another set is ignored.
    pub fn add_changes(
        &mut self,
        part: Changes,
        known: &[Entry],
        digest: Digest,
        confirmed: Option<Confirmation>,
    ) -> Option<(Vec<Entry>, Mono)> {
        if part.from != digest {
            return None;
        }
        let transition = Transition { from: Some(part.from), to: part.digest };
        let whole = self.add_part(transition, part.part, part.parts, part.rows)?;
        apply_changes(known, whole, part.digest, confirmed)
    }

    /// Adds a message; returns all changes once the last one is there.
    fn add_part(
        &mut self,
        transition: Transition,
        part: u32,
        parts: u32,
        rows: Vec<Change>,
    ) -> Option<Vec<Change>> {
        if transition != self.transition {
            *self = Self { transition, ..Self::default() };
        }
        self.parts.insert(part, rows);
        if self.parts.len() < parts as usize {
            return None;
        }
        Some(std::mem::take(self).parts.into_values().flatten().collect())
    }
}

/// Applies `rows` to `known`. Returns the result if its digest is `digest` and confirmed.
fn apply_changes(
    known: &[Entry],
    rows: Vec<Change>,
    digest: Digest,
    confirmed: Option<Confirmation>,
) -> Option<(Vec<Entry>, Mono)> {
    let confirmation = confirmed.filter(|v| v.version == digest)?;
    let mut set: IndexMap<EndpointName, Entry> =
        known.iter().map(|e| (e.name.clone(), e.clone())).collect();
    for row in rows {
        match row {
            Change::Put(entry) => {
                set.insert(entry.name.clone(), entry);
            }
            Change::Remove(name) => {
                set.swap_remove(&name);
            }
        }
    }
    let entries: Vec<Entry> = set.into_values().collect();
    (digest_of(&entries) == digest).then_some((entries, confirmation.at))
}
