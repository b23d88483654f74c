//! HTTP server of the stand-ins, with helpers for requests and responses.
//!
//! One closure handles all requests of a stand-in, each with its complete body. The closure's
//! future is dropped when the caller closes its connection, so guards inside it detect that.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    http_body_util::BodyExt,
    serde::de::DeserializeOwned,
    std::{
        future::{Future, pending},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch},
    volo::net::{MakeIncoming, conn::Conn, incoming::Incoming},
    volo_http::{
        body::Body,
        request::Request,
        response::Response,
        server::{Router, Server},
    },
};

/// A request with its body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if absent.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Value of a header; empty if absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Percent-decoded value of a query parameter.
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == name).map(|(_, v)| percent_decode(v)).next()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns 400 (bad request) if the body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, StatusCode> {
        serde_json::from_slice(&self.body).map_err(|_| StatusCode::BAD_REQUEST)
    }

    /// Whether the request carries an API key.
    pub fn has_key(&self) -> bool {
        ["authorization", "x-api-key", "api-key"].iter().any(|h| self.headers.contains_key(*h))
    }
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&b, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        let code = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        match (b, code) {
            (b'%', Some(c)) => {
                out.push(c);
                rest = &tail[2..];
            }
            (b'+', _) => {
                out.push(b' ');
                rest = tail;
            }
            _ => {
                out.push(b);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut r = Response::new(Body::from(value.to_string()));
    *r.status_mut() = status;
    r.headers_mut().insert("content-type", "application/json".parse().expect("a valid header"));
    r
}

/// Response without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut r = Response::new(Body::empty());
    *r.status_mut() = status;
    r
}

/// Sets a header, unless the value is not valid in a header.
pub fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(v) = value.parse() {
        response.headers_mut().insert(name, v);
    }
}

/// A 503 response which states that the request did not run.
pub fn not_run() -> Response {
    let mut r = empty(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut r, "x-not-run", "true");
    r
}

/// Like [`not_run`], and asks for `rest` without further requests.
pub fn resting(rest: Duration) -> Response {
    let mut r = not_run();
    set_header(&mut r, "retry-after", &rest.as_secs_f64().to_string());
    r
}

/// Handle of a running server. Dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Handle {
    /// Stops accepting connections.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a server on `address`, where port 0 selects an ephemeral port, with `handler` for all
/// requests.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn serve<F, Fut>(address: SocketAddr, handler: F) -> crate::Result<Handle>
where
    F: Fn(HttpRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .and_then(|l| l.local_addr().map(|a| (l, a)))
        .map_err(|source| crate::Error::Listen { address, source })?;
    let (listener, address) = listener;
    let (stop, stopped) = watch::channel(false);
    let app = Router::new().fallback(move |req: Request| {
        let handler = handler.clone();
        async move {
            match read_request(req).await {
                Ok(req) => handler(req).await,
                Err(status) => empty(status),
            }
        }
    });
    let incoming = StoppableListener { listener: Some(listener), stopped };
    tokio::spawn(async move {
        if let Err(e) = Server::new(app).run(incoming).await {
            log::warn!("stand-in server at {address}: {e}");
        }
    });
    Ok(Handle { address, stop })
}

async fn read_request(req: Request) -> std::result::Result<HttpRequest, StatusCode> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    Ok(HttpRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or("").to_owned(),
        headers: parts.headers,
        body,
    })
}

/// A listener that can be closed. The library's accept loop ends only on a signal of the operating
/// system.
#[derive(Debug)]
struct StoppableListener {
    listener: Option<TcpListener>,
    stopped: watch::Receiver<bool>,
}

impl MakeIncoming for StoppableListener {
    type Incoming = StoppableListener;

    async fn make_incoming(self) -> io::Result<StoppableListener> {
        Ok(self)
    }
}

impl Incoming for StoppableListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let Some(listener) = &self.listener else { return pending().await };
        tokio::select! {
            _ = self.stopped.wait_for(|s| *s) => {}
            conn = listener.accept() => {
                let (stream, _) = conn?;
                stream.set_nodelay(true)?;
                return Ok(Some(Conn::from(stream)));
            }
        }
        self.listener = None;
        pending().await
    }
}
