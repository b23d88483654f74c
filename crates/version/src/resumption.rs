//! Where a stream that a caller takes up may go on, and what told that.

use {agate_view::roster::Version, std::time::Duration};

/// Where a stream that a caller takes up may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// At endpoints of this version.
    At(Version),
    /// Nowhere yet: it cannot be told which version began it. If it has gone on for as long as this,
    /// it can.
    Unknown(Option<Duration>),
    /// Nowhere: what is known of the endpoints is too old to tell.
    Outdated,
}

/// What told the version of a stream that a caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance forwarded the stream, or is one of its homes.
    Remembered,
    /// A home of the stream.
    Told,
    /// The splits of its service.
    Computed,
    /// Nothing: it cannot be told.
    Nothing,
    /// Nothing: what is known of the endpoints is too old to tell.
    Outdated,
}

impl Source {
    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Remembered => "remembered",
            Self::Told => "told",
            Self::Computed => "computed",
            Self::Nothing => "nothing",
            Self::Outdated => "outdated",
        }
    }
}
