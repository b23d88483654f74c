//! Responses to model requests as callers receive them: one JSON object, or server-sent events.

use {
    crate::{
        decision::Trace,
        header,
        model::{EngineStream, Generation},
        proxy_state::ProxyState,
        refusal::Refused,
        serve::stop_refusal,
        token::{Event, Usage},
    },
    bytes::Bytes,
    http::{HeaderValue, Response, header::CONTENT_TYPE},
    http_body::Frame,
    serde::Serialize,
    std::{io, time::Duration},
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
    volo_http::body::Body,
};

/// Events buffered for a slow caller before reading from its engine is paused.
const EVENT_BUFFER: usize = 32;

/// Pause between the error event of a broken stream and the abort of its transfer.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);

type Item = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Text<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Text<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Text<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

/// Responds with server-sent events as the engine produces them.
pub fn event_stream(run: Generation, source: EngineStream) -> Response<Body> {
    let (tx, rx) = mpsc::channel::<Item>(EVENT_BUFFER);
    let mut out = Response::new(Body::from_stream(ReceiverStream::new(rx)));
    let headers = out.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(header::REQUEST_ID, id_value(&run));
    tokio::spawn(relay(run, source, tx));
    out
}

async fn relay(run: Generation, source: EngineStream, tx: mpsc::Sender<Item>) {
    let (state, id, trace) = (run.state.clone(), run.job.id.clone(), run.job.trace.clone());
    tokio::select! {
        // Dropping the stream closes the connection to the engine, which frees its slot there.
        () = tx.closed() => state.metrics.abandoned.inc(),
        () = state.flight.until_aborted() => fail(&state, &id, &trace, &stop_refusal(), &tx).await,
        () = forward(run, source, &tx) => {}
    }
}

async fn forward(mut run: Generation, mut source: EngineStream, tx: &mpsc::Sender<Item>) {
    loop {
        let (event, rest) = match run.next(source).await {
            Ok(next) => next,
            Err(refused) => {
                return fail(&run.state, &run.job.id, &run.job.trace, &refused, tx).await;
            }
        };
        if event == Event::End {
            run.finish(rest);
            let _ = tx.send(data(&end(&run))).await;
            let _ = tx.send(data("[DONE]")).await;
            return;
        }
        if let Some(text) = chunk(&run, &event)
            && tx.send(data(&text)).await.is_err()
        {
            return;
        }
        source = rest;
    }
}

/// Ends a stream with an error event and an aborted transfer, so that no caller takes it for
/// complete.
async fn fail(
    state: &ProxyState,
    id: &str,
    trace: &Trace,
    refused: &Refused,
    tx: &mpsc::Sender<Item>,
) {
    state.metrics.refuse(refused.reason());
    trace.record_refusal(refused, state.now());
    log::info!("request {} ended early: {}", id, refused.reason().code());
    let _ = tx.send(data(&refused.body(id))).await;
    // When the body fails, the HTTP library drops what it has not flushed. It flushes when the body
    // has nothing ready, and the pause gives it time to do so.
    tokio::time::sleep(FLUSH_PAUSE).await;
    // The error item makes the library abort the transfer without its final chunk.
    let _ = tx.send(Err(io::Error::other(refused.reason().code()).into())).await;
}

/// Responds with one JSON object.
pub fn json_response(run: &Generation, text: &str, reason: &str) -> Response<Body> {
    let message = Text { role: Some("assistant"), content: text };
    let choice =
        Choice { index: 0, delta: None, message: Some(message), finish_reason: Some(reason) };
    let body = Chunk {
        id: &run.job.id,
        object: "chat.completion",
        model: &run.request.model,
        choices: &[choice],
        usage: Some(run.usage),
    };
    let text = serde_json::to_string(&body).expect("answers serialise");
    let mut out = Response::new(Body::from(text));
    out.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    out.headers_mut().insert(header::REQUEST_ID, id_value(run));
    out
}

fn chunk(run: &Generation, event: &Event) -> Option<String> {
    let (text, finish_reason) = match event {
        Event::Token(text) => (text.as_str(), None),
        Event::Finish(reason) => ("", Some(reason.as_str())),
        Event::Usage(_) | Event::End => return None,
    };
    let delta = Some(Text { role: None, content: text });
    let choice = Choice { index: 0, delta, message: None, finish_reason };
    Some(render(run, &[choice], None))
}

/// The last chunk. It has the usage and no choice, as clients of this interface expect.
fn end(run: &Generation) -> String {
    render(run, &[], Some(run.usage))
}

fn render(run: &Generation, choices: &[Choice<'_>], usage: Option<Usage>) -> String {
    let (id, model) = (run.job.id.as_str(), run.request.model.as_str());
    let body = Chunk { id, object: "chat.completion.chunk", model, choices, usage };
    serde_json::to_string(&body).expect("answers serialise")
}

fn data(text: &str) -> Item {
    Ok(Frame::data(Bytes::from(format!("data: {text}\n\n"))))
}

fn id_value(run: &Generation) -> HeaderValue {
    HeaderValue::from_str(&run.job.id).expect("request ids are printable")
}
