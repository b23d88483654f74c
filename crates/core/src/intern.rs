//! Table that assigns dense identifiers to names.

use {indexmap::IndexSet, std::sync::Arc};

/// Append-only table of names; a name keeps its index as long as the table exists.
#[derive(Clone, Debug, Default)]
pub struct Interner {
    names: IndexSet<Arc<str>>,
}

impl Interner {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of `name`, assigning the next free one on first use.
    ///
    /// # Panics
    ///
    /// If 2^32 names are interned already.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(i) = self.names.get_index_of(name) {
            return i as u32;
        }
        let (i, _) = self.names.insert_full(Arc::from(name));
        u32::try_from(i).expect("more than 2^32 names were interned")
    }

    /// Returns the index of `name`, or `None` if it was never interned.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.names.get_index_of(name).map(|i| i as u32)
    }

    /// Returns the name at `id`, or `None` if that index was never assigned.
    pub fn name(&self, id: u32) -> Option<&Arc<str>> {
        self.names.get_index(id as usize)
    }

    /// Number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name was interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
