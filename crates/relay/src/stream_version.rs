//! Software version of the endpoints that serve a stream, which callers may take up.

use {
    crate::{
        proxy_state::ProxyState,
        refusal::{Cause, Refused},
        requirements::requirements,
        run::Attempts,
        serve::Job,
    },
    agate_route::ranking::name_hash,
    agate_transport::proof::NotRunProof,
    agate_version::{Resumption, StreamId},
    agate_view::{roster::Version, table::Kind},
    std::time::Duration,
    tokio::time::sleep,
};

/// Retry-after time while it cannot be told which version began a stream.
const UNKNOWN_RETRY: Duration = Duration::from_millis(200);
/// Maximum length of a stream over all attempts of its caller, as a multiple of the route's timeout.
const LENGTH_FACTOR: u32 = 2;

/// The stream that `job` begins or takes up; `None` if no caller can name it.
fn stream_id(job: &Job) -> Option<StreamId> {
    let id = match &job.info.resume {
        Some(_) => job.info.resumes.as_deref()?,
        None => &job.info.id,
    };
    (!id.is_empty()).then(|| name_hash(id))
}

/// Version of the endpoints that may serve `job`; `None` for any.
///
/// # Errors
///
/// Refuses a request that takes up a stream if it cannot be told which version began it.
pub async fn required(state: &ProxyState, job: &Job) -> Result<Option<Version>, Refused> {
    if job.route.kind != (Kind::Stream { resumable: true }) {
        return Ok(None);
    }
    let stream = stream_id(job);
    if job.info.resume.is_none() {
        return Ok(stream.and_then(|stream| state.versions.begin(&job.service, stream)));
    }
    let window = job.route.timeout * LENGTH_FACTOR;
    loop {
        let left = match state.versions.resume(&job.service, stream, window).await {
            Resumption::Any => return Ok(None),
            Resumption::At(version) => return Ok(Some(version)),
            Resumption::Unknown(left) => left,
        };
        match left {
            // It can be told before the first event is due.
            Some(left) if left + job.route.objective < job.remaining() => sleep(left).await,
            _ => {
                let after = left.unwrap_or(UNKNOWN_RETRY);
                let proof = NotRunProof::accept();
                return Err(Refused::not_run(Cause::VersionUnknown, Some(after), proof));
            }
        }
    }
}

/// Lets any version begin the stream after a failed attempt, or while its own has no healthy endpoint.
pub fn relax(state: &ProxyState, job: &Job, attempts: &mut Attempts) {
    if attempts.begun || attempts.version.is_none() {
        return;
    }
    let failed = !attempts.tried.is_empty();
    if failed || !state.fleet.has_healthy(&requirements(job, attempts, &[], None)) {
        attempts.version = None;
    }
}

/// Remembers that an endpoint of `version` brought the first event of this response.
pub fn record(state: &ProxyState, job: &Job, version: &Version) {
    if let Some(stream) = stream_id(job) {
        state.versions.on_begun(stream, &job.service, version);
    }
}
