//! Calls that may not be retried. A claim in the store makes each of them run at most once.
//!
//! The claim is made before anything is sent. It holds a fingerprint of the request, so that reuse
//! of the key with another request is detected. The permit is checked immediately before each
//! attempt, because the process may be paused between the claim and the attempt for longer than the
//! claim lasts.

use {
    crate::{
        dispatch::RETRY_AFTER,
        header,
        proxy_state::ProxyState,
        refusal::{Refused, Result},
        serve::Job,
    },
    agate_config::doc::KeyRequirement,
    agate_core::Refusal,
    agate_idempotency::{Claim, ClaimError, Fingerprint, Permit, StoredResponse},
    agate_quarantine::hash_parts,
    agate_transport::proof::{Grant, NotRunProof},
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, response::Parts},
    tokio::time::Instant,
    volo_http::body::Body,
};

/// Longest idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 255;
/// Marks a response as the stored response of an earlier run.
const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// Result of claiming an idempotency key.
pub enum Claimed {
    /// This call holds the claim and is run now.
    Run(Permit, NotRunProof),
    /// The call ran before; this is the stored response.
    Replay(Response<Body>),
}

/// Returns the idempotency key of a call that may not be retried, or `None` if the call may be
/// retried or carries no key.
///
/// Errors: `ClaimMissing` if the route requires a key and there is none, or if the key is empty,
/// too long or not printable.
pub fn find_key(job: &Job, proof: NotRunProof) -> Result<(Option<String>, NotRunProof)> {
    let route = job.route_entry();
    if route.idempotent || job.head.method.is_safe() {
        return Ok((None, proof));
    }
    let key = job.head.headers.get(header::IDEMPOTENCY_KEY).map(|v| v.to_str().unwrap_or_default());
    match key {
        None if route.idempotency_key == KeyRequirement::Required => {
            let text = "the route requires an `idempotency-key` header";
            Err(Refused::not_run(Refusal::ClaimMissing, text, proof))
        }
        Some(key) if key.is_empty() || key.len() > MAX_KEY_LENGTH => {
            let text = format!("an idempotency key has 1 to {MAX_KEY_LENGTH} printable characters");
            Err(Refused::not_run(Refusal::ClaimMissing, text, proof))
        }
        key => Ok((key.map(str::to_owned), proof)),
    }
}

/// Claims `key` for this call. Waits while another call holds the claim.
///
/// Errors: `ClaimConflict` if the key was used with another request, `ClaimUnknown` if the outcome
/// of the earlier run is not known or its response was too large to store, `ClaimUnavailable` if
/// the claim cannot be made.
pub async fn claim(
    state: &ProxyState,
    job: &Job,
    key: &str,
    proof: NotRunProof,
) -> Result<Claimed> {
    match state.once.claim(job.org_name(), key, request_fingerprint(job)).await {
        Ok(Claim::Won(permit)) => Ok(Claimed::Run(permit, proof)),
        Ok(Claim::Replay(response)) => replay(job, response).map(Claimed::Replay),
        Ok(Claim::Conflict) => {
            let text = "the idempotency key was used with another request";
            Err(Refused::not_run(Refusal::ClaimConflict, text, proof))
        }
        Ok(Claim::Unknown) => {
            let text = "a call with this idempotency key was sent and its outcome is not known";
            Err(Refused::unknown(Refusal::ClaimUnknown, text))
        }
        Err(e @ (ClaimError::Unavailable | ClaimError::Full)) => {
            log::info!("request {}: {e}", job.id);
            let text = "the call cannot be guarded against a second run at present";
            let refused = Refused::not_run(Refusal::ClaimUnavailable, text, proof);
            Err(refused.retry_after(RETRY_AFTER))
        }
    }
}

/// Checks that the permit, if there is one, still allows an attempt to start.
///
/// Errors: `ClaimUnavailable` if it does not; the call counts as not run if `grant` still proves
/// it.
pub fn check_permit(permit: Option<&Permit>, grant: Grant) -> Result<Grant> {
    if permit.is_none_or(|p| p.may_dispatch(Instant::now())) {
        return Ok(grant);
    }
    let text = "the call was not sent within the life of its claim";
    let refused = Refused::with_proof(Refusal::ClaimUnavailable, text, grant.not_run_proof());
    Err(refused.retry_after(RETRY_AFTER))
}

/// Stores the response of the run under its claim. The request identifier is left out, since it
/// differs for each call.
pub fn finish(permit: Permit, head: &Parts, body: &Bytes) {
    let kept = header::for_caller(&head.headers, "");
    let pairs = kept.iter().filter(|(name, _)| *name != header::REQUEST_ID);
    let pairs =
        pairs.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())));
    permit.finish(head.status.as_u16(), pairs.collect(), body.to_vec());
}

fn replay(job: &Job, response: StoredResponse) -> Result<Response<Body>> {
    let Some(body) = response.body else {
        let text = "the call ran once; its answer was too large to keep";
        return Err(Refused::unknown(Refusal::ClaimUnknown, text));
    };
    let mut out = Response::new(Body::from(body));
    *out.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers.iter().filter_map(|(name, value)| {
        Some((name.parse::<HeaderName>().ok()?, value.parse::<HeaderValue>().ok()?))
    });
    *out.headers_mut() = headers.collect::<HeaderMap>();
    let id = HeaderValue::from_str(&job.id).expect("request ids are printable");
    out.headers_mut().insert(header::REQUEST_ID, id);
    out.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    Ok(out)
}

/// Fingerprint of a call: its method, target and body.
fn request_fingerprint(job: &Job) -> Fingerprint {
    let target = job.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let parts = [job.head.method.as_str().as_bytes(), target.as_bytes(), &job.body];
    hash_parts(blake3::Hasher::new(), parts)
}
