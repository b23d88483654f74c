//! Typed interface to the key-value service.
//!
//! Callers rely on these invariants of the service: the revision of a key increases with each
//! change and is never reused, also if the service comes back from an older copy (see
//! [`era`](crate::era)); a compare-and-swap is atomic for one key; a record attached to a
//! lease is deleted when the lease ends. A call that fails with [`Error::Ambiguous`] may or may not
//! have taken effect.

use {
    crate::era::{Era, NewestEra},
    futures_util::future::BoxFuture,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc, time::Duration},
};

/// Revision of one key; in a compare-and-swap zero means that the key is absent.
pub type Revision = u64;
/// Identifier of a lease in the service.
pub type LeaseId = u64;

/// Value of a key with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision at which the value was written.
    pub revision: Revision,
    /// Value, at most 1 MiB.
    pub value: Vec<u8>,
}

/// Record of a range, with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key of the record.
    pub key: String,
    /// Value and revision.
    pub record: Record,
}

/// Page of a range, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Records of the page.
    pub items: Vec<Item>,
    /// Whether more records follow after the last one.
    pub truncated: bool,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Freshness {
    /// The read sees every change that was acknowledged before it was sent.
    Linearizable,
    /// The result may be seconds old; the service charges less for it.
    Stale,
}

/// Purpose of a call, which determines its priority and its label in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Acquisition and renewal of leases.
    Lease,
    /// Reads and changes of the configuration.
    Config,
    /// Idempotency claims of calls that must run at most once.
    Claim,
    /// Records of controllers.
    Record,
    /// Records and sealing of usage windows.
    Report,
    /// Reads of the endpoints and the instances.
    Roster,
}

impl Purpose {
    /// Every purpose, in declaration order.
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

/// Call to the service.
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
        /// Consistency of the read.
        freshness: Freshness,
    },
    /// Writes `value` if the key's revision is `expect` (zero: if the key is absent).
    Swap {
        /// Key to write.
        key: String,
        /// Expected revision of the key.
        expect: Revision,
        /// New value; `None` deletes the key.
        value: Option<Vec<u8>>,
        /// Lease that the record is attached to.
        lease: Option<LeaseId>,
    },
    /// Waits until the key's revision is above `after`, or until `wait` has passed.
    Watch {
        /// Key to watch.
        key: String,
        /// Known revision.
        after: Revision,
        /// Maximum wait.
        wait: Duration,
    },
    /// Creates a lease.
    Grant {
        /// Time after which the lease expires unless renewed.
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
    /// Whether the call changes the state of the service.
    pub fn is_write(&self) -> bool {
        !matches!(
            self,
            Call::Get { .. } | Call::List { .. } | Call::Range { .. } | Call::Watch { .. }
        )
    }
}

/// Response of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// Result of `Get` and `Watch`; `None` if the key is absent, or for `Watch` if nothing changed.
    Value(Option<Record>),
    /// Result of `List`, in key order.
    Keys(Vec<String>),
    /// Result of `Range`.
    Page(Page),
    /// A `Swap` took effect at this revision.
    Swapped(Revision),
    /// A `Swap` found another revision; holds the current record.
    Conflict(Option<Record>),
    /// A lease was granted.
    Granted(LeaseId),
    /// A lease was renewed or revoked.
    Done,
    /// The lease of a `Renew`, `Revoke` or `Swap` does not exist any more.
    LeaseGone,
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service was not reached, or refused the call without effect.
    #[error("{step} at the store {peer}: not executed: {cause}")]
    Unavailable {
        /// Name of the call.
        step: &'static str,
        /// Address of the service, or `local` if this client failed the call itself.
        peer: String,
        /// Reason for the log.
        cause: String,
    },
    /// The call may or may not have taken effect.
    #[error("{step} at the store {peer}: outcome unknown: {cause}")]
    Ambiguous {
        /// Name of the call.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// Reason for the log.
        cause: String,
    },
    /// The service, or this client's own call budget, limits the rate of calls.
    #[error("{step} at the store {peer}: rate limited")]
    Limited {
        /// Name of the call.
        step: &'static str,
        /// Address of the service, or `local` for this client's own budget.
        peer: String,
    },
    /// The response of the service was not understood.
    #[error("{step} at the store {peer}: unexpected response: {cause}")]
    Malformed {
        /// Name of the call.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// Reason for the log.
        cause: String,
    },
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

type CallFn = dyn Fn(Purpose, Call) -> BoxFuture<'static, Result<StoreResponse>> + Send + Sync;

/// Handle of the key-value service.
#[derive(Clone)]
pub struct Store {
    call: Arc<CallFn>,
    newest_era: Arc<NewestEra>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

impl Store {
    /// Creates a handle whose calls are executed by `call`.
    pub fn new(
        call: impl Fn(Purpose, Call) -> BoxFuture<'static, Result<StoreResponse>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self { call: Arc::new(call), newest_era: Arc::default() }
    }

    /// Returns the handle with the eras of the service that its calls see.
    pub(crate) fn with_eras(self, newest_era: Arc<NewestEra>) -> Self {
        Self { newest_era, ..self }
    }

    /// Returns a handle whose calls are executed by `call`, which passes them on to this one.
    pub fn wrap(
        &self,
        call: impl Fn(Purpose, Call) -> BoxFuture<'static, Result<StoreResponse>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        Self::new(call).with_eras(self.newest_era.clone())
    }

    /// Newest era of the service that a response stated.
    pub fn era(&self) -> Era {
        self.newest_era.get()
    }

    /// Executes one call.
    pub async fn call(&self, purpose: Purpose, call: Call) -> Result<StoreResponse> {
        (self.call)(purpose, call).await
    }

    /// Reads `key` with a linearizable read; `None` if it is absent.
    pub async fn get(&self, purpose: Purpose, key: impl Into<String>) -> Result<Option<Record>> {
        match self.call(purpose, Call::Get { key: key.into() }).await? {
            StoreResponse::Value(v) => Ok(v),
            other => Err(unexpected_response("get", other)),
        }
    }

    /// Reads `key` with a stale read, which may be seconds old and costs a fraction of
    /// [`Store::get`].
    pub async fn get_stale(&self, purpose: Purpose, key: &str) -> Result<Option<Record>> {
        let items = self.range(purpose, key, Freshness::Stale).await?;
        Ok(items.into_iter().find(|i| i.key == key).map(|i| i.record))
    }

    /// Writes `key` if its revision is `expect`. On conflict returns the current record as the
    /// inner `Err`.
    pub async fn swap(
        &self,
        purpose: Purpose,
        key: impl Into<String>,
        expect: Revision,
        value: Vec<u8>,
    ) -> Result<std::result::Result<Revision, Option<Record>>> {
        let call = Call::Swap { key: key.into(), expect, value: Some(value), lease: None };
        match self.call(purpose, call).await? {
            StoreResponse::Swapped(r) => Ok(Ok(r)),
            StoreResponse::Conflict(r) => Ok(Err(r)),
            other => Err(unexpected_response("swap", other)),
        }
    }

    /// Reads all records under `prefix`, page by page. The pages together are not a consistent
    /// snapshot.
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
                StoreResponse::Page(page) => page,
                other => return Err(unexpected_response("range", other)),
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
            StoreResponse::Value(v) => Ok(v),
            other => Err(unexpected_response("watch", other)),
        }
    }
}

fn unexpected_response(step: &'static str, response: StoreResponse) -> Error {
    Error::Malformed {
        step,
        peer: "store".into(),
        cause: format!("unexpected response {response:?}"),
    }
}

/// Percent-encodes a key for a query, except letters, digits and `/-._`.
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
