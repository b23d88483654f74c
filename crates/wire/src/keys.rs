//! Keys derived from the shared secrets in the settings.
//!
//! Two secrets may be accepted at once, so that they can be rotated without downtime: first every
//! instance accepts the new secret as the second one, then signs with it, and then the old one is
//! removed.

use std::fmt;

/// Least length of a secret, in bytes.
pub const MIN_SECRET: usize = 16;

/// Most secrets accepted at once.
const MAX_SECRETS: usize = 2;

/// Context string of the key derivation, for domain separation.
const DERIVATION_CONTEXT: &str = "agatetrack message authentication v1";

/// Reason for which a list of secrets cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The list is empty or has more than two secrets. Contains their number.
    #[error("{0} secrets given, one or two are needed")]
    Count(usize),
    /// A secret is shorter than [`MIN_SECRET`]. Contains its length in bytes.
    #[error("a secret has {0} bytes, at least {MIN_SECRET} are needed")]
    Short(usize),
}

/// Keys that authenticate messages. The first one signs, and all are accepted.
#[derive(Clone)]
pub struct Keys {
    accepted: Vec<[u8; 32]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.accepted.len())
    }
}

impl Keys {
    /// Derives the keys from one or two secrets; the first one signs.
    ///
    /// Errors: the number of secrets or the length of one is out of range.
    pub fn new(secrets: &[impl AsRef<[u8]>]) -> Result<Self, SecretError> {
        if secrets.is_empty() || secrets.len() > MAX_SECRETS {
            return Err(SecretError::Count(secrets.len()));
        }
        let mut accepted = Vec::with_capacity(secrets.len());
        for s in secrets {
            let s = s.as_ref();
            if s.len() < MIN_SECRET {
                return Err(SecretError::Short(s.len()));
            }
            accepted.push(blake3::derive_key(DERIVATION_CONTEXT, s));
        }
        Ok(Self { accepted })
    }

    /// Returns the key that signs.
    pub(crate) fn signing(&self) -> &[u8; 32] {
        &self.accepted[0]
    }

    /// Returns every accepted key, the signing one first.
    pub(crate) fn accepted(&self) -> impl Iterator<Item = &[u8; 32]> {
        self.accepted.iter()
    }
}
