//! Prefix cache of one modelled engine: block hashes, least recently used evicted first.

use {indexmap::IndexMap, std::collections::VecDeque};

/// Cache of prompt blocks.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: usize,
    // Newest use of each block.
    stamps: IndexMap<u64, u64>,
    // Uses in order; an entry whose stamp is not the block's newest is void.
    uses: VecDeque<(u64, u64)>,
    clock: u64,
}

impl Cache {
    /// Returns an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, stamps: IndexMap::new(), uses: VecDeque::new(), clock: 0 }
    }

    /// Number of leading blocks of `prefix` that are cached.
    pub fn hits(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|b| self.stamps.contains_key(*b)).count()
    }

    /// Stores or renews the blocks of `prefix`; returns the blocks evicted for them.
    pub fn store(&mut self, prefix: &[u64]) -> Vec<u64> {
        let mut evicted = Vec::new();
        // Later blocks are renewed first, so that the end of a chain is evicted before its start.
        for block in prefix.iter().rev() {
            self.clock += 1;
            self.stamps.insert(*block, self.clock);
            self.uses.push_back((self.clock, *block));
        }
        while self.stamps.len() > self.capacity {
            let (stamp, block) = self.uses.pop_front().expect("every block has a use");
            if self.stamps.get(&block) == Some(&stamp) {
                self.stamps.swap_remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}
