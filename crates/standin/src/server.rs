//! The HTTP server under every stand-in, and the few replies they share.
//!
//! One closure answers every request of a stand-in, with the body read whole. The closure's future
//! is dropped when the caller closes its connection, so guards inside it see the caller leave.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    http_body_util::BodyExt,
    serde::de::DeserializeOwned,
    std::{
        future::{Future, pending},
        io,
        net::SocketAddr,
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

/// One request with its body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty if there was none.
    pub query: String,
    /// Header section.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Call {
    /// Value of a header, empty if absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Value of a query parameter with percent-encoding resolved.
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == name).map(|(_, v)| decode(v)).next()
    }

    /// The body as JSON, or the status that refuses it.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, StatusCode> {
        serde_json::from_slice(&self.body).map_err(|_| StatusCode::BAD_REQUEST)
    }

    /// Whether any header carries a caller's key.
    pub fn has_key(&self) -> bool {
        ["authorization", "x-api-key", "api-key"].iter().any(|h| self.headers.contains_key(*h))
    }
}

fn decode(text: &str) -> String {
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

/// A reply with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut r = Response::new(Body::from(value.to_string()));
    *r.status_mut() = status;
    r.headers_mut().insert("content-type", "application/json".parse().expect("a valid header"));
    r
}

/// A reply without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut r = Response::new(Body::empty());
    *r.status_mut() = status;
    r
}

/// Sets a header; a value that is no valid header text is left out.
pub fn set(reply: &mut Response, name: &'static str, value: &str) {
    if let Ok(v) = value.parse() {
        reply.headers_mut().insert(name, v);
    }
}

/// The reply that states that nothing ran.
pub fn not_run() -> Response {
    let mut r = empty(StatusCode::SERVICE_UNAVAILABLE);
    set(&mut r, "x-not-run", "true");
    r
}

/// Handle of a running server; dropping it stops accepting.
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

/// Serves `answer` on `address`, port 0 for an ephemeral one.
pub async fn serve<F, Fut>(address: SocketAddr, answer: F) -> crate::Result<Handle>
where
    F: Fn(Call) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .and_then(|l| l.local_addr().map(|a| (l, a)))
        .map_err(|source| crate::Error::Listen { address, source })?;
    let (listener, address) = listener;
    let (stop, stopped) = watch::channel(false);
    let app = Router::new().fallback(move |req: Request| {
        let answer = answer.clone();
        async move {
            match read(req).await {
                Ok(call) => answer(call).await,
                Err(status) => empty(status),
            }
        }
    });
    let gate = Gate { listener: Some(listener), stopped };
    tokio::spawn(async move {
        if let Err(e) = Server::new(app).run(gate).await {
            log::warn!("stand-in server at {address}: {e}");
        }
    });
    Ok(Handle { address, stop })
}

async fn read(req: Request) -> std::result::Result<Call, StatusCode> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    Ok(Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or("").to_owned(),
        headers: parts.headers,
        body,
    })
}

/// A listener that can be closed; the library's own loop ends only on a signal.
#[derive(Debug)]
struct Gate {
    listener: Option<TcpListener>,
    stopped: watch::Receiver<bool>,
}

impl MakeIncoming for Gate {
    type Incoming = Gate;

    async fn make_incoming(self) -> io::Result<Gate> {
        Ok(self)
    }
}

impl Incoming for Gate {
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
