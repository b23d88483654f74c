//! Recent splits in the store, for instances that start.

use {
    crate::{history::RETENTION, split::Split},
    agate_core::Wall,
    agate_view::table::Name,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Store key of the record.
pub const KEY: &str = "agate/versions";

/// Splits of each service with the times since which they are in force, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splits(pub IndexMap<Name, Vec<(Wall, Split)>>);

impl Splits {
    /// Adds the steps of `own` after the latest stored one, if the present split differs; returns
    /// whether anything changed.
    pub fn update(&mut self, own: &Self) -> bool {
        let mut changed = false;
        for (service, steps) in &own.0 {
            let Some((latest, last)) = steps.last() else { continue };
            let stored = self.0.entry(service.clone()).or_default();
            if stored.last().is_some_and(|(_, known)| known == last) {
                continue;
            }
            let end = stored.last().map(|(at, _)| *at);
            let newer = steps.iter().filter(|(at, _)| end.is_none_or(|end| *at > end));
            let newer: Vec<_> = newer.cloned().collect();
            stored.extend(newer);
            // The clock may have been set back since the stored step.
            if stored.last().is_none_or(|(_, known)| known != last) {
                stored.push((*latest, last.clone()));
            }
            let expired = |end: Wall| end + RETENTION < *latest;
            while stored.get(1).is_some_and(|(end, _)| expired(*end)) {
                stored.remove(0);
            }
            changed = true;
        }
        changed
    }
}

/// Adds what an older copy has to the newer one: nothing, as its splits are in the newer one too.
pub fn merge(_newer: &mut Splits, _older: &Splits) {}
