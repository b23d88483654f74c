//! Stand-in of a model engine.
//!
//! The engine batches continuously in a simple form: a fixed number of slots, one token per slot
//! and gap, a prefill time for the uncached part of the prompt, and a queue before the slots that
//! takes greater priorities first. The text is a function of prompt and token index alone, so a
//! stream that was resumed on another engine can be compared with an unbroken one.
//!
//! `slots` queues requests, `state` holds everything as plain data behind one lock, `chat` runs
//! requests, `control` serves the other calls, and [`text`] is the deterministic model.

mod chat;
mod control;
mod slots;
mod state;
pub mod text;

pub use state::{EngineFaults, LoadReport, OrderEntry, OrderKind, RunEntry, RunState};

use {
    crate::{
        server::{self, Call},
        tap::Tap,
    },
    http::StatusCode,
    state::Shared,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    volo_http::response::Response,
};

/// What an engine is at its start.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the endpoint.
    pub name: String,
    /// Models loaded at start, with their versions.
    pub models: Vec<(String, String)>,
    /// Role at start: `both`, `prefill` or `decode`.
    pub role: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Time between two tokens of one stream.
    pub gap: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether orders with an old fencing token are refused.
    pub fenced: bool,
    /// Time that one order takes.
    pub order_time: Duration,
    /// Time after a crash until the engine accepts connections again; `None`: until restarted.
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

/// Handle of a running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Arc<server::Handle>,
    tap: Tap,
}

impl Engine {
    /// Starts an engine on `address`, port 0 for an ephemeral one.
    pub async fn bind(address: SocketAddr, settings: EngineSettings) -> crate::Result<Engine> {
        let inner = SocketAddr::new(address.ip(), 0);
        let shared = Arc::new(Shared::new(settings));
        let for_calls = shared.clone();
        let server = server::serve(inner, move |call| answer(for_calls.clone(), call)).await?;
        let tap = Tap::bind(address, server.address).await?;
        shared.attach(tap.clone());
        Ok(Engine { shared, server: Arc::new(server), tap })
    }

    /// Address that callers use.
    pub fn address(&self) -> SocketAddr {
        self.tap.address()
    }

    /// Address that bypasses the tap, for measurements without the extra hop.
    pub fn direct(&self) -> SocketAddr {
        self.server.address
    }

    /// The byte forwarder before the engine.
    pub fn tap(&self) -> &Tap {
        &self.tap
    }

    /// Every request that started, in order of starting.
    pub fn log(&self) -> Vec<RunEntry> {
        self.shared.lock().log.clone()
    }

    /// Every order that reached the engine, in order of arrival.
    pub fn orders(&self) -> Vec<OrderEntry> {
        self.shared.lock().orders.clone()
    }

    /// The load at this moment, without lag.
    pub fn load(&self) -> LoadReport {
        self.shared.lock().load()
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Changes the faults in force.
    pub fn set(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Crashes the engine: running requests end, the cache is lost, connections are refused.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.shared.restart();
    }

    /// Stops the engine for good.
    pub fn stop(&self) {
        self.tap.refuse();
        self.server.stop();
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Response {
    let mut reply = match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/v1/chat/completions") => return chat::complete(shared, call).await,
        ("POST", "/v1/cancel") => control::cancel(&shared, &call),
        ("GET", "/load") => control::load(&shared),
        ("GET", "/cache/events") => control::events(&shared, &call),
        ("GET", "/admin/state") => control::describe(&shared),
        ("POST", "/admin/order") => control::order(&shared, &call).await,
        ("POST", "/kv/export") => control::export(&shared, &call),
        ("POST", "/kv/import") => control::import(&shared, &call),
        _ => server::empty(StatusCode::NOT_FOUND),
    };
    server::set(&mut reply, "x-request-id", call.header("x-request-id"));
    reply
}
