//! The way of one request: route, caller, body, then the model or service path.

use {
    crate::{
        caller::Caller,
        decision::Trace,
        gate::{Gate, Limits},
        model,
        quarantine::Fingerprint,
        reply::{Refused, Result},
        service, suspect,
    },
    agate_config::{
        doc::RouteKind,
        snapshot::{OrgEntry, RouteEntry, Snapshot},
    },
    agate_core::{Mono, Refusal, RouteId},
    agate_link::{flight::Guard, truth::Untouched},
    bytes::{Bytes, BytesMut},
    http::{Request, Response, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::time::timeout,
    volo_http::body::Body,
};

/// Delay that a refusal for a stale configuration suggests.
const STALE_PAUSE: Duration = Duration::from_secs(1);

/// A request after its caller was identified and its body read.
pub struct Job {
    /// Identifier in logs, headers and error bodies.
    pub id: String,
    /// Configuration that the request keeps to its end.
    pub snapshot: Arc<Snapshot>,
    /// Route that it matched.
    pub route: RouteId,
    /// Who sent it.
    pub caller: Caller,
    /// Method, target and headers.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// When it was accepted.
    pub start: Mono,
    /// When its answer is of no more use.
    pub deadline: Mono,
    prints: OnceLock<Vec<Fingerprint>>,
    /// Note of what is decided on it.
    pub trace: Arc<Trace>,
    /// Presence among the requests in progress.
    pub guard: Guard,
}

impl Job {
    /// Route that the request matched.
    pub fn entry(&self) -> &RouteEntry {
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

    /// Fingerprints that the quarantine knows the request by, one for each of `keys`. They cover the
    /// whole body, so they are made only when they are asked for.
    pub fn prints(&self, keys: &[[u8; 32]]) -> &[Fingerprint] {
        let make = || keys.iter().map(|key| suspect::fingerprint(self, key)).collect();
        self.prints.get_or_init(make)
    }
}

/// Serves one request; every outcome is a response.
pub async fn handle(gate: Arc<Gate>, request: Request<Body>) -> Response<Body> {
    let id = new_id();
    gate.meter.requests.inc();
    let trace = Trace::begin(&gate.ring, &id, gate.now());
    match unless_cut(&gate, serve(&gate, &id, &trace, request)).await {
        Ok(response) => response,
        Err(refused) => {
            gate.meter.refuse(refused.reason());
            trace.refuse(&refused, gate.now());
            log::info!(
                "request {id} refused: {} ({:?})",
                refused.reason().code(),
                refused.outcome()
            );
            refused.reply(&id)
        }
    }
}

/// Carries out `work` unless this instance's time to stop runs out before.
pub async fn unless_cut<T>(gate: &Gate, work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::select! {
        biased;
        done = work => done,
        () = gate.flight.until_cut() => Err(cut()),
    }
}

/// Ends a request that still ran when this instance's time to stop ran out.
pub fn cut() -> Refused {
    Refused::unknown(Refusal::Stopping, "this instance stopped before the request ended")
}

async fn serve(
    gate: &Arc<Gate>,
    id: &str,
    trace: &Arc<Trace>,
    request: Request<Body>,
) -> Result<Response<Body>> {
    let proof = Untouched::accept();
    let start = gate.now();
    let Some(guard) = gate.flight.enter() else {
        return Err(Refused::not_run(Refusal::Stopping, "this instance is stopping", proof));
    };
    let snapshot = gate.current.load_full();
    let (head, body) = request.into_parts();
    let (route, proof) = find_route(&snapshot, &head, proof)?;
    let entry = snapshot.route(route).expect("a matched route is in its snapshot");
    trace.note(|n| n.route = Some(entry.path.clone()));
    let kind = entry.kind;
    let deadline = start + entry.deadline;
    let (caller, proof) = Caller::identify(&snapshot, entry, &head.headers, proof)?;
    let org = caller.org().and_then(|id| snapshot.org(id));
    trace.note(|n| n.org = org.map(|o| o.name.clone()));
    let proof = check_fresh(gate, &caller, proof)?;
    let (body, proof) = read_body(gate, body, proof).await?;
    let (id, trace) = (id.to_owned(), trace.clone());
    let prints = OnceLock::new();
    let job =
        Job { id, snapshot, route, caller, head, body, start, deadline, prints, trace, guard };
    match kind {
        RouteKind::Model => model::run(gate, job, proof).await,
        RouteKind::Service => service::run(gate, job, proof).await,
    }
}

/// Refuses keyed work while this instance may have missed the withdrawal of a key.
fn check_fresh(gate: &Gate, caller: &Caller, proof: Untouched) -> Result<Untouched> {
    if gate.trusts(caller) {
        return Ok(proof);
    }
    let text = "this instance cannot tell whether its configuration is the newest";
    Err(Refused::not_run(Refusal::ConfigStale, text, proof).retry_after(STALE_PAUSE))
}

fn find_route(snapshot: &Snapshot, head: &Parts, proof: Untouched) -> Result<(RouteId, Untouched)> {
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

async fn read_body(gate: &Gate, body: Body, proof: Untouched) -> Result<(Bytes, Untouched)> {
    let Limits { body: most, upload, .. } = gate.limits();
    let read = timeout(upload, collect(Limited::new(body, most))).await;
    match read {
        Ok(Ok(bytes)) => Ok((bytes, proof)),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let text = format!("the body is larger than {most} bytes");
            Err(Refused::not_run(Refusal::BodyLarge, text, proof))
        }
        Ok(Err(e)) => {
            Err(Refused::not_run(Refusal::FramingInvalid, format!("reading the body: {e}"), proof))
        }
        Err(_) => {
            let text = "the body did not arrive in time";
            Err(Refused::not_run(Refusal::RequestSlow, text, proof))
        }
    }
}

async fn collect(
    mut body: Limited<Body>,
) -> std::result::Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
    let mut out = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            out.extend_from_slice(&data);
        }
    }
    Ok(out.freeze())
}

/// Makes a request identifier: 32 hexadecimal digits.
pub fn new_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
