//! Instances that remember the versions of streams which the split does not tell: those that a change
//! of the split leaves open, and those whose version had no healthy endpoint.
//!
//! An instance that begins such a stream tells its homes, and one at which a caller takes it up asks
//! them.

use {
    crate::StreamId,
    agate_route::ranking::{mix, name_hash},
    agate_view::{peers::Peer, roster::Version, table::Name},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Number of homes of a stream.
const HOMES: usize = 2;
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
}

/// Addresses of the homes of `stream` among `peers`, equal on all instances that know the same ones.
pub fn homes(stream: StreamId, peers: &[Peer]) -> Vec<SocketAddr> {
    let rank = |p: &&Peer| Reverse(mix(stream, name_hash(&p.name)));
    let mut ranked: Vec<&Peer> = peers.iter().collect();
    ranked.sort_unstable_by_key(rank);
    ranked.into_iter().take(HOMES).map(|p| p.address).collect()
}
