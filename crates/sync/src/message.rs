//! Messages between instances.

use {
    crate::{
        EndpointHash, Round,
        clocks::{Clock, Vote},
    },
    agate_quarantine::suspicion::Sign,
    agate_view::{
        Entry,
        roster::{Digest, EndpointName},
    },
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Requests there.
    pub open: u32,
    /// Prompt tokens sent whose first token has not come.
    pub tokens: u32,
}

/// Engine time that callers ask of one service, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Identifies the service by a hash of its name.
    pub service: u32,
    /// Engines that would read all the time.
    pub reading: u32,
    /// Slots that would generate all the time.
    pub slots: u32,
}

/// What instances tell of themselves, and a coordinator of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Load of the endpoints; those without load are left out.
    pub loads: Vec<Load>,
    /// What callers ask for.
    pub demands: Vec<Demand>,
    /// Endpoints that are about to change and refuse new work meanwhile.
    pub changing: Vec<EndpointHash>,
    /// Name of the instance that holds the duties, if that is known.
    pub holder: Option<String>,
}

/// Loads in one message; with all else that it holds below what a datagram takes.
const MOST_LOADS: usize = 96;

impl Figures {
    /// Leaves out the least loads beyond what a message takes: an endpoint with little load is taken
    /// for an idle one.
    pub fn bounded(mut self) -> Self {
        if self.loads.len() > MOST_LOADS {
            self.loads.select_nth_unstable_by_key(MOST_LOADS, most_first);
            self.loads.truncate(MOST_LOADS);
        }
        self
    }

    /// Leaves out the half of the loads that is least, or else of the changes, so that the figures
    /// fit into a message; `false` if nothing is left to leave out.
    pub fn shorten(&mut self) -> bool {
        if self.loads.is_empty() && self.changing.is_empty() {
            return false;
        }
        if self.loads.is_empty() {
            self.changing.truncate(self.changing.len() / 2);
        }
        self.loads.sort_unstable_by_key(most_first);
        self.loads.truncate(self.loads.len() / 2);
        true
    }
}

fn most_first(load: &Load) -> Reverse<(u32, u32, EndpointHash)> {
    Reverse((load.tokens, load.open, load.endpoint))
}

/// Requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Revision of the record of suspects; zero if there is none.
    pub revision: u64,
    /// What was seen newly.
    pub signs: Vec<Sign>,
}

/// What an instance asks and tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Incarnation of the instance that asks.
    pub from: String,
    /// Number of the question.
    pub round: Round,
    /// Digest of the endpoints' entries that it knows.
    pub roster: u64,
    /// What it knows of requests that crash endpoints.
    pub suspects: Suspects,
    /// What it takes the time of day to be; `None` until it has measured the coordinator's.
    pub clock: Option<Vote>,
    /// Its own figures.
    pub figures: Figures,
}

/// A belief of the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Revision or digest of what it knows.
    pub version: u64,
    /// Age of its proof in microseconds.
    pub age: u64,
}

/// What the coordinator answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Number of the question.
    pub round: Round,
    /// The configuration that it knows.
    pub config: Option<Known>,
    /// The time of day.
    pub clock: Option<Clock>,
    /// What it knows of requests that crash endpoints.
    pub suspects: Suspects,
    /// The endpoints that it knows.
    pub roster: Option<Known>,
    /// Figures of all other instances.
    pub figures: Figures,
}

/// A part of the endpoints' entries that a coordinator knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entries {
    /// Digest of all of them.
    pub digest: u64,
    /// Number of this part, from zero.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The entries of this part.
    pub entries: Vec<Entry>,
}

/// What happened to one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Its entry is this now.
    Put(Entry),
    /// It is gone.
    Remove(EndpointName),
}

/// A part of what changed in the endpoints' entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Digest of the entries before.
    pub from: Digest,
    /// Digest of all entries after it.
    pub digest: Digest,
    /// Number of this part, from zero.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The changes of this part.
    pub rows: Vec<Change>,
}

/// Usage of one window, whole values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Incarnation of the instance that counted.
    pub from: String,
    /// Number of the round that this is a part of.
    pub round: Round,
    /// The window.
    pub window: u64,
    /// Requests by organisation.
    pub rows: Vec<(String, u64)>,
}

impl Message {
    /// Leaves out what is least needed, so that the message fits into a datagram; `false` if it
    /// cannot be made shorter.
    pub fn shorten(&mut self) -> bool {
        match self {
            Self::Question(question) => question.figures.shorten(),
            Self::State(state) => state.figures.shorten(),
            _ => false,
        }
    }
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A question to a coordinator.
    Question(Question),
    /// Its answer.
    State(State),
    /// Entries of endpoints that the asking instance lacks.
    Entries(Entries),
    /// Usage for a coordinator.
    Usage(Usage),
    /// Last part of a round of usage; it is acknowledged with [`Message::Noted`].
    UsageEnd {
        /// Number of the round.
        round: Round,
        /// Messages with usage that the round had.
        parts: u32,
        /// Incarnation of the instance that counted.
        from: String,
    },
    /// All of a round of usage arrived.
    Noted {
        /// Number of the round.
        round: Round,
    },
    /// Changes of entries of endpoints that the asking instance knows from before.
    Changes(Changes),
}
