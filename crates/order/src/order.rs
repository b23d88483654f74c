//! Sending of one order to an engine.

use {
    crate::{
        Error, Result,
        connection::{self, Allow},
    },
    agate_core::FenceToken,
    agate_ctl::{Outcome as ControlOutcome, Role, Verb},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::Full,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Path of the engine's order interface.
const PATH: &str = "/admin/order";
/// Operation name in errors.
const STEP: &str = "order";

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifier, unique to this order.
    pub id: String,
    /// Fencing token of the lease holder that sends it.
    pub fence: FenceToken,
    /// Operation to execute.
    pub verb: Verb,
}

/// Result of sending an order.
#[derive(Debug)]
pub enum Outcome {
    /// The engine executed it.
    Done,
    /// The engine knows a larger fencing token and did not execute it.
    Stale,
    /// The engine was executing another order and did not execute this one.
    Busy,
    /// The engine refused it with this status and did not execute it.
    Refused(StatusCode),
    /// No byte of it was sent.
    Unsent(Error),
    /// The engine may or may not have executed it.
    Unknown(Error),
}

impl Outcome {
    /// Metric labels of all outcomes.
    pub const LABELS: [&'static str; 6] = ["done", "stale", "busy", "refused", "unsent", "unknown"];

    /// Metric label of this outcome.
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Stale => "stale",
            Outcome::Busy => "busy",
            Outcome::Refused(_) => "refused",
            Outcome::Unsent(_) => "unsent",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Outcome as an input of the controller: of the known ones, all but `Done` count as refused.
    pub fn control_outcome(&self) -> ControlOutcome {
        match self {
            Outcome::Done => ControlOutcome::Done,
            Outcome::Unknown(_) => ControlOutcome::Unknown,
            _ => ControlOutcome::Refused,
        }
    }
}

#[derive(Serialize)]
struct Body<'a> {
    fence: FenceToken,
    id: &'a str,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
}

fn encode_body(order: &Order) -> Bytes {
    let (kind, role) = match order.verb {
        Verb::Drain => ("drain", None),
        Verb::Undrain => ("undrain", None),
        Verb::Role(Role::Prefill) => ("role", Some("prefill")),
        Verb::Role(Role::Decode) => ("role", Some("decode")),
    };
    let body = Body { fence: order.fence, id: &order.id, kind, role };
    serde_json::to_vec(&body).expect("an order is valid JSON").into()
}

/// Sends `order` to the engine at `peer`; each write requires that `allow` returns true.
///
/// Returns after `life` at the latest. The connection is closed when this returns, and reset when
/// the future is dropped.
pub async fn send_order(peer: SocketAddr, order: &Order, life: Duration, allow: Allow) -> Outcome {
    let opened = timeout(life, async {
        let start = tokio::time::Instant::now();
        let connection = connection::open(peer, life, allow).await;
        connection.map(|c| (c, life.saturating_sub(start.elapsed())))
    });
    let (mut connection, remaining) = match opened.await {
        Ok(Ok(opened)) => opened,
        Ok(Err(source)) => return Outcome::Unsent(Error::Connect { step: STEP, peer, source }),
        Err(_) => return Outcome::Unsent(Error::Late { step: STEP, peer }),
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(http::header::HOST, "engine")
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(encode_body(order)))
        .expect("the request has a valid path and headers");
    let response = timeout(remaining, connection.sender.send_request(request)).await;
    let status = read_status(response.map(|r| r.map(|r| r.status())), peer);
    let written = connection.close().await;
    match status {
        Ok(status) if status.is_success() => Outcome::Done,
        Ok(StatusCode::CONFLICT) => Outcome::Stale,
        Ok(StatusCode::LOCKED) => Outcome::Busy,
        Ok(status) if status.is_client_error() => Outcome::Refused(status),
        Ok(status) => {
            let cause = format!("status {status}");
            Outcome::Unknown(Error::Malformed { step: STEP, peer, cause })
        }
        Err(e) if written == 0 => Outcome::Unsent(e),
        Err(e) => Outcome::Unknown(e),
    }
}

type StatusResult = std::result::Result<hyper::Result<StatusCode>, tokio::time::error::Elapsed>;

fn read_status(result: StatusResult, peer: SocketAddr) -> Result<StatusCode> {
    match result {
        Ok(Ok(status)) => Ok(status),
        Ok(Err(source)) => Err(Error::Broken { step: STEP, peer, source }),
        Err(_) => Err(Error::Late { step: STEP, peer }),
    }
}
