//! HTTP client of the platform.

use {
    ::http::{Method, StatusCode},
    bytes::Bytes,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
    volo_http::{
        body::{Body, BodyConversion},
        client::{Client, ClientBuilder},
    },
};

/// Time limit for opening a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of a call; the platform may have executed it nevertheless.
#[derive(Debug, thiserror::Error)]
#[error("{path} at the platform {peer}: {cause}")]
pub struct Error {
    /// Path of the request, without its query.
    pub path: String,
    /// Address of the platform.
    pub peer: SocketAddr,
    /// Description of the failure.
    pub cause: String,
}

/// Client of the platform's HTTP interfaces.
#[derive(Clone)]
pub struct Http {
    client: Client,
    peer: SocketAddr,
}

/// Status and body of a response.
pub type Response = (StatusCode, Bytes);

impl Http {
    /// Returns a client of the platform at `peer`, without connecting.
    pub fn open(peer: SocketAddr) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder.build().expect("the default client options are valid");
        Self { client, peer }
    }

    /// Address of the platform.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a GET request for `path`. Fails if there is no whole response within `limit`.
    pub async fn get(&self, path: &str, limit: Duration) -> Result<Response, Error> {
        self.call(Method::GET, path, Body::empty(), limit).await
    }

    /// Sends `body` as JSON in a POST request to `path`. Fails if it cannot be encoded or there is
    /// no whole response within `limit`.
    pub async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<Response, Error> {
        let text = serde_json::to_vec(body).map_err(|e| self.error(path, e))?;
        self.call(Method::POST, path, Body::from(text), limit).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Body,
        limit: Duration,
    ) -> Result<Response, Error> {
        let uri = format!("http://{}{path}", self.peer);
        let request =
            self.client.request(method, uri).header("content-type", "application/json").body(body);
        let exchange = async {
            let response = request.send::<Body>().await.map_err(|e| self.error(path, e))?;
            let status = response.status();
            let body = response.into_body().into_bytes().await.map_err(|e| self.error(path, e))?;
            Ok((status, body))
        };
        timeout(limit, exchange).await.map_err(|_| self.error(path, "timed out"))?
    }

    /// Error for a call that the platform's interface does not support.
    pub fn unsupported(&self, path: &str) -> Error {
        self.error(path, "the platform's interface does not support this call")
    }

    fn error(&self, path: &str, cause: impl std::fmt::Display) -> Error {
        let path = path.split('?').next().unwrap_or(path).to_owned();
        Error { path, peer: self.peer, cause: cause.to_string() }
    }
}
