//! Prefix cache of one modelled engine, with least-recently-used eviction of block hashes.

use {indexmap::IndexMap, std::collections::VecDeque};

/// LRU cache of the hashes of prompt blocks.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: usize,
    // Time of the last use of each block, on `clock`.
    last_uses: IndexMap<u64, u64>,
    // Uses by time; an entry that is not the last use of its block is ignored.
    uses: VecDeque<(u64, u64)>,
    clock: u64,
}

impl Cache {
    /// Returns an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, last_uses: IndexMap::new(), uses: VecDeque::new(), clock: 0 }
    }

    /// Number of leading blocks of `prefix` that are cached.
    pub fn hits(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|b| self.last_uses.contains_key(*b)).count()
    }

    /// Inserts the blocks of `prefix`, or marks them as used; returns the evicted blocks.
    pub fn store(&mut self, prefix: &[u64]) -> Vec<u64> {
        let mut evicted = Vec::new();
        // Later blocks are marked first, so that the end of a prefix is evicted before its start.
        for block in prefix.iter().rev() {
            self.clock += 1;
            self.last_uses.insert(*block, self.clock);
            self.uses.push_back((self.clock, *block));
        }
        while self.last_uses.len() > self.capacity {
            let (used, block) = self.uses.pop_front().expect("every cached block has a use");
            if self.last_uses.get(&block) == Some(&used) {
                self.last_uses.swap_remove(&block);
                evicted.push(block);
            }
        }
        evicted
    }
}
