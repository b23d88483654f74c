//! Parser for the token stream of an engine, which checks completeness and order.
//!
//! An engine responds with server-sent events. A stream is complete only if its token indices are
//! consecutive, it contains a finish reason, and the end marker is its last event.

use {
    agate_transport::exchange::{EndpointResponse, Failure, Step},
    bytes::Bytes,
    eventsource_stream::{EventStream, Eventsource},
    futures_util::{Stream, StreamExt, stream},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";
/// Most bytes without a complete event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Output tokens.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Prompt tokens that the engine had cached.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// One event of a stream.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// The next token.
    Token(String),
    /// The engine's reason for ending the generation.
    Finish(String),
    /// Token counts.
    Usage(Usage),
    /// The end marker of a complete stream.
    End,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    token_index: Option<u32>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, Box<Failure>>> + Send>>;

/// Reader of the token stream of one engine.
pub struct TokenStream {
    events: EventStream<BodyStream>,
    /// Bytes received since the last complete event.
    pending_bytes: Arc<AtomicUsize>,
    /// Longest wait for the next event.
    limit: Duration,
    /// Longest wait for each event after the first one.
    between: Duration,
    peer: SocketAddr,
    /// Index of the next token.
    next: u32,
    queue: Vec<Event>,
    finished: bool,
}

impl TokenStream {
    /// Reads the body of `response`, whose first token must have the index `from`.
    ///
    /// `first` and `between` limit the wait for the first event and between two events.
    pub fn open(response: EndpointResponse, from: u32, first: Duration, between: Duration) -> Self {
        let peer = response.peer;
        let pending_bytes = Arc::<AtomicUsize>::default();
        let events = body_stream(response, pending_bytes.clone(), first, between).eventsource();
        let (queue, finished) = (Vec::new(), false);
        Self { events, pending_bytes, limit: first, between, peer, next: from, queue, finished }
    }

    /// Number of tokens read, including the `from` tokens before this stream.
    pub fn delivered(&self) -> u32 {
        self.next
    }

    /// Reads the next event.
    ///
    /// Errors: the connection failed, no event arrived in time, or the stream is malformed,
    /// incomplete or out of order.
    pub async fn next(&mut self) -> Result<Event, Box<Failure>> {
        loop {
            if !self.queue.is_empty() {
                return Ok(self.queue.remove(0));
            }
            let Ok(event) = timeout(self.limit, self.events.next()).await else {
                let mut failure = self.invalid("no event arrived in time");
                (failure.step, failure.silent) = (Step::Body, true);
                return Err(failure);
            };
            match event {
                None => return Err(self.invalid("the stream ended before its end marker")),
                Some(Err(eventsource_stream::EventStreamError::Transport(f))) => return Err(f),
                Some(Err(e)) => return Err(self.invalid(e)),
                Some(Ok(event)) => {
                    self.limit = self.between;
                    self.pending_bytes.store(0, Ordering::Relaxed);
                    self.accept(&event.data)?;
                }
            }
        }
    }

    fn accept(&mut self, data: &str) -> Result<(), Box<Failure>> {
        if data == END_MARKER {
            if !self.finished {
                return Err(self.invalid("the end marker came before a finish reason"));
            }
            self.queue.push(Event::End);
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(|e| self.invalid(e))?;
        for choice in chunk.choices {
            if let Some(text) = choice.delta.content {
                self.check_index(chunk.token_index)?;
                self.queue.push(Event::Token(text));
            }
            if let Some(reason) = choice.finish_reason {
                self.finished = true;
                self.queue.push(Event::Finish(reason));
            }
        }
        self.queue.extend(chunk.usage.map(Event::Usage));
        Ok(())
    }

    fn check_index(&mut self, index: Option<u32>) -> Result<(), Box<Failure>> {
        if index.is_some_and(|i| i != self.next) {
            let next = self.next;
            return Err(self.invalid(format!("got token index {index:?}, expected {next}")));
        }
        self.next += 1;
        Ok(())
    }

    fn invalid(&self, cause: impl fmt::Display) -> Box<Failure> {
        invalid(self.peer, cause)
    }
}

fn invalid(peer: SocketAddr, cause: impl fmt::Display) -> Box<Failure> {
    let (step, cause) = (Step::Match, cause.to_string());
    Box::new(Failure {
        step,
        peer,
        cause,
        grant: None,
        declared: false,
        silent: false,
        refused: false,
        head: None,
    })
}

/// Turns a response into a stream of body chunks. Its connection is returned to the pool after the
/// end of the body.
fn body_stream(
    response: EndpointResponse,
    pending_bytes: Arc<AtomicUsize>,
    first: Duration,
    between: Duration,
) -> BodyStream {
    Box::pin(stream::unfold(
        (Some(response), first, pending_bytes),
        move |(response, limit, pending_bytes)| async move {
            let mut response = response?;
            match response.next(limit).await {
                Ok(Some(piece))
                    if pending_bytes.fetch_add(piece.len(), Ordering::Relaxed)
                        > MAX_EVENT_BYTES =>
                {
                    let failure = invalid(response.peer, "event too large");
                    Some((Err(failure), (None, between, pending_bytes)))
                }
                Ok(Some(piece)) => Some((Ok(piece), (Some(response), between, pending_bytes))),
                Ok(None) => {
                    response.release();
                    None
                }
                Err(failure) => Some((Err(failure), (None, between, pending_bytes))),
            }
        },
    ))
}
