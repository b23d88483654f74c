//! Decides which endpoints may be used, from the entries that they keep in the store.
//!
//! An endpoint whose entry is gone or marked as leaving gets no new work. One exception: during a
//! store outage entries may expire although their endpoints live, and a store may come back from a copy
//! that lacks them, so entries that are missing right after an outage or a rollback are retained for
//! [`REREGISTRATION_GRACE`]. An endpoint that was leaving before is not used in that time.

use {
    crate::table::Name,
    agate_core::Mono,
    agate_store::era::Era,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Hash of an entry.
type Fingerprint = u64;
/// Digest of a set of entries; equal for equal sets in any order, and never zero.
pub type Digest = u64;

/// Digest of `entries`.
pub fn digest_of(entries: &[Entry]) -> Digest {
    digest_sum(entries.iter().map(Entry::fingerprint))
}

/// A sum of hashes suffices because entries come only from the store and from authenticated
/// messages. Updating it costs only as much as the entries that changed.
fn digest_sum(fingerprints: impl Iterator<Item = Fingerprint>) -> Digest {
    fingerprints.fold(0, u64::wrapping_add).max(1)
}

/// Identifier of one incarnation of an endpoint.
pub type EndpointName = Name;
/// Version of an endpoint's software. The streams of two versions do not fit together.
pub type Version = Name;

/// Time after a store outage within which living endpoints have written their entries again; the
/// operators' platform states about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_300);
/// Time without an answered read after which a store outage is assumed.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_800);

/// Phase of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Processes prompts for other engines.
    Prefill,
    /// Generates tokens; it can process prompts too, more slowly.
    Decode,
}

/// Entry of one endpoint in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifier of this incarnation.
    pub name: EndpointName,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: Name,
    /// Version of its software; empty if it states none.
    pub version: Version,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Remaining warm-up time after its start, in which it is slow.
    pub cold: Duration,
    /// Stage of a model engine; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Start of the incarnation, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Whether it is a reclaimable (spot) endpoint.
    pub spot: bool,
}

impl Entry {
    /// Hash of the fields on which instances must agree. The warm-up time is left out because it
    /// decreases constantly.
    fn fingerprint(&self) -> Fingerprint {
        let Self {
            name, service, address, zone, version, slots, leaving, stage, born, spot, ..
        } = self;
        let mut hasher = blake3::Hasher::new();
        for text in [name, service, zone, version] {
            hasher.update(&(text.len() as u64).to_le_bytes()).update(text.as_bytes());
        }
        hasher.update(address.to_string().as_bytes()).update(&slots.to_le_bytes());
        hasher.update(&[u8::from(*leaving), u8::from(*spot), stage.map_or(0, |s| 1 + s as u8)]);
        hasher.update(&[u8::from(born.is_some())]).update(&born.unwrap_or_default().to_le_bytes());
        let bytes = hasher.finalize();
        u64::from_le_bytes(bytes.as_bytes()[..8].try_into().expect("eight bytes"))
    }

    /// Whether both describe the same incarnation at the same address and service.
    pub fn same_incarnation(&self, other: &Entry) -> bool {
        (&self.name, self.address, self.born, &self.service)
            == (&other.name, other.address, other.born, &other.service)
    }
}

/// Result of one read of all entries.
#[derive(Clone, Debug)]
pub enum Input {
    /// The read was answered.
    Read {
        /// Entries that could be parsed.
        entries: Vec<Entry>,
        /// Time before the read was sent.
        sent: Mono,
        /// Era of the store.
        era: Era,
    },
    /// The read failed.
    Failed,
}

#[derive(Clone, Debug)]
struct KnownEntry {
    entry: Entry,
    fingerprint: Fingerprint,
    missing: bool,
}

/// Known endpoints of this instance.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    known: IndexMap<EndpointName, KnownEntry>,
    last_read: Option<Mono>,
    outage_end: Option<Mono>,
    era: Era,
}

impl Roster {
    /// Applies a read; returns whether the set of endpoints or an entry changed. A read that is
    /// older than the latest one is ignored.
    pub fn step(&mut self, input: Input, now: Mono) -> bool {
        let Input::Read { entries, sent, era } = input else { return false };
        if self.last_read.is_some_and(|p| sent < p) {
            return false;
        }
        let away = |p: Mono| sent.saturating_sub(p) > MIN_OUTAGE || era > self.era;
        let after_outage = self.last_read.is_some_and(away);
        self.era = self.era.max(era);
        if after_outage {
            self.outage_end = Some(now);
        }
        self.last_read = Some(sent);
        let in_grace =
            self.outage_end.is_some_and(|at| now.saturating_sub(at) < REREGISTRATION_GRACE);
        let mut next: IndexMap<EndpointName, KnownEntry> = IndexMap::with_capacity(entries.len());
        for mut entry in entries {
            // The entry may be of an older copy of the store, and leaving is final.
            entry.leaving |= in_grace && self.is_known_leaving(&entry);
            let fingerprint = self.fingerprint_of(&entry);
            next.insert(entry.name.clone(), KnownEntry { entry, fingerprint, missing: false });
        }
        if in_grace {
            self.retain_expired(&mut next, after_outage);
        }
        let same = next.len() == self.known.len()
            && next
                .iter()
                .all(|(n, k)| self.known.get(n).is_some_and(|o| o.fingerprint == k.fingerprint));
        self.known = next;
        !same
    }

    /// Whether this incarnation was leaving when it was last read.
    fn is_known_leaving(&self, entry: &Entry) -> bool {
        let known = self.known.get(&entry.name).filter(|_| entry.born.is_some());
        known.is_some_and(|k| k.entry.leaving && k.entry.same_incarnation(entry))
    }

    /// Hash of an entry; the hash of an unchanged entry is reused.
    fn fingerprint_of(&self, entry: &Entry) -> Fingerprint {
        let same = self.known.get(&entry.name).filter(|k| k.entry == *entry);
        same.map_or_else(|| entry.fingerprint(), |k| k.fingerprint)
    }

    /// Retains in `next` the entries that expired during an outage. `after_outage` is true for the
    /// first read after it.
    fn retain_expired(&self, next: &mut IndexMap<EndpointName, KnownEntry>, after_outage: bool) {
        let mut addresses: IndexSet<SocketAddr> = next.values().map(|k| k.entry.address).collect();
        for (name, known) in &self.known {
            // An entry that was seen after the outage did not expire in it.
            let expired = (after_outage || known.missing) && !known.entry.leaving;
            if expired && !next.contains_key(name) && addresses.insert(known.entry.address) {
                next.insert(name.clone(), KnownEntry { missing: true, ..known.clone() });
            }
        }
    }

    /// Records that another instance's read at `at` showed the same entries.
    pub fn confirm(&mut self, at: Mono) {
        self.last_read = self.last_read.map(|known| known.max(at));
    }

    /// Known endpoints, including those that are leaving.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.known.values().map(|k| &k.entry)
    }

    /// Endpoints that are retained although their entry is missing.
    pub fn missing(&self) -> impl Iterator<Item = &EndpointName> {
        self.known.iter().filter(|(_, k)| k.missing).map(|(name, _)| name)
    }

    /// Digest of the entries; instances with the same entries have the same digest.
    pub fn digest(&self) -> Digest {
        digest_sum(self.known.values().map(|k| k.fingerprint))
    }

    /// Time before the latest answered read was sent.
    pub fn last_read(&self) -> Option<Mono> {
        self.last_read
    }
}
