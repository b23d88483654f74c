//! Which endpoints may be used, from the entries that they keep in the store.
//!
//! An endpoint whose entry says that it leaves, or is no longer there, gets no new work. One
//! exception: while the store is away its entries may lapse although the endpoints live, so entries
//! that are missing right after an outage are kept for [`RETURN_GRACE`].

use {
    crate::table::Name,
    agate_core::Mono,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Hash of an entry.
type Print = u64;
/// Digest of a set of entries, equal for equal sets in any order; never zero.
pub type Digest = u64;

/// Digest of `entries`.
pub fn digest_of(entries: &[Entry]) -> Digest {
    sum(entries.iter().map(Entry::print))
}

/// A sum is as good as a hash of all here: entries come from the store and from authenticated
/// messages, and a change costs no more than the entries that changed.
fn sum(prints: impl Iterator<Item = Print>) -> Digest {
    prints.fold(0, u64::wrapping_add).max(1)
}

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
    /// Hash of what other instances must agree on; how long it stays slow is left out, since it
    /// shrinks.
    fn print(&self) -> Print {
        let Self { name, service, address, zone, slots, leaving, stage, born, spot, .. } = self;
        let mut hasher = blake3::Hasher::new();
        for text in [name, service, zone] {
            hasher.update(&(text.len() as u64).to_le_bytes()).update(text.as_bytes());
        }
        hasher.update(address.to_string().as_bytes()).update(&slots.to_le_bytes());
        hasher.update(&[u8::from(*leaving), u8::from(*spot), stage.map_or(0, |s| 1 + s as u8)]);
        hasher.update(&[u8::from(born.is_some())]).update(&born.unwrap_or_default().to_le_bytes());
        let bytes = hasher.finalize();
        u64::from_le_bytes(bytes.as_bytes()[..8].try_into().expect("eight bytes"))
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
    print: Print,
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
            let print = self.print(&entry);
            next.insert(entry.name.clone(), Known { entry, print, missing: false });
        }
        if graced {
            self.keep_lapsed(&mut next, returns);
        }
        let same = next.len() == self.known.len()
            && next.iter().all(|(n, k)| self.known.get(n).is_some_and(|o| o.print == k.print));
        self.known = next;
        !same
    }

    /// Hash of an entry; that of one which did not change is known.
    fn print(&self, entry: &Entry) -> Print {
        let same = self.known.get(&entry.name).filter(|k| k.entry == *entry);
        same.map_or_else(|| entry.print(), |k| k.print)
    }

    /// Keeps entries in `next` that lapsed in an outage; `returns` on the first read after it.
    fn keep_lapsed(&self, next: &mut IndexMap<EndpointName, Known>, returns: bool) {
        let mut taken: IndexSet<SocketAddr> = next.values().map(|k| k.entry.address).collect();
        for (name, known) in &self.known {
            // An entry that was seen since the return did not lapse in the outage.
            let lapsed = (returns || known.missing) && !known.entry.leaving;
            if lapsed && !next.contains_key(name) && taken.insert(known.entry.address) {
                next.insert(name.clone(), Known { missing: true, ..known.clone() });
            }
        }
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

    /// Digest of the entries, equal on instances that know the same.
    pub fn digest(&self) -> Digest {
        sum(self.known.values().map(|k| k.print))
    }

    /// Time before the newest answered read was sent.
    pub fn proof(&self) -> Option<Mono> {
        self.proof
    }
}
