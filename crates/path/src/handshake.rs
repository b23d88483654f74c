//! Messages with which a relayed connection begins.
//!
//! The relay sends a random challenge. The other instance answers with a sealed request that holds
//! the challenge, so that nobody can use a recorded one, and the relay with a sealed reply. If that
//! says that the connection is open, all further bytes belong to it: those of the endpoint in frames
//! ([`crate::frames`]), unless the request is one of an earlier build. A request or reply is preceded by
//! its length in two bytes.

use {
    agate_wire::{Context, Keys, OVERHEAD, Reject, SealError, Tag, open, seal, tag_of},
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr},
    tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
};

/// Longest request or reply, in bytes.
const MAX_LENGTH: usize = OVERHEAD + 512;

/// Random bytes that a request has to hold.
pub type Challenge = [u8; 16];

/// How a relay sends the bytes of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// As they are, as earlier builds do. The end of the connection shows nothing about the endpoint.
    Plain,
    /// In frames, with a mark at the end.
    Framed,
}

/// Request for a connection, as earlier builds send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlainRequest {
    challenge: Challenge,
    /// Name of the endpoint.
    endpoint: String,
}

/// Request for a connection; earlier builds reject it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Request {
    plain: PlainRequest,
    transfer: Transfer,
}

/// Reply of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The connection is open.
    Opened,
    /// Nothing listens at the endpoint's address.
    Refused,
    /// The relay cannot open a connection to the endpoint.
    Unreachable,
    /// The relay knows no such endpoint that takes requests.
    Unknown,
    /// The relay forwards too many connections.
    Busy,
}

/// Reason why a handshake failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("connection between instances: {0}")]
    Io(#[from] io::Error),
    /// A message was rejected.
    #[error("message between instances rejected: {0}")]
    Rejected(Reject),
    /// A message could not be sealed.
    #[error("message between instances not sent: {0}")]
    Unsealed(#[from] SealError),
    /// The request does not hold the challenge.
    #[error("request for a connection does not hold the challenge")]
    Challenge,
}

/// Result of a step of the handshake.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads the challenge of the relay at `relay` and requests a connection to `endpoint`, whose bytes come
/// as `transfer` says; returns the reply.
///
/// # Errors
///
/// The connection fails or the reply is not from an instance.
pub async fn request(
    io: &mut (impl AsyncRead + AsyncWrite + Unpin),
    keys: &Keys,
    relay: SocketAddr,
    endpoint: &str,
    transfer: Transfer,
) -> Result<Reply> {
    let mut challenge = Challenge::default();
    io.read_exact(&mut challenge).await?;
    let plain = PlainRequest { challenge, endpoint: endpoint.to_owned() };
    let context = Context::Request(relay);
    let sealed = match transfer {
        Transfer::Plain => seal(keys, &plain, context)?,
        Transfer::Framed => seal(keys, &Request { plain, transfer }, context)?,
    };
    let tag = tag_of(&sealed).ok_or(Error::Rejected(Reject::Short))?;
    write(io, &sealed).await?;
    let sealed = read(io).await?;
    open(keys, &sealed, Context::Response(tag)).map_err(Error::Rejected)
}

/// A request that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Name of the endpoint.
    pub endpoint: String,
    /// How its bytes are sent.
    pub transfer: Transfer,
    /// What the reply has to refer to.
    pub tag: Tag,
}

/// Sends a challenge as the relay at `own` and reads the request.
///
/// # Errors
///
/// The connection fails or the request is not from an instance.
pub async fn accept(
    io: &mut (impl AsyncRead + AsyncWrite + Unpin),
    keys: &Keys,
    own: SocketAddr,
) -> Result<Accepted> {
    let challenge: Challenge = rand::random();
    io.write_all(&challenge).await?;
    let sealed = read(io).await?;
    let context = Context::Request(own);
    let Request { plain, transfer } = match open(keys, &sealed, context) {
        Err(Reject::Malformed) => {
            let plain = open(keys, &sealed, context).map_err(Error::Rejected)?;
            Request { plain, transfer: Transfer::Plain }
        }
        opened => opened.map_err(Error::Rejected)?,
    };
    if plain.challenge != challenge {
        return Err(Error::Challenge);
    }
    let tag = tag_of(&sealed).ok_or(Error::Rejected(Reject::Short))?;
    Ok(Accepted { endpoint: plain.endpoint, transfer, tag })
}

/// Sends the reply to the request with `tag`.
///
/// # Errors
///
/// The connection fails.
pub async fn reply(
    io: &mut (impl AsyncWrite + Unpin),
    keys: &Keys,
    tag: Tag,
    reply: Reply,
) -> Result<()> {
    write(io, &seal(keys, &reply, Context::Response(tag))?).await
}

async fn write(io: &mut (impl AsyncWrite + Unpin), sealed: &[u8]) -> Result<()> {
    let length = u16::try_from(sealed.len()).map_err(|_| Error::Rejected(Reject::Large))?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(sealed);
    io.write_all(&frame).await?;
    Ok(())
}

async fn read(io: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>> {
    let length = usize::from(io.read_u16().await?);
    if length > MAX_LENGTH {
        return Err(Error::Rejected(Reject::Large));
    }
    let mut sealed = vec![0; length];
    io.read_exact(&mut sealed).await?;
    Ok(sealed)
}
