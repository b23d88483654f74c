//! Instances, by the records that each one keeps in the store under its own lease.

use {
    crate::framing,
    agate_store::Item,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Key prefix of the records.
pub const PREFIX: &str = "agate/instances/";

/// Record of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address for messages between instances.
    pub address: SocketAddr,
    /// Share of a processor core that the instance may use, in percent.
    pub weight: u16,
}

impl Peer {
    /// Store key of the record.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.name)
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Decodes a record; `None` if it has another version or is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }
}

/// Decodes the records of a range; those that cannot be decoded are logged and skipped.
pub fn decode(items: &[Item]) -> Vec<Peer> {
    let mut out = Vec::with_capacity(items.len());
    for item in items {
        match Peer::decode(&item.record.value) {
            Some(peer) => out.push(peer),
            None => log::warn!(key = item.key.as_str(); "skipped an unreadable instance record"),
        }
    }
    out
}

/// Instances in the order in which they act as coordinators: those with the most processor time
/// first, then by a hash of their names, so that all instances agree without communication.
pub fn ranked(peers: &[Peer]) -> Vec<&Peer> {
    let mut out: Vec<&Peer> = peers.iter().collect();
    let hash = |p: &Peer| *blake3::hash(p.name.as_bytes()).as_bytes();
    out.sort_by_cached_key(|p| (Reverse(p.weight), hash(p)));
    out
}
