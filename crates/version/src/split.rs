//! Division of the new streams of a service among the versions of its endpoints.

use {
    crate::StreamId,
    agate_route::ranking::{mix, name_hash},
    agate_view::{
        Entry,
        roster::{Stage, Version},
        table::Name,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Binary logarithm of a weight, in steps of one half.
type Exponent = i8;

/// Steps of [`Exponent`] for each doubling of the slots.
const STEPS: f64 = 2.0;

/// Versions that begin streams, with the binary logarithms of their weights.
///
/// Weights are rounded, so that instances agree although they do not learn of each endpoint at the
/// same time, and most endpoints come and go without a change of the split.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split(Vec<(Version, Exponent)>);

impl Split {
    /// Divides streams in proportion to the slots of each version.
    pub fn new(slots: &IndexMap<Version, u32>) -> Self {
        let most = slots.values().copied().max().unwrap_or_default();
        let exponent = |count: u32| {
            let ratio = f64::from(count.max(1)) / f64::from(most.max(1));
            // At least -64, as there are fewer than 2^32 slots.
            (STEPS * ratio.log2()).round() as Exponent
        };
        let mut parts: Vec<(Version, Exponent)> =
            slots.iter().map(|(version, count)| (version.clone(), exponent(*count))).collect();
        parts.sort_unstable();
        Self(parts)
    }

    /// Splits of all services with endpoints that run requests.
    pub fn of_services(entries: &[Entry]) -> IndexMap<Name, Self> {
        let mut slots: IndexMap<&Name, IndexMap<Version, u32>> = IndexMap::new();
        for entry in entries.iter().filter(|e| !e.leaving && e.stage != Some(Stage::Prefill)) {
            let service = slots.entry(&entry.service).or_default();
            let sum = service.entry(entry.version.clone()).or_default();
            // Entries also come from other instances.
            *sum = sum.saturating_add(entry.slots);
        }
        slots.into_iter().map(|(service, slots)| (service.clone(), Self::new(&slots))).collect()
    }

    /// Version that `stream` begins at; `None` if there is none.
    ///
    /// A weighted rendezvous hash: a change of a weight moves streams only to or from that version.
    pub fn version_of(&self, stream: StreamId) -> Option<&Version> {
        let cost = |(version, exponent): &(Version, Exponent)| {
            let draw = mix(stream, name_hash(version)) >> 11;
            let draw = (draw as f64 + 0.5) / (1_u64 << 53) as f64;
            -draw.ln() / (f64::from(*exponent) / STEPS).exp2()
        };
        let best = self.0.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(&best.0)
    }

    /// Its versions.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        self.0.iter().map(|(version, _)| version)
    }

    /// Number of versions.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no version.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
