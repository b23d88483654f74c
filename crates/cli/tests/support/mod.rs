//! A running demo and a caller for the whole-path tests.

#![allow(dead_code, reason = "each test file uses its own part of the support")]

pub mod process;

use {
    agate_cli::{
        demo::{Demo, read},
        settings::RequestLimits,
    },
    agate_config::Document,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        time::sleep,
    },
};

/// Longest time that a condition may take to come true before a test gives up.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Key of the organisation that most tests use.
pub const KEY: &str = "demo-palmse-key";

/// What a caller got.
#[derive(Debug)]
pub struct Reply {
    /// Status of the reply.
    pub status: StatusCode,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// Body, as far as it arrived.
    pub body: String,
    /// Whether the transfer came to its proper end.
    pub whole: bool,
}

impl Reply {
    /// Code of an error reply.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// What an error reply says about the execution.
    pub fn run(&self) -> String {
        self.json()["error"]["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a model answer, from a stream or one object.
    pub fn text(&self) -> String {
        if let Some(text) = self.json()["choices"][0]["message"]["content"].as_str() {
            return text.to_owned();
        }
        let events = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
        let texts = chunks.map(|c| c["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
        texts.flatten().collect()
    }

    /// Whether a stream ended as a whole one.
    pub fn ended(&self) -> bool {
        self.whole && self.body.ends_with("data: [DONE]\n\n")
    }
}

/// One request of a caller.
pub struct Call {
    request: Request<Full<bytes::Bytes>>,
}

impl Call {
    /// Makes a request with the usual key.
    pub fn new(method: &str, path: &str, body: impl Into<bytes::Bytes>) -> Self {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "test")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(body.into()));
        Self { request: request.expect("test requests are valid") }
    }

    /// Sets a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.request.headers_mut().insert(name, value.parse().expect("test headers are valid"));
        self
    }

    /// Removes the key.
    pub fn unkeyed(mut self) -> Self {
        self.request.headers_mut().remove("authorization");
        self
    }

    /// Sends the request on a connection of its own.
    pub async fn send(self, to: SocketAddr) -> Reply {
        self.try_send(to).await.expect("the instance replies")
    }

    /// Sends the request on a connection of its own, to an instance that may be gone.
    pub async fn try_send(self, to: SocketAddr) -> Result<Reply, Lost> {
        let io = TcpStream::connect(to).await.map_err(|_| Lost::Unsent)?;
        self.try_over(io).await
    }

    /// Sends the request over an open connection.
    pub async fn over(self, io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static) -> Reply {
        self.try_over(io).await.expect("the instance replies")
    }

    async fn try_over(
        self,
        io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> Result<Reply, Lost> {
        let shaken = http1::handshake(TokioIo::new(io)).await;
        let (mut sender, conn) = shaken.map_err(|_| Lost::Unsent)?;
        tokio::spawn(conn);
        let reply = sender.send_request(self.request).await.map_err(|_| Lost::Unanswered)?;
        let (head, mut rest) = reply.into_parts();
        let (mut body, mut whole) = (Vec::new(), true);
        while let Some(frame) = rest.frame().await {
            match frame {
                Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
                Err(_) => whole = false,
            }
            if !whole {
                break;
            }
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Reply { status: head.status, headers: head.headers, body, whole })
    }
}

/// Why a caller got no reply.
#[derive(Debug)]
pub enum Lost {
    /// The instance took no connection.
    Unsent,
    /// The connection ended before the reply began.
    Unanswered,
}

/// Body of a model request.
pub fn question(text: &str, tokens: u32, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": text}]);
    let model = "tile-match";
    json!({"model": model, "messages": messages, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// A model request.
pub fn ask(text: &str, tokens: u32, stream: bool) -> Call {
    Call::new("POST", "/v1/chat/completions", question(text, tokens, stream))
}

/// The whole answer that any engine gives to [`question`].
pub fn answer(text: &str, tokens: u32) -> String {
    let prompt = agate_standin::engine::text::line("user", text);
    agate_standin::engine::text::answer(&prompt, tokens)
}

/// Bounds under which broken and silent streams are noticed quickly.
pub fn bounds() -> RequestLimits {
    let first = Duration::from_millis(1500);
    let between = Duration::from_millis(300);
    RequestLimits { first, between, ..RequestLimits::default() }
}

/// Starts the demo with a change of its document.
pub async fn start(count: u16, change: impl FnOnce(&mut Document)) -> Demo {
    start_bounded(count, bounds(), change).await
}

/// As [`start`], with other bounds on requests.
pub async fn start_bounded(
    count: u16,
    bounds: RequestLimits,
    change: impl FnOnce(&mut Document),
) -> Demo {
    let mut document = read(None).expect("the built-in document is valid");
    change(&mut document);
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Demo::spawn(document, listen, count, bounds).await.expect("the demo starts")
}

/// Keeps only the first `count` endpoints of a pool.
pub fn keep(document: &mut Document, pool: &str, count: usize) {
    let mut seen = 0;
    document.fleet.endpoints.retain(|_, e| {
        seen += usize::from(e.pool == pool);
        e.pool != pool || seen <= count
    });
}

/// Waits until `met` holds.
pub async fn until(what: &str, met: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !met() {
        assert!(start.elapsed() < PATIENCE, "waited in vain until {what}");
        sleep(LOOK).await;
    }
}
