//! Stand-in for a plain HTTP service that records which requests it ran.
//!
//! Each request other than GET and HEAD is a booking. It runs as soon as its body was read, even if
//! the caller disconnects before the response. A booking is identified by its `idempotency-key`
//! header, else by the `booking` field of its JSON body, else by its request id.

use {
    crate::{
        fault_proxy::FaultProxy,
        server::{self, HttpRequest},
    },
    http::{HeaderMap, StatusCode},
    indexmap::IndexMap,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    volo_http::response::Response,
};

/// Faults of a service at the HTTP level.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Delay before a request runs.
    pub delay: Duration,
    /// Delay between running a request and its response.
    pub response_delay: Duration,
    /// Refuses requests, stating that they did not run.
    pub not_run: bool,
    /// Refuses requests like that, and asks for this time without any.
    pub rest: Option<Duration>,
    /// Responds with a wrong request id.
    pub wrong_id: bool,
    /// Number of further requests that run but never get a response.
    pub lose_replies: u32,
}

/// Log entry of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The caller's request id.
    pub id: String,
    /// Identifier of the booking; empty for GET and HEAD.
    pub booking: String,
    /// Path of the request.
    pub path: String,
    /// Whether the request carried an API key.
    pub key_seen: bool,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// When it ran.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    name: String,
    log: Mutex<Vec<ServiceEntry>>,
    faults: Mutex<ServiceFaults>,
    /// Number of requests refused while asking for rest.
    rejected: AtomicU64,
}

/// Handle of a running service; clones refer to the same service.
#[derive(Clone, Debug)]
pub struct Service {
    shared: Arc<Shared>,
    server: Arc<server::Handle>,
    proxy: FaultProxy,
}

impl Service {
    /// Starts a service on `address`; port 0 selects an ephemeral port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(address: SocketAddr, name: impl Into<String>) -> crate::Result<Service> {
        let shared = Arc::new(Shared { name: name.into(), ..Shared::default() });
        let handler_shared = shared.clone();
        let inner = SocketAddr::new(address.ip(), 0);
        let server = server::serve(inner, move |req| handle(handler_shared.clone(), req)).await?;
        let proxy = FaultProxy::bind(address, server.address).await?;
        Ok(Service { shared, server: Arc::new(server), proxy })
    }

    /// Address for callers, which is the proxy's.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Address of the server behind the proxy, for measurements without the extra hop.
    pub fn direct(&self) -> SocketAddr {
        self.server.address
    }

    /// Fault-injecting TCP proxy in front of the service.
    pub fn proxy(&self) -> &FaultProxy {
        &self.proxy
    }

    /// All requests that ran, in order.
    pub fn log(&self) -> Vec<ServiceEntry> {
        self.shared.log.lock().expect("not poisoned").clone()
    }

    /// Number of times that each booking ran, by its identifier.
    pub fn runs(&self) -> IndexMap<String, usize> {
        let mut runs = IndexMap::new();
        for e in self.log().into_iter().filter(|e| !e.booking.is_empty()) {
            *runs.entry(e.booking).or_insert(0) += 1;
        }
        runs
    }

    /// Number of requests refused while asking for rest.
    pub fn rejected(&self) -> u64 {
        self.shared.rejected.load(Relaxed)
    }

    /// Changes the active faults.
    pub fn set(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.shared.faults.lock().expect("not poisoned"));
    }

    /// Stops the service permanently.
    pub fn stop(&self) {
        self.proxy.refuse();
        self.server.stop();
    }
}

async fn handle(shared: Arc<Shared>, req: HttpRequest) -> Response {
    let faults = shared.faults.lock().expect("not poisoned").clone();
    let id = req.header("x-request-id").to_owned();
    let wrong_id = format!("crossed-{id}");
    let mut response = match faults.rest {
        Some(rest) => {
            shared.rejected.fetch_add(1, Relaxed);
            server::resting(rest)
        }
        None if faults.not_run => server::not_run(),
        None => run(&shared, &req, &faults).await,
    };
    server::set_header(
        &mut response,
        "x-request-id",
        if faults.wrong_id { &wrong_id } else { &id },
    );
    response
}

async fn run(shared: &Shared, req: &HttpRequest, faults: &ServiceFaults) -> Response {
    tokio::time::sleep(faults.delay).await;
    let lookup = matches!(req.method.as_str(), "GET" | "HEAD");
    let booking = if lookup { String::new() } else { booking(req) };
    let runs = {
        let mut log = shared.log.lock().expect("not poisoned");
        log.push(ServiceEntry {
            id: req.header("x-request-id").to_owned(),
            booking: booking.clone(),
            path: req.path.clone(),
            key_seen: req.has_key(),
            headers: req.headers.clone(),
            at: Instant::now(),
        });
        log.iter().filter(|e| !lookup && e.booking == booking).count()
    };
    if take_lost_response(shared) {
        return std::future::pending().await;
    }
    tokio::time::sleep(faults.response_delay).await;
    let value = match lookup {
        true => json!({ "service": shared.name, "path": req.path, "query": req.query }),
        false => json!({ "service": shared.name, "booking": booking, "run": runs }),
    };
    server::json(if lookup { StatusCode::OK } else { StatusCode::CREATED }, &value)
}

/// Returns the booking's identifier.
fn booking(req: &HttpRequest) -> String {
    let key = req.header("idempotency-key");
    if !key.is_empty() {
        return key.to_owned();
    }
    let body: Option<serde_json::Value> = serde_json::from_slice(&req.body).ok();
    let named = body.as_ref().and_then(|b| b["booking"].as_str());
    named.unwrap_or(req.header("x-request-id")).to_owned()
}

/// Whether the response to the current request is to be lost; decrements `lose_replies`.
fn take_lost_response(shared: &Shared) -> bool {
    let mut f = shared.faults.lock().expect("not poisoned");
    let lost = f.lose_replies > 0;
    f.lose_replies = f.lose_replies.saturating_sub(1);
    lost
}
