//! One HTTP call to the platform.

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

/// Longest time to open a connection to the platform.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Why a call failed; the platform may have carried it out in every case.
#[derive(Debug, thiserror::Error)]
#[error("{path} at the platform {peer}: {cause}")]
pub struct Error {
    /// Path of the call.
    pub path: String,
    /// Address of the platform.
    pub peer: SocketAddr,
    /// Detail for the log.
    pub cause: String,
}

/// Connection to the platform's HTTP interface.
#[derive(Clone)]
pub struct Http {
    client: Client,
    peer: SocketAddr,
}

/// Status and body of an answer.
pub type Answer = (StatusCode, Bytes);

impl Http {
    /// Makes a client of the platform at `peer`; nothing is sent yet.
    pub fn open(peer: SocketAddr) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_LIMIT);
        let client = builder.build().expect("a client without options of its own builds");
        Self { client, peer }
    }

    /// Address of the platform.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reads `path`, waiting at most `limit`.
    pub async fn get(&self, path: &str, limit: Duration) -> Result<Answer, Error> {
        self.call(Method::GET, path, Body::empty(), limit).await
    }

    /// Posts `body` as JSON to `path`, waiting at most `limit`.
    pub async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let text = serde_json::to_vec(body).map_err(|e| self.fail(path, e))?;
        self.call(Method::POST, path, Body::from(text), limit).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Body,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let uri = format!("http://{}{path}", self.peer);
        let request =
            self.client.request(method, uri).header("content-type", "application/json").body(body);
        let exchange = async {
            let answer = request.send::<Body>().await.map_err(|e| self.fail(path, e))?;
            let status = answer.status();
            let body = answer.into_body().into_bytes().await.map_err(|e| self.fail(path, e))?;
            Ok((status, body))
        };
        timeout(limit, exchange).await.map_err(|_| self.fail(path, "timed out"))?
    }

    /// Failure of a call that this interface does not have.
    pub fn unsupported(&self, path: &str) -> Error {
        self.fail(path, "this interface has no such call")
    }

    fn fail(&self, path: &str, cause: impl std::fmt::Display) -> Error {
        let path = path.split('?').next().unwrap_or(path).to_owned();
        Error { path, peer: self.peer, cause: cause.to_string() }
    }
}
