//! Messages between instances.
//!
//! Entities are identified by name. Numeric identifiers are valid only within one process.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Name of an instance, unique among all instances.
pub type Name = Arc<str>;

/// Message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the sender.
    pub from: Name,
    /// Incarnation of the sender; messages of a lower one than the highest seen are rejected.
    pub incarnation: u64,
    /// Sequence number of the message, never repeated within one incarnation.
    pub sequence: u64,
    /// Content of the message.
    pub body: Body,
}

/// Location and address of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the availability zone.
    pub zone: Arc<str>,
    /// Name of the zone's region.
    pub region: Arc<str>,
    /// Address for datagrams and for peer requests over TCP.
    pub address: SocketAddr,
}

/// Instance with its location and address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the instance.
    pub name: Name,
    /// Location and address of the instance.
    pub place: Place,
}

/// State of a member. Within one incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe and has not refuted the suspicion yet.
    Suspect,
    /// Declared failed.
    Dead,
    /// Left after announcing it.
    Left,
}

/// State of a member, as known to the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: Name,
    /// Incarnation to which the state applies.
    pub incarnation: u64,
    /// State of that incarnation.
    pub status: Status,
    /// Instances that suspect the member; empty unless it is suspected.
    pub accusers: Vec<Name>,
    /// Location and address of the member, if receivers may not know them yet.
    pub place: Option<Place>,
}

/// Gossip carried by every probe and acknowledgement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Checksum of the names of all members that the sender considers live within its scope.
    pub checksum: u64,
    /// States of members in the sender's scope.
    pub updates: Vec<Update>,
    /// A few live members of the sender's scope, for receivers in other scopes.
    pub sample: Vec<Peer>,
    /// Content of other subsystems.
    pub digests: Vec<Digest>,
}

/// Content of another subsystem, carried by probes and acknowledgements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Digest {
    /// Newest configuration of the sender.
    Config {
        /// Generation of the configuration.
        generation: u64,
        /// Age, at the time of sending, of the newest proof that the generation is the newest one
        /// in the store.
        age: Option<Duration>,
    },
    /// Requests of the sender in progress at an endpoint.
    Outstanding {
        /// Hash of the endpoint's name.
        endpoint: u64,
        /// Number of requests.
        count: u32,
    },
    /// A request suspected of crashing endpoints.
    Quarantine {
        /// Keyed hash of the request.
        fingerprint: u64,
        /// Number of endpoint crashes attributed to it.
        crashes: u8,
        /// Time until the entry expires.
        left: Duration,
    },
}

/// Monotonic usage counters of one instance for one organisation, model and window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRow {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Name of the model or pool.
    pub model: Arc<str>,
    /// Start of the window, in seconds since the Unix epoch.
    pub window: u64,
    /// Prompt tokens since the start of the window.
    pub prompt: u64,
    /// Output tokens since the start of the window.
    pub output: u64,
    /// Requests since the start of the window.
    pub requests: u64,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver to acknowledge.
    Probe {
        /// Number that the acknowledgement repeats.
        number: u64,
        /// Location and address of the sender.
        place: Place,
        /// Gossip of the sender.
        gossip: Gossip,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        number: u64,
        /// Member that responded, if it is not the sender.
        target: Option<Name>,
        /// Gossip of the sender.
        gossip: Gossip,
    },
    /// Asks the receiver to probe another member for the sender.
    ProbeRequest {
        /// Number that the acknowledgement repeats.
        number: u64,
        /// Member to probe.
        target: Peer,
    },
    /// Asks for a page of the receiver's membership view.
    ViewRequest {
        /// Last name that the sender has received; `None` for the first page.
        after: Option<Name>,
    },
    /// A page of the sender's membership view, sorted by name.
    View {
        /// States of the members on this page.
        members: Vec<Update>,
        /// Whether there are further members after the last one.
        more: bool,
    },
    /// Tells the receiver that a higher incarnation of it was seen.
    Outdated {
        /// Highest incarnation seen.
        incarnation: u64,
    },
    /// A query over TCP.
    Query(Query),
    /// A response to a query over TCP.
    Answer(Answer),
}

/// Query from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// Asks for the newest configuration head.
    Head,
    /// Asks for a configuration chunk by the hash of its content.
    Chunk {
        /// Hash of the content.
        hash: [u8; 32],
    },
    /// Sends usage counters for the receiver to store.
    Usage {
        /// Counters of the sender.
        rows: Vec<UsageRow>,
    },
    /// Query of another subsystem.
    Other {
        /// Name of the subsystem.
        topic: Arc<str>,
        /// Encoded content.
        bytes: Vec<u8>,
    },
}

/// Response to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The requested content.
    Bytes(Vec<u8>),
    /// The content was accepted.
    Accepted,
    /// The receiver does not have the requested content.
    Absent,
    /// The receiver does not serve this query.
    Refused,
}
