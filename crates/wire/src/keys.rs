//! Keys derived from the shared secrets in the settings.
//!
//! Two secrets may be accepted at once so that they can be rotated without a stop: first every
//! instance accepts the new secret second, then signs with it, then the old one is removed.

use std::fmt;

/// Least length of a secret, in bytes.
pub const MIN_SECRET: usize = 16;

/// Most secrets accepted at once.
const MAX_SECRETS: usize = 2;

/// Domain separation of the key derivation.
const DERIVATION: &str = "agatetrack message authentication v1";

/// Why a list of secrets cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The list is empty or longer than two.
    #[error("{0} secrets given, one or two are needed")]
    Count(usize),
    /// A secret is shorter than [`MIN_SECRET`].
    #[error("a secret has {0} bytes, at least {MIN_SECRET} are needed")]
    Short(usize),
}

/// Keys that authenticate messages; the first signs, all are accepted.
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
    /// Derives the keys of one or two secrets; the first one signs.
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
            accepted.push(blake3::derive_key(DERIVATION, s));
        }
        Ok(Self { accepted })
    }

    /// Key that signs.
    pub(crate) fn signing(&self) -> &[u8; 32] {
        &self.accepted[0]
    }

    /// Every accepted key, the signing one first.
    pub(crate) fn accepted(&self) -> impl Iterator<Item = &[u8; 32]> {
        self.accepted.iter()
    }
}
