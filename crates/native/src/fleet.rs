//! The platform's fleet interface: order, release, list.
//!
//! An order or release carries an idempotency token, so repeating it after an unknown outcome has no
//! second effect. Only an answer that states a refusal proves that nothing happened.

use {
    crate::http::Http,
    ::http::StatusCode,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// How an endpoint is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Kept until released.
    Standard,
    /// May be reclaimed at a few seconds' notice.
    Cheap,
}

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Ordered and not serving yet.
    Ordered,
    /// Serving.
    Live,
    /// To be taken away soon.
    Leaving,
}

/// An endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name, never used again.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Pool.
    pub pool: String,
    /// How it is paid for.
    pub kind: Kind,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// State.
    pub state: State,
    /// Milliseconds until it is taken away, if it is leaving.
    #[serde(default)]
    pub leaving_ms: Option<u64>,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order<'a> {
    /// Availability zone.
    pub zone: &'a str,
    /// Pool.
    pub pool: &'a str,
    /// Kind.
    pub kind: Kind,
    /// Number of endpoints.
    pub count: u32,
    /// Idempotency token.
    pub token: &'a str,
}

/// A release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Release<'a> {
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Idempotency token.
    pub token: &'a str,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform refused it; nothing happened.
    #[error("{step} at the platform {peer}: refused with status {status}")]
    Refused {
        /// What was attempted.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// It may or may not have been carried out; it may be repeated with the same token.
    #[error("{step} at the platform {peer}: outcome unknown: {cause}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// Address of the platform.
        peer: SocketAddr,
        /// Detail for the log.
        cause: String,
    },
}

#[derive(Deserialize)]
struct List {
    endpoints: Vec<Endpoint>,
}

/// Orders endpoints.
pub async fn order(http: &Http, order: &Order<'_>) -> Result<(), Error> {
    post(http, "order", "/fleet/v1/order", order).await
}

/// Releases an endpoint.
pub async fn release(http: &Http, release: &Release<'_>) -> Result<(), Error> {
    post(http, "release", "/fleet/v1/release", release).await
}

/// Reads the list of endpoints, which may lag behind.
pub async fn list(http: &Http) -> Result<Vec<Endpoint>, Error> {
    let peer = http.peer();
    let failed = |cause| Error::Unknown { step: "list", peer, cause };
    let answer = http.get("/fleet/v1/endpoints", ANSWER_LIMIT).await;
    let (status, body) = answer.map_err(|e| failed(e.cause))?;
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
    let answer = http.post(path, body, ANSWER_LIMIT).await;
    let (status, _) = answer.map_err(|e| failed(e.cause))?;
    match status {
        s if s.is_success() => Ok(()),
        // A limit on the rate is no statement about the order.
        StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
            Err(failed(format!("status {status}")))
        }
        s if s.is_client_error() => Err(Error::Refused { step, peer, status }),
        s => Err(failed(format!("status {s}"))),
    }
}
