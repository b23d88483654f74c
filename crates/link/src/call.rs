//! One call to a service of the platform, over connections that are retired when they fail.

use {
    crate::link::{Link, Pool, open},
    bytes::Bytes,
    http::{
        HeaderValue, Method, Request, StatusCode,
        header::{CONTENT_TYPE, HOST},
    },
    http_body_util::{BodyExt, Full, Limited},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest idle time of a connection that is used again.
const REST: Duration = Duration::from_secs(5);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Detail for the log.
    pub cause: String,
    /// Whether the call may have been carried out.
    pub sent: bool,
}

/// Calls to one address.
#[derive(Debug)]
pub struct Caller {
    pool: Arc<Pool>,
    most: usize,
}

/// Status and body of an answer.
pub type Answer = (StatusCode, Bytes);

impl Caller {
    /// Makes calls to `peer` whose answers have at most `most` bytes; nothing is sent yet.
    pub fn new(peer: SocketAddr, most: usize) -> Self {
        Self { pool: Arc::new(Pool::new(peer)), most }
    }

    /// Address that is called.
    pub fn peer(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Makes one call; `body` is JSON.
    ///
    /// Errors: the connection failed or nothing was answered within `limit`. A connection that was
    /// silent is closed with all others, since they may have lost the same peer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, Failure> {
        self.call_with(method, path, body, limit, &[]).await
    }

    /// Makes one call with further headers.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
        headers: &[(http::HeaderName, HeaderValue)],
    ) -> Result<Answer, Failure> {
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
                Err(Failure { cause: "no answer in time".into(), sent: true })
            }
        }
    }

    async fn exchange(&self, mut request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        loop {
            let (mut link, reused) = match self.pool.take(REST) {
                Some(link) => (link, true),
                None => (self.open().await?, false),
            };
            link.head.begin();
            match link.sender.try_send_request(request).await {
                Ok(answer) => {
                    link.head.end();
                    return self.read(link, answer).await;
                }
                Err(mut e) => match e.take_message() {
                    // A connection that closed while idle took nothing.
                    Some(kept) if reused => request = kept,
                    kept => {
                        return Err(Failure { cause: e.error().to_string(), sent: kept.is_none() });
                    }
                },
            }
        }
    }

    async fn open(&self) -> Result<Link, Failure> {
        open(self.peer()).await.map_err(|e| Failure { cause: e.to_string(), sent: false })
    }

    async fn read(
        &self,
        mut link: Link,
        answer: http::Response<hyper::body::Incoming>,
    ) -> Result<Answer, Failure> {
        let status = answer.status();
        let body = Limited::new(answer.into_body(), self.most).collect().await;
        let body = body.map_err(|e| Failure { cause: e.to_string(), sent: true })?.to_bytes();
        // Ready only when the library has finished the exchange on it.
        if link.sender.ready().await.is_ok() {
            self.pool.put(link);
        }
        Ok((status, body))
    }
}
