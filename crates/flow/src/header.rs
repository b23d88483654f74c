//! Names of headers, and the filters applied to headers between callers and endpoints.

use {
    agate_transport::exchange::ResponseMarkers,
    http::{
        HeaderMap, HeaderName, StatusCode,
        header::{self, HeaderValue},
        response::Parts,
    },
};

/// Identifier of a request; endpoints that support it echo it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Marks a response to a request of which no part ran.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Load of an endpoint, carried in its responses.
pub const LOAD: HeaderName = HeaderName::from_static("x-load");
/// Key of a caller, as an alternative to `authorization`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Idempotency key: makes a non-idempotent call run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Organisation to which an endpoint may attribute the request.
pub const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");

/// Separates the cached prompt prefixes of different organisations in an engine.
pub const CACHE_SALT: HeaderName = HeaderName::from_static("x-cache-salt");

/// Markers in the responses of endpoints with this interface.
pub const RESPONSE_MARKERS: ResponseMarkers = ResponseMarkers { id: REQUEST_ID, not_run };

fn not_run(head: &Parts) -> bool {
    let said = head.headers.get(NOT_RUN).is_some_and(|v| v == "true");
    said && head.status == StatusCode::SERVICE_UNAVAILABLE
}

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that carry a caller's key or that only this system may set.
const RESERVED: [HeaderName; 8] = [
    header::AUTHORIZATION,
    header::COOKIE,
    API_KEY,
    REQUEST_ID,
    ORGANISATION,
    CACHE_SALT,
    NOT_RUN,
    HeaderName::from_static("x-priority"),
];

/// Returns the caller's key: the bearer token, or else the `x-api-key` header.
pub fn find_key(headers: &HeaderMap) -> Option<&str> {
    let bearer = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let bearer = bearer.and_then(|v| {
        let (scheme, key) = v.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
    });
    bearer.or_else(|| headers.get(API_KEY).and_then(|v| v.to_str().ok()))
}

/// Returns the headers of a request to send to an endpoint: without the caller's key, hop-by-hop
/// headers, reserved headers, and any header whose value contains `key`.
pub fn for_endpoint(headers: &HeaderMap, key: Option<&str>, id: &str) -> HeaderMap {
    let mut out = strip(headers);
    for name in &RESERVED {
        out.remove(name);
    }
    out.remove(header::HOST);
    out.remove(header::CONTENT_LENGTH);
    out.remove(header::EXPECT);
    if let Some(key) = key {
        remove_value(&mut out, key);
    }
    let id = HeaderValue::from_str(id).expect("request ids are printable");
    out.insert(REQUEST_ID, id);
    out
}

/// Returns the headers of an endpoint's response to send to the caller, with the request identifier
/// `id`.
pub fn for_caller(headers: &HeaderMap, id: &str) -> HeaderMap {
    let mut out = strip(headers);
    out.remove(LOAD);
    out.remove(NOT_RUN);
    out.remove(header::CONTENT_LENGTH);
    out.insert(REQUEST_ID, HeaderValue::from_str(id).expect("request ids are printable"));
    out
}

fn strip(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.map(str::trim).filter(|n| !n.is_empty()) {
            out.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        out.remove(name);
    }
    out
}

fn remove_value(headers: &mut HeaderMap, key: &str) {
    let holders: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, v)| v.as_bytes().windows(key.len().max(1)).any(|w| w == key.as_bytes()))
        .map(|(n, _)| n.clone())
        .collect();
    for name in holders {
        headers.remove(name);
    }
}
