//! Finds out whether an endpoint's process outlived the end of one of its connections.
//!
//! The operating system closes the connections of a process that ends in the same way as the process itself
//! would, so a response that ends with its connection is complete only if the process lived on.

use {
    crate::{endpoint::Endpoint, proxy_state::ProxyState, serve::Job},
    agate_transport::{exchange::Ending, link::Way},
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Time between two probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// What proves that a response is complete, or why nothing does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The response marks its end.
    Marked,
    /// The endpoint accepted a new connection, opened this way.
    Accepted(Way),
    /// Nothing listens at the endpoint's address any more.
    Refused,
    /// Another incarnation is known under the endpoint's name or at its address.
    Replaced,
    /// Which incarnation listens at the address is not known: the endpoints were not confirmed recently.
    EndpointsOld,
    /// The connection led through an instance that does not tell who ended it.
    Untold,
    /// A new connection could neither be opened nor was it refused.
    Unreachable,
    /// No result within the time limit.
    Late,
}

impl Proof {
    /// Whether the response is complete.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Marked | Self::Accepted(_))
    }

    /// Stable name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Accepted(Way::Direct) => "accepted",
            Self::Accepted(Way::Relayed | Way::Spliced) => "accepted_relayed",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::EndpointsOld => "endpoints_old",
            Self::Untold => "untold",
            Self::Unreachable => "unreachable",
            Self::Late => "late",
        }
    }
}

/// Looks, for at most `limit`, for what proves that a response whose body ended as `ending` says is complete.
pub async fn prove(
    state: &ProxyState,
    job: &Job,
    endpoint: &Endpoint,
    ending: Ending,
    limit: Duration,
) -> Proof {
    let ended_at = Instant::now();
    let proof = match ending {
        Ending::Marked => return Proof::Marked,
        Ending::Unknown => Proof::Untold,
        Ending::Closed => {
            timeout(limit, prove_survival(state, endpoint)).await.unwrap_or(Proof::Late)
        }
    };
    state.metrics.closed_ends.with_label_values(&[proof.label()]).inc();
    log::info!(
        event = "response_closed", request = job.info.id.as_str(), endpoint = &*endpoint.entry.name,
        proof = proof.label(), complete = proof.is_complete(),
        after_ms = ended_at.elapsed().as_millis() as u64,
        roster_age_ms = state.view.roster.age().map(|a| a.as_millis() as u64);
        "a response ended with its connection"
    );
    proof
}

async fn prove_survival(state: &ProxyState, endpoint: &Endpoint) -> Proof {
    match probe_again(endpoint).await {
        Probe::Refused => Proof::Refused,
        Probe::Unknown => Proof::Unreachable,
        // Another process may have taken its place if this instance stood still, or learns of the end
        // late.
        Probe::Alive(_) if !state.versions.confirm().await => Proof::EndpointsOld,
        Probe::Alive(_) if state.is_replaced(endpoint) => Proof::Replaced,
        Probe::Alive(way) => Proof::Accepted(way),
    }
}

/// Result of opening a new connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Connection refused: nothing listens at its address any more.
    Refused,
    /// Connection accepted, opened this way.
    Alive(Way),
    /// Any other error, which does not show whether the endpoint is alive.
    Unknown,
}

/// Probes an endpoint a little later than its connection ended or it accepted one. While a process ends, its
/// connections may be closed before its listener is.
pub async fn probe_again(endpoint: &Endpoint) -> Probe {
    sleep(PROBE_INTERVAL).await;
    probe(endpoint, Instant::now()).await
}

/// Opens a connection to the endpoint, or returns the result of a probe begun after `since`.
pub async fn probe(endpoint: &Endpoint, since: Instant) -> Probe {
    let mut last = endpoint.stats.last_probe.lock().await;
    if let Some((_, result)) = last.filter(|(at, _)| *at >= since) {
        return result;
    }
    let at = Instant::now();
    let result = match endpoint.pool.open().await {
        Ok(link) => {
            let way = link.way;
            endpoint.pool.put(link);
            Probe::Alive(way)
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Err(_) => Probe::Unknown,
    };
    *last = Some((at, result));
    result
}
