//! One connection of a caller, from its acceptance to its close.
//!
//! The bounds on a request's header section are the server library's; what it refuses is answered
//! here with the documented error body and counted. A refused connection is closed after a short
//! wait for the caller, since a close with unread input would destroy the reply on its way.

use {
    crate::{
        gate::{Gate, Limits},
        reply::Refused,
        serve::{handle, new_id},
        stage::{Filtered, Stage},
    },
    agate_core::Refusal,
    agate_link::truth::Untouched,
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, future::poll_fn, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
    volo_http::body::Body,
};

/// Most header fields of one request; more are refused like a header section that is too large.
const FIELDS: usize = 128;
/// Longest wait for a caller to close its side after the reply that ends a connection.
const LINGER: Duration = Duration::from_secs(1);

/// Serves the requests of one connection; `closing` ends it after the request in progress.
pub async fn serve<S>(gate: Arc<Gate>, io: S, peer: SocketAddr, closing: CancellationToken)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let stage = Stage::default();
    let io = TokioIo::new(Filtered::new(io, stage.clone()));
    let answering = gate.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        stage.begin();
        Box::pin(answer(answering.clone(), stage.clone(), request))
    });
    let mut conn = builder(&gate.limits()).serve_connection(io, service);
    let result = tokio::select! {
        result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => result,
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
        if let Some(refused) = judge(&e).filter(|_| begun) {
            let _ = io.write_all(&refuse(&gate, &refused, peer)).await;
        }
    }
    let _ = io.shutdown().await;
    if !closing.is_cancelled() {
        let _ = timeout(LINGER, drain(io)).await;
    }
}

async fn answer(
    gate: Arc<Gate>,
    stage: Stage,
    request: Request<Incoming>,
) -> Result<Response<crate::stage::Watched<Body>>, Infallible> {
    // The library lets the chunked encoding override a stated length, which it does not show. The
    // connection then has to be closed, since a balancer may have divided its bytes otherwise.
    let chunked = request.headers().contains_key(http::header::TRANSFER_ENCODING);
    let mut response = handle(gate, request.map(Body::from_incoming)).await;
    if chunked {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| stage.watch(body)))
}

fn builder(limits: &Limits) -> http1::Builder {
    let mut out = http1::Builder::new();
    out.timer(TokioTimer::new())
        .header_read_timeout(limits.arrival)
        .max_header_size(limits.headers)
        .max_headers(FIELDS);
    out
}

/// What a failure of the connection means for the request that was being read.
fn judge(e: &hyper::Error) -> Option<Refused> {
    let (reason, text) = match e {
        e if e.is_timeout() => (Refusal::RequestSlow, "the header section did not arrive in time"),
        e if e.is_parse_too_large() => {
            (Refusal::HeadersLarge, "the header section is larger than the limit")
        }
        e if e.is_parse() => (Refusal::FramingInvalid, "the request is not valid HTTP/1.1"),
        _ => return None,
    };
    // The request was never handed over, so nothing of it can have run.
    Some(Refused::not_run(reason, text, Untouched::accept()))
}

/// Counts a refusal and gives the bytes of its reply.
fn refuse(gate: &Gate, refused: &Refused, peer: SocketAddr) -> Vec<u8> {
    let id = new_id();
    gate.meter.requests.inc();
    gate.meter.refuse(refused.reason());
    log::info!("request {id} of caller {peer} refused: {}", refused.reason().code());
    let reply = refused.reply(&id);
    let body = refused.body(&id);
    let mut out = format!("HTTP/1.1 {}\r\n", reply.status());
    for (name, value) in reply.headers() {
        out += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    out += &format!("connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    out.into_bytes()
}

/// Reads until the caller closes its side.
async fn drain(mut io: impl AsyncRead + Unpin) {
    let mut unread = [0; 4096];
    while io.read(&mut unread).await.is_ok_and(|n| n > 0) {}
}
