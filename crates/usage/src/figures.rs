//! What is counted, and for whom.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of a billing window: time since the epoch divided by the length of a window.
pub type Window = u64;
/// Name of one start of an instance; a restart counts under another name.
pub type Source = Arc<str>;

/// Work that was done; every field only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Figures {
    /// Requests that ran.
    pub requests: u64,
    /// Tokens of their prompts.
    pub prompt: u64,
    /// Tokens that were generated.
    pub output: u64,
}

impl Figures {
    fn zip(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            prompt: f(self.prompt, other.prompt),
            output: f(self.output, other.output),
        }
    }

    /// Sum of two figures.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// What these figures have above `other`.
    pub fn above(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Greater of two states of the same counter.
    pub fn latest(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Whether nothing was counted.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

/// What a row counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    /// Window in which the work ended.
    pub window: Window,
    /// Name of the organisation.
    pub org: Arc<str>,
    /// Name of the model or service.
    pub model: Arc<str>,
}

/// Rows by what they count.
pub type Rows = IndexMap<RowKey, Figures>;

/// A row as it is sent and stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// What the row counts.
    pub key: RowKey,
    /// Its whole value, not a difference.
    pub figures: Figures,
}

/// Shard that an organisation's usage belongs to; the same on every instance.
pub fn shard_of(org: &str, shards: u32) -> u32 {
    assert!(shards > 0, "usage has at least one shard");
    (xxh3_64(org.as_bytes()) % u64::from(shards)) as u32
}
