//! Finds out whether an endpoint's process outlived the end of one of its connections.
//!
//! The operating system closes the connections of a process that ends in the same way as the process itself
//! would, so a response that ends with its connection is complete only if the process lived on. Only a
//! response to a request that was sent after the end, from the endpoint itself, proves that. An accepted
//! connection does not: a forwarder, a gateway or another process at the address accepts connections too.
//! A process that took its place under its name is told by its entry, read after the response.
//! What cannot be told is whether the endpoint or a forwarder between ended the connection while both live.

use {
    crate::{
        dialect::{Check, Responder},
        endpoint::Endpoint,
        proxy_state::ProxyState,
        serve::Job,
        signals,
    },
    agate_core::Mono,
    agate_route::health::ExchangeResult,
    agate_transport::{
        exchange::{self, Ending, EndpointResponse, TimeLimits},
        link::IDLE_LIMIT,
        proof::{Grant, Retryable},
    },
    agate_view::{clock, table::Service},
    bytes::Bytes,
    http::{Request, Uri, header::HOST},
    http_body_util::Full,
    std::{
        future::pending,
        io,
        sync::{
            Arc,
            atomic::{
                AtomicBool,
                Ordering::{AcqRel, Relaxed, Release},
            },
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time between two probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum time between two health checks of an endpoint that does not respond to them.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(240);
/// Maximum time that a health check takes on a reused connection, which may have been lost silently.
const REUSED_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time that a health check takes on a new connection. It may wait for a slot, and one that is sent
/// instead takes another place in the queue.
const CHECK_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time that a read of the endpoint entries takes.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time from the end of a response until the endpoint responds, without a read after that.
const MAX_UNREAD_WAIT: Duration = Duration::from_secs(1);

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
    /// Another endpoint responds at its address, or another incarnation is known under its name.
    Replaced,
    /// Which incarnation responds at the address is not known: the endpoints were not confirmed recently.
    EndpointsOld,
    /// The connection led through an instance that does not tell who ended it.
    Untold,
    /// The service has no health check.
    Unchecked,
    /// No response from the endpoint within the time that the request has.
    Late,
}

impl Proof {
    /// Whether the response is complete.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Marked | Self::Named | Self::Rejecting)
    }

    /// What it shows of the endpoint, for its failure detector.
    pub fn result(self) -> ExchangeResult {
        match self {
            Self::Marked | Self::Named | Self::Rejecting => ExchangeResult::Success,
            Self::Refused | Self::Replaced => ExchangeResult::Failure,
            Self::EndpointsOld | Self::Untold | Self::Unchecked | Self::Late => {
                ExchangeResult::Neutral
            }
        }
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

/// Waits for what proves that a response whose body ended as `ending` says is complete. Never ends while the
/// endpoint does not respond.
pub async fn prove(state: &Arc<ProxyState>, endpoint: &Arc<Endpoint>, ending: Ending) -> Proof {
    match ending {
        Ending::Marked => Proof::Marked,
        Ending::Unknown => Proof::Untold,
        Ending::Closed => prove_survival(state, endpoint).await,
    }
}

/// Counts and logs what proved a response complete, or why nothing did, `took` after it had ended with its
/// connection.
pub fn record(state: &ProxyState, job: &Job, endpoint: &Endpoint, proof: Proof, took: Duration) {
    if proof == Proof::Marked {
        return;
    }
    state.metrics.closed_ends.with_label_values(&[proof.label()]).inc();
    log::info!(
        event = "response_closed", request = job.info.id.as_str(), endpoint = &*endpoint.entry.name,
        proof = proof.label(), complete = proof.is_complete(),
        after_ms = took.as_millis() as u64, left_ms = job.remaining().as_millis() as u64,
        roster_age_ms = state.view.roster.age().map(|a| a.as_millis() as u64);
        "a response ended with its connection"
    );
}

/// Waits until a health check that is sent from now on shows whether the endpoint's process lives.
pub async fn prove_survival(state: &Arc<ProxyState>, endpoint: &Arc<Endpoint>) -> Proof {
    // A process that ends may close some connections before others.
    sleep(PROBE_INTERVAL).await;
    let Some(uri) = &endpoint.health else { return Proof::Unchecked };
    let since = clock::now();
    let CheckResult { answered, proof, .. } = check(state, endpoint, uri, since).await;
    if !proof.is_complete() {
        return proof;
    }
    match confirm_entries(state, since, answered).await {
        false => Proof::EndpointsOld,
        // A process that took its place may have its name.
        true if state.is_replaced(endpoint) => Proof::Replaced,
        true => proof,
    }
}

/// Waits for endpoint entries that show a process which took the place of an endpoint, if one did before the
/// endpoint `answered` a check sent after `since`; returns whether there are any.
async fn confirm_entries(state: &ProxyState, since: Mono, answered: Mono) -> bool {
    if timeout(READ_TIMEOUT, state.view.await_read(answered)).await.is_ok() {
        return true;
    }
    // While the store does not respond, other instances may know that nothing has changed.
    answered.saturating_sub(since) <= MAX_UNREAD_WAIT && state.versions.confirm().await
}

/// Health checks of one endpoint. At most one is in progress, so that they take few of the places in which
/// requests wait for its slots; the result of each serves all that wait for one.
#[derive(Debug, Default)]
pub struct Checks {
    /// Latest result.
    latest: watch::Sender<Option<CheckResult>>,
    running: AtomicBool,
}

/// What a health check has shown.
#[derive(Clone, Copy, Debug)]
struct CheckResult {
    sent: Mono,
    answered: Mono,
    proof: Proof,
}

/// Waits for the result of a health check that was sent after `since`.
async fn check(
    state: &Arc<ProxyState>,
    endpoint: &Arc<Endpoint>,
    uri: &Uri,
    since: Mono,
) -> CheckResult {
    let mut latest = endpoint.stats.checks.latest.subscribe();
    loop {
        let known = *latest.borrow_and_update();
        if let Some(result) = known.filter(|result| result.sent >= since) {
            return result;
        }
        start_checks(state, endpoint, uri);
        if latest.changed().await.is_err() {
            // The sender is dropped with the endpoint, so this is never reached.
            pending::<()>().await;
        }
    }
}

/// Starts to send health checks until one has a result or nobody waits for it, unless that is in progress.
fn start_checks(state: &Arc<ProxyState>, endpoint: &Arc<Endpoint>, uri: &Uri) {
    if endpoint.stats.checks.running.swap(true, AcqRel) {
        return;
    }
    let (state, endpoint, uri) = (state.clone(), endpoint.clone(), uri.clone());
    tokio::spawn(async move {
        let Checks { latest, running } = &endpoint.stats.checks;
        let result = tokio::select! {
            result = run_checks(&state, &endpoint, &uri) => Some(result),
            () = latest.closed() => None,
        };
        running.store(false, Release);
        // Without a result, this wakes those who began to wait when the checks were about to end.
        latest.send_modify(|known| *known = result.or(*known));
    });
}

/// Sends health checks, one after another, until one shows who listens at the endpoint's address.
async fn run_checks(state: &ProxyState, endpoint: &Endpoint, uri: &Uri) -> CheckResult {
    let (mut check, mut interval, mut max_idle) = (Check::Identity, PROBE_INTERVAL, IDLE_LIMIT);
    loop {
        let sent = clock::now();
        match check_once(state, endpoint, uri, check, max_idle).await {
            Checked::Shown(proof) => return CheckResult { sent, answered: clock::now(), proof },
            // It does not tell its name in a rejection.
            Checked::Untold if check == Check::Identity => {
                check = Check::Health;
                continue;
            }
            Checked::Untold => check = Check::Identity,
            // Other idle connections may have been lost with it.
            Checked::Silent => max_idle = Duration::ZERO,
            Checked::Failed => {}
        }
        sleep(interval).await;
        interval = (interval * 2).min(MAX_CHECK_INTERVAL);
    }
}

/// Path of the health check of a service's endpoints.
pub fn health_path(service: &Service) -> Option<Uri> {
    let parsed = service.health.as_ref()?.parse();
    if let Err(e) = &parsed {
        log::debug!(event = "health_path_invalid", cause:% = e; "a service's health path cannot be parsed");
    }
    parsed.ok()
}

/// What one health check shows.
enum Checked {
    /// Who listens at the endpoint's address.
    Shown(Proof),
    /// Nothing: the response does not tell who it is from.
    Untold,
    /// Nothing, and the connection was silent.
    Silent,
    /// Nothing: there was no response.
    Failed,
}

/// Sends one health check. Its connection is not used again: a response that is sent twice could pass for one to
/// a later check.
async fn check_once(
    state: &ProxyState,
    endpoint: &Endpoint,
    uri: &Uri,
    check: Check,
    max_idle: Duration,
) -> Checked {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = uri.clone();
    *request.headers_mut() = (state.dialect.health_headers)(check, &endpoint.entry.name);
    let host = endpoint.entry.address.to_string();
    request.headers_mut().insert(HOST, host.parse().expect("an address is a valid header value"));
    let grant = Grant::Again(Retryable::idempotent(true).expect("a health check may be repeated"));
    let time_limits =
        TimeLimits { fresh: CHECK_TIMEOUT, reused: REUSED_TIMEOUT, max_idle, abandon: false };
    let sent =
        exchange::send(&endpoint.pool, request, "", &state.dialect.markers, grant, time_limits)
            .await;
    let head = match &sent {
        Ok(EndpointResponse { head, .. }) => head,
        Err(failure) if failure.refused => return Checked::Shown(Proof::Refused),
        Err(failure) => match failure.head.as_deref() {
            Some(head) => head,
            None => {
                log::debug!(event = "health_check_failed", endpoint = &*endpoint.entry.name, step:? = failure.step, cause = failure.cause.as_str(); "a health check failed");
                return if failure.silent { Checked::Silent } else { Checked::Failed };
            }
        },
    };
    let proof = match (state.dialect.responder)(check, head, &endpoint.entry.name) {
        Responder::Named => Proof::Named,
        Responder::Rejecting => Proof::Rejecting,
        Responder::Other => {
            endpoint.stats.replaced.store(true, Relaxed);
            return Checked::Shown(Proof::Replaced);
        }
        Responder::Unknown => return Checked::Untold,
    };
    // That it rejects a check of its identity does not mean that another endpoint has its address.
    if !(state.dialect.misdirected)(head) {
        signals::read(state, "", endpoint, "health", head);
    }
    Checked::Shown(proof)
}

/// Result of opening a new connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Connection refused: nothing listens at its address any more.
    Refused,
    /// Connection accepted, by whatever listens there.
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
