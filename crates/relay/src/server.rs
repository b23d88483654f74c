//! HTTP/1 server that callers connect to.

use {
    crate::{proxy_state::ProxyState, serve},
    agate_transport::{
        caller_stream::{CallerBody, CallerStream, linger},
        link,
        memory_budget::ConnectionAccount,
    },
    http::{
        HeaderValue, Request, Version,
        header::{CONNECTION, TRANSFER_ENCODING},
    },
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::poll_fn,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of header fields in one request.
const MAX_HEADERS: usize = 128;

/// Bytes of a connection's read buffer beyond the largest header section, and least size of that buffer.
const READ_BUFFER: usize = 8 << 10;
/// Time in which a caller that gives way gets its response.
const DROP_LIMIT: Duration = Duration::from_secs(1);

/// Running server of one instance.
pub struct HttpServer {
    address: SocketAddr,
    stop_accepting: CancellationToken,
    shutdown: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Binds `address` (port 0 picks a free port) and serves requests through `state`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, state: Arc<ProxyState>) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (stop_accepting, shutdown) = (CancellationToken::new(), CancellationToken::new());
        let tasks = TaskTracker::new();
        let front = Self { address, stop_accepting, shutdown, tasks };
        let (stop_accepting, shutdown) = (front.stop_accepting.clone(), front.shutdown.clone());
        tokio::spawn(accept(socket, state, stop_accepting, shutdown, front.tasks.clone()));
        Ok(front)
    }

    /// Returns the bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop_accepting(&self) {
        self.stop_accepting.cancel();
    }

    /// Stops accepting connections and closes each open one after its request in progress, if any.
    pub fn close(&self) {
        self.stop_accepting.cancel();
        self.shutdown.cancel();
        self.tasks.close();
    }

    /// Waits at most `limit` until all connections are closed; returns how many are still open.
    pub async fn wait_closed(&self, limit: Duration) -> usize {
        match timeout(limit, self.tasks.wait()).await {
            Ok(()) => 0,
            Err(_) => self.tasks.len(),
        }
    }
}

async fn accept(
    socket: TcpListener,
    state: Arc<ProxyState>,
    stop_accepting: CancellationToken,
    shutdown: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = stop_accepting.cancelled() => return,
            accepted = socket.accept() => accepted,
        };
        match accepted {
            Ok((io, peer)) => {
                // Without an account the connection is closed: callers have as many as they may.
                let Ok(account) = state.settings.callers.open() else { continue };
                let (state, shutdown) = (state.clone(), shutdown.clone());
                drop(tasks.spawn(serve_connection(state, io, peer, account, shutdown)));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", cause:% = e; "accepting a caller's connection failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    state: Arc<ProxyState>,
    io: TcpStream,
    peer: SocketAddr,
    account: ConnectionAccount,
    shutdown: CancellationToken,
) {
    if let Err(e) = link::configure(&io) {
        return log::debug!("connection of caller {peer}: {e}");
    }
    let limits = state.view.table.load().as_ref().map(|t| t.limits).unwrap_or_default();
    let buffer = limits.headers + READ_BUFFER;
    // The buffer, the piece in transit and the task of the connection.
    let mut fixed = account.draw();
    if fixed.grow(buffer + READ_BUFFER).await.is_err() {
        return;
    }
    let shared = (*account).clone();
    let old_version = Arc::<AtomicBool>::default();
    let is_old = old_version.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, account) = (state.clone(), shared.clone());
        is_old.store(request.version() < Version::HTTP_11, Relaxed);
        Box::pin(async move {
            // hyper lets chunked encoding override a Content-Length without reporting it, so the
            // bytes that follow on the connection may belong to this body (request smuggling).
            let chunked = request.headers().contains_key(TRANSFER_ENCODING);
            account.on_request();
            let mut response = serve::handle(state, request, &account).await;
            account.on_received();
            if chunked {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| CallerBody::new(body, account)))
        })
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper applies the same timeout to idle keep-alive connections.
        .header_read_timeout(limits.idle)
        .max_header_size(limits.headers)
        .max_buf_size(buffer)
        .max_headers(MAX_HEADERS);
    let io = CallerStream::new(io, (*account).clone());
    let mut conn = builder.serve_connection(TokioIo::new(io), service);
    let result = tokio::select! {
        result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => result,
        () = account.dropped() => {
            // The reader of a body responds to its caller; others have nothing to be told.
            if !account.is_receiving() {
                return;
            }
            let last = timeout(DROP_LIMIT, poll_fn(|cx| conn.poll_without_shutdown(cx))).await;
            let Ok(result) = last else { return };
            result
        }
        () = shutdown.cancelled() => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };
    let Err(e) = result else {
        let mut io = conn.into_parts().io.into_inner().into_inner();
        drop(fixed);
        if let Err(e) = io.shutdown().await {
            log::trace!("connection of caller {peer}: {e}");
        }
        tokio::select! {
            () = linger(io) => {}
            () = shutdown.cancelled() => {}
        }
        return;
    };
    log::debug!("connection of caller {peer}: {e}");
    // Responses to earlier versions of HTTP have no chunks, so only a reset shows that one was broken off.
    if old_version.load(Relaxed)
        && e.is_user()
        && let Err(e) = conn.into_parts().io.into_inner().into_inner().set_zero_linger()
    {
        log::debug!("resetting the connection of caller {peer}: {e}");
    }
}
