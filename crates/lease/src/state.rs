//! State, inputs and actions of the state machine of one lease.

use {
    crate::record::LeaseRecord,
    agate_core::{FenceToken, Mono},
    agate_store::Revision,
    std::{sync::Arc, time::Duration},
};

/// Settings of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Name of the lease.
    pub name: String,
    /// Name of this holder; must differ between starts of an instance.
    pub holder: String,
    /// Time from sending a write to the expiry of the term that it acquires or renews.
    pub ttl: Duration,
    /// Final part of `ttl` in which the holder no longer acts.
    pub margin: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time between two reads of a candidate.
    pub poll: Duration,
    /// Delay after a failed write.
    pub retry: Duration,
    /// Timeout of a call.
    pub timeout: Duration,
}

impl Settings {
    /// Settings of lease `name` with default times.
    pub fn new(name: impl Into<String>, holder: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            holder: holder.into(),
            ttl: Duration::from_secs(6),
            margin: Duration::from_millis(600),
            renew: Duration::from_secs(2),
            poll: Duration::from_secs(2),
            retry: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
        }
    }

    /// Maximum time until a candidate holds the lease, once calls are answered again and if no
    /// candidate is paused.
    pub fn recovery(&self) -> Duration {
        self.ttl + self.poll + self.retry + 3 * self.timeout
    }

    /// Panics on settings that would make the lease unsafe or never renewed.
    fn validate(&self) {
        assert!(!self.holder.is_empty(), "the holder name is empty");
        assert!(self.margin < self.ttl, "the margin must be shorter than the ttl");
        assert!(
            self.renew < self.ttl - self.margin,
            "the renewal interval must be shorter than the ttl minus the margin"
        );
    }
}

/// Term during which this instance may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    /// Fencing token of the term.
    pub token: FenceToken,
    /// Revision of the record that last confirmed the term.
    pub revision: Revision,
    /// Time at which the instance must stop acting.
    pub ends_at: Mono,
    /// Time by which the previous holder's lease has certainly expired, plus its `ttl` once more.
    pub clear_at: Mono,
}

/// What is known of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Observed {
    /// Not read yet.
    Unknown,
    /// The record does not exist.
    Absent,
    /// The record as last seen.
    Present {
        /// Revision of the record.
        revision: Revision,
        /// Content of the record.
        body: LeaseRecord,
        /// Time at which this revision was first received.
        since: Mono,
    },
}

/// Pending call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingCall {
    /// Number of the call.
    pub id: u64,
    /// Time before the call was sent.
    pub sent: Mono,
    /// Record that is written; `None` for a read.
    pub body: Option<LeaseRecord>,
}

/// Write whose result is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnknownWrite {
    /// Number of the call.
    pub id: u64,
    /// Time before it was sent.
    pub sent: Mono,
    /// Record that was written.
    pub body: LeaseRecord,
}

/// State of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Settings of the lease.
    pub settings: Arc<Settings>,
    /// Whether this instance competes for the lease.
    pub is_candidate: bool,
    /// Whether a release must still be written.
    pub releasing: bool,
    /// Term that is held.
    pub term: Option<Term>,
    /// What is known of the record.
    pub observed: Observed,
    /// Pending call.
    pub pending_call: Option<PendingCall>,
    /// Writes with an unknown result, oldest first.
    pub unknown_writes: Vec<UnknownWrite>,
    /// Greatest token seen in any record.
    pub max_token: FenceToken,
    /// Lower bound of new tokens, which rises with the era of the store: a store that came back from
    /// an older copy has lost the greatest token.
    pub min_token: FenceToken,
    /// When the record was found to be gone, or to be from an older copy of the store. Its holder may
    /// act for a whole time to live from then on.
    pub lost_at: Option<Mono>,
    /// Token of the last term that ended; it never becomes valid again.
    pub ended_token: FenceToken,
    /// Time of the next call.
    pub next_call: Mono,
    /// Number of the last call.
    pub last_call: u64,
    /// Number of the last write.
    pub last_write: u64,
}

/// Record with its revision, as returned by the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// Revision of the record.
    pub revision: Revision,
    /// Content of the record.
    pub body: LeaseRecord,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// Record returned by a read, or by a write that found another revision than expected.
    Record(Option<StoredRecord>),
    /// The write took effect at this revision.
    Written(Revision),
    /// The call may have taken effect.
    Unknown,
    /// The call had no effect.
    Failed,
    /// The record could not be decoded.
    Corrupt,
}

/// Input of the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Sets whether this instance is a candidate. A term that is held continues.
    SetCandidate(bool),
    /// Ends the term immediately and writes that the lease is free.
    Release,
    /// Call `id` has completed.
    Completed {
        /// Number of the call.
        id: u64,
        /// Result of the call.
        result: CallResult,
    },
}

/// Action that the caller of the machine must execute.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the record.
    Read {
        /// Number of the call.
        id: u64,
    },
    /// Write the record if its revision is `expect`.
    Write {
        /// Number of the call.
        id: u64,
        /// Expected revision; zero if the record must not exist.
        expect: Revision,
        /// New record.
        body: LeaseRecord,
    },
    /// A term with this token began.
    TermBegan(FenceToken),
    /// The term with this token ended.
    TermEnded(FenceToken),
}

impl State {
    /// Creates a candidate without knowledge of the record, whose first read is due immediately.
    /// Panics if the settings are inconsistent.
    pub fn new(settings: Settings) -> Self {
        settings.validate();
        Self {
            settings: Arc::new(settings),
            is_candidate: true,
            releasing: false,
            term: None,
            observed: Observed::Unknown,
            pending_call: None,
            unknown_writes: Vec::new(),
            max_token: 0,
            min_token: 0,
            lost_at: None,
            ended_token: 0,
            next_call: Mono::ZERO,
            last_call: 0,
            last_write: 0,
        }
    }
}
