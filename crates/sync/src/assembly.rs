//! Puts the entries of endpoints together from the parts that a coordinator sends.
//!
//! The parts prove nothing by themselves, since they may have been under way for long. They count
//! only if their digest is the one that the newest answer of a coordinator vouched for.

use {
    crate::{asker::Confirmed, message::Entries},
    agate_core::Mono,
    agate_view::{
        Entry,
        roster::{Input, Roster},
    },
    indexmap::IndexMap,
};

/// Parts of one set of entries.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    digest: u64,
    parts: IndexMap<u32, Vec<Entry>>,
}

impl Assembly {
    /// Takes a part in; returns the whole set with the time of its proof once all parts are there
    /// and `vouched`, the newest proof of a coordinator, is of this very set.
    pub fn take(
        &mut self,
        part: Entries,
        vouched: Option<Confirmed>,
    ) -> Option<(Vec<Entry>, Mono)> {
        if part.digest != self.digest {
            *self = Self { digest: part.digest, ..Self::default() };
        }
        self.parts.insert(part.part, part.entries);
        if self.parts.len() < part.parts as usize {
            return None;
        }
        let whole = std::mem::take(self);
        let proof = vouched.filter(|v| v.version == whole.digest)?;
        let entries: Vec<Entry> = whole.parts.into_values().flatten().collect();
        (digest_of(&entries) == whole.digest).then_some((entries, proof.at))
    }
}

fn digest_of(entries: &[Entry]) -> u64 {
    let mut roster = Roster::default();
    roster.step(Input::Read { entries: entries.to_vec(), sent: Mono::ZERO }, Mono::ZERO);
    roster.digest()
}
