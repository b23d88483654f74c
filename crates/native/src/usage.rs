//! Client of the platform's usage interface.
//!
//! The figures of a report are final, so a retry after a lost response sends the same figures with
//! the same idempotency token. A conflict with other figures is permanent and must not be retried;
//! it has its own error.

use {
    crate::http::Http,
    ::http::StatusCode,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Path of the usage interface.
const PATH: &str = "/usage/v1/report";
/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Usage of one organisation and model in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row<'a> {
    /// Start of the window in which the requests ended, in milliseconds since the Unix epoch. It is
    /// earlier than the reported window for requests that were counted late.
    pub window_ms: u64,
    /// Name of the organisation.
    pub organisation: &'a str,
    /// Name of the model or pool.
    pub model: &'a str,
    /// Number of requests that were executed.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of generated tokens.
    pub output: u64,
}

/// Report of one usage shard for one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report<'a> {
    /// Start of the window, in milliseconds since the Unix epoch.
    pub window: u64,
    /// Number of the shard.
    pub shard: u32,
    /// Usage figures, in an order that is the same in each retry.
    pub figures: Vec<Row<'a>>,
    /// Idempotency token; it depends only on window and shard.
    pub token: String,
}

/// Failure of a report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform has different figures for the window.
    #[error("report at the platform {peer}: the window has different figures")]
    Conflict {
        /// Address of the platform.
        peer: SocketAddr,
    },
    /// The report failed or its outcome is unknown; it may be sent again.
    #[error("report at the platform {peer}: {cause}")]
    Failed {
        /// Address of the platform.
        peer: SocketAddr,
        /// Description of the failure.
        cause: String,
    },
}

/// Sends a report, without retries. Fails on a conflict or without a successful response.
pub async fn report(http: &Http, report: &Report<'_>) -> Result<(), Error> {
    let peer = http.peer();
    let failed = |cause| Error::Failed { peer, cause };
    let response = http.post(PATH, report, CALL_TIMEOUT).await;
    let (status, _) = response.map_err(|e| failed(e.cause))?;
    match status {
        s if s.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(Error::Conflict { peer }),
        s => Err(failed(format!("status {s}"))),
    }
}
