//! One request sent to one endpoint over one link.
//!
//! [`send`] consumes the permission to send and gives back what is left of it after a failure. An answer's body must be read to its end before its link returns to the pool.

use {
    crate::{
        link::{Link, Pool, open},
        truth::{Declared, Grant},
    },
    bytes::Bytes,
    http::{HeaderName, Request, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// What a failed step was, for logs and errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Opening the connection.
    Connect,
    /// Writing the request.
    Write,
    /// Waiting for the head of the answer.
    Head,
    /// Reading the body of the answer.
    Body,
    /// Checking that the answer belongs to the request.
    Match,
}

impl Step {
    /// Stable name in metrics.
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

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at endpoint {peer}: {cause}")]
pub struct Failure {
    /// Step that failed.
    pub step: Step,
    /// Address of the endpoint.
    pub peer: SocketAddr,
    /// Detail for the log.
    pub cause: String,
    /// Permission to send the request again, if there still is one.
    pub grant: Option<Grant>,
    /// Whether the endpoint itself declared that it ran nothing.
    pub declared: bool,
    /// Whether the link stayed silent until a time limit.
    pub silent: bool,
    /// Whether nothing listens at the endpoint's address.
    pub refused: bool,
    /// Head of the answer, if one came.
    pub head: Option<Box<Parts>>,
}

impl Failure {
    /// Whether nothing of the request left for the endpoint.
    pub fn unsent(&self) -> bool {
        matches!(self.step, Step::Connect | Step::Write)
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Box<Failure>>;

/// Answer of an endpoint whose body is still to be read.
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// Address of the endpoint.
    pub peer: SocketAddr,
    body: Incoming,
    link: Link,
    pool: Arc<Pool>,
}

/// How long an exchange may take, and on what connection.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest wait for the head of the answer.
    pub fresh: Duration,
    /// Longest wait for it on a connection that was idle before, which may have gone silent.
    pub reused: Duration,
    /// Longest idle time of a connection that may be used.
    pub rest: Duration,
}

/// How an interface marks its answers.
#[derive(Clone, Debug)]
pub struct Signs {
    /// Header in which an endpoint echoes the identifier of the request.
    pub id: HeaderName,
    /// Whether an answer states that the endpoint ran nothing.
    pub unrun: fn(&Parts) -> bool,
}

/// Sends `request` and waits for the head of the answer.
///
/// The answer must echo `id` if it carries a request identifier at all.
pub async fn send(
    pool: &Arc<Pool>,
    request: Request<Full<Bytes>>,
    id: &str,
    signs: &Signs,
    grant: Grant,
    patience: Patience,
) -> Result<Answer> {
    let peer = pool.address();
    let (mut link, limit) = match pool.take(patience.rest) {
        Some(link) => (link, patience.reused),
        None => match open(peer).await {
            Ok(link) => (link, patience.fresh),
            Err(e) => {
                let refused = e.kind() == io::ErrorKind::ConnectionRefused;
                let mut failure = fail(Step::Connect, peer, e, grant.after(0));
                failure.refused = refused;
                return Err(failure);
            }
        },
    };
    let before = link.count.load(Ordering::Acquire);
    link.head.begin();
    let sent = timeout(limit, link.sender.try_send_request(request)).await;
    let written = link.count.load(Ordering::Acquire) - before;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(mut e)) => {
            // A request that hyper still holds was not written by it later, and an unchanged byte
            // count shows that it was not written before: both are needed.
            let held = e.take_message().is_some();
            let step = if held && written == 0 { Step::Write } else { Step::Head };
            return Err(fail(step, peer, e.error(), grant.after(if held { written } else { 1 })));
        }
        Err(_) => {
            let mut failure = fail(Step::Head, peer, io::ErrorKind::TimedOut, grant.after(1));
            failure.silent = true;
            return Err(failure);
        }
    };
    link.head.end();
    let (head, body) = answer.into_parts();
    if head.headers.get(&signs.id).is_some_and(|v| v.as_bytes() != id.as_bytes()) {
        return Err(fail(Step::Match, peer, "answer to another request", grant.after(1)));
    }
    if let Some(said) = Declared::read(&head, signs) {
        let grant = Some(grant.declared(said));
        let mut failure = fail(Step::Head, peer, "endpoint declared that it ran nothing", grant);
        failure.declared = true;
        failure.head = Some(Box::new(head));
        return Err(failure);
    }
    Ok(Answer { head, peer, body, link, pool: pool.clone() })
}

impl Answer {
    /// Reads the next piece of the body, `None` at its proper end.
    ///
    /// Errors: the body was cut, or nothing arrived for `limit`; none may arrive if that is zero.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>> {
        loop {
            // A future that is ready is never timed out, so bytes that always are would go on.
            let timed = match limit.is_zero() {
                true => Err(()),
                false => timeout(limit, self.body.frame()).await.map_err(|_| ()),
            };
            let frame = match timed {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(fail(Step::Body, self.peer, e, None)),
                Err(()) => {
                    let mut failure = fail(Step::Body, self.peer, io::ErrorKind::TimedOut, None);
                    failure.silent = true;
                    return Err(failure);
                }
            };
            // Trailers are dropped: no route of this system gives them a meaning.
            if let Ok(data) = frame.into_data()
                && !data.is_empty()
            {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body, at most `most` bytes and within `limit`, and returns the link to the pool.
    pub async fn collect(mut self, most: usize, limit: Duration) -> Result<(Parts, Bytes)> {
        let mut all = Vec::new();
        let end = Instant::now() + limit;
        while let Some(piece) = self.next(end.saturating_duration_since(Instant::now())).await? {
            if all.len() + piece.len() > most {
                return Err(fail(Step::Body, self.peer, "answer too large", None));
            }
            all.extend_from_slice(&piece);
        }
        let head = self.release();
        Ok((head, Bytes::from(all)))
    }

    /// Returns the link to the pool after the body was read to its end.
    pub fn release(self) -> Parts {
        let keep = !self
            .head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        if keep {
            let (pool, mut link) = (self.pool, self.link);
            link.heed(&self.head.headers);
            // The link is idle only when hyper has finished the exchange on it.
            tokio::spawn(async move {
                if link.sender.ready().await.is_ok() {
                    pool.put(link);
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
