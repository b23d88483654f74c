//! Starts demos and sends HTTP requests for the end-to-end tests.

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

/// Time after which [`wait_until`] fails the test.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// API key of the organisation that most tests use.
pub const KEY: &str = "demo-palmse-key";

/// Response as a client received it.
#[derive(Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl ClientResponse {
    /// Code of an error response; empty if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Field `run` of an error response: whether the request was executed; empty if there is none.
    pub fn run(&self) -> String {
        self.json()["error"]["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Body as JSON; null if it is malformed.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a model response, from a stream or a single object.
    pub fn text(&self) -> String {
        if let Some(text) = self.json()["choices"][0]["message"]["content"].as_str() {
            return text.to_owned();
        }
        let events = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
        let texts = chunks.map(|c| c["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
        texts.flatten().collect()
    }

    /// Whether a stream was received completely and has its end marker.
    pub fn is_complete_stream(&self) -> bool {
        self.complete && self.body.ends_with("data: [DONE]\n\n")
    }
}

/// One HTTP request of a client.
pub struct HttpRequest {
    request: Request<Full<bytes::Bytes>>,
}

impl HttpRequest {
    /// Creates a request with the default key.
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

    /// Removes the API key.
    pub fn without_key(mut self) -> Self {
        self.request.headers_mut().remove("authorization");
        self
    }

    /// Sends the request on a new connection; panics if there is no response.
    pub async fn send(self, to: SocketAddr) -> ClientResponse {
        self.try_send(to).await.expect("the instance responds")
    }

    /// Sends the request on a new connection.
    ///
    /// Errors: the connection cannot be opened, or ends before the response begins.
    pub async fn try_send(self, to: SocketAddr) -> Result<ClientResponse, SendError> {
        let io = TcpStream::connect(to).await.map_err(|_| SendError::NotConnected)?;
        self.try_send_over(io).await
    }

    /// Sends the request over an open connection; panics if there is no response.
    pub async fn send_over(
        self,
        io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> ClientResponse {
        self.try_send_over(io).await.expect("the instance responds")
    }

    async fn try_send_over(
        self,
        io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> Result<ClientResponse, SendError> {
        let handshake = http1::handshake(TokioIo::new(io)).await;
        let (mut sender, conn) = handshake.map_err(|_| SendError::NotConnected)?;
        tokio::spawn(conn);
        let response =
            sender.send_request(self.request).await.map_err(|_| SendError::NoResponse)?;
        let (head, mut rest) = response.into_parts();
        let (mut body, mut complete) = (Vec::new(), true);
        while let Some(frame) = rest.frame().await {
            match frame {
                Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
                Err(_) => complete = false,
            }
            if !complete {
                break;
            }
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(ClientResponse { status: head.status, headers: head.headers, body, complete })
    }
}

/// Why a client received no response.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be opened.
    NotConnected,
    /// The connection ended before the response began.
    NoResponse,
}

/// Body of a model request with one user message.
pub fn model_body(text: &str, tokens: u32, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": text}]);
    let model = "tile-match";
    json!({"model": model, "messages": messages, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// Creates a model request with one user message.
pub fn model_request(text: &str, tokens: u32, stream: bool) -> HttpRequest {
    HttpRequest::new("POST", "/v1/chat/completions", model_body(text, tokens, stream))
}

/// The complete text that any engine generates for [`model_request`].
pub fn expected_text(text: &str, tokens: u32) -> String {
    let prompt = agate_standin::engine::text::line("user", text);
    agate_standin::engine::text::response_text(&prompt, tokens)
}

/// Limits with short timeouts, under which broken and stalled streams are noticed quickly.
pub fn request_limits() -> RequestLimits {
    let first = Duration::from_millis(1500);
    let between = Duration::from_millis(300);
    RequestLimits { first, between, ..RequestLimits::default() }
}

/// Starts a demo of `count` instances with a changed document.
pub async fn start(count: u16, change: impl FnOnce(&mut Document)) -> Demo {
    start_with_limits(count, request_limits(), change).await
}

/// Like [`start`], with other request limits.
pub async fn start_with_limits(
    count: u16,
    bounds: RequestLimits,
    change: impl FnOnce(&mut Document),
) -> Demo {
    let mut document = read(None).expect("the built-in document is valid");
    change(&mut document);
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Demo::spawn(document, listen, count, bounds).await.expect("the demo starts")
}

/// Removes all but the first `count` endpoints of a pool from the document.
pub fn keep_endpoints(document: &mut Document, pool: &str, count: usize) {
    let mut seen = 0;
    document.fleet.endpoints.retain(|_, e| {
        seen += usize::from(e.pool == pool);
        e.pool != pool || seen <= count
    });
}

/// Waits until `condition` holds; panics after [`CONDITION_TIMEOUT`], naming `what`.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting until {what}");
        sleep(POLL_INTERVAL).await;
    }
}
