//! Chat completion requests: queueing, prefill, token generation and response.

use {
    super::{
        slots::Slot,
        state::{EngineFaults, RunEntry, RunState, Shared},
        text,
    },
    crate::server::{self, HttpRequest},
    agate_core::time,
    bytes::Bytes,
    futures_util::stream::unfold,
    http::StatusCode,
    serde::Deserialize,
    serde_json::json,
    std::{
        future::pending,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::watch,
    volo_http::{body::Body, response::Response},
};

/// Number of output tokens if the request sets no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Deserialize)]
struct Request {
    model: String,
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: u32,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

/// Concatenates the messages into the prompt text.
fn prompt(messages: &[Message]) -> String {
    messages.iter().map(|m| text::line(&m.role, &m.content)).collect()
}

/// Counts a request as waiting until dropped.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn enter(shared: &Arc<Shared>) -> Self {
        let mut s = shared.lock();
        s.waiting += 1;
        s.record_load();
        Self(shared.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// A running request. Dropping it frees its slot and completes its log entry.
struct Run {
    shared: Arc<Shared>,
    entry: usize,
    id: String,
    seed: u64,
    /// Index of the next token.
    next: u32,
    /// Index of the first token of this run.
    from: u32,
    /// Index after the last token.
    end: u32,
    /// Progress of the stream's end: 0 while tokens follow, 1 before the usage event if the run was
    /// cancelled, 2 before `[DONE]`, 3 after it.
    end_step: u8,
    faults: EngineFaults,
    end_signal: watch::Receiver<Option<RunState>>,
    _slot: Slot,
}

impl Drop for Run {
    fn drop(&mut self) {
        let requested = *self.end_signal.borrow();
        let mut s = self.shared.lock();
        s.running.swap_remove(&self.entry);
        let entry = &mut s.log[self.entry];
        if entry.state == RunState::Running {
            entry.state = requested.unwrap_or(RunState::Dropped);
        }
        entry.end.get_or_insert_with(Instant::now);
        s.record_load();
    }
}

impl Run {
    /// Waits for `time`; returns early with the final state if the run is ended from outside.
    async fn wait(&mut self, time: Duration) -> Option<RunState> {
        let requested = self.end_signal.wait_for(|e| e.is_some());
        tokio::time::timeout(time, requested).await.ok().and_then(|r| r.ok().and_then(|e| *e))
    }

    fn count(&mut self) {
        self.next += 1;
        let mut s = self.shared.lock();
        s.log[self.entry].tokens += 1;
        if self.next == self.end {
            s.log[self.entry].state = RunState::Finished;
        }
    }

    fn usage(&self) -> serde_json::Value {
        let s = self.shared.lock();
        let e = &s.log[self.entry];
        json!({
            "prompt_tokens": e.prompt,
            "completion_tokens": self.next - self.from,
            "cached_tokens": e.cached,
        })
    }
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn complete(shared: Arc<Shared>, req: HttpRequest) -> Response {
    let request: Request = match req.json() {
        Ok(r) => r,
        Err(status) => return server::empty(status),
    };
    let faults = shared.lock().next_faults();
    let crash_text = faults.crash_text.as_deref().map(str::as_bytes);
    let crashes = crash_text.is_some_and(|m| req.body.windows(m.len()).any(|w| w == m));
    if let Some(response) = refusal(&shared, &request, &faults) {
        return add_headers(&shared, &req, &faults, response);
    }
    let Some(mut run) = start_run(&shared, &req, &request, faults.clone()).await else {
        return add_headers(&shared, &req, &faults, server::not_run());
    };
    if crashes {
        shared.crash();
        drop(run);
        return pending().await;
    }
    if run.wait(prefill_time(&shared, run.entry)).await.is_some() {
        return add_headers(&shared, &req, &faults, server::empty(StatusCode::BAD_GATEWAY));
    }
    let response = if request.stream { stream(run) } else { complete_json(run).await };
    tokio::time::sleep(faults.response_delay).await;
    add_headers(&shared, &req, &faults, response)
}

/// Returns the response if the engine refuses the request.
fn refusal(shared: &Shared, request: &Request, faults: &EngineFaults) -> Option<Response> {
    let mut s = shared.lock();
    if let Some(rest) = faults.rest {
        s.rejected += 1;
        return Some(server::resting(rest));
    }
    if faults.not_run || s.draining || !s.models.contains_key(&request.model) {
        return Some(server::not_run());
    }
    None
}

/// Waits for a slot and adds the log entry. Returns `None` if the engine began to drain meanwhile.
async fn start_run(
    shared: &Arc<Shared>,
    req: &HttpRequest,
    request: &Request,
    faults: EngineFaults,
) -> Option<Run> {
    let waiting = Waiting::enter(shared);
    let priority = req.header("x-priority").parse().unwrap_or(0);
    let slot = shared.slots.acquire(priority).await;
    drop(waiting);
    let prompt = prompt(&request.messages);
    let blocks = text::blocks(&prompt, req.header("x-cache-salt"));
    let (end_signal, end_receiver) = watch::channel(None);
    let mut s = shared.lock();
    if s.draining {
        return None;
    }
    let hits = s.cache_lookup(&blocks);
    let entry = s.log.len();
    let id = req.header("x-request-id").to_owned();
    s.log.push(RunEntry {
        id: id.clone(),
        state: RunState::Running,
        from: request.resume_from,
        tokens: 0,
        key_seen: req.has_key(),
        headers: req.headers.clone(),
        start: Instant::now(),
        end: None,
        priority: req.header("x-priority").to_owned(),
        prompt: text::prompt_tokens(&prompt),
        cached: hits * text::BLOCK_TOKENS,
    });
    s.exports.insert(id.clone(), blocks);
    s.running.insert(entry, end_signal);
    s.record_load();
    drop(s);
    Some(Run {
        shared: shared.clone(),
        entry,
        id,
        seed: text::seed(&prompt),
        next: request.resume_from,
        from: request.resume_from,
        end: request.max_tokens,
        end_step: 0,
        faults,
        end_signal: end_receiver,
        _slot: slot,
    })
}

fn prefill_time(shared: &Shared, entry: usize) -> Duration {
    let s = shared.lock();
    let e = &s.log[entry];
    let fresh = e.prompt.saturating_sub(e.cached);
    time::seconds(fresh as f64 / shared.settings.prefill_rate)
}

/// Generates all tokens and responds with one JSON document.
async fn complete_json(mut run: Run) -> Response {
    let gap = run.shared.settings.gap;
    let mut content = String::new();
    while run.next < run.end {
        if run.wait(gap).await.is_some() {
            return server::empty(StatusCode::BAD_GATEWAY);
        }
        content += &text::token(run.seed, run.next);
        run.count();
    }
    let message = json!({ "role": "assistant", "content": content });
    let choices = json!([{ "index": 0, "message": message, "finish_reason": "stop" }]);
    let value = json!({ "id": run.id, "choices": choices, "usage": run.usage() });
    json_body(value.to_string(), &run.faults)
}

/// Builds the JSON response, with the configured faults of its body and length.
fn json_body(mut text: String, faults: &EngineFaults) -> Response {
    if faults.half_body {
        text.truncate(text.len() / 2);
    }
    let length = text.len() as i64 + faults.length_error;
    let frames = unfold(Some(text), |text| async move {
        // Lets the server write the body before it detects the wrong length.
        let Some(text) = text else {
            tokio::task::yield_now().await;
            return None;
        };
        let frame: StreamFrame = Ok(http_body::Frame::data(Bytes::from(text)));
        Some((frame, None))
    });
    let mut response = Response::new(Body::from_stream(frames));
    server::set_header(&mut response, "content-type", "application/json");
    server::set_header(&mut response, "content-length", &length.max(0).to_string());
    response
}

/// Responds with server-sent events, one per token.
fn stream(run: Run) -> Response {
    let frames = unfold(run, |mut run| async move {
        let frame = next_frame(&mut run).await?;
        Some((frame, run))
    });
    let mut response = Response::new(Body::from_stream(frames));
    server::set_header(&mut response, "content-type", "text/event-stream");
    response
}

type StreamFrame = Result<http_body::Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

async fn next_frame(run: &mut Run) -> Option<StreamFrame> {
    let done = run.next - run.from;
    let reached = |bound: Option<u32>| bound.is_some_and(|b| done >= b);
    if reached(run.faults.short_end) {
        return None;
    }
    if reached(run.faults.cut_after) {
        // Lets the server write the tokens before the connection is closed.
        tokio::task::yield_now().await;
        return Some(Err("cut".into()));
    }
    if reached(run.faults.stall_after) {
        return pending().await;
    }
    match run.end_step {
        0 if run.next < run.end => Some(token_frame(run).await),
        0 | 1 => {
            run.end_step = 2;
            let usage = json!({ "id": run.id, "choices": [], "usage": run.usage() });
            Some(event(&usage.to_string()))
        }
        2 => {
            run.end_step = 3;
            Some(event("[DONE]"))
        }
        _ => None,
    }
}

async fn token_frame(run: &mut Run) -> StreamFrame {
    let gap = run.shared.settings.gap;
    let (content, reason) = match run.wait(gap).await {
        None => (text::token(run.seed, run.next), None),
        Some(RunState::Cancelled) => (String::new(), Some("cancelled")),
        Some(state) => return Err(format!("run ended: {state:?}").into()),
    };
    let index = run.next;
    let reason = match reason {
        Some(r) => {
            run.end_step = 1;
            Some(r)
        }
        None => {
            run.count();
            (run.next == run.end).then_some("stop")
        }
    };
    let choice = json!({ "index": 0, "delta": { "content": content }, "finish_reason": reason });
    event(&json!({ "id": run.id, "choices": [choice], "token_index": index }).to_string())
}

fn event(data: &str) -> StreamFrame {
    Ok(http_body::Frame::data(Bytes::from(format!("data: {data}\n\n"))))
}

/// Adds the load and request id headers.
fn add_headers(
    shared: &Shared,
    req: &HttpRequest,
    faults: &EngineFaults,
    mut response: Response,
) -> Response {
    let load = shared.lock().reported_load();
    let text = format!("running={},waiting={},slots={}", load.running, load.waiting, load.slots);
    server::set_header(&mut response, "x-load", &text);
    let id = req.header("x-request-id");
    let wrong_id = format!("crossed-{id}");
    server::set_header(&mut response, "x-request-id", if faults.wrong_id { &wrong_id } else { id });
    response
}
