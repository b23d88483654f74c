//! One connection of a caller, from its acceptance to its close.
//!
//! The HTTP library enforces the limits on the header section. Requests that it rejects get the
//! documented error body here and are counted. After a rejection, the connection stays open for a
//! short time until the caller closes it: closing a socket with unread input resets the connection,
//! which can destroy the response in transit.

use {
    crate::{
        proxy_state::{Limits, ProxyState},
        refusal::Refused,
        response_filter::{FilteredStream, Stage, TrackedBody},
        serve::{handle, new_id},
    },
    agate_core::Refusal,
    agate_transport::{
        caller_stream::{CallerBody, CallerStream, linger},
        memory_budget::{Account, ConnectionAccount},
        proof::NotRunProof,
    },
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, future::poll_fn, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite, AsyncWriteExt},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
    volo_http::body::Body,
};

/// Most header fields of one request; a request with more is refused as having too large a header
/// section.
const MAX_HEADERS: usize = 128;
/// Bytes of a connection's read buffer beyond the largest header section, and least size of that buffer.
const READ_BUFFER: usize = 8 << 10;
/// Time in which a caller that gives way gets its response.
const DROP_LIMIT: Duration = Duration::from_secs(1);

/// Serves the requests of one connection until the caller closes it. `closing` ends it after the
/// request in progress.
///
/// `account` is dropped with the connection.
pub async fn serve<S>(
    state: Arc<ProxyState>,
    io: S,
    peer: SocketAddr,
    account: ConnectionAccount,
    closing: CancellationToken,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    // The buffer, the piece in transit and the task of the connection.
    let mut fixed = account.draw();
    if fixed.grow(state.limits().headers + 2 * READ_BUFFER).await.is_err() {
        return;
    }
    let own = (*account).clone();
    let io = CallerStream::new(io, own.clone());
    let stage = Stage::default();
    let io = TokioIo::new(FilteredStream::new(io, stage.clone()));
    let shared = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        stage.begin();
        own.on_request();
        Box::pin(respond(shared.clone(), stage.clone(), own.clone(), request))
    });
    let mut conn = builder(&state.limits()).serve_connection(io, service);
    let result = tokio::select! {
        result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => result,
        () = account.dropped() => {
            // The reader of a body responds to its caller; others have nothing to be told.
            if !account.is_receiving() {
                return;
            }
            let last = timeout(DROP_LIMIT, poll_fn(|cx| conn.poll_without_shutdown(cx))).await;
            let Ok(result) = last else { return };
            result
        }
        () = closing.cancelled() => {
            std::pin::Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    let parts = conn.into_parts();
    let (mut io, dropped) = parts.io.into_inner().into_parts();
    if let Err(e) = result {
        log::debug!("connection of caller {peer}: {e}");
        let begun = dropped || !parts.read_buf.is_empty();
        if let Some(refused) = classify(&e).filter(|_| begun) {
            let _ = io.write_all(&refusal_bytes(&state, &refused, peer)).await;
        }
    }
    let _ = io.shutdown().await;
    if !closing.is_cancelled() {
        drop(fixed);
        linger(io).await;
    }
}

async fn respond(
    state: Arc<ProxyState>,
    stage: Stage,
    account: Arc<Account>,
    request: Request<Incoming>,
) -> Result<Response<CallerBody<TrackedBody<Body>>>, Infallible> {
    // If a request has both a chunked encoding and a content length, the library uses the encoding
    // and does not report the length. The connection has to be closed then, since a load balancer
    // in front may have used the length and split the byte stream differently.
    let chunked = request.headers().contains_key(http::header::TRANSFER_ENCODING);
    let mut response = handle(state, request.map(Body::from_incoming), &account).await;
    account.on_received();
    if chunked {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| CallerBody::new(stage.track(body), account)))
}

fn builder(limits: &Limits) -> http1::Builder {
    let mut out = http1::Builder::new();
    out.timer(TokioTimer::new())
        .header_read_timeout(limits.arrival)
        .max_header_size(limits.headers)
        .max_buf_size(limits.headers + READ_BUFFER)
        .max_headers(MAX_HEADERS);
    out
}

/// Maps a connection error to the refusal of the request that was being read, if it is the caller's
/// error.
fn classify(e: &hyper::Error) -> Option<Refused> {
    let (reason, text) = match e {
        e if e.is_timeout() => (Refusal::RequestSlow, "the header section did not arrive in time"),
        e if e.is_parse_too_large() => {
            (Refusal::HeadersLarge, "the header section is larger than the limit")
        }
        e if e.is_parse() => (Refusal::FramingInvalid, "the request is not valid HTTP/1.1"),
        _ => return None,
    };
    // The request was never passed to the handler, so no part of it can have run.
    Some(Refused::not_run(reason, text, NotRunProof::accept()))
}

/// Counts a refusal and returns the bytes of its HTTP response.
fn refusal_bytes(state: &ProxyState, refused: &Refused, peer: SocketAddr) -> Vec<u8> {
    let id = new_id();
    state.metrics.requests.inc();
    state.metrics.refuse(refused.reason());
    log::info!("request {id} of caller {peer} refused: {}", refused.reason().code());
    let response = refused.response(&id);
    let body = refused.body(&id);
    let mut out = format!("HTTP/1.1 {}\r\n", response.status());
    for (name, value) in response.headers() {
        out += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    out += &format!("connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    out.into_bytes()
}
