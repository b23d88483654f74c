//! Client of the platform's fleet interface: order, release, list.
//!
//! An order or release carries an idempotency token, so it can be retried after an unknown outcome
//! without a second effect. Only an explicit refusal shows that it had no effect.

use {
    crate::http::Http,
    ::http::StatusCode,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How an endpoint is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The platform keeps it until it is released.
    Standard,
    /// The platform may reclaim it at a few seconds' notice.
    Cheap,
}

/// Lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Ordered and not serving yet.
    Ordered,
    /// Serving requests.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// Entry of the platform's endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name; the platform does not reuse it.
    pub name: String,
    /// Name of the availability zone that it runs in.
    pub zone: String,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// How it is paid for.
    pub kind: Kind,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Lifecycle state.
    pub state: State,
    /// Milliseconds until it is removed, if it is leaving.
    #[serde(default)]
    pub leaving_ms: Option<u64>,
}

/// Order of new endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order<'a> {
    /// Name of the availability zone in which they are to run.
    pub zone: &'a str,
    /// Name of the pool that they are for.
    pub pool: &'a str,
    /// How they are paid for.
    pub kind: Kind,
    /// Number of endpoints.
    pub count: u32,
    /// Idempotency token.
    pub token: &'a str,
}

/// Release of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Release<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Idempotency token.
    pub token: &'a str,
}

/// Failure of a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform refused the call, and it had no effect.
    #[error("{step} at the platform {peer}: refused with status {status}")]
    Refused {
        /// Operation that failed.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The platform may or may not have executed the call; it may be retried with the same token.
    #[error("{step} at the platform {peer}: outcome unknown: {cause}")]
    Unknown {
        /// Operation that failed.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Description of the failure.
        cause: String,
    },
}

#[derive(Deserialize)]
struct List {
    endpoints: Vec<Endpoint>,
}

/// Orders endpoints. Fails if the platform refuses the order or its outcome is unknown.
pub async fn order(http: &Http, order: &Order<'_>) -> Result<(), Error> {
    post(http, "order", "/fleet/v1/order", order).await
}

/// Releases an endpoint. Fails if the platform refuses the release or its outcome is unknown.
pub async fn release(http: &Http, release: &Release<'_>) -> Result<(), Error> {
    post(http, "release", "/fleet/v1/release", release).await
}

/// Reads the list of endpoints, which may be out of date. Fails without a valid response.
pub async fn list(http: &Http) -> Result<Vec<Endpoint>, Error> {
    let peer = http.peer();
    let failed = |cause| Error::Unknown { step: "list", peer, cause };
    let response = http.get("/fleet/v1/endpoints", CALL_TIMEOUT).await;
    let (status, body) = response.map_err(|e| failed(e.cause))?;
    if !status.is_success() {
        return Err(failed(format!("status {status}")));
    }
    let list: List = serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))?;
    Ok(list.endpoints)
}

async fn post(
    http: &Http,
    step: &'static str,
    path: &str,
    body: &impl Serialize,
) -> Result<(), Error> {
    let peer = http.peer();
    let failed = |cause| Error::Unknown { step, peer, cause };
    let response = http.post(path, body, CALL_TIMEOUT).await;
    let (status, _) = response.map_err(|e| failed(e.cause))?;
    match status {
        s if s.is_success() => Ok(()),
        // A rate limit or timeout does not tell whether the order was executed.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
            Err(failed(format!("status {status}")))
        }
        s if s.is_client_error() => Err(Error::Refused { step, peer, status }),
        s => Err(failed(format!("status {s}"))),
    }
}
