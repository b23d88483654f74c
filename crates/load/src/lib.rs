//! Open-loop load generator: seeded arrivals, latency without coordinated omission, goodput by
//! organisation.
//!
//! Requests are sent at times drawn from a seed, whether or not earlier ones have completed.
//! Latency counts from the intended send time, so that waiting caused by a slow server or a slow
//! sender is included (no coordinated omission). A response counts as good only if it is complete
//! and within the deadline of its kind.
//!
//! - [`mix`]: the request mix and the seeded plan of arrivals (pure).
//! - [`profile`]: the file that defines the mix and the organisations.
//! - [`exchange`]: sending of one request, and the check of its response.
//! - [`report`]: counters, histograms and the order of organisations (pure).
//! - [`plot`]: the report as an SVG plot.
//! - [`run`](mod@run): execution of a plan with limits on time and concurrency.

pub mod exchange;
pub mod mix;
pub mod plot;
pub mod profile;
pub mod report;
pub mod run;

pub use {
    mix::{Arrival, Kind, Mix, Organisation, Share, plan},
    profile::Profile,
    report::{Outcome, Report, Row},
    run::{Progress, Settings, run},
};

/// Failure of a load run or of its input and output.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid, for the given reason.
    #[error("load settings: {0}")]
    Settings(&'static str),
    /// The profile cannot be read or is invalid.
    #[error("load profile {file} is invalid:\n  {}", problems.join("\n  "))]
    Profile {
        /// File that was read.
        file: String,
        /// Every problem, with its place in the file and the accepted values.
        problems: Vec<String>,
    },
    /// The plot could not be written.
    #[error("failed to write the plot {path}: {cause}")]
    Plot {
        /// File that was to be written.
        path: String,
        /// Error message of the plotting library.
        cause: String,
    },
}

/// Result of a load run or of its input and output.
pub type Result<T> = std::result::Result<T, Error>;
