//! Handling of one request: route, caller, body, then the model or service path.

use {
    crate::{
        caller::Caller,
        decision::Trace,
        model, model_request,
        proxy_state::{Limits, ProxyState},
        quarantine::Fingerprint,
        refusal::{Refused, Result},
        service, suspect,
    },
    agate_config::{
        doc::RouteKind,
        snapshot::{OrgEntry, RouteEntry, Snapshot},
    },
    agate_core::{Mono, Refusal, RouteId},
    agate_quarantine::Property,
    agate_transport::{
        in_flight::Guard,
        intake::{self, IntakeError},
        memory_budget::Account,
        proof::NotRunProof,
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, header::CONNECTION, request::Parts},
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::time::timeout,
    volo_http::body::Body,
};

/// Delay for `Retry-After` in refusals for an outdated configuration.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Delay for `Retry-After` in refusals for lack of memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request whose caller was identified and whose body was read.
pub struct Job {
    /// Request identifier in logs, headers and error bodies.
    pub id: String,
    /// Configuration at its acceptance, used until it ends.
    pub snapshot: Arc<Snapshot>,
    /// Matched route.
    pub route: RouteId,
    /// Sender of the request.
    pub caller: Caller,
    /// Method, target and headers.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Time of acceptance.
    pub start: Mono,
    /// Time after which the response is of no use.
    pub deadline: Mono,
    fingerprints: OnceLock<Vec<Fingerprint>>,
    messages: OnceLock<Vec<Property>>,
    /// Record of the decisions on the request.
    pub trace: Arc<Trace>,
    /// Counts the request as in progress until it is dropped.
    pub guard: Guard,
}

impl Job {
    /// Returns the matched route.
    pub fn route_entry(&self) -> &RouteEntry {
        self.snapshot.route(self.route).expect("a matched route is in its snapshot")
    }

    /// Organisation that sent the request; `None` on open routes.
    pub fn org(&self) -> Option<&OrgEntry> {
        self.caller.org().and_then(|id| self.snapshot.org(id))
    }

    /// Name of the organisation that sent the request; empty on open routes.
    pub fn org_name(&self) -> &str {
        self.org().map_or("", |org| &org.name)
    }

    /// Returns the fingerprints that identify the request in the quarantine, one for each of
    /// `keys`. They cover the complete body, so they are computed only on the first call.
    pub fn fingerprints(&self, keys: &[[u8; 32]]) -> &[Fingerprint] {
        let make = || keys.iter().map(|key| suspect::fingerprint(self, key)).collect();
        self.fingerprints.get_or_init(make)
    }

    /// Returns the messages that a model request may share with others, as the quarantine knows them;
    /// hashed on the first call.
    pub fn shared_messages(&self) -> &[Property] {
        self.messages.get_or_init(|| match self.route_entry().kind {
            RouteKind::Model => model_request::shared_messages(&self.body),
            RouteKind::Service => Vec::new(),
        })
    }
}

/// Handles one request. Every outcome, errors included, is a response. `account` is that of its connection.
pub async fn handle(
    state: Arc<ProxyState>,
    request: Request<Body>,
    account: &Arc<Account>,
) -> Response<Body> {
    let id = new_id();
    state.metrics.requests.inc();
    let trace = Trace::begin(&state.decisions, &id, state.now());
    match unless_aborted(&state, serve(&state, &id, &trace, request, account)).await {
        Ok(response) => response,
        Err(refused) => {
            state.metrics.refuse(refused.reason());
            trace.record_refusal(&refused, state.now());
            log::info!(
                "request {id} refused: {} ({:?})",
                refused.reason().code(),
                refused.outcome()
            );
            let mut response = refused.response(&id);
            if matches!(refused.reason(), Refusal::BodyLarge | Refusal::NoMemory) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    }
}

/// Runs `work` until it is done or the time limit for stopping this instance has passed.
///
/// Errors: those of `work`, or `Stopping` after the time limit.
pub async fn unless_aborted<T>(
    state: &ProxyState,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    tokio::select! {
        biased;
        done = work => done,
        () = state.flight.until_aborted() => Err(stop_refusal()),
    }
}

/// Refusal of a request that was still running when the time limit for stopping this instance
/// passed.
pub fn stop_refusal() -> Refused {
    Refused::unknown(Refusal::Stopping, "this instance stopped before the request ended")
}

async fn serve(
    state: &Arc<ProxyState>,
    id: &str,
    trace: &Arc<Trace>,
    request: Request<Body>,
    account: &Arc<Account>,
) -> Result<Response<Body>> {
    let proof = NotRunProof::accept();
    let start = state.now();
    let Some(guard) = state.flight.enter() else {
        return Err(Refused::not_run(Refusal::Stopping, "this instance is stopping", proof));
    };
    let snapshot = state.current.load_full();
    let (head, body) = request.into_parts();
    let (route, proof) = find_route(&snapshot, &head, proof)?;
    let entry = snapshot.route(route).expect("a matched route is in its snapshot");
    trace.record(|n| n.route = Some(entry.path.clone()));
    let kind = entry.kind;
    let deadline = start + entry.deadline;
    let (caller, proof) = Caller::identify(&snapshot, entry, &head.headers, proof)?;
    let org = caller.org().and_then(|id| snapshot.org(id));
    trace.record(|n| n.org = org.map(|o| o.name.clone()));
    let proof = check_fresh(state, &caller, proof)?;
    let (body, proof) = read_body(state, body, account, proof).await?;
    account.on_received();
    let (id, trace) = (id.to_owned(), trace.clone());
    let (fingerprints, messages) = (OnceLock::new(), OnceLock::new());
    let job = Job {
        id,
        snapshot,
        route,
        caller,
        head,
        body,
        start,
        deadline,
        fingerprints,
        messages,
        trace,
        guard,
    };
    match kind {
        RouteKind::Model => model::run(state, job, proof).await,
        RouteKind::Service => service::run(state, job, proof).await,
    }
}

/// Refuses requests with a key while this instance may have missed the revocation of a key.
fn check_fresh(state: &ProxyState, caller: &Caller, proof: NotRunProof) -> Result<NotRunProof> {
    if state.is_fresh_for(caller) {
        return Ok(proof);
    }
    let text = "this instance cannot tell whether its configuration is the newest";
    Err(Refused::not_run(Refusal::ConfigStale, text, proof).retry_after(STALE_RETRY_AFTER))
}

fn find_route(
    snapshot: &Snapshot,
    head: &Parts,
    proof: NotRunProof,
) -> Result<(RouteId, NotRunProof)> {
    let path = head.uri.path();
    let Some((id, route)) = snapshot.find_route(path) else {
        let text = format!("no route for path {path}");
        return Err(Refused::not_run(Refusal::RouteUnknown, text, proof));
    };
    if !route.methods.iter().any(|m| **m == *head.method.as_str()) {
        let text = format!("{path} takes {}", route.methods.join(", "));
        return Err(Refused::not_run(Refusal::MethodRejected, text, proof));
    }
    Ok((id, proof))
}

async fn read_body(
    state: &ProxyState,
    body: Body,
    account: &Arc<Account>,
    proof: NotRunProof,
) -> Result<(Bytes, NotRunProof)> {
    let Limits { body: most, upload, .. } = state.limits();
    let read = timeout(upload, intake::read(Box::pin(body), account, most)).await;
    match read {
        Ok(Ok(bytes)) => Ok((bytes, proof)),
        Ok(Err(IntakeError::Large)) => {
            let text = format!("the body is larger than {most} bytes");
            Err(Refused::not_run(Refusal::BodyLarge, text, proof))
        }
        Ok(Err(IntakeError::NoMemory)) => {
            let text = "this instance has no memory for the body";
            Err(Refused::not_run(Refusal::NoMemory, text, proof).retry_after(MEMORY_RETRY_AFTER))
        }
        Ok(Err(e @ IntakeError::Cut(_))) => {
            Err(Refused::not_run(Refusal::FramingInvalid, e.to_string(), proof))
        }
        Err(_) => {
            let text = "the body did not arrive in time";
            Err(Refused::not_run(Refusal::RequestSlow, text, proof))
        }
    }
}

/// Generates a request identifier: 32 random hexadecimal digits.
pub fn new_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
