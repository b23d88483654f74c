//! The operators' address: health, readiness, metrics, status and decisions.

use {
    crate::figures::Figures,
    agate_flow::gate::Gate,
    eyre::{Result, WrapErr},
    http::{Response, StatusCode, header::CONTENT_TYPE},
    serde::Serialize,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::{net::TcpListener, task::JoinHandle},
    volo::{Service, net::incoming::DefaultIncoming},
    volo_http::{body::Body, context::ServerContext, request::Request, server::Server},
};

/// Path of decisions, before the request or organisation that is asked for.
const EXPLAIN: &str = "/explain/";
/// Most decisions in one answer.
const EXPLAINED: usize = 100;

/// Running operators' listener.
pub struct Operator {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// What the pages of the listener show.
pub struct View {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Shared state of the instance.
    pub gate: Arc<Gate>,
    /// Metrics that are filled at each scrape.
    pub(crate) figures: Figures,
    /// Whether the instance wants new requests.
    pub ready: AtomicBool,
}

/// State of an instance as `/status` shows it.
#[derive(Serialize)]
struct Status<'a> {
    name: &'a str,
    zone: &'a str,
    ready: bool,
    generation: u64,
    open: usize,
}

impl Operator {
    /// Binds `address` (port zero for any) and serves `view` until `ended`.
    ///
    /// The server library takes every signal, SIGHUP too, for one to stop; it first waits for its
    /// hook, so the listener goes on until the instance itself has ended.
    pub async fn bind(
        address: SocketAddr,
        view: Arc<View>,
        ended: impl Future<Output = ()> + Send + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("binding the operator address {address}"))?;
        let address = listener.local_addr().wrap_err("reading the operator address")?;
        let task = tokio::spawn(async move {
            let server =
                Server::new(Pages { view }).register_shutdown_hook(move || Box::pin(ended));
            if let Err(e) = server.run(DefaultIncoming::from(listener)).await {
                log::error!("operator listener at {address} failed: {e}");
            }
        });
        Ok(Self { address, task })
    }

    /// Address that operators connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Pages {
    view: Arc<View>,
}

impl Service<ServerContext, Request<Body>> for Pages {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        request: Request<Body>,
    ) -> Result<Response<Body>, Infallible> {
        Ok(self.page(request.uri().path()))
    }
}

impl Pages {
    fn page(&self, path: &str) -> Response<Body> {
        let ready = self.view.ready.load(Ordering::Relaxed);
        match path {
            "/healthz" => reply(StatusCode::OK, "text/plain", "ok\n".into()),
            "/readyz" if ready => reply(StatusCode::OK, "text/plain", "ready\n".into()),
            "/readyz" => reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".into()),
            "/metrics" => {
                let meter = &self.view.gate.meter;
                self.view.figures.refresh();
                meter.open.set(self.view.gate.flight.open() as i64);
                reply(StatusCode::OK, "text/plain; version=0.0.4", meter.text())
            }
            "/status" => reply(StatusCode::OK, "application/json", self.status(ready)),
            path if path.starts_with(EXPLAIN) => {
                let found = self.view.gate.ring.find(&path[EXPLAIN.len()..], EXPLAINED);
                let text = serde_json::to_string(&found).expect("decisions serialise");
                reply(StatusCode::OK, "application/json", text)
            }
            _ => reply(StatusCode::NOT_FOUND, "text/plain", "no such page\n".into()),
        }
    }

    fn status(&self, ready: bool) -> String {
        let View { name, zone, gate, .. } = &*self.view;
        let generation = gate.current.load().generation;
        let status = Status { name, zone, ready, generation, open: gate.flight.open() };
        serde_json::to_string(&status).expect("a status serialises")
    }
}

fn reply(status: StatusCode, kind: &'static str, text: String) -> Response<Body> {
    let mut out = Response::new(Body::from(text));
    *out.status_mut() = status;
    out.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static(kind));
    out
}
