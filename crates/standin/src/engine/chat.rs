//! Runs model requests.

use {
    super::{
        slots::Slot,
        state::{EngineFaults, RunEntry, RunState, Shared},
        text,
    },
    crate::server::{self, Call},
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

/// Tokens of an answer when the request names no bound.
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

/// Text of a request's messages as the model reads it.
fn prompt(messages: &[Message]) -> String {
    messages.iter().map(|m| text::line(&m.role, &m.content)).collect()
}

/// Counts a request as waiting while it lives.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn enter(shared: &Arc<Shared>) -> Self {
        let mut s = shared.lock();
        s.waiting += 1;
        s.note_load();
        Self(shared.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// One request in its slot; dropping it frees the slot and closes its log entry.
struct Run {
    shared: Arc<Shared>,
    entry: usize,
    id: String,
    seed: u64,
    next: u32,
    from: u32,
    last: u32,
    sent_end: u8,
    faults: EngineFaults,
    ending: watch::Receiver<Option<RunState>>,
    _slot: Slot,
}

impl Drop for Run {
    fn drop(&mut self) {
        let told = *self.ending.borrow();
        let mut s = self.shared.lock();
        s.running.swap_remove(&self.entry);
        let entry = &mut s.log[self.entry];
        if entry.state == RunState::Running {
            entry.state = told.unwrap_or(RunState::Dropped);
        }
        entry.end.get_or_insert_with(Instant::now);
        s.note_load();
    }
}

impl Run {
    /// Waits for `time`; returns how the run was told to end meanwhile.
    async fn wait(&mut self, time: Duration) -> Option<RunState> {
        let told = self.ending.wait_for(|e| e.is_some());
        tokio::time::timeout(time, told).await.ok().and_then(|r| r.ok().and_then(|e| *e))
    }

    fn count(&mut self) {
        self.next += 1;
        let mut s = self.shared.lock();
        s.log[self.entry].tokens += 1;
        if self.next == self.last {
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

/// Answers `POST /v1/chat/completions`.
pub(super) async fn complete(shared: Arc<Shared>, call: Call) -> Response {
    let request: Request = match call.json() {
        Ok(r) => r,
        Err(status) => return server::empty(status),
    };
    let faults = shared.lock().next_faults();
    let mark = faults.crash_mark.as_deref().map(str::as_bytes);
    let poison = mark.is_some_and(|m| call.body.windows(m.len()).any(|w| w == m));
    if let Some(reply) = refuse(&shared, &request, &faults) {
        return finish(&shared, &call, &faults, reply);
    }
    let Some(mut run) = admit(&shared, &call, &request, faults.clone()).await else {
        return finish(&shared, &call, &faults, server::not_run());
    };
    if poison {
        shared.crash();
        drop(run);
        return pending().await;
    }
    if run.wait(prefill_time(&shared, run.entry)).await.is_some() {
        return finish(&shared, &call, &faults, server::empty(StatusCode::BAD_GATEWAY));
    }
    let reply = if request.stream { stream(run) } else { whole(run).await };
    tokio::time::sleep(faults.late_reply).await;
    finish(&shared, &call, &faults, reply)
}

fn refuse(shared: &Shared, request: &Request, faults: &EngineFaults) -> Option<Response> {
    let s = shared.lock();
    if faults.not_run || s.draining || !s.models.contains_key(&request.model) {
        return Some(server::not_run());
    }
    None
}

/// Waits for a slot and opens the log entry; `None` if the engine began to drain meanwhile.
async fn admit(
    shared: &Arc<Shared>,
    call: &Call,
    request: &Request,
    faults: EngineFaults,
) -> Option<Run> {
    let waiting = Waiting::enter(shared);
    let priority = call.header("x-priority").parse().unwrap_or(0);
    let slot = shared.slots.take(priority).await;
    drop(waiting);
    let prompt = prompt(&request.messages);
    let blocks = text::blocks(&prompt, call.header("x-cache-salt"));
    let (ending, ended) = watch::channel(None);
    let mut s = shared.lock();
    if s.draining {
        return None;
    }
    let hits = s.touch(&blocks);
    let entry = s.log.len();
    let id = call.header("x-request-id").to_owned();
    s.log.push(RunEntry {
        id: id.clone(),
        state: RunState::Running,
        from: request.resume_from,
        tokens: 0,
        key_seen: call.has_key(),
        headers: call.headers.clone(),
        start: Instant::now(),
        end: None,
        priority: call.header("x-priority").to_owned(),
        prompt: text::prompt_tokens(&prompt),
        cached: hits * text::BLOCK_TOKENS,
    });
    s.exports.insert(id.clone(), blocks);
    s.running.insert(entry, ending);
    s.note_load();
    drop(s);
    Some(Run {
        shared: shared.clone(),
        entry,
        id,
        seed: text::seed(&prompt),
        next: request.resume_from,
        from: request.resume_from,
        last: request.max_tokens,
        sent_end: 0,
        faults,
        ending: ended,
        _slot: slot,
    })
}

fn prefill_time(shared: &Shared, entry: usize) -> Duration {
    let s = shared.lock();
    let e = &s.log[entry];
    let fresh = e.prompt.saturating_sub(e.cached);
    Duration::from_secs_f64(fresh as f64 / shared.settings.prefill_rate)
}

/// Runs to the end and answers with one JSON document.
async fn whole(mut run: Run) -> Response {
    let gap = run.shared.settings.gap;
    let mut content = String::new();
    while run.next < run.last {
        if run.wait(gap).await.is_some() {
            return server::empty(StatusCode::BAD_GATEWAY);
        }
        content += &text::token(run.seed, run.next);
        run.count();
    }
    let message = json!({ "role": "assistant", "content": content });
    let choices = json!([{ "index": 0, "message": message, "finish_reason": "stop" }]);
    let value = json!({ "id": run.id, "choices": choices, "usage": run.usage() });
    sized(value.to_string(), &run.faults)
}

fn sized(mut text: String, faults: &EngineFaults) -> Response {
    if faults.half_body {
        text.truncate(text.len() / 2);
    }
    let length = text.len() as i64 + faults.length_error;
    let pieces = unfold(Some(text), |text| async move {
        // The pause lets the server write the piece before it finds the length to be wrong.
        let Some(text) = text else {
            tokio::task::yield_now().await;
            return None;
        };
        let piece: Piece = Ok(http_body::Frame::data(Bytes::from(text)));
        Some((piece, None))
    });
    let mut reply = Response::new(Body::from_stream(pieces));
    server::set(&mut reply, "content-type", "application/json");
    server::set(&mut reply, "content-length", &length.max(0).to_string());
    reply
}

/// Answers with server-sent events, a token each.
fn stream(run: Run) -> Response {
    let pieces = unfold(run, |mut run| async move {
        let piece = next_piece(&mut run).await?;
        Some((piece, run))
    });
    let mut reply = Response::new(Body::from_stream(pieces));
    server::set(&mut reply, "content-type", "text/event-stream");
    reply
}

type Piece = Result<http_body::Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

async fn next_piece(run: &mut Run) -> Option<Piece> {
    let done = run.next - run.from;
    let reached = |bound: Option<u32>| bound.is_some_and(|b| done >= b);
    if reached(run.faults.short_end) {
        return None;
    }
    if reached(run.faults.cut_after) {
        // Lets the server write the tokens before the connection breaks.
        tokio::task::yield_now().await;
        return Some(Err("cut".into()));
    }
    if reached(run.faults.stall_after) {
        return pending().await;
    }
    match run.sent_end {
        0 if run.next < run.last => Some(token_piece(run).await),
        0 | 1 => {
            run.sent_end = 2;
            let usage = json!({ "id": run.id, "choices": [], "usage": run.usage() });
            Some(event(&usage.to_string()))
        }
        2 => {
            run.sent_end = 3;
            Some(event("[DONE]"))
        }
        _ => None,
    }
}

async fn token_piece(run: &mut Run) -> Piece {
    let gap = run.shared.settings.gap;
    let (content, reason) = match run.wait(gap).await {
        None => (text::token(run.seed, run.next), None),
        Some(RunState::Cancelled) => (String::new(), Some("cancelled")),
        Some(how) => return Err(format!("run ended: {how:?}").into()),
    };
    let index = run.next;
    let reason = match reason {
        Some(r) => {
            run.sent_end = 1;
            Some(r)
        }
        None => {
            run.count();
            (run.next == run.last).then_some("stop")
        }
    };
    let choice = json!({ "index": 0, "delta": { "content": content }, "finish_reason": reason });
    event(&json!({ "id": run.id, "choices": [choice], "token_index": index }).to_string())
}

fn event(data: &str) -> Piece {
    Ok(http_body::Frame::data(Bytes::from(format!("data: {data}\n\n"))))
}

/// Adds the headers that every answer carries.
fn finish(shared: &Shared, call: &Call, faults: &EngineFaults, mut reply: Response) -> Response {
    let load = shared.lock().reported();
    let text = format!("running={},waiting={},slots={}", load.running, load.waiting, load.slots);
    server::set(&mut reply, "x-load", &text);
    let id = call.header("x-request-id");
    let crossed = format!("crossed-{id}");
    server::set(&mut reply, "x-request-id", if faults.wrong_id { &crossed } else { id });
    reply
}
