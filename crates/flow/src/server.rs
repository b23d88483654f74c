//! The callers' listener.

use {
    crate::{gate::Gate, link, serve::handle},
    http::{Request, Response},
    std::{convert::Infallible, fmt, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
    tokio_util::sync::CancellationToken,
    volo::{
        Service,
        net::{
            Address,
            conn::Conn,
            incoming::{Incoming, MakeIncoming},
        },
    },
    volo_http::{body::Body, context::ServerContext, server::Server},
};

/// Pause after the operating system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Running listener of one instance.
pub struct Front {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Front {
    /// Binds `address` (port zero for any) and serves requests through `gate`.
    ///
    /// After a stop signal the listener goes on until `drain` has ended, because the server library
    /// cuts what still runs half a minute after its hooks.
    ///
    /// Errors: the operating system's when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        gate: Arc<Gate>,
        drain: impl Future<Output = ()> + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let incoming = Accept { listener: Some(listener), stop: stop.clone() };
        let task = tokio::spawn(async move {
            let server =
                Server::new(Handler { gate }).register_shutdown_hook(move || Box::pin(drain));
            if let Err(e) = server.run(Ready(incoming)).await {
                log::error!("listener for callers at {address} failed: {e}");
            }
        });
        Ok(Self { address, stop, task })
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listening socket; open connections go on.
    pub fn close(&self) {
        self.stop.cancel();
    }

    /// Waits until the server ended after a signal and its own shutdown.
    pub async fn ended(self) {
        let _ = self.task.await;
    }
}

struct Handler {
    gate: Arc<Gate>,
}

impl Service<ServerContext, Request<Body>> for Handler {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        request: Request<Body>,
    ) -> Result<Response<Body>, Infallible> {
        Ok(handle(self.gate.clone(), request).await)
    }
}

struct Ready(Accept);

impl MakeIncoming for Ready {
    type Incoming = Accept;

    async fn make_incoming(self) -> io::Result<Accept> {
        Ok(self.0)
    }
}

/// Accepts connections until it is stopped, then never returns one again.
struct Accept {
    listener: Option<TcpListener>,
    stop: CancellationToken,
}

impl fmt::Debug for Accept {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("callers' listener")
    }
}

impl Incoming for Accept {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let Some(listener) = &self.listener else {
                // The server polls again at once on any answer, so a stopped listener stays
                // pending until its task is dropped.
                return std::future::pending().await;
            };
            let accepted = tokio::select! {
                () = self.stop.cancelled() => None,
                accepted = listener.accept() => Some(accepted),
            };
            match accepted {
                None => self.listener = None,
                Some(Ok((io, peer))) => {
                    if let Err(e) = link::configure(&io) {
                        log::debug!("connection of caller {peer}: {e}");
                        continue;
                    }
                    let mut conn = Conn::from(io);
                    conn.info.peer_addr = Some(Address::from(peer));
                    return Ok(Some(conn));
                }
                Some(Err(e)) => {
                    log::warn!("accepting a caller's connection: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
