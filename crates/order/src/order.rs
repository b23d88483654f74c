//! Gives one order to an engine.

use {
    crate::{
        Error, Result,
        link::{self, Allow},
    },
    agate_core::FenceToken,
    agate_ctl::{Outcome as Verdict, Role, Verb},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    http_body_util::Full,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Path of orders.
const PATH: &str = "/admin/order";
/// Name of the step in errors.
const STEP: &str = "order";

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifier, unique to this order.
    pub id: String,
    /// Fencing token of the holder.
    pub fence: FenceToken,
    /// What is asked for.
    pub verb: Verb,
}

/// How an order ended.
#[derive(Debug)]
pub enum Outcome {
    /// The engine carried it out.
    Done,
    /// The engine has seen a greater fencing token; nothing happened.
    Stale,
    /// The engine carries out another order; nothing happened.
    Busy,
    /// The engine refused it for another reason; nothing happened.
    Refused(StatusCode),
    /// Not a byte left this process.
    Unsent(Error),
    /// The engine may or may not have carried it out.
    Unknown(Error),
}

impl Outcome {
    /// Labels of all outcomes in metrics.
    pub const LABELS: [&'static str; 6] = ["done", "stale", "busy", "refused", "unsent", "unknown"];

    /// Label in metrics.
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

    /// What the controller is to conclude.
    pub fn verdict(&self) -> Verdict {
        match self {
            Outcome::Done => Verdict::Done,
            Outcome::Unknown(_) => Verdict::Unknown,
            _ => Verdict::Refused,
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

fn body(order: &Order) -> Bytes {
    let (kind, role) = match order.verb {
        Verb::Drain => ("drain", None),
        Verb::Undrain => ("undrain", None),
        Verb::Role(Role::Prefill) => ("role", Some("prefill")),
        Verb::Role(Role::Decode) => ("role", Some("decode")),
    };
    let body = Body { fence: order.fence, id: &order.id, kind, role };
    serde_json::to_vec(&body).expect("plain fields encode").into()
}

/// Gives `order` to the engine at `peer` while `allow` holds.
///
/// The connection is gone when this returns or is dropped, after `life` at the latest.
pub async fn give(peer: SocketAddr, order: &Order, life: Duration, allow: Allow) -> Outcome {
    let opened = timeout(life, async {
        let begin = tokio::time::Instant::now();
        let link = link::open(peer, life, allow).await;
        link.map(|l| (l, life.saturating_sub(begin.elapsed())))
    });
    let (mut link, left) = match opened.await {
        Ok(Ok(opened)) => opened,
        Ok(Err(source)) => return Outcome::Unsent(Error::Connect { step: STEP, peer, source }),
        Err(_) => return Outcome::Unsent(Error::Late { step: STEP, peer }),
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(http::header::HOST, "engine")
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body(order)))
        .expect("the parts are valid");
    let answer = timeout(left, link.sender.send_request(request)).await;
    let status = status(answer.map(|a| a.map(|a| a.status())), peer);
    let written = link.close().await;
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

type Answer = std::result::Result<hyper::Result<StatusCode>, tokio::time::error::Elapsed>;

fn status(answer: Answer, peer: SocketAddr) -> Result<StatusCode> {
    match answer {
        Ok(Ok(status)) => Ok(status),
        Ok(Err(source)) => Err(Error::Broken { step: STEP, peer, source }),
        Err(_) => Err(Error::Late { step: STEP, peer }),
    }
}
