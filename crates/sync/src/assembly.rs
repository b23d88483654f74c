//! Puts the entries of endpoints together from the parts that a coordinator sends.
//!
//! The parts prove nothing by themselves, since they may have been under way for long. They count
//! only if their digest is the one that the newest answer of a coordinator vouched for.

use {
    crate::{
        asker::Confirmed,
        message::{Change, Changes, Entries},
    },
    agate_core::Mono,
    agate_view::{
        Entry,
        roster::{Digest, EndpointName, digest_of},
    },
    indexmap::IndexMap,
};

/// What parts lead to, and from where: parts of different ways are not joined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Way {
    /// Digest of the set that changes are to be applied to; `None` for a whole set.
    from: Option<Digest>,
    /// Digest of the set that they lead to.
    to: Digest,
}

/// Parts of one set of entries.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    way: Way,
    parts: IndexMap<u32, Vec<Change>>,
}

impl Assembly {
    /// Takes a part of a whole set in; returns the set with the time of its proof once all parts are
    /// there and `vouched`, the newest proof of a coordinator, is of this very set.
    pub fn take(
        &mut self,
        part: Entries,
        vouched: Option<Confirmed>,
    ) -> Option<(Vec<Entry>, Mono)> {
        let rows = part.entries.into_iter().map(Change::Put).collect();
        let way = Way { from: None, to: part.digest };
        let whole = self.add(way, part.part, part.parts, rows)?;
        finish(&[], whole, part.digest, vouched)
    }

    /// The same for a part of what changed since the set of digest `digest`, which has the entries
    /// `known`.
    pub fn change(
        &mut self,
        part: Changes,
        known: &[Entry],
        digest: Digest,
        vouched: Option<Confirmed>,
    ) -> Option<(Vec<Entry>, Mono)> {
        if part.from != digest {
            return None;
        }
        let way = Way { from: Some(part.from), to: part.digest };
        let whole = self.add(way, part.part, part.parts, part.rows)?;
        finish(known, whole, part.digest, vouched)
    }

    /// Adds a part; returns all changes once they are there.
    fn add(&mut self, way: Way, part: u32, parts: u32, rows: Vec<Change>) -> Option<Vec<Change>> {
        if way != self.way {
            *self = Self { way, ..Self::default() };
        }
        self.parts.insert(part, rows);
        if self.parts.len() < parts as usize {
            return None;
        }
        Some(std::mem::take(self).parts.into_values().flatten().collect())
    }
}

/// The set that `rows` make of `known`, if it is the one that is vouched for.
fn finish(
    known: &[Entry],
    rows: Vec<Change>,
    digest: Digest,
    vouched: Option<Confirmed>,
) -> Option<(Vec<Entry>, Mono)> {
    let proof = vouched.filter(|v| v.version == digest)?;
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
    (digest_of(&entries) == digest).then_some((entries, proof.at))
}
