//! Messages with which a relayed connection begins.
//!
//! The relay sends a random challenge. The other instance answers with a sealed request that holds
//! the challenge, so that nobody can use a recorded one, and the relay with a sealed reply. If that
//! says that the connection is open, all further bytes belong to it. A request or reply is preceded
//! by its length in two bytes.

use {
    agate_wire::{Context, Keys, OVERHEAD, Reject, SealError, Tag, open, seal, tag_of},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr},
    tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
};

/// Longest request or reply, in bytes.
const MAX_LENGTH: usize = OVERHEAD + 512;

/// Random bytes that a request has to hold.
pub type Challenge = [u8; 16];

/// Request for a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Request {
    challenge: Challenge,
    /// Name of the endpoint.
    endpoint: String,
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

/// Reads the challenge of the relay at `relay` and requests a connection to `endpoint`; returns the
/// reply.
///
/// # Errors
///
/// The connection fails or the reply is not from an instance.
pub async fn request(
    io: &mut (impl AsyncRead + AsyncWrite + Unpin),
    keys: &Keys,
    relay: SocketAddr,
    endpoint: &str,
) -> Result<Reply> {
    let mut challenge = Challenge::default();
    io.read_exact(&mut challenge).await?;
    let request = Request { challenge, endpoint: endpoint.to_owned() };
    let sealed = seal(keys, &request, Context::Request(relay))?;
    let tag = tag_of(&sealed).ok_or(Error::Rejected(Reject::Short))?;
    write(io, &sealed).await?;
    let (reply, _) = read(io, keys, Context::Response(tag)).await?;
    Ok(reply)
}

/// Sends a challenge as the relay at `own` and reads the request; returns the name of the endpoint
/// and what the reply has to refer to.
///
/// # Errors
///
/// The connection fails or the request is not from an instance.
pub async fn accept(
    io: &mut (impl AsyncRead + AsyncWrite + Unpin),
    keys: &Keys,
    own: SocketAddr,
) -> Result<(String, Tag)> {
    let challenge: Challenge = rand::random();
    io.write_all(&challenge).await?;
    let (request, tag) = read::<Request>(io, keys, Context::Request(own)).await?;
    if request.challenge != challenge {
        return Err(Error::Challenge);
    }
    Ok((request.endpoint, tag))
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

async fn read<T: DeserializeOwned>(
    io: &mut (impl AsyncRead + Unpin),
    keys: &Keys,
    context: Context,
) -> Result<(T, Tag)> {
    let length = usize::from(io.read_u16().await?);
    if length > MAX_LENGTH {
        return Err(Error::Rejected(Reject::Large));
    }
    let mut sealed = vec![0; length];
    io.read_exact(&mut sealed).await?;
    let message = open(keys, &sealed, context).map_err(Error::Rejected)?;
    let tag = tag_of(&sealed).ok_or(Error::Rejected(Reject::Short))?;
    Ok((message, tag))
}
