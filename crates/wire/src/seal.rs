//! Framing and authentication of one message.

use {
    crate::{Keys, Reject},
    serde::{Serialize, de::DeserializeOwned},
    std::net::{IpAddr, SocketAddr},
};

/// Protocol version; the first byte of each message.
pub const VERSION: u8 = 1;
/// Length of the truncated MAC, in bytes.
pub const TAG_BYTES: usize = 16;
/// Length of the framing, in bytes.
pub const OVERHEAD: usize = 1 + TAG_BYTES;
/// Largest datagram, in bytes; it fits into one packet and is not fragmented.
pub const MAX_DATAGRAM: usize = 1_400;
/// Largest request over TCP, in bytes, without its length prefix. It is small, since a request is
/// read before it can be authenticated.
pub const MAX_REQUEST: usize = 1 << 18;
/// Largest response over TCP, in bytes, without its length prefix.
pub const MAX_RESPONSE: usize = 1 << 20;

/// MAC of a message.
pub type Tag = [u8; TAG_BYTES];

/// Destination or request to which the MAC binds a message, in addition to its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Context {
    /// Datagram to this address.
    Datagram(SocketAddr),
    /// Request over TCP to this address.
    Request(SocketAddr),
    /// Response to the request with this MAC.
    Response(Tag),
}

impl Context {
    /// Largest message in this context, in bytes.
    pub fn limit(&self) -> usize {
        match self {
            Context::Datagram(_) => MAX_DATAGRAM,
            Context::Request(_) => MAX_REQUEST,
            Context::Response(_) => MAX_RESPONSE,
        }
    }

    fn hash_into(&self, h: &mut blake3::Hasher) {
        match self {
            Context::Datagram(a) => hash_address(h, 0, a),
            Context::Request(a) => hash_address(h, 1, a),
            Context::Response(tag) => {
                h.update(&[2]);
                h.update(tag);
            }
        }
    }
}

fn hash_address(h: &mut blake3::Hasher, kind: u8, a: &SocketAddr) {
    h.update(&[kind]);
    match a.ip().to_canonical() {
        IpAddr::V4(ip) => h.update(&[4]).update(&ip.octets()),
        IpAddr::V6(ip) => h.update(&[6]).update(&ip.octets()),
    };
    h.update(&a.port().to_be_bytes());
}

/// Reason for which a message could not be sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The message is larger than the limit of its context.
    #[error("message of {size} bytes is above the limit of {limit}")]
    Large {
        /// Length of the message, in bytes.
        size: usize,
        /// Limit of the context, in bytes.
        limit: usize,
    },
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encode,
}

fn mac(key: &[u8; 32], context: &Context, body: &[u8]) -> Tag {
    let mut h = blake3::Hasher::new_keyed(key);
    h.update(&[VERSION]);
    context.hash_into(&mut h);
    h.update(body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&h.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares in constant time, so that the timing does not reveal the correct MAC.
fn tags_equal(a: &Tag, b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Encodes and signs a message.
///
/// Errors: the message cannot be encoded or exceeds the limit of `context`.
pub fn seal(keys: &Keys, message: &impl Serialize, context: Context) -> Result<Vec<u8>, SealError> {
    let mut out = vec![0; OVERHEAD];
    out[0] = VERSION;
    out = postcard::to_extend(message, out).map_err(|_| SealError::Encode)?;
    if out.len() > context.limit() {
        return Err(SealError::Large { size: out.len(), limit: context.limit() });
    }
    let tag = mac(keys.signing(), &context, &out[OVERHEAD..]);
    out[1..OVERHEAD].copy_from_slice(&tag);
    Ok(out)
}

/// Returns the MAC of a sealed message; `None` if it is too short to have one.
pub fn tag_of(bytes: &[u8]) -> Option<Tag> {
    bytes.get(1..OVERHEAD)?.try_into().ok()
}

/// Verifies and decodes a message.
///
/// Errors: the [`Reject`] of the first failed check, in the order length, version, MAC, decoding.
pub fn open<T: DeserializeOwned>(keys: &Keys, bytes: &[u8], context: Context) -> Result<T, Reject> {
    if bytes.len() > context.limit() {
        return Err(Reject::Large);
    }
    if bytes.len() < OVERHEAD {
        return Err(Reject::Short);
    }
    if bytes[0] != VERSION {
        return Err(Reject::Version);
    }
    let (tag, body) = (&bytes[1..OVERHEAD], &bytes[OVERHEAD..]);
    if !keys.accepted().any(|k| tags_equal(&mac(k, &context, body), tag)) {
        return Err(Reject::Mac);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| Reject::Malformed)?;
    if !rest.is_empty() {
        return Err(Reject::Malformed);
    }
    Ok(message)
}
