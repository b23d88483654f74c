//! HTTP interface of the key-value store. Each request is forwarded to a
//! [`Store`](agate_store::Store).

use {
    super::Shared,
    crate::server::{self, HttpRequest},
    agate_store::{Call as StoreCall, Purpose, Record, Revision, StoreResponse, port::LeaseId},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    http::StatusCode,
    serde::Deserialize,
    serde_json::{Value, json},
    std::time::Duration,
    volo_http::response::Response,
};

#[derive(Deserialize)]
struct Swap {
    key: String,
    expect: Revision,
    value: Option<String>,
    lease: Option<LeaseId>,
}

#[derive(Deserialize)]
struct Ttl {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Lease {
    lease: LeaseId,
}

/// Handles a request under `/store/v1`.
pub(super) async fn handle(shared: &Shared, req: &HttpRequest) -> Response {
    let store_call = match parse(req) {
        Ok(w) => w,
        Err(status) => return server::empty(status),
    };
    let is_watch = matches!(store_call, StoreCall::Watch { .. });
    match shared.store.call(Purpose::Record, store_call).await {
        Ok(response) => encode(response, is_watch),
        Err(e) => {
            log::warn!("stand-in store: {e}");
            server::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn parse(req: &HttpRequest) -> Result<StoreCall, StatusCode> {
    let bad = StatusCode::BAD_REQUEST;
    let text = |name: &str| req.param(name).ok_or(bad);
    let number = |name: &str| text(name)?.parse::<u64>().map_err(|_| bad);
    match (req.method.as_str(), req.path.as_str()) {
        ("GET", "/store/v1/key") => Ok(StoreCall::Get { key: text("key")? }),
        ("GET", "/store/v1/list") => Ok(StoreCall::List { prefix: text("prefix")? }),
        ("GET", "/store/v1/watch") => Ok(StoreCall::Watch {
            key: text("key")?,
            after: number("after")?,
            wait: Duration::from_millis(number("wait_ms")?),
        }),
        ("POST", "/store/v1/swap") => swap(req.json()?),
        ("POST", "/store/v1/lease") => {
            let t: Ttl = req.json()?;
            Ok(StoreCall::Grant { ttl: Duration::from_millis(t.ttl_ms) })
        }
        ("POST", "/store/v1/renew") => {
            let l: Lease = req.json()?;
            Ok(StoreCall::Renew { lease: l.lease })
        }
        ("POST", "/store/v1/revoke") => {
            let l: Lease = req.json()?;
            Ok(StoreCall::Revoke { lease: l.lease })
        }
        _ => Err(StatusCode::NOT_FOUND),
    }
}

fn swap(s: Swap) -> Result<StoreCall, StatusCode> {
    let value = s.value.map(|v| STANDARD.decode(v)).transpose();
    let value = value.map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(StoreCall::Swap { key: s.key, expect: s.expect, value, lease: s.lease })
}

fn record(r: &Record) -> Value {
    json!({ "revision": r.revision, "value": STANDARD.encode(&r.value) })
}

fn encode(response: StoreResponse, is_watch: bool) -> Response {
    match response {
        StoreResponse::Value(Some(r)) => server::json(StatusCode::OK, &record(&r)),
        StoreResponse::Value(None) if is_watch => server::empty(StatusCode::NO_CONTENT),
        StoreResponse::Value(None) => server::empty(StatusCode::NOT_FOUND),
        StoreResponse::Page(_) => unreachable!("no request of this interface returns a page"),
        StoreResponse::Keys(keys) => server::json(StatusCode::OK, &json!({ "keys": keys })),
        StoreResponse::Swapped(r) => server::json(StatusCode::OK, &json!({ "revision": r })),
        StoreResponse::Conflict(Some(r)) => server::json(StatusCode::CONFLICT, &record(&r)),
        StoreResponse::Conflict(None) => server::json(StatusCode::CONFLICT, &json!({})),
        StoreResponse::Granted(l) => server::json(StatusCode::OK, &json!({ "lease": l })),
        StoreResponse::Done => server::empty(StatusCode::NO_CONTENT),
        StoreResponse::LeaseGone => server::empty(StatusCode::GONE),
    }
}
