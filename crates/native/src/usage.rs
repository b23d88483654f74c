//! The platform's usage interface.
//!
//! A report carries a sealed record, so repeating it after a lost answer sends the same figures
//! under the same token. A refusal for other figures is final: it is told apart and never repeated.

use {
    crate::http::Http,
    ::http::StatusCode,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Path of the interface.
const PATH: &str = "/usage/v1/report";
/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// One row of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row<'a> {
    /// Start of the window in which the work ended, in milliseconds since the Unix epoch; before
    /// the reported window for work that became known late.
    pub window_ms: u64,
    /// Name of the organisation.
    pub organisation: &'a str,
    /// Name of the model or pool.
    pub model: &'a str,
    /// Requests that ran.
    pub requests: u64,
    /// Tokens of their prompts.
    pub prompt: u64,
    /// Tokens that were generated.
    pub output: u64,
}

/// What one shard reports for one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report<'a> {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub window: u64,
    /// The shard.
    pub shard: u32,
    /// Its figures, in a fixed order.
    pub figures: Vec<Row<'a>>,
    /// Idempotency token, a function of window and shard.
    pub token: String,
}

/// Why a report was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform has other figures for the window.
    #[error("report at the platform {peer}: the window has other figures")]
    Conflict {
        /// Address of the platform.
        peer: SocketAddr,
    },
    /// The report failed or its outcome is unknown; the same report may be sent again.
    #[error("report at the platform {peer}: {cause}")]
    Failed {
        /// Address of the platform.
        peer: SocketAddr,
        /// Detail for the log.
        cause: String,
    },
}

/// Sends a report once.
pub async fn report(http: &Http, report: &Report<'_>) -> Result<(), Error> {
    let peer = http.peer();
    let failed = |cause| Error::Failed { peer, cause };
    let answer = http.post(PATH, report, ANSWER_LIMIT).await;
    let (status, _) = answer.map_err(|e| failed(e.cause))?;
    match status {
        s if s.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(Error::Conflict { peer }),
        s => Err(failed(format!("status {s}"))),
    }
}
