//! HTTP listener for the load balancer's readiness check and for metrics.

use {
    crate::proxy_state::ProxyState,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Paths that the listener serves; all others get 404.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Readiness check: 200 if the instance takes new connections, else 503.
    pub ready: &'static str,
    /// Metrics in the Prometheus text format.
    pub metrics: &'static str,
}

/// Running listener; dropping it stops it.
#[derive(Debug)]
pub struct Monitor {
    task: JoinHandle<()>,
    address: SocketAddr,
}

impl Monitor {
    /// Binds `address` (port 0 picks a free port) and serves `paths`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        paths: Paths,
        state: Arc<ProxyState>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, paths, state));
        Ok(Self { task, address })
    }

    /// Returns the bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, paths: Paths, state: Arc<ProxyState>) {
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                log::warn!(event = "accept_failed", cause:% = e; "accepting a connection of the load balancer failed");
                continue;
            }
        };
        let state = state.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let respond = build_response(&state, paths, request.uri().path());
            async move { Ok::<_, Infallible>(respond) }
        });
        tokio::spawn(async move {
            if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(io), service).await
            {
                log::trace!("connection of the load balancer: {e}");
            }
        });
    }
}

fn build_response(state: &ProxyState, paths: Paths, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = if path == paths.ready {
        let ready = state.ready();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, String::new())
    } else if path == paths.metrics {
        (StatusCode::OK, state.metrics.encode())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
