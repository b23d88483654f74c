//! The members of an instance's scope.
//!
//! Entries are sorted by name, so that a view can be transferred page by page. The checksum covers
//! the names of live members and is kept up to date by [`View::set`], the only way to change an
//! entry's status.

use {
    agate_core::Mono,
    agate_wire::{Name, Place, Status},
    indexmap::IndexMap,
    rand::{Rng, RngExt},
    xxhash_rust::xxh3::xxh3_64,
};

/// A member as other crates see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub status: Status,
    /// Its place.
    pub place: Place,
    /// Whether it is a contact in another scope, of which only a sample is known.
    pub contact: bool,
}

/// Accusations against a member.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When this instance first learnt of it.
    pub(crate) since: Mono,
    /// Distinct accusers, the first one included.
    pub(crate) accusers: Vec<Name>,
    /// Whether this instance has probed the member itself since.
    pub(crate) probed: bool,
}

/// What is known about a member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) incarnation: u64,
    pub(crate) status: Status,
    pub(crate) place: Place,
    /// When the status last changed.
    pub(crate) since: Mono,
    /// When the member last acknowledged a probe of this instance.
    pub(crate) acked: Option<Mono>,
    /// Whether this instance itself gave the verdict.
    pub(crate) own: bool,
    pub(crate) suspicion: Option<Suspicion>,
}

impl Entry {
    pub(crate) fn alive(incarnation: u64, place: Place, now: Mono) -> Self {
        let (status, suspicion) = (Status::Alive, None);
        Self { incarnation, status, place, since: now, acked: None, own: false, suspicion }
    }

    pub(crate) fn live(&self) -> bool {
        is_live(self.status)
    }
}

pub(crate) fn is_live(s: Status) -> bool {
    matches!(s, Status::Alive | Status::Suspect)
}

/// Members of the scope besides the instance itself.
#[derive(Clone, Debug)]
pub(crate) struct View {
    members: IndexMap<Name, Entry>,
    live: usize,
    suspects: usize,
    checksum: u64,
}

impl View {
    /// Returns a view that knows only the instance itself.
    pub(crate) fn new(own: &Name) -> Self {
        Self { members: IndexMap::new(), live: 0, suspects: 0, checksum: name_hash(own) }
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

    /// Number of live members besides the instance itself.
    pub(crate) fn live(&self) -> usize {
        self.live
    }

    /// Number of suspected members.
    pub(crate) fn suspects(&self) -> usize {
        self.suspects
    }

    /// Checksum of the names of live members, the instance included.
    pub(crate) fn checksum(&self) -> u64 {
        self.checksum
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.members.iter()
    }

    /// Entries whose names follow `after`, in order of names.
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
        let was = self.get(&name).map(|e| e.status);
        self.account(&name, was, entry.status);
        self.members.insert_sorted(name, entry);
    }

    /// Changes the status of a member and returns its entry.
    pub(crate) fn set(&mut self, name: &Name, status: Status, now: Mono) -> &mut Entry {
        let was = self.get(name).map(|e| e.status);
        self.account(name, was, status);
        let e = self.members.get_mut(name).expect("the member is in the view");
        e.status = status;
        e.since = now;
        if status != Status::Suspect {
            e.suspicion = None;
        }
        e
    }

    /// Forgets members that have been failed or gone for longer than `retention`.
    pub(crate) fn expire(&mut self, now: Mono, retention: Mono) {
        self.members.retain(|_, e| e.live() || now < e.since + retention);
    }

    /// A random member that `keep` admits, or `None` if a few draws found none.
    pub(crate) fn pick(
        &self,
        rng: &mut dyn Rng,
        mut keep: impl FnMut(&Name, &Entry) -> bool,
    ) -> Option<(&Name, &Entry)> {
        if self.members.is_empty() {
            return None;
        }
        for _ in 0..DRAWS {
            let i = rng.random_range(0..self.members.len());
            let (n, e) = self.members.get_index(i).expect("the index is in range");
            if keep(n, e) {
                return Some((n, e));
            }
        }
        None
    }

    /// Up to `count` distinct random live members, without `except`.
    pub(crate) fn sample(&self, rng: &mut dyn Rng, count: usize, except: &str) -> Vec<Name> {
        let mut got: Vec<Name> = Vec::with_capacity(count);
        for _ in 0..count {
            let keep = |n: &Name, e: &Entry| e.live() && &**n != except && !got.contains(n);
            let Some(n) = self.pick(rng, keep).map(|(n, _)| n.clone()) else { break };
            got.push(n);
        }
        got
    }

    fn account(&mut self, name: &Name, was: Option<Status>, is: Status) {
        self.suspects -= usize::from(was == Some(Status::Suspect));
        self.suspects += usize::from(is == Status::Suspect);
        let was_live = was.is_some_and(is_live);
        if was_live == is_live(is) {
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

/// Random draws before giving up.
const DRAWS: usize = 16;

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
