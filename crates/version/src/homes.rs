//! Instances that remember the versions of streams which the split does not tell: those that a change
//! of the split leaves open, and those whose version had no healthy endpoint.
//!
//! An instance that begins such a stream tells its homes, and one at which a caller takes it up asks
//! them.

use {
    crate::{StreamId, detours::Detour},
    agate_route::ranking::{mix, name_hash},
    agate_view::{peers::Peer, roster::Version, table::Name},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Number of homes of a stream, which are told.
const HOMES: usize = 2;
/// Number of instances that are asked: an instance that has a longer or shorter list may have told the
/// next one.
const ASKED_HOMES: usize = HOMES + 1;
/// Streams in one message; they fit into a datagram.
pub const CHUNK_STREAMS: usize = 8;

/// A stream that began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The stream.
    pub stream: StreamId,
    /// Service that it belongs to.
    pub service: Name,
    /// Version that brought its first event.
    pub version: Version,
}

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Streams that began.
    Begun(Vec<Row>),
    /// Asks which version began a stream.
    Asked(StreamId),
    /// Answers that this is not known.
    NotKnown(StreamId),
    /// Answers that this is not known, from an instance that may have forgotten streams of these detours.
    /// Earlier builds do not send it.
    Forgotten(StreamId, Vec<Detour>),
}

/// Addresses of the homes of `stream` among `peers`, equal on all instances that know the same ones.
pub fn homes(stream: StreamId, peers: &[Peer]) -> Vec<SocketAddr> {
    ranked_homes(stream, peers, HOMES)
}

/// Addresses of the instances that are asked for `stream`, among which are its homes.
pub fn asked_homes(stream: StreamId, peers: &[Peer]) -> Vec<SocketAddr> {
    ranked_homes(stream, peers, ASKED_HOMES)
}

fn ranked_homes(stream: StreamId, peers: &[Peer], count: usize) -> Vec<SocketAddr> {
    let rank = |p: &&Peer| Reverse(mix(stream, name_hash(&p.name)));
    let mut ranked: Vec<&Peer> = peers.iter().collect();
    ranked.sort_unstable_by_key(rank);
    ranked.into_iter().take(count).map(|p| p.address).collect()
}
