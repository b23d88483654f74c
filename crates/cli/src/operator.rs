//! Listener for operators: health, readiness, metrics, status and decisions.

use {
    crate::scrape::ScrapeMetrics,
    agate_flow::proxy_state::ProxyState,
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

/// Path prefix of decisions; a request identifier or an organisation follows.
const EXPLAIN_PATH: &str = "/explain/";
/// Maximum number of decisions in one response.
const MAX_DECISIONS: usize = 100;

/// The running listener for operators; aborted on drop.
pub struct Operator {
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Data that the listener's pages show.
pub struct InstanceView {
    /// Name of the instance, as shown by `/status`.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// State of the instance's request path.
    pub proxy_state: Arc<ProxyState>,
    /// Metrics that are updated at each scrape.
    pub(crate) metrics: ScrapeMetrics,
    /// Whether the instance accepts new requests, as reported by `/readyz`.
    pub ready: AtomicBool,
}

/// Content of `/status`.
#[derive(Serialize)]
struct Status<'a> {
    name: &'a str,
    zone: &'a str,
    ready: bool,
    generation: u64,
    open: usize,
}

impl Operator {
    /// Binds `address` (port zero picks a free one) and serves `view` until `ended` completes.
    ///
    /// The server library treats every signal, even SIGHUP, as a request to stop, but first waits
    /// for its shutdown hook. The hook waits for `ended`, so the listener runs until the instance
    /// has ended.
    ///
    /// Errors: the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        view: Arc<InstanceView>,
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

    /// The bound address.
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
    view: Arc<InstanceView>,
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
            "/healthz" => build_response(StatusCode::OK, "text/plain", "ok\n".into()),
            "/readyz" if ready => build_response(StatusCode::OK, "text/plain", "ready\n".into()),
            "/readyz" => {
                build_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".into())
            }
            "/metrics" => {
                let metrics = &self.view.proxy_state.metrics;
                self.view.metrics.refresh();
                metrics.open.set(self.view.proxy_state.flight.open() as i64);
                build_response(StatusCode::OK, "text/plain; version=0.0.4", metrics.text())
            }
            "/status" => build_response(StatusCode::OK, "application/json", self.status(ready)),
            path if path.starts_with(EXPLAIN_PATH) => {
                let found = self
                    .view
                    .proxy_state
                    .decisions
                    .find(&path[EXPLAIN_PATH.len()..], MAX_DECISIONS);
                let text = serde_json::to_string(&found).expect("decisions serialise");
                build_response(StatusCode::OK, "application/json", text)
            }
            _ => build_response(StatusCode::NOT_FOUND, "text/plain", "no such page\n".into()),
        }
    }

    fn status(&self, ready: bool) -> String {
        let InstanceView { name, zone, proxy_state, .. } = &*self.view;
        let generation = proxy_state.current.load().generation;
        let status = Status { name, zone, ready, generation, open: proxy_state.flight.open() };
        serde_json::to_string(&status).expect("a status serialises")
    }
}

fn build_response(status: StatusCode, content_type: &'static str, text: String) -> Response<Body> {
    let mut out = Response::new(Body::from(text));
    *out.status_mut() = status;
    out.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    out
}
