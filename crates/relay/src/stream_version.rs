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
    agate_version::{Resumption, StreamId, detours::VersionState},
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

/// Whether `job` is a stream that its caller may take up.
fn may_be_taken_up(job: &Job) -> bool {
    job.route.kind == Kind::Stream { resumable: true }
}

/// Version of the endpoints that may serve `job`; `None` for any.
///
/// # Errors
///
/// Refuses a request that takes up a stream if it cannot be told which version began it, and one that
/// begins a stream if what is known of the endpoints is too old.
pub async fn required(state: &ProxyState, job: &Job) -> Result<Option<Version>, Refused> {
    if !may_be_taken_up(job) {
        return Ok(None);
    }
    let stream = stream_id(job);
    if job.info.resume.is_none() {
        if !state.versions.confirm().await {
            return Err(refuse(Cause::EndpointsOld, UNKNOWN_RETRY));
        }
        let Some(stream) = stream else { return Ok(None) };
        let version = state.versions.begin(&job.service, stream);
        return version.map_err(|_| refuse(Cause::VersionUnknown, UNKNOWN_RETRY));
    }
    let window = job.route.timeout * LENGTH_FACTOR;
    loop {
        match state.versions.resume(&job.service, stream, window).await {
            Resumption::At(version) => return Ok(Some(version)),
            // It can be told before the first event is due.
            Resumption::Unknown(Some(left)) if left + job.route.objective < job.remaining() => {
                sleep(left).await;
            }
            Resumption::Unknown(left) => {
                return Err(refuse(Cause::VersionUnknown, left.unwrap_or(UNKNOWN_RETRY)));
            }
            Resumption::Outdated => return Err(refuse(Cause::EndpointsOld, UNKNOWN_RETRY)),
        }
    }
}

fn refuse(cause: Cause, after: Duration) -> Refused {
    Refused::not_run(cause, Some(after), NotRunProof::accept())
}

/// Whether the version that `job` begins at was chosen from what was known of the endpoints and does
/// not hold any more: the process may have stood still since.
pub fn is_outdated(state: &ProxyState, job: &Job, attempts: &Attempts) -> bool {
    may_be_taken_up(job) && !attempts.begun && !state.versions.is_current()
}

/// Lets any version begin the stream after a failed attempt, or while its own has no healthy endpoint, if
/// the instances that may be asked for it later can tell.
pub fn relax(state: &ProxyState, job: &Job, attempts: &mut Attempts) {
    if attempts.begun || !may_be_taken_up(job) {
        return;
    }
    let Some(version) = &attempts.version else { return };
    let reason = match state.fleet.has_healthy(&requirements(state, job, attempts, &[], None)) {
        false => VersionState::Down,
        true if attempts.tried.is_empty() => return,
        true => VersionState::Failed,
    };
    if state.versions.may_begin_elsewhere(&job.service, version, reason) {
        attempts.version = None;
    }
}

/// Remembers that an endpoint of `version` brought the first event of this response.
pub fn record(state: &ProxyState, job: &Job, version: &Version) {
    if let Some(stream) = stream_id(job) {
        state.versions.on_begun(stream, &job.service, version);
    }
}
