//! Calls that may not be repeated, made at most once by a claim in the store.
//!
//! The claim is made before anything is sent and names the request by a fingerprint. Its permit is
//! checked last before each attempt, because a process may be paused between the two.

use {
    crate::{
        dispatch::COME_BACK,
        gate::Gate,
        header,
        reply::{Refused, Result},
        serve::Job,
    },
    agate_config::doc::BookingKey,
    agate_core::Refusal,
    agate_link::truth::{Grant, Untouched},
    agate_once::{Answer, Claim, ClaimError, Permit, Print},
    agate_quarantine::hash_parts,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, response::Parts},
    tokio::time::Instant,
    volo_http::body::Body,
};

/// Longest booking key, in bytes.
const KEY_LENGTH: usize = 255;
/// States that an answer is that of an earlier run.
const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// How a call with a booking key goes on.
pub enum Claimed {
    /// It is to be run now.
    Run(Permit, Untouched),
    /// It ran before; this is its answer.
    Answer(Response<Body>),
}

/// Returns the booking key of a call that may not be repeated, if it carries one.
pub fn find_key(job: &Job, proof: Untouched) -> Result<(Option<String>, Untouched)> {
    let route = job.entry();
    if route.idempotent || job.head.method.is_safe() {
        return Ok((None, proof));
    }
    let key = job.head.headers.get(header::BOOKING).map(|v| v.to_str().unwrap_or_default());
    match key {
        None if route.booking == BookingKey::Required => {
            let text = "the route requires an `idempotency-key` header";
            Err(Refused::not_run(Refusal::ClaimMissing, text, proof))
        }
        Some(key) if key.is_empty() || key.len() > KEY_LENGTH => {
            let text = format!("an idempotency key has 1 to {KEY_LENGTH} printable characters");
            Err(Refused::not_run(Refusal::ClaimMissing, text, proof))
        }
        key => Ok((key.map(str::to_owned), proof)),
    }
}

/// Claims the key, waiting for another call that holds it.
pub async fn claim(gate: &Gate, job: &Job, key: &str, proof: Untouched) -> Result<Claimed> {
    match gate.once.claim(job.org_name(), key, print(job)).await {
        Ok(Claim::Won(permit)) => Ok(Claimed::Run(permit, proof)),
        Ok(Claim::Replay(answer)) => replay(job, answer).map(Claimed::Answer),
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
            Err(refused.retry_after(COME_BACK))
        }
    }
}

/// Checks that the call may still begin to be sent.
pub fn check_permit(permit: Option<&Permit>, grant: Grant) -> Result<Grant> {
    if permit.is_none_or(|p| p.may_dispatch(Instant::now())) {
        return Ok(grant);
    }
    let text = "the call was not sent within the life of its claim";
    let refused = Refused::either(Refusal::ClaimUnavailable, text, grant.untouched());
    Err(refused.retry_after(COME_BACK))
}

/// States the answer of the one run.
pub fn finish(permit: Permit, head: &Parts, body: &Bytes) {
    let kept = header::for_caller(&head.headers, "");
    let pairs = kept.iter().filter(|(name, _)| *name != header::REQUEST_ID);
    let pairs =
        pairs.filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())));
    permit.finish(head.status.as_u16(), pairs.collect(), body.to_vec());
}

fn replay(job: &Job, answer: Answer) -> Result<Response<Body>> {
    let Some(body) = answer.body else {
        let text = "the call ran once; its answer was too large to keep";
        return Err(Refused::unknown(Refusal::ClaimUnknown, text));
    };
    let mut out = Response::new(Body::from(body));
    *out.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = answer.headers.iter().filter_map(|(name, value)| {
        Some((name.parse::<HeaderName>().ok()?, value.parse::<HeaderValue>().ok()?))
    });
    *out.headers_mut() = headers.collect::<HeaderMap>();
    let id = HeaderValue::from_str(&job.id).expect("request ids are printable");
    out.headers_mut().insert(header::REQUEST_ID, id);
    out.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    Ok(out)
}

/// Fingerprint of what a call asks for.
fn print(job: &Job) -> Print {
    let target = job.head.uri.path_and_query().map_or("/", |p| p.as_str());
    let parts = [job.head.method.as_str().as_bytes(), target.as_bytes(), &job.body];
    hash_parts(blake3::Hasher::new(), parts)
}
