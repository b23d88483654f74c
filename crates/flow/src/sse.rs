//! Answers of model requests as callers see them: one JSON object, or server-sent events.

use {
    crate::{
        decision::Trace,
        gate::Gate,
        header,
        model::{Run, Source},
        reply::Refused,
        serve::cut,
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

/// Events that may wait for a slow caller before its engine is held back.
const WINDOW: usize = 32;

/// Pause between the error event of a broken stream and the cut of its transfer.
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

/// Answers with events as the engine produces them.
pub fn stream(run: Run, source: Source) -> Response<Body> {
    let (tx, rx) = mpsc::channel::<Item>(WINDOW);
    let mut out = Response::new(Body::from_stream(ReceiverStream::new(rx)));
    let headers = out.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert(header::REQUEST_ID, id_value(&run));
    tokio::spawn(relay(run, source, tx));
    out
}

async fn relay(run: Run, source: Source, tx: mpsc::Sender<Item>) {
    let (gate, id, trace) = (run.gate.clone(), run.job.id.clone(), run.job.trace.clone());
    tokio::select! {
        // Dropping the source closes the connection to the engine, which frees its slot.
        () = tx.closed() => gate.meter.abandoned.inc(),
        () = gate.flight.until_cut() => fail(&gate, &id, &trace, &cut(), &tx).await,
        () = forward(run, source, &tx) => {}
    }
}

async fn forward(mut run: Run, mut source: Source, tx: &mpsc::Sender<Item>) {
    loop {
        let (event, rest) = match run.next(source).await {
            Ok(next) => next,
            Err(refused) => {
                return fail(&run.gate, &run.job.id, &run.job.trace, &refused, tx).await;
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

/// Ends a stream as an error, which no caller can mistake for its end.
async fn fail(gate: &Gate, id: &str, trace: &Trace, refused: &Refused, tx: &mpsc::Sender<Item>) {
    gate.meter.refuse(refused.reason());
    trace.refuse(refused, gate.now());
    log::info!("request {} ended early: {}", id, refused.reason().code());
    let _ = tx.send(data(&refused.body(id))).await;
    // The server drops what it has not flushed when the body fails, and flushes when the body has
    // nothing ready; the pause gives it that moment.
    tokio::time::sleep(FLUSH_PAUSE).await;
    // The error item makes the server cut the transfer without its final chunk.
    let _ = tx.send(Err(io::Error::other(refused.reason().code()).into())).await;
}

/// Answers with one JSON object.
pub fn whole(run: &Run, text: &str, reason: &str) -> Response<Body> {
    let message = Text { role: Some("assistant"), content: text };
    let choice =
        Choice { index: 0, delta: None, message: Some(message), finish_reason: Some(reason) };
    let body = Chunk {
        id: &run.job.id,
        object: "chat.completion",
        model: &run.ask.model,
        choices: &[choice],
        usage: Some(run.usage),
    };
    let text = serde_json::to_string(&body).expect("answers serialise");
    let mut out = Response::new(Body::from(text));
    out.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    out.headers_mut().insert(header::REQUEST_ID, id_value(run));
    out
}

fn chunk(run: &Run, event: &Event) -> Option<String> {
    let (text, finish_reason) = match event {
        Event::Token(text) => (text.as_str(), None),
        Event::Finish(reason) => ("", Some(reason.as_str())),
        Event::Usage(_) | Event::End => return None,
    };
    let delta = Some(Text { role: None, content: text });
    let choice = Choice { index: 0, delta, message: None, finish_reason };
    Some(render(run, &[choice], None))
}

/// The last chunk: it has usage and, as clients of this interface expect, no choice.
fn end(run: &Run) -> String {
    render(run, &[], Some(run.usage))
}

fn render(run: &Run, choices: &[Choice<'_>], usage: Option<Usage>) -> String {
    let (id, model) = (run.job.id.as_str(), run.ask.model.as_str());
    let body = Chunk { id, object: "chat.completion.chunk", model, choices, usage };
    serde_json::to_string(&body).expect("answers serialise")
}

fn data(text: &str) -> Item {
    Ok(Frame::data(Bytes::from(format!("data: {text}\n\n"))))
}

fn id_value(run: &Run) -> HeaderValue {
    HeaderValue::from_str(&run.job.id).expect("request ids are printable")
}
