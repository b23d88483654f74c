//! Framing and authentication of one message.

use {
    crate::{Keys, Reject},
    serde::{Serialize, de::DeserializeOwned},
    std::net::{IpAddr, SocketAddr},
};

/// Version of the protocol; the first byte of each message.
pub const VERSION: u8 = 1;
/// Bytes of the truncated MAC.
pub const TAG_BYTES: usize = 16;
/// Bytes that framing adds to the postcard bytes.
pub const OVERHEAD: usize = 1 + TAG_BYTES;
/// Most bytes of a datagram, so that it is not fragmented.
pub const MAX_DATAGRAM: usize = 1_400;
/// Most bytes of a request over TCP, without its length prefix; small, since it is read before it
/// can be authenticated.
pub const MAX_REQUEST: usize = 1 << 18;
/// Most bytes of a response over TCP, without its length prefix.
pub const MAX_FRAME: usize = 1 << 20;

/// MAC of a message.
pub type Tag = [u8; TAG_BYTES];

/// What a message is bound to besides its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Context {
    /// A datagram to this address.
    Datagram(SocketAddr),
    /// A request over TCP to this address.
    Request(SocketAddr),
    /// The response to the request with this MAC.
    Response(Tag),
}

impl Context {
    /// Most bytes of a message in this context.
    pub fn limit(&self) -> usize {
        match self {
            Context::Datagram(_) => MAX_DATAGRAM,
            Context::Request(_) => MAX_REQUEST,
            Context::Response(_) => MAX_FRAME,
        }
    }

    fn absorb(&self, h: &mut blake3::Hasher) {
        match self {
            Context::Datagram(a) => absorb_address(h, 0, a),
            Context::Request(a) => absorb_address(h, 1, a),
            Context::Response(tag) => {
                h.update(&[2]);
                h.update(tag);
            }
        }
    }
}

fn absorb_address(h: &mut blake3::Hasher, kind: u8, a: &SocketAddr) {
    h.update(&[kind]);
    match a.ip().to_canonical() {
        IpAddr::V4(ip) => h.update(&[4]).update(&ip.octets()),
        IpAddr::V6(ip) => h.update(&[6]).update(&ip.octets()),
    };
    h.update(&a.port().to_be_bytes());
}

/// Why a message could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The message has more bytes than its medium takes.
    #[error("message of {size} bytes is above the limit of {limit}")]
    Large {
        /// Bytes of the message.
        size: usize,
        /// Limit of its medium.
        limit: usize,
    },
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encode,
}

fn mac(key: &[u8; 32], context: &Context, body: &[u8]) -> Tag {
    let mut h = blake3::Hasher::new_keyed(key);
    h.update(&[VERSION]);
    context.absorb(&mut h);
    h.update(body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&h.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares without an early exit, so that timing tells nothing about the right MAC.
fn tags_equal(a: &Tag, b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

/// Encodes and signs a message.
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

/// MAC of a sealed message, `None` if it is too short to have one.
pub fn tag_of(bytes: &[u8]) -> Option<Tag> {
    bytes.get(1..OVERHEAD)?.try_into().ok()
}

/// Checks and decodes a message.
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
