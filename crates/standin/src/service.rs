//! Stand-in of a plain HTTP service that counts what it ran.
//!
//! Every call that is not GET or HEAD is a booking: it runs as soon as its body was read, whether
//! or not the caller waits for the answer. A booking is known by its `idempotency-key` header, or
//! by the `booking` field of a JSON body, or else by its request id.

use {
    crate::{
        server::{self, Call},
        tap::Tap,
    },
    http::{HeaderMap, StatusCode},
    indexmap::IndexMap,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    volo_http::response::Response,
};

/// Faults of a service at the HTTP level.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Delay before a call runs.
    pub delay: Duration,
    /// Delay between running a call and answering it.
    pub late_reply: Duration,
    /// Refuses calls and says that nothing ran.
    pub not_run: bool,
    /// Answers with the request id of another request.
    pub wrong_id: bool,
    /// Runs the call and never answers it, for this many calls.
    pub lose_replies: u32,
}

/// One call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The caller's request id.
    pub id: String,
    /// Identity of the booking, empty for a lookup.
    pub booking: String,
    /// Path that was called.
    pub path: String,
    /// Whether a caller's key reached the service.
    pub key_seen: bool,
    /// Header section as it arrived.
    pub headers: HeaderMap,
    /// Time at which it ran.
    pub at: Instant,
}

#[derive(Debug)]
struct Shared {
    name: String,
    log: Mutex<Vec<ServiceEntry>>,
    faults: Mutex<ServiceFaults>,
}

/// Handle of a running service.
#[derive(Clone, Debug)]
pub struct Service {
    shared: Arc<Shared>,
    server: Arc<server::Handle>,
    tap: Tap,
}

impl Service {
    /// Starts a service on `address`, port 0 for an ephemeral one.
    pub async fn bind(address: SocketAddr, name: impl Into<String>) -> crate::Result<Service> {
        let shared =
            Arc::new(Shared { name: name.into(), log: Mutex::default(), faults: Mutex::default() });
        let for_calls = shared.clone();
        let inner = SocketAddr::new(address.ip(), 0);
        let server = server::serve(inner, move |call| answer(for_calls.clone(), call)).await?;
        let tap = Tap::bind(address, server.address).await?;
        Ok(Service { shared, server: Arc::new(server), tap })
    }

    /// Address that callers use.
    pub fn address(&self) -> SocketAddr {
        self.tap.address()
    }

    /// Address that bypasses the tap, for measurements without the extra hop.
    pub fn direct(&self) -> SocketAddr {
        self.server.address
    }

    /// The byte forwarder before the service.
    pub fn tap(&self) -> &Tap {
        &self.tap
    }

    /// Every call that ran, in order.
    pub fn log(&self) -> Vec<ServiceEntry> {
        self.shared.log.lock().expect("no panic while locked").clone()
    }

    /// How often each booking ran.
    pub fn runs(&self) -> IndexMap<String, usize> {
        let mut runs = IndexMap::new();
        for e in self.log().into_iter().filter(|e| !e.booking.is_empty()) {
            *runs.entry(e.booking).or_insert(0) += 1;
        }
        runs
    }

    /// Changes the faults in force.
    pub fn set(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.shared.faults.lock().expect("no panic while locked"));
    }

    /// Stops the service for good.
    pub fn stop(&self) {
        self.tap.refuse();
        self.server.stop();
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Response {
    let faults = shared.faults.lock().expect("no panic while locked").clone();
    let id = call.header("x-request-id").to_owned();
    let crossed = format!("crossed-{id}");
    let mut reply = match faults.not_run {
        true => server::not_run(),
        false => run(&shared, &call, &faults).await,
    };
    server::set(&mut reply, "x-request-id", if faults.wrong_id { &crossed } else { &id });
    reply
}

async fn run(shared: &Shared, call: &Call, faults: &ServiceFaults) -> Response {
    tokio::time::sleep(faults.delay).await;
    let lookup = matches!(call.method.as_str(), "GET" | "HEAD");
    let booking = if lookup { String::new() } else { booking(call) };
    let runs = {
        let mut log = shared.log.lock().expect("no panic while locked");
        log.push(ServiceEntry {
            id: call.header("x-request-id").to_owned(),
            booking: booking.clone(),
            path: call.path.clone(),
            key_seen: call.has_key(),
            headers: call.headers.clone(),
            at: Instant::now(),
        });
        log.iter().filter(|e| !lookup && e.booking == booking).count()
    };
    if lose(shared) {
        return std::future::pending().await;
    }
    tokio::time::sleep(faults.late_reply).await;
    let value = match lookup {
        true => json!({ "service": shared.name, "path": call.path, "query": call.query }),
        false => json!({ "service": shared.name, "booking": booking, "run": runs }),
    };
    server::json(if lookup { StatusCode::OK } else { StatusCode::CREATED }, &value)
}

fn booking(call: &Call) -> String {
    let key = call.header("idempotency-key");
    if !key.is_empty() {
        return key.to_owned();
    }
    let body: Option<serde_json::Value> = serde_json::from_slice(&call.body).ok();
    let named = body.as_ref().and_then(|b| b["booking"].as_str());
    named.unwrap_or(call.header("x-request-id")).to_owned()
}

fn lose(shared: &Shared) -> bool {
    let mut f = shared.faults.lock().expect("no panic while locked");
    let lose = f.lose_replies > 0;
    f.lose_replies = f.lose_replies.saturating_sub(1);
    lose
}
