//! Reasons for dropping a received message.

/// Reason for dropping a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reject {
    /// The message is shorter than its framing.
    #[error("message shorter than its framing")]
    Short,
    /// The message is longer than the limit of its [`Context`](crate::Context).
    #[error("message longer than its limit")]
    Large,
    /// The protocol version is not supported by this build.
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
        /// Highest incarnation seen from this sender.
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
    /// Number of reasons; [`Reject::index`] is always below it.
    pub const COUNT: usize = 8;

    /// Labels in metrics, indexed by [`Reject::index`].
    pub const LABELS: [&'static str; Self::COUNT] =
        ["short", "large", "version", "mac", "malformed", "outdated", "replayed", "own"];

    /// Index of the reason in a table of counters.
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

    /// Label of the reason in metrics.
    pub fn label(self) -> &'static str {
        Self::LABELS[self.index()]
    }
}
