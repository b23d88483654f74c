//! Decides whether a request may run: checks its route, API key, body and the configuration's age.

use {
    crate::{
        Body,
        crash::PropertyCache,
        full,
        org_quota::Admitted,
        proxy_state::ProxyState,
        refusal::{Cause, Promise, Refused},
        request_info::RequestInfo,
        run,
        started::StartFlag,
    },
    agate_transport::{
        intake::{self, IntakeError},
        memory_budget::Account,
        proof::NotRunProof,
    },
    agate_view::{
        clock,
        table::{Name, Org, Route, Table},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, Uri,
        header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    },
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Deadline of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry-after time of refusals for which no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// An accepted request with all that is needed to run it.
#[derive(Debug)]
pub struct Job {
    /// Configuration in force when it was accepted.
    pub table: Arc<Table>,
    /// Route that matched its host and path.
    pub route: Route,
    /// Service picked from the route by weight.
    pub service: Name,
    /// Organisation that its API key belongs to; `None` on an open route.
    pub org: Option<Org>,
    /// API key, checked again before each attempt; `None` on an open route.
    pub key: Option<String>,
    /// Metadata read from its headers.
    pub info: RequestInfo,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// The caller's headers, before the dialect filters them.
    pub headers: HeaderMap,
    /// Complete body, buffered so that it can be sent again.
    pub body: Bytes,
    /// Time at which its head was received.
    pub arrived: Instant,
    /// Time by which the caller wants the response.
    pub deadline: Instant,
    /// Whether it was already counted for usage.
    pub start_flag: StartFlag,
    /// Properties by which the quarantine recognises it.
    pub properties: PropertyCache,
}

impl Job {
    /// Time left until the deadline; zero after it.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Serves one request; a request that cannot be served gets the dialect's refusal.
///
/// `account` is that of its connection.
pub async fn handle(
    state: Arc<ProxyState>,
    request: Request<Incoming>,
    account: &Arc<Account>,
) -> Response<Body> {
    let arrived = Instant::now();
    let guard = state.flight.enter();
    let (head, body) = request.into_parts();
    let info = (state.dialect.parse_request)(&head.headers);
    let id = info.id.clone();
    let mut admitted = None;
    let accepted = match guard {
        Some(_) => accept(&state, head, body, info, arrived, (account, &mut admitted)).await,
        None => Err(Refused::not_run(Cause::Stopping, Some(RETRY_AFTER), NotRunProof::accept())),
    };
    let answered = match accepted {
        Ok(job) => run::run(&state, job, guard).await,
        Err(refused) => Err(refused),
    };
    if let (Some(admitted), Err(Refused { promise: Promise::NotRun { proof, .. }, .. })) =
        (admitted, &answered)
    {
        state.quotas.give_back(admitted, proof);
    }
    let mut response = answered.unwrap_or_else(|refused| refuse(&state, &id, &refused, arrived));
    if state.stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts and logs a refusal and makes its response.
fn refuse(state: &ProxyState, id: &str, refused: &Refused, arrived: Instant) -> Response<Body> {
    state.metrics.count_refusal(refused.cause, refused.is_not_run());
    let after = match &refused.promise {
        Promise::NotRun { after, .. } => *after,
        Promise::Unknown => None,
    };
    log::info!(
        event = "refused", request = id, cause = refused.cause.label(),
        not_run = refused.is_not_run(), after_ms = after.map(|a| a.as_millis() as u64),
        held_ms = arrived.elapsed().as_millis() as u64,
        config_age_ms = state.view.config.age().map(|a| a.as_millis() as u64);
        "request not served"
    );
    let mut response = (state.dialect.refuse)(refused).map(|()| full(Bytes::new()));
    if matches!(refused.cause, Cause::BodyLarge | Cause::BodyCut | Cause::Framing | Cause::NoMemory)
    {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn accept(
    state: &Arc<ProxyState>,
    head: http::request::Parts,
    body: Incoming,
    info: RequestInfo,
    arrived: Instant,
    (account, admitted): (&Arc<Account>, &mut Option<Admitted>),
) -> Result<Job, Refused> {
    let not_run = |cause, after| Refused::not_run(cause, after, NotRunProof::accept());
    if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
        return Err(not_run(Cause::Framing, None));
    }
    let table = state.view.table.load_full().filter(|_| state.quarantine.is_loaded());
    let Some(table) = table else {
        return Err(not_run(Cause::NoConfig, Some(RETRY_AFTER)));
    };
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let found = table.route(host, head.uri.path()).cloned();
    let route = found.ok_or_else(|| not_run(Cause::RouteUnknown, None))?;
    let org = authenticate(state, &table, &route, &info)?;
    *admitted = (state.quotas.admit(org.as_ref(), &info, clock::now()))
        .map_err(|after| not_run(Cause::QuotaExceeded, after))?;
    let mut wait = info.wait.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    if let Some(left) = state.stop_left() {
        // It may still run when the instance ends, and must not run again elsewhere then.
        if wait > left && !route.kind.retryable() {
            return Err(not_run(Cause::Stopping, Some(RETRY_AFTER)));
        }
        wait = wait.min(left);
    }
    let deadline = arrived + wait;
    let service = pick_service(&route).ok_or_else(|| not_run(Cause::NoEndpoint, None))?;
    state.count_request(&service, route.kind);
    let body = match timeout(wait, intake::read(body, account, table.limits.body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(IntakeError::Large)) => return Err(not_run(Cause::BodyLarge, None)),
        Ok(Err(IntakeError::NoMemory)) => return Err(not_run(Cause::NoMemory, Some(RETRY_AFTER))),
        Ok(Err(IntakeError::Cut(_))) | Err(_) => return Err(not_run(Cause::BodyCut, None)),
    };
    account.on_received();
    let key = if org.is_some() { info.key.clone() } else { None };
    let http::request::Parts { method, uri, headers, .. } = head;
    let start_flag = StartFlag::default();
    Ok(Job {
        table,
        route,
        service,
        org,
        key,
        info,
        method,
        uri,
        headers,
        body,
        arrived,
        deadline,
        start_flag,
        properties: PropertyCache::default(),
    })
}

/// Finds the organisation that the API key belongs to; `None` on an open route.
fn authenticate(
    state: &ProxyState,
    table: &Table,
    route: &Route,
    info: &RequestInfo,
) -> Result<Option<Org>, Refused> {
    if route.open || !table.keyed {
        return Ok(None);
    }
    if !state.keys_fresh() {
        let proof = NotRunProof::accept();
        return Err(Refused::not_run(Cause::ConfigOld, Some(RETRY_AFTER), proof));
    }
    let org = info.key.as_deref().and_then(|key| table.org(key));
    let unknown = || Refused::not_run(Cause::KeyUnknown, None, NotRunProof::accept());
    org.cloned().map(Some).ok_or_else(unknown)
}

/// Picks a service of a route at random, by weight.
fn pick_service(route: &Route) -> Option<Name> {
    let total = route.split.iter().fold(0_u32, |sum, s| sum.saturating_add(s.weight));
    if let [only] = route.split.as_slice() {
        return Some(only.service.clone());
    }
    let mut draw = rand::random_range(0..total.max(1));
    for share in &route.split {
        if draw < share.weight {
            return Some(share.service.clone());
        }
        draw -= share.weight;
    }
    route.split.first().map(|s| s.service.clone())
}
