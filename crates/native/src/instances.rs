//! Client of the platform's list of instances.

use {
    crate::http::{Error, Http},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Lifecycle state of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Serving requests.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// Entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the instance or endpoint.
    pub name: String,
    /// Name of the availability zone that it runs in.
    pub zone: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it is about to be removed.
    pub state: State,
}

#[derive(Deserialize)]
struct List {
    instances: Vec<Entry>,
}

/// Reads the list, which may be out of date. Fails without a valid response.
pub async fn list(http: &Http) -> Result<Vec<Entry>, Error> {
    const PATH: &str = "/instances/v1";
    let error = |cause: String| Error { path: PATH.to_owned(), peer: http.peer(), cause };
    let (status, body) = http.get(PATH, CALL_TIMEOUT).await?;
    if !status.is_success() {
        return Err(error(format!("status {status}")));
    }
    let list: List = serde_json::from_slice(&body).map_err(|e| error(e.to_string()))?;
    Ok(list.instances)
}
