//! Usage figures, the keys they are counted by, and the sharding of organisations.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of a billing window: its start since the Unix epoch divided by the length of a window.
pub type Window = u64;
/// Name of an instance that counts; it changes with each restart.
pub type Source = Arc<str>;

/// Amount of work. As the value of a counter, each field only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Figures {
    /// Number of requests that ran.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of generated tokens.
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

    /// Sum by field, saturating.
    pub fn saturating_add(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Difference by field; zero where `other` is greater.
    pub fn saturating_sub(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Maximum by field, which is the later of two values of the same counter.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Whether all fields are zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

/// Key of a counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    /// Window in which the work ended.
    pub window: Window,
    /// Name of the organisation.
    pub org: Arc<str>,
    /// Name of the model or service.
    pub model: Arc<str>,
}

/// Counter values by key.
pub type Rows = IndexMap<RowKey, Figures>;

/// A counter's key and value, as sent and stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Window, organisation and model.
    pub key: RowKey,
    /// Absolute value in messages and parts; in a sealed record the amount that this record adds.
    pub figures: Figures,
}

/// Shard of an organisation, from 0 to `shards - 1`; the same on all instances.
///
/// # Panics
///
/// Panics if `shards` is zero.
pub fn shard_of(org: &str, shards: u32) -> u32 {
    assert!(shards > 0, "number of shards must not be zero");
    (xxh3_64(org.as_bytes()) % u64::from(shards)) as u32
}
