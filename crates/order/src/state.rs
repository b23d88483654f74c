//! Reads the state of an engine.

use {
    crate::{Error, Result, link},
    agate_ctl::{Reading, Role},
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    serde::{Deserialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Largest answer, in bytes.
const MAX_BODY: usize = 64 << 10;
/// Name of the step in errors.
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
/// The load, which may lag behind, is asked of a drained engine only, because nothing else depends on
/// it; the reading of another engine has no running requests. Errors: also if the engine has another role than the two of
/// [`Role`].
pub async fn read(peer: SocketAddr, limit: Duration) -> Result<Reading> {
    let both = async {
        let mut link = link::open(peer, limit, Arc::new(|| true))
            .await
            .map_err(|source| Error::Connect { step: STEP, peer, source })?;
        let state: State = get(&mut link, peer, "/admin/state").await?;
        let load: Option<Load> = match state.draining {
            true => Some(get(&mut link, peer, "/load").await?),
            false => None,
        };
        Ok((state, load))
    };
    let (state, load) =
        timeout(limit, both).await.map_err(|_| Error::Late { step: STEP, peer })??;
    let role = match &*state.role {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        other => {
            let cause = format!("role {other:?}");
            return Err(Error::Malformed { step: STEP, peer, cause });
        }
    };
    let running = load.map_or(0, |l| l.running.saturating_add(l.waiting));
    Ok(Reading { role, draining: state.draining, running, busy: state.order.is_some() })
}

async fn get<T: DeserializeOwned>(
    link: &mut link::Link,
    peer: SocketAddr,
    path: &str,
) -> Result<T> {
    let broken = |source| Error::Broken { step: STEP, peer, source };
    let malformed = |cause: String| Error::Malformed { step: STEP, peer, cause };
    link.sender.ready().await.map_err(broken)?;
    let request = Request::get(path)
        .header(http::header::HOST, "engine")
        .body(Full::new(Bytes::new()))
        .expect("the parts are valid");
    let answer = link.sender.send_request(request).await.map_err(broken)?;
    if answer.status() != StatusCode::OK {
        return Err(malformed(format!("status {}", answer.status())));
    }
    let body = Limited::new(answer.into_body(), MAX_BODY).collect().await;
    let body = body.map_err(|e| malformed(e.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()))
}
