//! State, inputs and actions of the machine that holds or seeks one lease.

use {
    crate::record::Body,
    agate_core::{FenceToken, Mono},
    agate_store::Revision,
    std::{sync::Arc, time::Duration},
};

/// Settings of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Name of the lease.
    pub name: String,
    /// Name of this holder; must differ between starts of one instance.
    pub holder: String,
    /// Time from sending a write to the end of the term that it wins or renews.
    pub ttl: Duration,
    /// Part of `ttl` in which the holder no longer acts.
    pub margin: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time between two reads of a candidate.
    pub poll: Duration,
    /// Time from a failed write to the next.
    pub retry: Duration,
    /// Time after which an unanswered call is given up.
    pub timeout: Duration,
}

impl Settings {
    /// Settings of lease `name` with the usual times.
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

    /// Longest time until some candidate holds the lease, once calls are answered again and if no
    /// candidate is paused.
    pub fn recovery(&self) -> Duration {
        self.ttl + self.poll + self.retry + 3 * self.timeout
    }

    /// Refuses times that would make the lease unsafe or never renewed.
    fn check(&self) {
        assert!(!self.holder.is_empty(), "a holder has a name");
        assert!(self.margin < self.ttl, "a holder can act for some time");
        assert!(self.renew < self.ttl - self.margin, "a term is renewed before it lapses");
    }
}

/// A term during which this instance may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    /// Fencing token of the term.
    pub token: FenceToken,
    /// Revision of the record that last confirmed it.
    pub revision: Revision,
    /// End of the authority.
    pub until: Mono,
    /// Time by which the former holder's lease has surely ended, plus that lease once more.
    pub clear: Mono,
}

/// What is known of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum View {
    /// Not read yet.
    Unknown,
    /// There is no record.
    Absent,
    /// The record as last seen.
    Present {
        /// Its revision.
        revision: Revision,
        /// Its content.
        body: Body,
        /// Time at which this revision was first received.
        since: Mono,
    },
}

/// A call to the store that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flight {
    /// Number of the call.
    pub id: u64,
    /// Time before the call was sent.
    pub sent: Mono,
    /// What is written; `None` for a read.
    pub body: Option<Body>,
}

/// A write whose effect is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unanswered {
    /// Number of the call.
    pub id: u64,
    /// Time before it was sent.
    pub sent: Mono,
    /// What was written.
    pub body: Body,
}

/// State of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Settings of the lease.
    pub settings: Arc<Settings>,
    /// Whether this instance stands as a candidate.
    pub wants: bool,
    /// Whether a release has still to be written.
    pub releasing: bool,
    /// Term now held.
    pub term: Option<Term>,
    /// What is known of the record.
    pub view: View,
    /// Call under way.
    pub flight: Option<Flight>,
    /// Writes whose effect is unknown, oldest first.
    pub unknown: Vec<Unanswered>,
    /// Greatest token seen in any record.
    pub greatest: FenceToken,
    /// Token of the last term that ended; it never becomes valid again.
    pub ended: FenceToken,
    /// Time of the next call.
    pub next: Mono,
    /// Number of the last call.
    pub calls: u64,
    /// Number of the last write.
    pub beats: u64,
}

/// A record as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Found {
    /// Revision of the record.
    pub revision: Revision,
    /// Its content.
    pub body: Body,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Answer to a read, or the record that a write met instead of the expected one.
    Record(Option<Found>),
    /// A write took effect at this revision.
    Written(Revision),
    /// The call may have taken effect.
    Unknown,
    /// The call had no effect.
    Failed,
    /// The record could not be read.
    Corrupt,
}

/// What happens to the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Stand as a candidate, or no longer; a term that is held goes on.
    Wants(bool),
    /// Stop acting at once, and let the others know.
    Release,
    /// Call `id` was answered.
    Answer {
        /// Number of the call.
        id: u64,
        /// Its answer.
        answer: Answer,
    },
}

/// What the adapter has to do.
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
        /// Revision that the record must have.
        expect: Revision,
        /// New content.
        body: Body,
    },
    /// A term began.
    Gained(FenceToken),
    /// A term ended.
    Lost(FenceToken),
}

impl State {
    /// Returns a candidate that knows nothing, with its first read due at once.
    pub fn new(settings: Settings) -> Self {
        settings.check();
        Self {
            settings: Arc::new(settings),
            wants: true,
            releasing: false,
            term: None,
            view: View::Unknown,
            flight: None,
            unknown: Vec::new(),
            greatest: 0,
            ended: 0,
            next: Mono::ZERO,
            calls: 0,
            beats: 0,
        }
    }
}
