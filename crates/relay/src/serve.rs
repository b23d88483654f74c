//! Decides whether a request may run: route, organisation, freshness, body.

use {
    crate::{
        Body,
        ask::Ask,
        begun::Begun,
        full,
        gate::Gate,
        refusal::{Cause, Promise, Refused},
        run,
    },
    agate_link::truth::Untouched,
    agate_view::table::{Name, Org, Route, Table},
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, Uri,
        header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    },
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Time that a caller is assumed to wait if it does not say so.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Time after which a caller may come back if nothing is known that could tell it better.
const COME_BACK: Duration = Duration::from_millis(500);

/// A request that may run.
#[derive(Debug)]
pub struct Job {
    /// Configuration that it was accepted under.
    pub table: Arc<Table>,
    /// Its route.
    pub route: Route,
    /// Service that it goes to.
    pub service: Name,
    /// Organisation that it runs for.
    pub org: Option<Org>,
    /// Key that it came with.
    pub key: Option<String>,
    /// What its head says.
    pub ask: Ask,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Instant,
    /// When its time is up.
    pub end: Instant,
    /// Whether usage has it already.
    pub begun: Begun,
}

impl Job {
    /// Time left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }
}

/// Answers one request.
pub async fn handle(gate: Arc<Gate>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let guard = gate.flight.enter();
    let (head, body) = request.into_parts();
    let ask = (gate.dialect.read)(&head.headers);
    let id = ask.id.clone();
    let accepted = match guard {
        Some(_) => accept(&gate, head, body, ask, arrived).await,
        None => Err(Refused::not_run(Cause::Stopping, Some(COME_BACK), Untouched::accept())),
    };
    let answered = match accepted {
        Ok(job) => run::run(&gate, job, guard).await,
        Err(refused) => Err(refused),
    };
    let mut response = answered.unwrap_or_else(|refused| refuse(&gate, &id, &refused, arrived));
    if gate.stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answer to a request that is not served; writes its log line.
fn refuse(gate: &Gate, id: &str, refused: &Refused, arrived: Instant) -> Response<Body> {
    gate.meter.refuse(refused.cause, refused.untouched());
    let after = match &refused.promise {
        Promise::NotRun { after, .. } => *after,
        Promise::Unknown => None,
    };
    log::info!(
        event = "refused", request = id, cause = refused.cause.label(),
        not_run = refused.untouched(), after_ms = after.map(|a| a.as_millis() as u64),
        held_ms = arrived.elapsed().as_millis() as u64,
        config_age_ms = gate.belief.config.age().map(|a| a.as_millis() as u64);
        "request not served"
    );
    let mut response = (gate.dialect.refuse)(refused).map(|()| full(Bytes::new()));
    if matches!(refused.cause, Cause::BodyLarge | Cause::BodyCut | Cause::Framing) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn accept(
    gate: &Arc<Gate>,
    head: http::request::Parts,
    body: Incoming,
    ask: Ask,
    arrived: Instant,
) -> Result<Job, Refused> {
    let not_run = |cause, after| Refused::not_run(cause, after, Untouched::accept());
    if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
        return Err(not_run(Cause::Framing, None));
    }
    let Some(table) = gate.belief.table.load_full() else {
        return Err(not_run(Cause::NoConfig, Some(COME_BACK)));
    };
    let host = head.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let found = table.route(host, head.uri.path()).cloned();
    let route = found.ok_or_else(|| not_run(Cause::RouteUnknown, None))?;
    let org = identify(gate, &table, &route, &ask)?;
    let wait = ask.wait.unwrap_or(DEFAULT_WAIT).min(route.timeout);
    let end = arrived + wait;
    let service = pick_service(&route).ok_or_else(|| not_run(Cause::NoEndpoint, None))?;
    gate.count_request(&service, route.kind);
    let limited = Limited::new(body, table.limits.body).collect();
    let body = match timeout(wait, limited).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(not_run(Cause::BodyLarge, None)),
        Ok(Err(_)) | Err(_) => return Err(not_run(Cause::BodyCut, None)),
    };
    let key = if org.is_some() { ask.key.clone() } else { None };
    let http::request::Parts { method, uri, headers, .. } = head;
    let begun = Begun::default();
    Ok(Job {
        table,
        route,
        service,
        org,
        key,
        ask,
        method,
        uri,
        headers,
        body,
        arrived,
        end,
        begun,
    })
}

/// Finds the organisation of a keyed request; `None` on an open route.
fn identify(gate: &Gate, table: &Table, route: &Route, ask: &Ask) -> Result<Option<Org>, Refused> {
    if route.open || !table.keyed {
        return Ok(None);
    }
    if !gate.keys_fresh() {
        let proof = Untouched::accept();
        return Err(Refused::not_run(Cause::ConfigOld, Some(COME_BACK), proof));
    }
    let org = ask.key.as_deref().and_then(|key| table.org(key));
    let unknown = || Refused::not_run(Cause::KeyUnknown, None, Untouched::accept());
    org.cloned().map(Some).ok_or_else(unknown)
}

/// Draws a service of a route by weight.
fn pick_service(route: &Route) -> Option<Name> {
    let total: u32 = route.split.iter().map(|s| s.weight).sum();
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
