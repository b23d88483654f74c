//! HTTP client for the services of the platform. Failed connections are not reused.

use {
    crate::link::{Connection, Pool, open},
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode,
        header::{CONTENT_TYPE, HOST},
    },
    http_body_util::{BodyExt, Full, Limited},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest idle time of a connection that is reused.
const REUSE_LIMIT: Duration = Duration::from_secs(5);

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Description for logs.
    pub cause: String,
    /// Whether the service may have processed the call.
    pub sent: bool,
}

/// Client for one address.
#[derive(Debug)]
pub struct ServiceClient {
    pool: Arc<Pool>,
    max_body: usize,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl ServiceClient {
    /// Creates a client for `peer` that accepts response bodies of at most `max_body` bytes.
    /// Nothing is sent yet.
    pub fn new(peer: SocketAddr, max_body: usize) -> Self {
        Self { pool: Arc::new(Pool::new(peer)), max_body }
    }

    /// Address of the service.
    pub fn peer(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Makes one call; `body` is JSON.
    ///
    /// Errors: the connection failed, the response was too large, or there was none within `limit`.
    /// After a timeout all idle connections are closed too, since they may have lost the same peer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response, Failure> {
        self.call_with(method, path, body, limit, &[]).await
    }

    /// Makes one call like [`ServiceClient::call`], with additional headers.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
        headers: &[(HeaderName, HeaderValue)],
    ) -> Result<Response, Failure> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() =
            path.parse().map_err(|e| Failure { cause: format!("{path}: {e}"), sent: false })?;
        let host = HeaderValue::from_str(&self.peer().to_string()).expect("addresses are text");
        request.headers_mut().insert(HOST, host);
        request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        request.headers_mut().extend(headers.iter().cloned());
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => {
                self.pool.purge();
                Err(Failure { cause: "no response in time".into(), sent: true })
            }
        }
    }

    async fn exchange(&self, mut request: Request<Full<Bytes>>) -> Result<Response, Failure> {
        loop {
            let (mut connection, reused) = match self.pool.take(REUSE_LIMIT) {
                Some(connection) => (connection, true),
                None => (self.open().await?, false),
            };
            connection.head.begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.head.end();
                    return self.read(connection, response).await;
                }
                Err(mut e) => match e.take_message() {
                    // The connection was closed while idle and the request was not written, so it
                    // is sent over another one.
                    Some(kept) if reused => request = kept,
                    kept => {
                        return Err(Failure { cause: e.error().to_string(), sent: kept.is_none() });
                    }
                },
            }
        }
    }

    async fn open(&self) -> Result<Connection, Failure> {
        open(self.peer()).await.map_err(|e| Failure { cause: e.to_string(), sent: false })
    }

    async fn read(
        &self,
        mut connection: Connection,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<Response, Failure> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.max_body).collect().await;
        let body = body.map_err(|e| Failure { cause: e.to_string(), sent: true })?.to_bytes();
        // The sender is ready only once the HTTP library has finished the exchange.
        if connection.sender.ready().await.is_ok() {
            self.pool.put(connection);
        }
        Ok(Response { status: head.status, headers: head.headers, body })
    }
}
