//! The listener that tells the balancer whether this instance takes new connections, and shows the
//! metrics.

use {
    crate::gate::Gate,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Paths that the listener answers.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Path of the metrics.
    pub metrics: &'static str,
}

/// Running listener; it ends when this is dropped.
#[derive(Debug)]
pub struct Monitor {
    task: JoinHandle<()>,
    address: SocketAddr,
}

impl Monitor {
    /// Binds `address` (port zero for any).
    ///
    /// Errors: the operating system's when the address cannot be bound.
    pub async fn bind(address: SocketAddr, paths: Paths, gate: Arc<Gate>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, paths, gate));
        Ok(Self { task, address })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, paths: Paths, gate: Arc<Gate>) {
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                log::warn!(event = "accept_failed", cause:% = e; "accepting a connection of the balancer");
                continue;
            }
        };
        let gate = gate.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = answer(&gate, paths, request.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        tokio::spawn(async move {
            if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(io), service).await
            {
                log::trace!("connection of the balancer: {e}");
            }
        });
    }
}

fn answer(gate: &Gate, paths: Paths, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = if path == paths.ready {
        let ready = gate.ready();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, String::new())
    } else if path == paths.metrics {
        (StatusCode::OK, gate.meter.text())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
