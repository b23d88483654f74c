//! Why a received message was dropped.

/// Reason for dropping a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reject {
    /// Shorter than the framing itself.
    #[error("message shorter than its framing")]
    Short,
    /// Longer than the limit of its medium.
    #[error("message longer than its limit")]
    Large,
    /// Made by a version of the protocol that this build does not speak.
    #[error("unsupported protocol version")]
    Version,
    /// The MAC matches none of the accepted secrets in this context.
    #[error("authentication failed")]
    Mac,
    /// The authenticated bytes are not exactly one message.
    #[error("malformed message")]
    Malformed,
    /// The sender's incarnation is below `seen`.
    #[error("outdated incarnation; {seen} was seen")]
    Outdated {
        /// Greatest incarnation seen from this sender.
        seen: u64,
    },
    /// The sequence number was accepted before, or is too old to tell.
    #[error("replayed message")]
    Replayed,
    /// The message carries the receiver's own name.
    #[error("message from the receiver itself")]
    Own,
}

impl Reject {
    /// Number of reasons; an upper bound of [`Reject::index`].
    pub const COUNT: usize = 8;

    /// Labels in metrics, by [`Reject::index`].
    pub const LABELS: [&'static str; Self::COUNT] =
        ["short", "large", "version", "mac", "malformed", "outdated", "replayed", "own"];

    /// Position of the reason in a table of counters.
    pub fn index(self) -> usize {
        match self {
            Reject::Short => 0,
            Reject::Large => 1,
            Reject::Version => 2,
            Reject::Mac => 3,
            Reject::Malformed => 4,
            Reject::Outdated { .. } => 5,
            Reject::Replayed => 6,
            Reject::Own => 7,
        }
    }

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        Self::LABELS[self.index()]
    }
}
