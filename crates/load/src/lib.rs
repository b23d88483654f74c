//! Open-loop load: seeded arrivals, honest latencies, goodput by organisation.
//!
//! Requests are sent at times drawn beforehand from a seed, whether or not earlier ones were
//! answered. A request's latency runs from its intended send time, so that neither a slow server
//! nor a slow sender hides waiting (no coordinated omission). An answer counts as good only if it
//! is whole and within its kind's deadline.
//!
//! - [`mix`]: what is sent, and the seeded plan of arrivals (pure).
//! - [`profile`]: the file that says what is sent and by whom.
//! - [`exchange`]: one request on the wire, and the check that its answer is whole.
//! - [`report`]: tallies, histograms and the ordering of organisations (pure).
//! - [`plot`]: the report as an SVG.
//! - [`run`](mod@run): carries out a plan within bounds of time and concurrency.

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

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings cannot be carried out.
    #[error("load settings: {0}")]
    Settings(&'static str),
    /// The profile cannot be used.
    #[error("load profile {file} is invalid:\n  {}", problems.join("\n  "))]
    Profile {
        /// File that was read.
        file: String,
        /// Every problem, with its place and what is accepted.
        problems: Vec<String>,
    },
    /// The plot could not be written.
    #[error("write the plot {path}: {cause}")]
    Plot {
        /// File that was to be written.
        path: String,
        /// Cause given by the plotting library.
        cause: String,
    },
}

/// Result of a run.
pub type Result<T> = std::result::Result<T, Error>;
