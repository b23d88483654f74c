//! Protocol-specific parts of the proxy, as a struct of functions.

use {
    crate::{refusal::Refused, request_info::RequestInfo},
    agate_route::signals::Signals,
    agate_transport::exchange::ResponseMarkers,
    bytes::Bytes,
    http::{HeaderMap, Request, Response, StatusCode, header::InvalidHeaderValue, response::Parts},
    std::{net::SocketAddr, time::Duration},
};

/// Values sent to an endpoint in addition to the caller's headers.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Name of the endpoint that the request is meant for.
    pub endpoint: &'a str,
    /// Time that the endpoint may take.
    pub left: Duration,
    /// Organisation that the request runs for; `None` on an open route.
    pub org: Option<&'a str>,
    /// Identifier of the event after which the stream resumes.
    pub resume: Option<&'a str>,
    /// Priority in the endpoint's own queue; 0 is served first.
    pub urgency: u8,
    /// Part of the work that a model engine does.
    pub part: Part<'a>,
}

/// Part of a request's work that an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// Prefill and decode.
    Whole,
    /// Prefill only; the KV cache is kept for another engine.
    Prefill,
    /// Decode from the KV cache with this name.
    Decode(&'a str),
}

/// Classification of an endpoint's response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Valid response, to be forwarded.
    Good,
    /// The endpoint states that the request failed there.
    Failed,
    /// Invalid response, not to be forwarded, with the reason; the request may have run.
    Invalid(&'static str),
}

/// Reference to the KV cache of a prompt that an engine prefilled for another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillHandle {
    /// Handle of the KV cache, unique at its engine.
    pub handle: String,
}

/// Kind of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Meant for no endpoint, so that the endpoint rejects it at once and tells its name. It takes no slot.
    Identity,
    /// Meant for the endpoint. It may wait for a slot like any request.
    Health,
}

/// Who returned a response, as far as it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responder {
    /// The endpoint that the request was meant for, by its name.
    Named,
    /// An endpoint that rejects the request, although it was meant for it.
    Rejecting,
    /// Another endpoint.
    Other,
    /// Unknown: it may come from something between this instance and the endpoint.
    Unknown,
}

/// Call that copies a run to another engine.
#[derive(Clone, Copy, Debug)]
pub struct CopyCall<'a> {
    /// Name of the endpoint that runs the request.
    pub endpoint: &'a str,
    /// Identifier of the request.
    pub request: &'a str,
    /// Address of the engine that gets the copy.
    pub target: SocketAddr,
    /// Whether the run stops first.
    pub last: bool,
}

/// Copy of a run at another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copied {
    /// Handle of the copy, unique at the engine that it came from.
    pub handle: String,
    /// Number of events that the run had generated.
    pub created: u64,
}

/// Response to a call that copies a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Copied(Copied),
    /// The endpoint has no such run.
    Gone,
    /// Another call for the run is in progress.
    Busy,
    /// The target has no room or cannot be reached. If the run stopped, the endpoint keeps its memory under
    /// this handle.
    Refused(Option<Copied>),
    /// Any other response.
    Invalid,
}

/// Functions that implement one protocol.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// How endpoints mark their responses.
    pub markers: ResponseMarkers,
    /// Reads a request's metadata from the caller's headers.
    pub parse_request: fn(&HeaderMap) -> RequestInfo,
    /// Makes the headers sent to an endpoint from the caller's headers.
    pub request_headers: fn(&HeaderMap, &Outgoing<'_>) -> HeaderMap,
    /// Makes the headers of a health check of the endpoint with this name.
    pub health_headers: fn(Check, &str) -> HeaderMap,
    /// Tells who returned the response to such a check.
    pub responder: fn(Check, &Parts, &str) -> Responder,
    /// Classifies an endpoint's response head.
    pub classify_response: fn(&Parts) -> Verdict,
    /// Reads what an endpoint states about itself in a response.
    pub read_signals: fn(&Parts) -> Signals,
    /// Whether a response states that another endpoint process now listens at the address.
    pub misdirected: fn(&Parts) -> bool,
    /// Makes the headers sent to the caller from an endpoint's response headers.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
    /// Makes the response to a request that was not served.
    pub refuse: fn(&Refused) -> Response<()>,
    /// Parses the response body of a prefill; `None` if it is malformed.
    pub parse_prefill: fn(&[u8]) -> Option<PrefillHandle>,
    /// Names a KV cache so that another engine can fetch it from the address of the one that has
    /// it.
    pub kv_source: fn(SocketAddr, &PrefillHandle) -> String,
    /// Makes the call that copies a run to another engine.
    pub copy_request: fn(&CopyCall<'_>) -> Result<Request<Bytes>, InvalidHeaderValue>,
    /// Reads the response to such a call.
    pub read_copy: fn(StatusCode, &[u8]) -> CopyOutcome,
    /// Makes the call to the endpoint with this name that frees the copy with this handle.
    pub release_request: fn(&str, &str) -> Option<Request<Bytes>>,
}
