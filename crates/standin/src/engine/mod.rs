//! Stand-in for a model engine.
//!
//! The engine simulates continuous batching: a fixed number of slots, one token per slot and
//! interval, a prefill time for the uncached part of the prompt, and a priority queue before the
//! slots. The output depends only on the prompt and the token index, so a stream that was resumed
//! on another engine can be compared with an uninterrupted one.
//!
//! `slots` queues requests, `state` holds the engine's state behind one lock, `chat` runs requests,
//! `control` handles the other calls, and [`text`] is the deterministic model.

mod chat;
mod control;
mod slots;
mod state;
pub mod text;

pub use state::{EngineFaults, LoadReport, OrderEntry, OrderKind, RunEntry, RunState};

use {
    crate::{
        fault_proxy::FaultProxy,
        server::{self, HttpRequest},
    },
    http::StatusCode,
    state::Shared,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    volo_http::response::Response,
};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the endpoint.
    pub name: String,
    /// Models loaded at start, with their versions.
    pub models: Vec<(String, String)>,
    /// Role at start: `both`, `prefill` or `decode`.
    pub role: String,
    /// Maximum number of concurrently running requests.
    pub slots: usize,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Time between two tokens of one stream.
    pub gap: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Whether orders with a stale fencing token are refused.
    pub fenced: bool,
    /// Time that the execution of an order takes.
    pub order_time: Duration,
    /// Time from a crash until the engine restarts by itself; `None`: it has to be restarted
    /// explicitly.
    pub restart: Option<Duration>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            models: vec![("glaze-oracle".into(), "v1".into())],
            role: "both".into(),
            slots: 16,
            prefill_rate: 50_000.0,
            gap: Duration::from_millis(2),
            cache_blocks: 4096,
            fenced: true,
            order_time: Duration::from_millis(20),
            restart: None,
        }
    }
}

/// Handle of a running engine; clones refer to the same engine.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Arc<server::Handle>,
    proxy: FaultProxy,
}

impl Engine {
    /// Starts an engine on `address`; port 0 selects an ephemeral port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(address: SocketAddr, settings: EngineSettings) -> crate::Result<Engine> {
        let inner = SocketAddr::new(address.ip(), 0);
        let shared = Arc::new(Shared::new(settings));
        let handler_shared = shared.clone();
        let server = server::serve(inner, move |req| handle(handler_shared.clone(), req)).await?;
        let proxy = FaultProxy::bind(address, server.address).await?;
        shared.set_proxy(proxy.clone());
        Ok(Engine { shared, server: Arc::new(server), proxy })
    }

    /// Address for callers, which is the proxy's.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Address of the server behind the proxy, for measurements without the extra hop.
    pub fn direct(&self) -> SocketAddr {
        self.server.address
    }

    /// Fault-injecting TCP proxy in front of the engine.
    pub fn proxy(&self) -> &FaultProxy {
        &self.proxy
    }

    /// All requests that got a slot, in order of their start.
    pub fn log(&self) -> Vec<RunEntry> {
        self.shared.lock().log.clone()
    }

    /// All orders that reached the engine, in order of arrival.
    pub fn orders(&self) -> Vec<OrderEntry> {
        self.shared.lock().orders.clone()
    }

    /// Current load, without the configured lag.
    pub fn load(&self) -> LoadReport {
        self.shared.lock().load()
    }

    /// Number of requests refused while asking for rest.
    pub fn rejected(&self) -> u64 {
        self.shared.lock().rejected
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Changes the active faults.
    pub fn set(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Simulates a crash: running requests end, the cache is lost, connections are refused.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Stops the engine permanently.
    pub fn stop(&self) {
        self.proxy.refuse();
        self.server.stop();
    }
}

async fn handle(shared: Arc<Shared>, req: HttpRequest) -> Response {
    let mut response = match (req.method.as_str(), req.path.as_str()) {
        ("POST", "/v1/chat/completions") => return chat::complete(shared, req).await,
        ("POST", "/v1/cancel") => control::cancel(&shared, &req),
        ("GET", "/load") => control::load(&shared),
        ("GET", "/cache/events") => control::events(&shared, &req),
        ("GET", "/admin/state") => control::admin_state(&shared),
        ("POST", "/admin/order") => control::order(&shared, &req).await,
        ("POST", "/kv/export") => control::export(&shared, &req),
        ("POST", "/kv/import") => control::import(&shared, &req),
        _ => server::empty(StatusCode::NOT_FOUND),
    };
    server::set_header(&mut response, "x-request-id", req.header("x-request-id"));
    response
}
