//! The other instances, by the records that each keeps in the store under a lease of its own.

use {
    crate::framing,
    agate_store::Item,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Prefix of the records.
pub const PREFIX: &str = "agate/instances/";

/// Record of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for messages between instances.
    pub address: SocketAddr,
    /// Share of a processor core that it may use, in percent.
    pub weight: u16,
}

impl Peer {
    /// Key of the record.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.name)
    }

    /// Bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Reads a record; `None` if another build wrote it or it is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }
}

/// Instances among the records of a range; records that cannot be read are logged and left out.
pub fn decode(items: &[Item]) -> Vec<Peer> {
    let mut out = Vec::with_capacity(items.len());
    for item in items {
        match Peer::decode(&item.record.value) {
            Some(peer) => out.push(peer),
            None => log::warn!(key = item.key.as_str(); "instance record not understood; left out"),
        }
    }
    out
}

/// The instances that act for all, best first: those with the most processor time, then by a hash
/// of their names, so that all instances agree without talking.
pub fn ranked(peers: &[Peer]) -> Vec<&Peer> {
    let mut out: Vec<&Peer> = peers.iter().collect();
    let hash = |p: &Peer| *blake3::hash(p.name.as_bytes()).as_bytes();
    out.sort_by_cached_key(|p| (Reverse(p.weight), hash(p)));
    out
}
