//! The members of an instance's scope.
//!
//! Entries are sorted by name, so that a view can be transferred in pages. The checksum covers the
//! names of live members. [`View::insert`] and [`View::set_status`] keep it up to date; nothing
//! else changes the status of an entry.

use {
    agate_core::Mono,
    agate_wire::{Name, Place, Status},
    indexmap::IndexMap,
    rand::{Rng, RngExt},
    xxhash_rust::xxh3::xxh3_64,
};

/// A known instance, as other crates see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance, unique in the fleet.
    pub name: Name,
    /// Highest known incarnation.
    pub incarnation: u64,
    /// Status as this instance knows it.
    pub status: Status,
    /// Zone, region and address.
    pub place: Place,
    /// Whether the instance is a contact in another scope. Of other scopes only a sample is known.
    pub contact: bool,
}

/// The suspicion of a member that may have failed.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When this instance first learned of the suspicion.
    pub(crate) since: Mono,
    /// Distinct accusers, including the first one.
    pub(crate) accusers: Vec<Name>,
    /// Whether this instance has probed the member since then.
    pub(crate) probed: bool,
}

/// State of a member of the scope.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) incarnation: u64,
    pub(crate) status: Status,
    pub(crate) place: Place,
    /// When the status last changed.
    pub(crate) since: Mono,
    /// When the member last acknowledged a probe of this instance.
    pub(crate) acked: Option<Mono>,
    /// Whether this instance itself declared the member failed, rather than learned it from
    /// another.
    pub(crate) declared_here: bool,
    pub(crate) suspicion: Option<Suspicion>,
}

impl Entry {
    pub(crate) fn alive(incarnation: u64, place: Place, now: Mono) -> Self {
        let (status, suspicion) = (Status::Alive, None);
        Self {
            incarnation,
            status,
            place,
            since: now,
            acked: None,
            declared_here: false,
            suspicion,
        }
    }

    pub(crate) fn live(&self) -> bool {
        is_live(self.status)
    }
}

pub(crate) fn is_live(s: Status) -> bool {
    matches!(s, Status::Alive | Status::Suspect)
}

/// Members of the scope, without the instance itself.
#[derive(Clone, Debug)]
pub(crate) struct View {
    members: IndexMap<Name, Entry>,
    live: usize,
    suspects: usize,
    checksum: u64,
}

impl View {
    /// Returns a view without members; the checksum covers only the instance itself.
    pub(crate) fn new(own_name: &Name) -> Self {
        Self { members: IndexMap::new(), live: 0, suspects: 0, checksum: name_hash(own_name) }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Entry> {
        self.members.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Entry> {
        self.members.get_mut(name)
    }

    pub(crate) fn is_live(&self, name: &str) -> bool {
        self.get(name).is_some_and(Entry::live)
    }

    /// Returns the number of live members, without the instance itself.
    pub(crate) fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of suspected members.
    pub(crate) fn suspects(&self) -> usize {
        self.suspects
    }

    /// Returns the checksum of the names of live members, including the instance itself.
    pub(crate) fn checksum(&self) -> u64 {
        self.checksum
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.members.iter()
    }

    /// Returns the entries whose names sort after `after`, in order of name.
    pub(crate) fn iter_after(&self, after: Option<&Name>) -> impl Iterator<Item = (&Name, &Entry)> {
        let start = match after.map(|n| self.members.binary_search_keys(n)) {
            None => 0,
            Some(Ok(i)) => i + 1,
            Some(Err(i)) => i,
        };
        self.members.iter().skip(start)
    }

    /// Inserts or replaces an entry.
    pub(crate) fn insert(&mut self, name: Name, entry: Entry) {
        let old = self.get(&name).map(|e| e.status);
        self.update_totals(&name, old, entry.status);
        self.members.insert_sorted(name, entry);
    }

    /// Sets the status of a known member and returns its entry.
    pub(crate) fn set_status(&mut self, name: &Name, status: Status, now: Mono) -> &mut Entry {
        let old = self.get(name).map(|e| e.status);
        self.update_totals(name, old, status);
        let e = self.members.get_mut(name).expect("the member is in the view");
        e.status = status;
        e.since = now;
        if status != Status::Suspect {
            e.suspicion = None;
        }
        e
    }

    /// Removes members that have been failed or have left for at least `retention`.
    pub(crate) fn expire(&mut self, now: Mono, retention: Mono) {
        self.members.retain(|_, e| e.live() || now < e.since + retention);
    }

    /// Returns a random member that `accept` accepts, or `None` if [`MAX_DRAWS`] random draws find
    /// none.
    pub(crate) fn random_member(
        &self,
        rng: &mut dyn Rng,
        mut accept: impl FnMut(&Name, &Entry) -> bool,
    ) -> Option<(&Name, &Entry)> {
        if self.members.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let i = rng.random_range(0..self.members.len());
            let (n, e) = self.members.get_index(i).expect("the index is in range");
            if accept(n, e) {
                return Some((n, e));
            }
        }
        None
    }

    /// Returns up to `count` distinct random live members, without `except`.
    pub(crate) fn sample(&self, rng: &mut dyn Rng, count: usize, except: &str) -> Vec<Name> {
        let mut names: Vec<Name> = Vec::with_capacity(count);
        for _ in 0..count {
            let accept = |n: &Name, e: &Entry| e.live() && &**n != except && !names.contains(n);
            let Some(n) = self.random_member(rng, accept).map(|(n, _)| n.clone()) else { break };
            names.push(n);
        }
        names
    }

    fn update_totals(&mut self, name: &Name, old: Option<Status>, new: Status) {
        self.suspects -= usize::from(old == Some(Status::Suspect));
        self.suspects += usize::from(new == Status::Suspect);
        let was_live = old.is_some_and(is_live);
        if was_live == is_live(new) {
            return;
        }
        self.checksum ^= name_hash(name);
        if was_live {
            self.live -= 1;
        } else {
            self.live += 1;
        }
    }
}

/// Random draws before [`View::random_member`] gives up.
const MAX_DRAWS: usize = 16;

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
