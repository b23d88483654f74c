//! The platform's list of live and leaving instances.

use {
    crate::http::{Error, Http},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for the list.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// State of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Serving.
    Live,
    /// To be withdrawn soon.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the instance or endpoint.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

#[derive(Deserialize)]
struct List {
    instances: Vec<Entry>,
}

/// Reads the list, which may lag behind.
pub async fn list(http: &Http) -> Result<Vec<Entry>, Error> {
    const PATH: &str = "/instances/v1";
    let fail = |cause: String| Error { path: PATH.to_owned(), peer: http.peer(), cause };
    let (status, body) = http.get(PATH, ANSWER_LIMIT).await?;
    if !status.is_success() {
        return Err(fail(format!("status {status}")));
    }
    let list: List = serde_json::from_slice(&body).map_err(|e| fail(e.to_string()))?;
    Ok(list.instances)
}
