//! Properties by which requests that crash endpoints are recognised: the whole request, and each part
//! of its prompt that other requests may share.

/// Hash that identifies a property; equal on every instance and for every request that has it.
pub type Fingerprint = u64;

/// Key derivation context, so that a fingerprint differs from any other hash of the same bytes.
const CONTEXT: &str = "agatetrack prints of requests";
/// Bit that is set in the fingerprints of prompt parts and of no others.
const PART_BIT: u64 = 1 << 63;
/// Bits of a fingerprint that are zero, so that messages can carry a part's depth there.
const DEPTH_BITS: u64 = 0x7f << DEPTH_SHIFT;
const DEPTH_SHIFT: u32 = 56;
/// Maximum number of prompt parts considered per request. Of more, the last ones are: earlier ones
/// are shared by more requests, whose responses clear them of suspicion.
pub const MAX_PARTS: usize = 64;

/// Part of a request's work that a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The request itself.
    Run,
    /// Only the prefill of its prompt.
    Prefill,
}

impl Work {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Run => b"run",
            Self::Prefill => b"read",
        }
    }
}

/// One property of a request's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Property {
    /// Its fingerprint.
    pub print: Fingerprint,
    /// Position of a part in the prompt, from zero. The deeper a part, the fewer requests share it.
    pub depth: u8,
}

impl Property {
    /// The whole request: its path, its body and the caller's organisation, empty if there is none.
    /// Equal for every retry by the caller.
    pub fn request(work: Work, org: &str, path: &str, body: &[u8]) -> Self {
        let print = hash([work.label(), org.as_bytes(), path.as_bytes(), body]);
        Self { print: print & !PART_BIT, depth: 0 }
    }

    /// The parts with these identifiers of a prompt to the endpoints of `service`, in order. Callers
    /// and routes are left out, since they may share a part.
    pub fn parts(
        work: Work,
        service: &str,
        parts: impl ExactSizeIterator<Item = u64>,
    ) -> impl Iterator<Item = Self> {
        let skipped = parts.len().saturating_sub(MAX_PARTS);
        parts.skip(skipped).zip(0..).map(move |(part, depth)| {
            let print = hash([b"part", work.label(), service.as_bytes(), &part.to_le_bytes()]);
            Self { print: print | PART_BIT, depth }
        })
    }

    /// The property as one number, for messages.
    pub fn pack(self) -> u64 {
        self.print | u64::from(self.depth.min(0x7f)) << DEPTH_SHIFT
    }

    /// The property that [`Property::pack`] encoded.
    pub fn unpack(packed: u64) -> Self {
        let depth = (packed & DEPTH_BITS) >> DEPTH_SHIFT;
        Self { print: packed & !DEPTH_BITS, depth: depth as u8 }
    }
}

/// Whether the fingerprint is that of a prompt part, which any number of requests may share.
pub fn is_part(print: Fingerprint) -> bool {
    print & PART_BIT != 0
}

/// What the fingerprint identifies, for log lines and metrics.
pub fn kind(print: Fingerprint) -> &'static str {
    if is_part(print) { "part" } else { "request" }
}

/// Formats a fingerprint in hexadecimal, for log lines.
pub fn hex(print: Fingerprint) -> String {
    format!("{print:016x}")
}

/// Reads a fingerprint that [`hex`] formatted; `None` if `text` is none.
pub fn parse_hex(text: &str) -> Option<Fingerprint> {
    u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16)
}

fn hash(parts: [&[u8]; 4]) -> u64 {
    let hash = hash_parts(blake3::Hasher::new_derive_key(CONTEXT), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes")) & !DEPTH_BITS
}

/// Hashes the parts, each prefixed with its length, so that different lists never hash equal bytes.
pub fn hash_parts<const N: usize>(mut hash: blake3::Hasher, parts: [&[u8]; N]) -> [u8; 32] {
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    *hash.finalize().as_bytes()
}
