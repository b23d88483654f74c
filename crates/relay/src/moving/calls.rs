//! Calls that copy a run to another engine and release copies.
//!
//! They go to endpoints that are leaving too, and count neither for the retry budget nor for the endpoint's
//! health: they run nothing for a caller.

use {
    crate::{
        dialect::{CopyCall, CopyOutcome},
        endpoint::Endpoint,
        proxy_state::ProxyState,
    },
    agate_transport::{
        exchange::{self, ResponseMarkers, TimeLimits},
        link::IDLE_LIMIT,
        proof::{Grant, Retryable},
    },
    bytes::Bytes,
    http::{HeaderValue, Request, StatusCode, header::HOST},
    http_body_util::Full,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, time::timeout},
};

/// Time limit of a copy while the run goes on; half of the notice.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit of the calls that stop a run or release a copy, which move little.
const STOP_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a response in bytes.
const MAX_RESPONSE: usize = 1 << 16;

/// A copy of a run, released when dropped unless it was used.
pub struct HeldCopy {
    /// State of the instance.
    pub state: Arc<ProxyState>,
    /// Endpoint that the copy comes from.
    pub source: Arc<Endpoint>,
    /// Handle of the copy.
    pub handle: String,
    /// Whether a request went on with it.
    pub used: bool,
}

impl Drop for HeldCopy {
    fn drop(&mut self) {
        if self.used {
            return;
        }
        let Ok(runtime) = Handle::try_current() else { return };
        let (state, source) = (self.state.clone(), self.source.clone());
        let release = (state.dialect.release_request)(&source.entry.name, &self.handle);
        let Some(request) = release else { return };
        drop(runtime.spawn(async move {
            if exchange(&state, &source, request, "", STOP_TIMEOUT).await.is_none() {
                log::debug!(event = "release_failed", endpoint = &*source.entry.name; "a copy was not released");
            }
        }));
    }
}

/// Stable name of why a copy failed, in logs and metrics.
pub fn failure_label(outcome: Option<&CopyOutcome>) -> &'static str {
    match outcome {
        Some(CopyOutcome::Gone) => "gone",
        Some(CopyOutcome::Busy) => "busy_run",
        Some(CopyOutcome::Refused(_)) => "refused",
        Some(CopyOutcome::Copied(_) | CopyOutcome::Invalid) => "invalid",
        None => "unanswered",
    }
}

/// Makes a call that copies a run; `None` if it was not answered.
pub async fn copy_call(
    state: &ProxyState,
    source: &Endpoint,
    call: &CopyCall<'_>,
) -> Option<CopyOutcome> {
    let request = (state.dialect.copy_request)(call).ok()?;
    let limit = if call.last { STOP_TIMEOUT } else { COPY_TIMEOUT };
    let (status, body) = exchange(state, source, request, call.request, limit).await?;
    Some((state.dialect.read_copy)(status, &body))
}

/// Sends a call to an endpoint that may be leaving; `None` if it was not answered within `limit`. A call of
/// which nothing was written, since a pooled connection was closed, is sent again over a new one.
async fn exchange(
    state: &ProxyState,
    endpoint: &Endpoint,
    request: Request<Bytes>,
    id: &str,
    limit: Duration,
) -> Option<(StatusCode, Bytes)> {
    let host = HeaderValue::from_str(&endpoint.entry.address.to_string()).ok()?;
    // The body of a refusal is read too, since it names what the endpoint keeps.
    let markers = ResponseMarkers { id: state.dialect.markers.id.clone(), not_run: |_| false };
    let end = Instant::now() + limit;
    for max_idle in [IDLE_LIMIT, Duration::ZERO] {
        let left = end.saturating_duration_since(Instant::now());
        let mut request = request.clone().map(Full::new);
        request.headers_mut().insert(HOST, host.clone());
        let grant = Grant::Again(Retryable::generation());
        let limits = TimeLimits { fresh: left, reused: left, max_idle, abandon: false };
        let sent = exchange::send(&endpoint.pool, request, id, &markers, grant, limits);
        let failure = match timeout(left, sent).await.ok()? {
            Ok(response) => {
                let left = end.saturating_duration_since(Instant::now());
                let whole = response.collect(MAX_RESPONSE, left).await.ok()?;
                return Some((whole.0.status, whole.1));
            }
            Err(failure) => failure,
        };
        log::debug!(event = "move_call_failed", endpoint = &*endpoint.entry.name, cause = failure.cause.as_str(); "a call that moves a run failed");
        if !failure.unsent() {
            return None;
        }
    }
    None
}
