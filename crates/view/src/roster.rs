//! Which endpoints may be used, from the entries that they keep in the store.
//!
//! An endpoint whose entry says that it leaves, or is no longer there, gets no new work. One
//! exception: while the store is away its entries may lapse although the endpoints live, so entries
//! that are missing right after an outage are kept for [`RETURN_GRACE`].

use {
    crate::table::Name,
    agate_core::Mono,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Identifier of one incarnation of an endpoint.
pub type EndpointName = Name;

/// Time after an outage of the store within which living endpoints have written their entries
/// again; the operators' platform states about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Time without an answered read after which the store counts as having been away.
pub const OUTAGE: Duration = Duration::from_millis(1_800);

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Reads prompts for other engines.
    Prefill,
    /// Generates tokens; it reads prompts too, more slowly.
    Decode,
}

/// One endpoint as its entry describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier of this incarnation.
    pub name: EndpointName,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work any more.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub cold: Duration,
    /// What it does with a request, if it is a model engine.
    pub stage: Option<Stage>,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Whether it is of the reclaimable kind.
    pub spot: bool,
}

impl Entry {
    /// What other instances must agree on; how long it stays slow is left out, since it shrinks.
    fn fingerprint(&self) -> String {
        let Self { name, service, address, zone, slots, leaving, stage, born, spot, .. } = self;
        format!("{name} {service} {address} {zone} {slots} {leaving} {stage:?} {born:?} {spot}")
    }

    /// Whether both describe the same incarnation at the same place.
    pub fn same(&self, other: &Entry) -> bool {
        (&self.name, self.address, self.born, &self.service)
            == (&other.name, other.address, other.born, &other.service)
    }
}

/// Result of one read of all entries.
#[derive(Clone, Debug)]
pub enum Input {
    /// The entries as read; the read was sent at `sent`.
    Read {
        /// Entries that could be understood.
        entries: Vec<Entry>,
        /// Time before the read was sent.
        sent: Mono,
    },
    /// No answer.
    Failed,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    missing: bool,
}

/// What is known of the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    known: IndexMap<EndpointName, Known>,
    proof: Option<Mono>,
    returned: Option<Mono>,
}

impl Roster {
    /// Takes a read in; returns whether the set of endpoints or an entry changed.
    pub fn step(&mut self, input: Input, now: Mono) -> bool {
        let Input::Read { entries, sent } = input else { return false };
        if self.proof.is_some_and(|p| sent < p) {
            return false;
        }
        let returns = self.proof.is_some_and(|p| sent.saturating_sub(p) > OUTAGE);
        if returns {
            self.returned = Some(now);
        }
        self.proof = Some(sent);
        let graced = self.returned.is_some_and(|at| now.saturating_sub(at) < RETURN_GRACE);
        let mut next: IndexMap<EndpointName, Known> = IndexMap::with_capacity(entries.len());
        for entry in entries {
            next.insert(entry.name.clone(), Known { entry, missing: false });
        }
        for (name, known) in &self.known {
            let taken = |k: &Known| k.entry.address == known.entry.address;
            // An entry that was seen since the return did not lapse in the outage.
            let lapsed = graced && (returns || known.missing);
            let kept = lapsed && !known.entry.leaving && !next.values().any(taken);
            if kept && !next.contains_key(name) {
                next.insert(name.clone(), Known { entry: known.entry.clone(), missing: true });
            }
        }
        let same = next.len() == self.known.len()
            && next.iter().all(|(n, k)| self.known.get(n).is_some_and(|o| o.entry == k.entry));
        self.known = next;
        !same
    }

    /// Takes over that another instance's read at `at` showed the same.
    pub fn confirm(&mut self, at: Mono) {
        self.proof = self.proof.map(|known| known.max(at));
    }

    /// Endpoints known, those that leave included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.known.values().map(|k| &k.entry)
    }

    /// Number of endpoints that are kept although their entry is missing.
    pub fn missing(&self) -> usize {
        self.known.values().filter(|k| k.missing).count()
    }

    /// Digest of the entries, equal on instances that know the same; never zero.
    pub fn digest(&self) -> u64 {
        let mut names: Vec<String> = self.known.values().map(|k| k.entry.fingerprint()).collect();
        names.sort_unstable();
        let mut hasher = blake3::Hasher::new();
        for name in &names {
            hasher.update(name.as_bytes()).update(b"\n");
        }
        let bytes = hasher.finalize();
        u64::from_le_bytes(bytes.as_bytes()[..8].try_into().expect("eight bytes")) | 1
    }

    /// Time before the newest answered read was sent.
    pub fn proof(&self) -> Option<Mono> {
        self.proof
    }
}
