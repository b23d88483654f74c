//! Sending of one request, and the check that its response is complete.
//!
//! A stream is complete if it has the requested number of tokens, reports the same number as usage
//! and ends with the end marker. If an endpoint numbers its tokens, the numbers must start at zero
//! and have no gaps. If an endpoint's response has a request id, it must be that of the request.

use {
    crate::{
        mix::{Arrival, Kind, Mix},
        report::{Outcome, Sample},
    },
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::TcpStream, time::Instant},
};

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 1024;
/// Largest response body, in bytes.
const MAX_RESPONSE: usize = 16 << 20;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Connection pool of one target; clones share the connections.
#[derive(Clone, Debug)]
pub struct Target {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl Target {
    /// Returns a target without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Arc::default() }
    }

    async fn checkout(&self) -> Option<Sender> {
        loop {
            let pooled = self.idle.lock().expect("lock is not poisoned").pop();
            match pooled {
                Some(s) if s.is_ready() => return Some(s),
                Some(_) => continue,
                None => break,
            }
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(conn);
        Some(sender)
    }

    fn release(&self, sender: Sender) {
        let mut idle = self.idle.lock().expect("lock is not poisoned");
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push(sender);
        }
    }
}

/// A request, and the values that its response is checked against.
#[derive(Clone, Debug)]
pub struct Outgoing {
    request: Request<Full<Bytes>>,
    id: String,
    /// Number of tokens that the response stream must have; `None` if it is no stream.
    tokens: Option<u32>,
    /// Time from the intended send time within which the response must be complete.
    deadline: Duration,
}

/// Builds the request of an arrival. `run` is a prefix that makes request ids and idempotency keys
/// of different runs distinct.
///
/// # Panics
///
/// If the path or the key is not valid in HTTP; [`profile`](crate::profile) rejects such values.
pub fn outgoing(arrival: &Arrival, mix: &Mix, key: &str, run: &str) -> Outgoing {
    let share = &mix.shares[arrival.share];
    let id = format!("{run}-{}", arrival.number);
    let (method, body, tokens) = match share.kind {
        Kind::Question | Kind::Dossier => {
            let body = chat(&mix.model, &prompt(&id, arrival.prompt), arrival.output);
            ("POST", body, Some(arrival.output))
        }
        Kind::Booking => ("POST", json!({ "booking": id }), None),
        Kind::Lookup => ("GET", Value::Null, None),
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(&share.path)
        .header("host", "load")
        .header("x-request-id", &id);
    if !key.is_empty() {
        builder = builder.header("authorization", format!("Bearer {key}"));
    }
    if share.kind == Kind::Booking {
        builder = builder.header("idempotency-key", &id);
    }
    let text = if body.is_null() { String::new() } else { body.to_string() };
    if !text.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    let request =
        builder.body(Full::new(Bytes::from(text))).expect("the profile has valid paths and keys");
    Outgoing { request, id, tokens, deadline: share.deadline }
}

fn chat(model: &str, prompt: &str, tokens: u32) -> Value {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": model, "messages": messages, "max_tokens": tokens, "stream": true })
}

/// Text of at least `size` bytes. It begins with the request id, so that all prompts differ.
fn prompt(id: &str, size: usize) -> String {
    const WORDS: &str = "kiln glaze tile board saw chain felling notch ";
    let mut out = format!("{id} ");
    while out.len() < size {
        out += WORDS;
    }
    out
}

/// Sends a request whose intended send time is `intended`. With `echo`, a response with another
/// request id counts as broken.
pub async fn exchange(target: &Target, out: Outgoing, intended: Instant, echo: bool) -> Sample {
    let mut sample =
        Sample { outcome: Outcome::Lost, whole: Duration::ZERO, first: None, between: None };
    let deadline = out.deadline;
    sample.outcome = send(target, out, intended, echo, &mut sample).await;
    sample.whole = intended.elapsed();
    if sample.outcome == Outcome::Good && sample.whole > deadline {
        sample.outcome = Outcome::Late;
    }
    sample
}

async fn send(
    target: &Target,
    out: Outgoing,
    intended: Instant,
    echo: bool,
    sample: &mut Sample,
) -> Outcome {
    let Some(mut sender) = target.checkout().await else { return Outcome::Lost };
    let Ok(response) = sender.send_request(out.request).await else { return Outcome::Lost };
    let (head, mut body) = response.into_parts();
    if !head.status.is_success() {
        let text = read(&mut body).await.unwrap_or_default();
        target.release(sender);
        return refusal(head.status, &head.headers, &text);
    }
    let echoed = head.headers.get("x-request-id");
    let wrong_id = echo && echoed.is_some_and(|v| v.as_bytes() != out.id.as_bytes());
    let complete = match out.tokens {
        Some(n) => stream(&mut body, n, intended, sample).await,
        None => read(&mut body).await.is_some(),
    };
    match complete && !wrong_id {
        true => {
            target.release(sender);
            Outcome::Good
        }
        false => Outcome::Broken,
    }
}

/// Outcome of an error response, by whether it states that the request was not executed.
fn refusal(status: StatusCode, headers: &HeaderMap, text: &[u8]) -> Outcome {
    let stated = headers.get("x-not-run").is_some_and(|v| v == "true");
    let body: Value = serde_json::from_slice(text).unwrap_or(Value::Null);
    let outcome = body["outcome"].as_str().or(body["error"]["outcome"].as_str());
    log::trace!("refused with {status}");
    match stated || outcome == Some("not_run") {
        true => Outcome::NotRun,
        false => Outcome::Refused,
    }
}

/// Reads the body; `None` if it is interrupted or too large.
async fn read(body: &mut Incoming) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            out.extend_from_slice(&data);
        }
        if out.len() > MAX_RESPONSE {
            return None;
        }
    }
    Some(out)
}

/// Reads a token stream; returns whether it was complete.
async fn stream(body: &mut Incoming, tokens: u32, intended: Instant, sample: &mut Sample) -> bool {
    let mut check = StreamCheck::default();
    let mut rest = Vec::new();
    let mut last: Option<Instant> = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let Ok(data) = frame.into_data() else { continue };
        rest.extend_from_slice(&data);
        let before = check.tokens;
        check.take(&mut rest);
        if rest.len() > MAX_RESPONSE {
            return false;
        }
        if check.tokens == before {
            continue;
        }
        sample.first = sample.first.or(Some(intended.elapsed()));
        let now = Instant::now();
        let gap = last.replace(now).map(|l| now - l);
        sample.between = sample.between.max(gap);
    }
    check.complete(tokens)
}

/// Incremental check of a token stream.
#[derive(Clone, Debug, Default)]
pub struct StreamCheck {
    /// Number of tokens received.
    tokens: u32,
    /// Whether the usage was received.
    usage: bool,
    /// Whether the end marker was received.
    done: bool,
    /// Whether an event was invalid.
    faulty: bool,
}

impl StreamCheck {
    /// Removes the complete events from the front of `rest` and checks them.
    pub fn take(&mut self, rest: &mut Vec<u8>) {
        while let Some(end) = rest.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = rest.drain(..end + 2).collect();
            let text = event.strip_prefix(b"data: ").unwrap_or(&event).trim_ascii();
            self.check_event(text);
        }
    }

    fn check_event(&mut self, text: &[u8]) {
        if text.is_empty() || text.starts_with(b":") {
            return;
        }
        if self.done {
            self.faulty = true;
            return;
        }
        if text == b"[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_slice(text).unwrap_or(Value::Null);
        let choice = &value["choices"][0];
        if value["usage"].is_object() {
            self.check_usage(&value["usage"]["completion_tokens"]);
        } else if let Some(index) = value["token_index"].as_u64() {
            self.faulty |= index != u64::from(self.tokens);
            self.tokens += 1;
        } else if choice["delta"]["content"].as_str().is_some_and(|text| !text.is_empty()) {
            self.tokens += 1;
        } else {
            self.faulty |= choice["finish_reason"].as_str() != Some("stop");
        }
    }

    /// Compares the number of tokens that the sender reports, if any, with the number received.
    fn check_usage(&mut self, reported: &Value) {
        self.usage = true;
        self.faulty |= reported.as_u64().is_some_and(|n| n != u64::from(self.tokens));
    }

    /// Whether the stream had `tokens` tokens in order, then usage, and the end marker last.
    pub fn complete(&self, tokens: u32) -> bool {
        !self.faulty && self.done && self.usage && self.tokens == tokens
    }
}
