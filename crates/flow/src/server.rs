//! Listener for connections of callers.
//!
//! Each accepted connection has its own task, which does the TLS handshake and serves the requests,
//! so a slow caller does not delay the next accept.

use {
    crate::{
        connection,
        proxy_state::ProxyState,
        tls::{HandshakeError, ReloadResult, Tls, WATCH_PERIOD},
    },
    agate_transport::{link, memory_budget::ConnectionAccount},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after an error of the operating system on accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for connections to close once no request is in progress.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Running listener of one instance.
pub struct HttpServer {
    address: SocketAddr,
    listener: Arc<Listener>,
}

struct Listener {
    state: Arc<ProxyState>,
    tls: Option<Arc<Tls>>,
    closing: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Binds `address` (port zero for any free port) and serves requests through `state`, over TLS
    /// if `tls` is present.
    ///
    /// Errors: the operating system's error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        state: Arc<ProxyState>,
        tls: Option<Arc<Tls>>,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (closing, tasks) = (CancellationToken::new(), TaskTracker::new());
        let listener = Arc::new(Listener { state, tls, closing, tasks });
        tokio::spawn(listener.clone().accept(socket));
        tokio::spawn(listener.clone().watch());
        Ok(Self { address, listener })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reloads the certificate if its files changed.
    pub fn reload(&self) {
        self.listener.reload();
    }

    /// Closes the listening socket and idle connections. Requests in progress continue.
    pub fn close(&self) {
        self.listener.closing.cancel();
        self.listener.tasks.close();
    }

    /// Waits for the connections to close, for a limited time.
    pub async fn ended(self) {
        if timeout(CLOSE_LIMIT, self.listener.tasks.wait()).await.is_err() {
            let open = self.listener.tasks.len();
            log::warn!("{open} connections of callers at {} did not close", self.address);
        }
    }
}

impl Listener {
    async fn accept(self: Arc<Self>, socket: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.closing.cancelled() => return,
                accepted = socket.accept() => accepted,
            };
            match accepted {
                Ok((io, peer)) => {
                    // Without an account the connection is closed: callers have as many as they may.
                    let Ok(account) = self.state.callers.open() else { continue };
                    drop(self.tasks.spawn(self.clone().serve(io, peer, account)));
                }
                Err(e) => {
                    log::warn!("accepting a caller's connection: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, io: TcpStream, peer: SocketAddr, account: ConnectionAccount) {
        if let Err(e) = link::configure(&io) {
            return log::debug!("connection of caller {peer}: {e}");
        }
        let (state, closing) = (self.state.clone(), self.closing.clone());
        let Some(tls) = &self.tls else {
            return connection::serve(state, io, peer, account, closing).await;
        };
        let accepted = tokio::select! {
            () = closing.cancelled() => return,
            accepted = tls.accept(io) => accepted,
        };
        match accepted {
            Ok(io) => {
                state.metrics.handshake("done");
                connection::serve(state, io, peer, account, closing).await;
            }
            Err(e) => {
                state.metrics.handshake(if matches!(e, HandshakeError::Slow) {
                    "slow"
                } else {
                    "failed"
                });
                log::debug!("TLS handshake of caller {peer}: {e}");
            }
        }
    }

    async fn watch(self: Arc<Self>) {
        while self.tls.is_some() && !self.closing.is_cancelled() {
            sleep(WATCH_PERIOD).await;
            self.reload();
        }
    }

    fn reload(&self) {
        let Some(tls) = &self.tls else { return };
        match tls.reload() {
            Ok(ReloadResult::Same) => {}
            Ok(ReloadResult::New) => {
                self.state.metrics.certificate("loaded");
                log::info!("a new certificate is in force");
            }
            Err(e) => {
                self.state.metrics.certificate("refused");
                log::error!("the old certificate stays in force: {e}");
            }
        }
    }
}
