//! Reading of an engine's state.

use {
    crate::{Error, Result, connection},
    agate_ctl::{EngineState, Role},
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Largest response body, in bytes.
const MAX_BODY: usize = 64 << 10;
/// Operation name in errors.
const STEP: &str = "read";

#[derive(Deserialize)]
struct State {
    role: String,
    draining: bool,
    order: Option<String>,
}

#[derive(Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

/// Reads the state of the engine at `peer` within `limit`.
///
/// The load, which the engine may report late, is read only from a draining engine, since only
/// drains depend on it; for another engine the result shows no running requests. Fails if the
/// engine does not respond properly or has a role that is not one of [`Role`].
pub async fn read(peer: SocketAddr, limit: Duration) -> Result<EngineState> {
    let reads = async {
        let mut connection = connection::open(peer, limit, Arc::new(|| true))
            .await
            .map_err(|source| Error::Connect { step: STEP, peer, source })?;
        let state: State = get(&mut connection, peer, "/admin/state").await?;
        let load: Option<Load> = match state.draining {
            true => Some(get(&mut connection, peer, "/load").await?),
            false => None,
        };
        Ok((state, load))
    };
    let (state, load) =
        timeout(limit, reads).await.map_err(|_| Error::Late { step: STEP, peer })??;
    let role = match &*state.role {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        other => {
            let cause = format!("role {other:?}");
            return Err(Error::Malformed { step: STEP, peer, cause });
        }
    };
    let running = load.map_or(0, |l| l.running.saturating_add(l.waiting));
    Ok(EngineState { role, draining: state.draining, running, busy: state.order.is_some() })
}

async fn get<T: DeserializeOwned>(
    connection: &mut connection::Connection,
    peer: SocketAddr,
    path: &str,
) -> Result<T> {
    let broken = |source| Error::Broken { step: STEP, peer, source };
    let malformed = |cause: String| Error::Malformed { step: STEP, peer, cause };
    connection.sender.ready().await.map_err(broken)?;
    let request = Request::get(path)
        .header(http::header::HOST, "engine")
        .body(Full::new(Bytes::new()))
        .expect("the request has a valid path and headers");
    let response = connection.sender.send_request(request).await.map_err(broken)?;
    if response.status() != StatusCode::OK {
        return Err(malformed(format!("status {}", response.status())));
    }
    let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
    let body = body.map_err(|e| malformed(e.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()))
}
