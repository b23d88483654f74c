//! Finds out whether an endpoint's process outlived the end of one of its connections.
//!
//! The operating system closes the connections of a process that ends in the same way as the process itself
//! would, so a response that ends with its connection is complete only if the process lived on. Only a
//! response to a request that was sent after the end, from the endpoint itself, proves that. An accepted
//! connection does not: a forwarder, a gateway or another process at the address accepts connections too.

use {
    crate::{dialect::Responder, endpoint::Endpoint, proxy_state::ProxyState, serve::Job},
    agate_transport::{
        exchange::{self, Ending, EndpointResponse, TimeLimits},
        link::IDLE_LIMIT,
        proof::{Grant, Retryable},
    },
    bytes::Bytes,
    http::{Request, Uri, header::HOST},
    http_body_util::Full,
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Time between two probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum time between two health checks of an endpoint that does not respond to them.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(240);
/// Maximum time that a health check takes on a reused connection, which may have been lost silently.
const REUSED_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time that a health check takes.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the body of the response to a health check, in bytes.
const MAX_BODY: usize = 16 << 10;

/// What proves that a response is complete, or why nothing does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The response marks its end.
    Marked,
    /// The endpoint responded to a health check that was sent after the end, with its name.
    Named,
    /// The endpoint rejected a health check that was sent after the end.
    Rejecting,
    /// Nothing listens at the endpoint's address any more.
    Refused,
    /// Another endpoint responds at its address, or another incarnation is known under its name or at its
    /// address.
    Replaced,
    /// Which incarnation responds at the address is not known: the endpoints were not confirmed recently.
    EndpointsOld,
    /// The connection led through an instance that does not tell who ended it.
    Untold,
    /// The service has no health check.
    Unchecked,
    /// No response from the endpoint within the time limit.
    Late,
}

impl Proof {
    /// Whether the response is complete.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Marked | Self::Named | Self::Rejecting)
    }

    /// Stable name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Named => "named",
            Self::Rejecting => "rejecting",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::EndpointsOld => "endpoints_old",
            Self::Untold => "untold",
            Self::Unchecked => "unchecked",
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

/// Waits until a health check that is sent from now on shows whether the endpoint's process lives.
pub async fn prove_survival(state: &ProxyState, endpoint: &Endpoint) -> Proof {
    // A process that ends may close some connections before others.
    sleep(PROBE_INTERVAL).await;
    match check(state, endpoint, Instant::now()).await {
        // A process that took its place may have its name, if this instance stood still.
        proof if proof.is_complete() => match state.versions.confirm().await {
            false => Proof::EndpointsOld,
            true if state.is_replaced(endpoint) => Proof::Replaced,
            true => proof,
        },
        proof => proof,
    }
}

/// Sends health checks until one shows who listens at the endpoint's address, or returns what one sent after
/// `since` has shown.
async fn check(state: &ProxyState, endpoint: &Endpoint, since: Instant) -> Proof {
    let Some(uri) = health_uri(state, endpoint) else { return Proof::Unchecked };
    let mut last = endpoint.stats.last_check.lock().await;
    if let Some((_, proof)) = last.filter(|(at, _)| *at >= since) {
        return proof;
    }
    let (mut interval, mut max_idle) = (PROBE_INTERVAL, IDLE_LIMIT);
    loop {
        let at = Instant::now();
        if let Some(proof) = check_once(state, endpoint, &uri, max_idle).await {
            *last = Some((at, proof));
            return proof;
        }
        sleep(interval).await;
        interval = (interval * 2).min(MAX_CHECK_INTERVAL);
        max_idle = Duration::ZERO;
    }
}

fn health_uri(state: &ProxyState, endpoint: &Endpoint) -> Option<Uri> {
    let table = state.view.table.load();
    let service = table.as_ref()?.services.get(&endpoint.entry.service)?;
    let path = service.health.as_deref()?;
    path.parse().inspect_err(|e| log::warn!(event = "health_path_invalid", service = &*endpoint.entry.service, cause:% = e; "a service's health path is not a path")).ok()
}

/// Sends one health check; `None` if it does not show who listens at the endpoint's address.
async fn check_once(
    state: &ProxyState,
    endpoint: &Endpoint,
    uri: &Uri,
    max_idle: Duration,
) -> Option<Proof> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri.clone();
    *request.headers_mut() = (state.dialect.health_headers)(&endpoint.entry.name);
    let host =
        endpoint.entry.address.to_string().parse().expect("an address is a valid header value");
    request.headers_mut().insert(HOST, host);
    let grant = Grant::Again(Retryable::idempotent(true).expect("a health check may be repeated"));
    let time_limits =
        TimeLimits { fresh: CHECK_TIMEOUT, reused: REUSED_TIMEOUT, max_idle, abandon: false };
    let sent =
        exchange::send(&endpoint.pool, request, "", &state.dialect.markers, grant, time_limits)
            .await;
    let head = match &sent {
        Ok(EndpointResponse { head, .. }) => Some(head),
        Err(failure) if failure.refused => return Some(Proof::Refused),
        Err(failure) => {
            log::debug!(event = "health_check_failed", endpoint = &*endpoint.entry.name, step:? = failure.step, cause = failure.cause.as_str(); "a health check failed");
            failure.head.as_deref()
        }
    };
    let proof = match (state.dialect.responder)(head?, &endpoint.entry.name) {
        Responder::Named => Some(Proof::Named),
        Responder::Rejecting => Some(Proof::Rejecting),
        Responder::Other => Some(Proof::Replaced),
        Responder::Unknown => None,
    };
    if let Ok(response) = sent
        && let Err(e) = response.collect(MAX_BODY, REUSED_TIMEOUT).await
    {
        log::debug!("reading the response to a health check: {e}");
    }
    proof
}

/// Result of opening a new connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Connection refused: nothing listens at its address any more.
    Refused,
    /// Connection accepted: the network path works.
    Accepted,
    /// Any other error, which does not show whether the endpoint is alive.
    Unknown,
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
            endpoint.pool.put(link);
            Probe::Accepted
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Err(_) => Probe::Unknown,
    };
    *last = Some((at, result));
    result
}
