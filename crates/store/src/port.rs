//! The typed interface towards the key-value service.
//!
//! Invariants of the service that callers rely on: a revision grows with each change of a key and
//! is never reused; compare-and-swap is atomic for one key; a record attached to a lease
//! disappears when the lease ends. A call may fail with [`Error::Ambiguous`], after which it may or
//! may not have taken effect.

use {
    futures_util::future::BoxFuture,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Revision of one key; zero stands for "absent" in a compare-and-swap.
pub type Revision = u64;
/// Identifier of a lease in the service.
pub type LeaseId = u64;

/// Value of a key with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision at which the value was written.
    pub revision: Revision,
    /// The value, at most one megabyte.
    pub value: Vec<u8>,
}

/// One record of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the record.
    pub key: String,
    /// Its value and revision.
    pub record: Record,
}

/// One page of a range, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records of the page.
    pub items: Vec<Item>,
    /// Whether more records follow behind the last one.
    pub truncated: bool,
}

/// How fresh the answer to a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Freshness {
    /// The read sees every change acknowledged before it was sent.
    Linearizable,
    /// The answer may be seconds old; the service charges less for it.
    Stale,
}

/// What a call is for; decides its priority and its label in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Acquiring and renewing authority.
    Lease,
    /// Reading and changing the configuration.
    Config,
    /// Claims of non-idempotent calls.
    Claim,
    /// Records of controllers.
    Record,
    /// Sealing of usage windows.
    Report,
    /// Reading which endpoints and instances there are.
    Roster,
}

impl Purpose {
    /// Every purpose, highest priority first.
    pub const ALL: [Purpose; 6] = [
        Purpose::Lease,
        Purpose::Config,
        Purpose::Claim,
        Purpose::Record,
        Purpose::Report,
        Purpose::Roster,
    ];

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Purpose::Lease => "lease",
            Purpose::Config => "config",
            Purpose::Claim => "claim",
            Purpose::Record => "record",
            Purpose::Report => "report",
            Purpose::Roster => "roster",
        }
    }
}

/// One call to the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Reads one key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Lists the keys under a prefix, without values.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Reads one page of the records under a prefix, with values.
    Range {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the page begins; empty for the first page.
        after: String,
        /// How fresh the answer has to be.
        freshness: Freshness,
    },
    /// Writes `value` if the key's revision is `expect` (zero: if the key is absent).
    Swap {
        /// Key to write.
        key: String,
        /// Revision that the key must have.
        expect: Revision,
        /// New value; `None` deletes the key.
        value: Option<Vec<u8>>,
        /// Lease that the record shall end with.
        lease: Option<LeaseId>,
    },
    /// Waits until the key's revision is above `after`, or until `wait` has passed.
    Watch {
        /// Key to watch.
        key: String,
        /// Revision already known.
        after: Revision,
        /// Longest wait.
        wait: Duration,
    },
    /// Creates a lease.
    Grant {
        /// Time after which the lease lapses unless renewed.
        ttl: Duration,
    },
    /// Renews a lease for its whole time to live.
    Renew {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Ends a lease and deletes the records attached to it.
    Revoke {
        /// Lease to end.
        lease: LeaseId,
    },
}

impl Call {
    /// Whether the call changes the service's state.
    pub fn is_write(&self) -> bool {
        !matches!(
            self,
            Call::Get { .. } | Call::List { .. } | Call::Range { .. } | Call::Watch { .. }
        )
    }
}

/// Answer of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Result of `Get` and `Watch`; `None` if the key is absent (for `Watch`: or nothing changed).
    Value(Option<Record>),
    /// Result of `List`, in key order.
    Keys(Vec<String>),
    /// Result of `Range`.
    Page(Page),
    /// A `Swap` took effect at this revision.
    Swapped(Revision),
    /// A `Swap` found another revision; the record now present is returned.
    Conflict(Option<Record>),
    /// A lease was granted.
    Granted(LeaseId),
    /// A lease was renewed or revoked.
    Done,
    /// The lease of a `Renew`, `Revoke` or `Swap` no longer exists.
    LeaseGone,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service was not reached, or refused the call before any effect.
    #[error("{step} at the store {peer}: not carried out: {cause}")]
    Unavailable {
        /// What was attempted.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// Detail for the log.
        cause: String,
    },
    /// The call may or may not have taken effect.
    #[error("{step} at the store {peer}: outcome unknown: {cause}")]
    Ambiguous {
        /// What was attempted.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// Detail for the log.
        cause: String,
    },
    /// The service, or this client's own call budget, limits the rate of calls.
    #[error("{step} at the store {peer}: rate limited")]
    Limited {
        /// What was attempted.
        step: &'static str,
        /// Address of the service, or `local` for this client's own budget.
        peer: String,
    },
    /// The service's answer was not understood.
    #[error("{step} at the store {peer}: unexpected answer: {cause}")]
    Malformed {
        /// What was attempted.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// Detail for the log.
        cause: String,
    },
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

type CallFn = dyn Fn(Purpose, Call) -> BoxFuture<'static, Result<Reply>> + Send + Sync;

/// Handle of the key-value service.
#[derive(Clone)]
pub struct Store {
    call: Arc<CallFn>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

impl Store {
    /// Makes a handle whose calls are carried out by `call`.
    pub fn new(
        call: impl Fn(Purpose, Call) -> BoxFuture<'static, Result<Reply>> + Send + Sync + 'static,
    ) -> Self {
        Self { call: Arc::new(call) }
    }

    /// Carries out one call.
    pub async fn call(&self, purpose: Purpose, call: Call) -> Result<Reply> {
        (self.call)(purpose, call).await
    }

    /// Reads `key`; `None` if it is absent.
    pub async fn get(&self, purpose: Purpose, key: impl Into<String>) -> Result<Option<Record>> {
        match self.call(purpose, Call::Get { key: key.into() }).await? {
            Reply::Value(v) => Ok(v),
            other => Err(unexpected("get", other)),
        }
    }

    /// Reads `key` as it was up to seconds ago, at a fraction of the price of [`Store::get`].
    pub async fn peek(&self, purpose: Purpose, key: &str) -> Result<Option<Record>> {
        let items = self.range(purpose, key, Freshness::Stale).await?;
        Ok(items.into_iter().find(|i| i.key == key).map(|i| i.record))
    }

    /// Writes `key` if its revision is `expect`; on conflict returns the present record as `Err`.
    pub async fn swap(
        &self,
        purpose: Purpose,
        key: impl Into<String>,
        expect: Revision,
        value: Vec<u8>,
    ) -> Result<std::result::Result<Revision, Option<Record>>> {
        let call = Call::Swap { key: key.into(), expect, value: Some(value), lease: None };
        match self.call(purpose, call).await? {
            Reply::Swapped(r) => Ok(Ok(r)),
            Reply::Conflict(r) => Ok(Err(r)),
            other => Err(unexpected("swap", other)),
        }
    }

    /// Reads all records under `prefix`, page by page; the pages are no snapshot.
    pub async fn range(
        &self,
        purpose: Purpose,
        prefix: &str,
        freshness: Freshness,
    ) -> Result<Vec<Item>> {
        let mut out: Vec<Item> = Vec::new();
        loop {
            let after = out.last().map_or_else(String::new, |i| i.key.clone());
            let call = Call::Range { prefix: prefix.to_owned(), after, freshness };
            let page = match self.call(purpose, call).await? {
                Reply::Page(page) => page,
                other => return Err(unexpected("range", other)),
            };
            let more = page.truncated && !page.items.is_empty();
            out.extend(page.items);
            if !more {
                return Ok(out);
            }
        }
    }

    /// Waits for a revision of `key` above `after`; `None` if nothing changed within `wait`.
    pub async fn watch(
        &self,
        purpose: Purpose,
        key: impl Into<String>,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Record>> {
        match self.call(purpose, Call::Watch { key: key.into(), after, wait }).await? {
            Reply::Value(v) => Ok(v),
            other => Err(unexpected("watch", other)),
        }
    }
}

fn unexpected(step: &'static str, reply: Reply) -> Error {
    Error::Malformed { step, peer: "store".into(), cause: format!("unexpected reply {reply:?}") }
}

/// Escapes a key for use in a query; keys are letters, digits and `/-._` apart from rare others.
pub fn escape_key(key: &str) -> String {
    key.bytes().fold(String::with_capacity(key.len()), |mut out, b| {
        match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'.' | b'_' => {
                out.push(b as char);
            }
            _ => out.push_str(&format!("%{b:02X}")),
        }
        out
    })
}
