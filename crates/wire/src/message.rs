//! Messages between instances.
//!
//! Entities are named, never numbered: dense identifiers mean something in one process only.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Name of an instance, unique in the fleet.
pub type Name = Arc<str>;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sender.
    pub from: Name,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the message, never repeated within one incarnation.
    pub sequence: u64,
    /// Content.
    pub body: Body,
}

/// Where an instance runs and can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Availability zone.
    pub zone: Arc<str>,
    /// Region of the availability zone.
    pub region: Arc<str>,
    /// Address of the instance's datagrams and of its peer requests.
    pub address: SocketAddr,
}

/// An instance and its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub name: Name,
    /// Its place.
    pub place: Place,
}

/// State of a member; within one incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Did not answer a probe and has not refuted that yet.
    Suspect,
    /// Declared failed.
    Dead,
    /// Announced its leaving.
    Left,
}

/// A statement about a member's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Member that the statement is about.
    pub name: Name,
    /// Incarnation that the statement is about.
    pub incarnation: u64,
    /// State of that incarnation.
    pub status: Status,
    /// Instances that accuse the member, when the statement is a suspicion.
    pub accusers: Vec<Name>,
    /// Place of the member, when receivers may not know it yet.
    pub place: Option<Place>,
}

/// What rides on every probe and acknowledgement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Checksum of the names that the sender holds live within its scope.
    pub checksum: u64,
    /// Statements about members of the sender's scope.
    pub updates: Vec<Update>,
    /// A few live members of the sender's scope, for receivers outside of it.
    pub sample: Vec<Peer>,
    /// Content of other subsystems.
    pub digests: Vec<Digest>,
}

/// Content of other subsystems that rides on probes and acknowledgements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Digest {
    /// Newest configuration that the sender holds.
    Config {
        /// Its generation.
        generation: u64,
        /// Age, when sent, of the newest proof that it is the store's head.
        age: Option<Duration>,
    },
    /// Requests that the sender has outstanding at an endpoint.
    Outstanding {
        /// Hash of the endpoint's name.
        endpoint: u64,
        /// Number of requests.
        count: u32,
    },
    /// A request that crashed endpoints.
    Quarantine {
        /// Keyed hash of the request.
        fingerprint: u64,
        /// Endpoint crashes that it is held responsible for.
        crashes: u8,
        /// Time left until the entry expires.
        left: Duration,
    },
}

/// One monotone usage counter of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Organisation.
    pub organisation: Arc<str>,
    /// Model or pool.
    pub model: Arc<str>,
    /// Start of the window, in seconds since the Unix epoch.
    pub window: u64,
    /// Prompt tokens so far.
    pub prompt: u64,
    /// Output tokens so far.
    pub output: u64,
    /// Requests so far.
    pub requests: u64,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to acknowledge.
    Probe {
        /// Number that the acknowledgement repeats.
        number: u64,
        /// Sender's place.
        place: Place,
        /// Content that rides along.
        gossip: Gossip,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        number: u64,
        /// Member that answered, if it is not the sender.
        target: Option<Name>,
        /// Content that rides along.
        gossip: Gossip,
    },
    /// Asks the receiver to probe another member on the sender's behalf.
    ProbeRequest {
        /// Number that the acknowledgement repeats.
        number: u64,
        /// Member to probe.
        target: Peer,
    },
    /// Asks for a part of the receiver's view.
    ViewRequest {
        /// Last name that the sender has got so far.
        after: Option<Name>,
    },
    /// A part of the sender's view, in order of names.
    View {
        /// Members.
        members: Vec<Update>,
        /// Whether members follow after the last one here.
        more: bool,
    },
    /// Tells the receiver that a greater incarnation of it was seen.
    Outdated {
        /// Greatest incarnation seen.
        incarnation: u64,
    },
    /// A query over TCP.
    Query(Query),
    /// The answer to a query over TCP.
    Answer(Answer),
}

/// A query between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// The newest configuration head.
    Head,
    /// One configuration chunk by the hash of its content.
    Chunk {
        /// Hash of the content.
        hash: [u8; 32],
    },
    /// Usage counters for the receiver to keep.
    Usage {
        /// Counters of the sender.
        rows: Vec<UsageRow>,
    },
    /// Content of another subsystem.
    Other {
        /// Name of the subsystem.
        topic: Arc<str>,
        /// Content.
        bytes: Vec<u8>,
    },
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Content that was asked for.
    Bytes(Vec<u8>),
    /// The content was taken over.
    Accepted,
    /// The receiver does not hold what was asked for.
    Absent,
    /// The receiver does not answer this query.
    Refused,
}
