//! The callers' listener.

use {
    crate::{gate::Gate, serve},
    agate_link::link,
    http::{
        HeaderValue, Request,
        header::{CONNECTION, TRANSFER_ENCODING},
    },
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after the operating system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most header fields of one request.
const FIELDS: usize = 128;

/// Running listener of one instance.
pub struct Front {
    address: SocketAddr,
    refusing: CancellationToken,
    closing: CancellationToken,
    tasks: TaskTracker,
}

impl Front {
    /// Binds `address` (port zero for any) and serves requests through `gate`.
    ///
    /// Errors: the operating system's when the address cannot be bound.
    pub async fn bind(address: SocketAddr, gate: Arc<Gate>) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (refusing, closing) = (CancellationToken::new(), CancellationToken::new());
        let tasks = TaskTracker::new();
        let front = Self { address, refusing, closing, tasks };
        let (refusing, closing) = (front.refusing.clone(), front.closing.clone());
        tokio::spawn(accept(socket, gate, refusing, closing, front.tasks.clone()));
        Ok(front)
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no further connections; open ones go on.
    pub fn refuse(&self) {
        self.refusing.cancel();
    }

    /// Closes connections once the request in progress on them, if any, was answered.
    pub fn close(&self) {
        self.refusing.cancel();
        self.closing.cancel();
        self.tasks.close();
    }

    /// Waits until all connections are closed, for at most `limit`; returns how many are left.
    pub async fn ended(&self, limit: Duration) -> usize {
        match timeout(limit, self.tasks.wait()).await {
            Ok(()) => 0,
            Err(_) => self.tasks.len(),
        }
    }
}

async fn accept(
    socket: TcpListener,
    gate: Arc<Gate>,
    refusing: CancellationToken,
    closing: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = refusing.cancelled() => return,
            accepted = socket.accept() => accepted,
        };
        match accepted {
            Ok((io, peer)) => {
                let (gate, closing) = (gate.clone(), closing.clone());
                drop(tasks.spawn(serve_connection(gate, io, peer, closing)));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", cause:% = e; "accepting a caller's connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    gate: Arc<Gate>,
    io: TcpStream,
    peer: SocketAddr,
    closing: CancellationToken,
) {
    if let Err(e) = link::configure(&io) {
        return log::debug!("connection of caller {peer}: {e}");
    }
    let limits = gate.belief.table.load().as_ref().map(|t| t.limits).unwrap_or_default();
    let service = service_fn(move |request: Request<Incoming>| {
        let gate = gate.clone();
        async move {
            // The server library lets the chunked encoding override a stated length without showing
            // it, so what follows on the connection may have been meant as part of this body.
            let chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let mut response = serve::handle(gate, request).await;
            if chunked {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts an idle connection's time by the same limit.
        .header_read_timeout(limits.idle)
        .max_header_size(limits.headers)
        .max_headers(FIELDS);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(io), service));
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = closing.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        log::debug!("connection of caller {peer}: {e}");
    }
}
