//! Client of the platform's key-value store.
//!
//! A write that fails without a definite response is reported as ambiguous, since the platform may
//! have executed it. A failed read is reported as unavailable.

use {
    crate::http::{Http, Response},
    ::http::StatusCode,
    agate_store::{
        Call, Error, Purpose, Record, Result, Store, StoreResponse, metrics::Kind, port::escape_key,
    },
    base64::{Engine as _, engine::general_purpose::STANDARD},
    futures_util::FutureExt,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of a call, in addition to the waiting time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct WireRecord {
    revision: Option<u64>,
    value: Option<String>,
}

#[derive(Deserialize)]
struct WireKeys {
    keys: Vec<String>,
}

#[derive(Serialize)]
struct WireSwap<'a> {
    key: &'a str,
    expect: u64,
    value: Option<String>,
    lease: Option<u64>,
}

#[derive(Serialize)]
struct WireGrant {
    ttl_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct WireLease {
    lease: u64,
}

/// Returns the store of the platform at `peer`, without connecting.
pub fn open(peer: SocketAddr) -> Store {
    let http = Http::open(peer);
    Store::new(move |_purpose: Purpose, call: Call| {
        let http = http.clone();
        async move { execute(&http, call).await }.boxed()
    })
}

async fn execute(http: &Http, call: Call) -> Result<StoreResponse> {
    let step = Kind::of(&call).label();
    let write = call.is_write();
    let peer = http.peer().to_string();
    let (status, body) = match send(http, &call).await {
        Ok(response) => response,
        Err(e) if write => return Err(Error::Ambiguous { step, peer, cause: e.cause }),
        Err(e) => return Err(Error::Unavailable { step, peer, cause: e.cause }),
    };
    match status {
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited { step, peer }),
        s if s.is_server_error() && write => {
            Err(Error::Ambiguous { step, peer, cause: format!("status {s}") })
        }
        s if s.is_server_error() => {
            Err(Error::Unavailable { step, peer, cause: format!("status {s}") })
        }
        status => read_response(&call, status, &body).map_err(|cause| Error::Malformed {
            step,
            peer,
            cause,
        }),
    }
}

async fn send(http: &Http, call: &Call) -> std::result::Result<Response, crate::http::Error> {
    match call {
        Call::Get { key } => {
            http.get(&format!("/store/v1/key?key={}", escape_key(key)), CALL_TIMEOUT).await
        }
        Call::List { prefix } => {
            http.get(&format!("/store/v1/list?prefix={}", escape_key(prefix)), CALL_TIMEOUT).await
        }
        Call::Range { .. } => Err(http.unsupported("/store/v1/range")),
        Call::Watch { key, after, wait } => {
            let (key, wait_ms) = (escape_key(key), wait.as_millis());
            let path = format!("/store/v1/watch?key={key}&after={after}&wait_ms={wait_ms}");
            http.get(&path, *wait + CALL_TIMEOUT).await
        }
        Call::Swap { key, expect, value, lease } => {
            let value = value.as_ref().map(|v| STANDARD.encode(v));
            let body = WireSwap { key, expect: *expect, value, lease: *lease };
            http.post("/store/v1/swap", &body, CALL_TIMEOUT).await
        }
        Call::Grant { ttl } => {
            let body = WireGrant { ttl_ms: ttl.as_millis() as u64 };
            http.post("/store/v1/lease", &body, CALL_TIMEOUT).await
        }
        Call::Renew { lease } => {
            http.post("/store/v1/renew", &WireLease { lease: *lease }, CALL_TIMEOUT).await
        }
        Call::Revoke { lease } => {
            http.post("/store/v1/revoke", &WireLease { lease: *lease }, CALL_TIMEOUT).await
        }
    }
}

fn read_response(
    call: &Call,
    status: StatusCode,
    body: &[u8],
) -> std::result::Result<StoreResponse, String> {
    match (call, status) {
        (Call::Get { .. } | Call::Watch { .. }, StatusCode::OK) => {
            Ok(StoreResponse::Value(read_record(body)?))
        }
        (Call::Get { .. }, StatusCode::NOT_FOUND) => Ok(StoreResponse::Value(None)),
        (Call::Watch { .. }, StatusCode::NOT_FOUND | StatusCode::NO_CONTENT) => {
            Ok(StoreResponse::Value(None))
        }
        (Call::List { .. }, StatusCode::OK) => {
            Ok(StoreResponse::Keys(read::<WireKeys>(body)?.keys))
        }
        (Call::Swap { .. }, StatusCode::OK) => {
            let record = read::<WireRecord>(body)?;
            Ok(StoreResponse::Swapped(record.revision.ok_or("the response has no revision")?))
        }
        (Call::Swap { .. }, StatusCode::CONFLICT) => {
            Ok(StoreResponse::Conflict(read_record(body)?))
        }
        (Call::Grant { .. }, StatusCode::OK) => {
            Ok(StoreResponse::Granted(read::<WireLease>(body)?.lease))
        }
        (Call::Renew { .. } | Call::Revoke { .. }, StatusCode::NO_CONTENT) => {
            Ok(StoreResponse::Done)
        }
        (_, StatusCode::GONE) if call.is_write() => Ok(StoreResponse::LeaseGone),
        (_, status) => Err(format!("status {status}")),
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

fn read_record(body: &[u8]) -> std::result::Result<Option<Record>, String> {
    let wire = read::<WireRecord>(body)?;
    let (Some(revision), Some(value)) = (wire.revision, wire.value) else { return Ok(None) };
    let value = STANDARD.decode(value).map_err(|e| e.to_string())?;
    Ok(Some(Record { revision, value }))
}
