//! Tokens of an engine's stream, checked for completeness and order.
//!
//! An engine answers with server-sent events. A stream is whole only if its token indices follow
//! one another without a gap, a finish reason arrived, and the end marker was the last event.

use {
    agate_link::exchange::{Answer, Failure, Step},
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
const END: &str = "[DONE]";
/// Most bytes of a stream without a complete event.
pub const EVENT_BYTES: usize = 1 << 20;

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Tokens of the prompt that the engine had cached.
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
    /// The proper end of the stream.
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

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Box<Failure>>> + Send>>;

/// Reader of one engine's stream.
pub struct Tokens {
    events: EventStream<Pieces>,
    /// Bytes since the last complete event.
    quiet: Arc<AtomicUsize>,
    /// Longest wait for the next event.
    limit: Duration,
    /// The same for those behind the first one.
    between: Duration,
    peer: SocketAddr,
    /// Index of the next token.
    next: u32,
    queue: Vec<Event>,
    finished: bool,
}

impl Tokens {
    /// Reads `answer`, whose first token must have the index `from`.
    ///
    /// `first` and `between` bound the silence before the first event and between two events.
    pub fn open(answer: Answer, from: u32, first: Duration, between: Duration) -> Self {
        let peer = answer.peer;
        let quiet = Arc::<AtomicUsize>::default();
        let events = pieces(answer, quiet.clone(), first, between).eventsource();
        let (queue, finished) = (Vec::new(), false);
        Self { events, quiet, limit: first, between, peer, next: from, queue, finished }
    }

    /// Number of tokens read, counting those before this stream.
    pub fn delivered(&self) -> u32 {
        self.next
    }

    /// Reads the next event.
    ///
    /// Errors: the stream broke, stayed silent, or is not a continuation of what was read before.
    pub async fn next(&mut self) -> Result<Event, Box<Failure>> {
        loop {
            if !self.queue.is_empty() {
                return Ok(self.queue.remove(0));
            }
            let Ok(event) = timeout(self.limit, self.events.next()).await else {
                let mut failure = self.invalid("no event came in time");
                (failure.step, failure.silent) = (Step::Body, true);
                return Err(failure);
            };
            match event {
                None => return Err(self.invalid("the stream ended before its end marker")),
                Some(Err(eventsource_stream::EventStreamError::Transport(f))) => return Err(f),
                Some(Err(e)) => return Err(self.invalid(e)),
                Some(Ok(event)) => {
                    self.limit = self.between;
                    self.quiet.store(0, Ordering::Relaxed);
                    self.accept(&event.data)?;
                }
            }
        }
    }

    fn accept(&mut self, data: &str) -> Result<(), Box<Failure>> {
        if data == END {
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
            return Err(self.invalid(format!("token {index:?} came where {next} was due")));
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

/// Turns an answer into a stream of pieces; its link is returned after the proper end of the body.
fn pieces(answer: Answer, quiet: Arc<AtomicUsize>, first: Duration, between: Duration) -> Pieces {
    Box::pin(stream::unfold(
        (Some(answer), first, quiet),
        move |(answer, limit, quiet)| async move {
            let mut answer = answer?;
            match answer.next(limit).await {
                Ok(Some(piece))
                    if quiet.fetch_add(piece.len(), Ordering::Relaxed) > EVENT_BYTES =>
                {
                    let failure = invalid(answer.peer, "an event without end");
                    Some((Err(failure), (None, between, quiet)))
                }
                Ok(Some(piece)) => Some((Ok(piece), (Some(answer), between, quiet))),
                Ok(None) => {
                    answer.release();
                    None
                }
                Err(failure) => Some((Err(failure), (None, between, quiet))),
            }
        },
    ))
}
