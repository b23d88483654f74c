//! Messages of the simulated instances: their sizes, and the chunks that a chunk lists.

use agate_config::spread::Input;

/// Sizes of messages on the wire, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub digest: u64,
    pub head: u64,
    pub index: u64,
    pub chunk: u64,
}

impl Sizes {
    pub fn of(&self, chunk: &str) -> u64 {
        if chunk.starts_with('i') { self.index } else { self.chunk }
    }
}

/// Returns the input for the arrival of a chunk, or of an index chunk that lists `leaves` chunks.
pub fn chunk(id: String, leaves: usize) -> Input {
    let listed = |root: &str| (0..leaves).map(|i| format!("{root}.{i}")).collect();
    let missing = id.strip_prefix('i').map(listed).unwrap_or_default();
    Input::Chunk { id, missing }
}
