//! Sends one request to one endpoint over one connection.
//!
//! [`send`] consumes the permission to send and returns what remains of it after a failure. The
//! body of a response must be read to its end before its connection returns to the pool.

use {
    crate::{
        buffer_budget::{BufferAccount, Exhausted},
        intake,
        link::{Connection, Pool, Way},
        proof::{Declared, Grant},
    },
    bytes::Bytes,
    http::{HeaderName, Request, Version, header::TRANSFER_ENCODING, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::{Body, Incoming},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Step of an exchange, for logs and errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Writing the request.
    Write,
    /// Waiting for the response head.
    Head,
    /// Reading the response body.
    Body,
    /// Checking that the response belongs to the request.
    Match,
}

impl Step {
    /// Stable name for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Step::Connect => "connect",
            Step::Write => "write",
            Step::Head => "head",
            Step::Body => "body",
            Step::Match => "match",
        }
    }
}

/// Error of an exchange.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at endpoint {peer}: {cause}")]
pub struct Failure {
    /// Step that failed.
    pub step: Step,
    /// Address of the endpoint.
    pub peer: SocketAddr,
    /// Description for logs.
    pub cause: String,
    /// Permission to send the request again, if it remains.
    pub grant: Option<Grant>,
    /// Whether the endpoint stated that it ran nothing.
    pub declared: bool,
    /// Whether the connection timed out without a response, an error or a close.
    pub silent: bool,
    /// Whether the connection was refused because nothing listens at the endpoint's address.
    pub refused: bool,
    /// Head of the response, if one was received.
    pub head: Option<Box<Parts>>,
}

impl Failure {
    /// Whether no part of the request was written.
    pub fn unsent(&self) -> bool {
        matches!(self.step, Step::Connect | Step::Write)
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Box<Failure>>;

/// Response of an endpoint whose body has not been read yet.
pub struct EndpointResponse {
    /// Status and headers.
    pub head: Parts,
    /// Address of the endpoint.
    pub peer: SocketAddr,
    body: Incoming,
    /// Whether a length or the last chunk marks the end of the body.
    marked: bool,
    connection: Connection,
    pool: Arc<Pool>,
    abandon: bool,
}

/// Whether the body comes in chunks. Otherwise a transfer coding makes it end with its connection, whatever
/// length is given (RFC 9112, section 6.3).
fn chunked(head: &Parts) -> bool {
    let codings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|v| v.to_str().ok()?.rsplit(',').next());
    head.version >= Version::HTTP_11
        && last.is_some_and(|c| c.trim().eq_ignore_ascii_case("chunked"))
}

/// What the end of a response's body shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The body is complete: its end is marked, by a length or by chunks.
    Marked,
    /// The endpoint closed the connection, which also happens if its process ends amid the body.
    Closed,
    /// Nothing: the connection leads through an instance that does not tell who ended it.
    Unknown,
}

/// Time limits of an exchange, and the idle time of its connection.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Longest wait for the response head on a new connection.
    pub fresh: Duration,
    /// Longest wait for the response head on a reused connection, which may have been lost silently
    /// while idle.
    pub reused: Duration,
    /// Longest idle time of a connection that may be reused.
    pub max_idle: Duration,
    /// Whether to give up, as after a timeout, once the path to the endpoint is found broken.
    pub abandon: bool,
}

/// Markers in the responses of an endpoint interface.
#[derive(Clone, Debug)]
pub struct ResponseMarkers {
    /// Header in which an endpoint echoes the request identifier.
    pub id: HeaderName,
    /// Returns whether a response states that the endpoint ran nothing.
    pub not_run: fn(&Parts) -> bool,
}

/// Sends `request` and waits for the head of the response.
///
/// If the response has a request identifier, it must be `id`.
///
/// Errors: [`Failure`] with the step that failed, also if the endpoint states that it ran nothing.
pub async fn send(
    pool: &Arc<Pool>,
    request: Request<Full<Bytes>>,
    id: &str,
    markers: &ResponseMarkers,
    grant: Grant,
    time_limits: TimeLimits,
) -> Result<EndpointResponse> {
    let peer = pool.address();
    let (mut connection, limit) = match pool.take(time_limits.max_idle) {
        Some(connection) => (connection, time_limits.reused),
        None => match pool.open().await {
            Ok(connection) => (connection, time_limits.fresh),
            Err(e) => {
                let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                let mut failure = fail(Step::Connect, peer, e, grant.after(0));
                failure.refused = refused;
                return Err(failure);
            }
        },
    };
    let before = connection.written.load(Ordering::Acquire);
    connection.head.begin();
    let opened = connection.opened_at;
    let sent = tokio::select! {
        sent = timeout(limit, connection.sender.try_send_request(request)) => sent.ok(),
        () = pool.wait_cut(opened), if time_limits.abandon => None,
    };
    let written = connection.written.load(Ordering::Acquire) - before;
    let response = match sent {
        Some(Ok(response)) => response,
        Some(Err(mut e)) => {
            // Two conditions prove that nothing was written: hyper returns the request, so it will
            // not write it later, and the byte count is unchanged, so it has not written any of it
            // before.
            let held = e.take_message().is_some();
            let step = if held && written == 0 { Step::Write } else { Step::Head };
            return Err(fail(step, peer, e.error(), grant.after(if held { written } else { 1 })));
        }
        None => {
            let mut failure = fail(Step::Head, peer, io::ErrorKind::TimedOut, grant.after(1));
            failure.silent = true;
            return Err(failure);
        }
    };
    connection.head.end();
    pool.touch();
    let (head, body) = response.into_parts();
    if head.headers.get(&markers.id).is_some_and(|v| v.as_bytes() != id.as_bytes()) {
        return Err(fail(Step::Match, peer, "response to another request", grant.after(1)));
    }
    if let Some(declared) = Declared::read(&head, markers) {
        let grant = Some(grant.declared(declared));
        let mut failure = fail(Step::Head, peer, "endpoint declared that it ran nothing", grant);
        failure.declared = true;
        failure.head = Some(Box::new(head));
        return Err(failure);
    }
    let (pool, abandon) = (pool.clone(), time_limits.abandon);
    let marked = body.size_hint().exact().is_some() || chunked(&head);
    Ok(EndpointResponse { head, peer, body, marked, connection, pool, abandon })
}

impl EndpointResponse {
    /// Accounts for bytes of the body until they are written to the caller.
    ///
    /// # Errors
    ///
    /// If the budget does not allow them.
    pub fn hold(&self, bytes: Bytes) -> std::result::Result<Bytes, Exhausted> {
        let mut account = self.account();
        account.set(bytes.len())?;
        Ok(account.hold(bytes))
    }

    /// Accounts for what the caller of [`Self::next`] holds of the body.
    pub fn account(&self) -> BufferAccount {
        self.connection.budget.account()
    }

    /// What the end of the body shows.
    pub fn ending(&self) -> Ending {
        match self.connection.way {
            _ if self.marked => Ending::Marked,
            Way::Direct | Way::Relayed => Ending::Closed,
            Way::Spliced => Ending::Unknown,
        }
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// Errors: the body was cut off, or nothing arrived within `limit`. A limit of zero fails at
    /// once.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>> {
        loop {
            // `timeout` returns a ready future even after its limit, so an endpoint whose bytes are
            // always available would be read without end. A limit of zero is therefore checked
            // first.
            let timed = match limit.is_zero() {
                true => Err(()),
                false => tokio::select! {
                    frame = timeout(limit, self.body.frame()) => frame.map_err(|_| ()),
                    () = self.pool.wait_cut(self.connection.opened_at), if self.abandon => Err(()),
                },
            };

            let frame = match timed {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    self.pool.touch();
                    frame
                }
                Ok(Some(Err(e))) => return Err(fail(Step::Body, self.peer, e, None)),
                Err(()) => {
                    let mut failure = fail(Step::Body, self.peer, io::ErrorKind::TimedOut, None);
                    failure.silent = true;
                    return Err(failure);
                }
            };
            // Trailers are dropped, since no route of this system uses them.
            if let Ok(data) = frame.into_data()
                && !data.is_empty()
            {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the complete body, at most `max` bytes and within `limit`, and returns the connection
    /// to the pool.
    ///
    /// Errors: those of [`EndpointResponse::next`], or the body is larger than `max`.
    pub async fn collect(mut self, max: usize, limit: Duration) -> Result<(Parts, Bytes)> {
        let mut all = Vec::new();
        let mut account = self.account();
        let end = Instant::now() + limit;
        let announced = self.body.size_hint().exact();
        let most = announced.map_or(max, |n| usize::try_from(n).unwrap_or(max).min(max));
        while let Some(piece) = self.next(end.saturating_duration_since(Instant::now())).await? {
            if all.len() + piece.len() > max {
                return Err(fail(Step::Body, self.peer, "response too large", None));
            }
            let needed = all.len() + piece.len();
            if needed > all.capacity() {
                let size = intake::grown(all.capacity(), needed, most);
                account.set(size).map_err(|e| fail(Step::Body, self.peer, e, None))?;
                all.reserve_exact(size - all.len());
            }
            all.extend_from_slice(&piece);
        }
        let head = self.release();
        Ok((head, account.hold(Bytes::from(all))))
    }

    /// Like [`EndpointResponse::collect`], for endpoints that mark the ends of their responses.
    ///
    /// Errors: those of [`EndpointResponse::collect`], or the response would end with its connection, which
    /// does not show that it is complete.
    pub async fn collect_marked(self, max: usize, limit: Duration) -> Result<(Parts, Bytes)> {
        match self.ending() {
            Ending::Marked => self.collect(max, limit).await,
            Ending::Closed | Ending::Unknown => Err(fail(
                Step::Body,
                self.peer,
                "the response has neither a length nor chunks",
                None,
            )),
        }
    }

    /// Returns the connection to the pool after the body was read to its end, unless the response
    /// closes it. Returns the response head.
    pub fn release(self) -> Parts {
        let keep = !self
            .head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        if keep {
            let (pool, mut connection) = (self.pool, self.connection);
            connection.apply_keep_alive(&self.head.headers);
            // The connection is idle only once hyper has finished the exchange on it.
            tokio::spawn(async move {
                if connection.sender.ready().await.is_ok() {
                    pool.put(connection);
                }
            });
        }
        self.head
    }
}

fn fail(
    step: Step,
    peer: SocketAddr,
    cause: impl std::fmt::Display,
    grant: Option<Grant>,
) -> Box<Failure> {
    Box::new(Failure {
        step,
        peer,
        cause: cause.to_string(),
        grant,
        declared: false,
        silent: false,
        refused: false,
        head: None,
    })
}
