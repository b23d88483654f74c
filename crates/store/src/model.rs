//! State of the key-value service as a plain value, without I/O, waiting or a clock.
//!
//! The in-memory service wraps it, and property tests use it directly in virtual time. Invariants:
//! one counter numbers all changes, so a revision is never reused, not even after a key was
//! deleted; an expired lease and its records are removed before any later call is applied.

use {
    crate::{Call, Item, Page, Record, Revision, StoreResponse, port::LeaseId},
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum size of a value in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// Maximum number of records in one page of a range.
pub const MAX_PAGE: usize = 500;

/// Error of a call whose value exceeds [`MAX_VALUE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("value of {size} bytes is above the limit of {MAX_VALUE}")]
pub struct TooLarge {
    /// Size of the value in bytes.
    pub size: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    revision: Revision,
    value: Vec<u8>,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// Records and leases of the service. Keys are ordered because `List` returns them in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Model {
    records: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    revision: Revision,
    last_lease: LeaseId,
}

impl Model {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of changes so far, which is also the greatest assigned revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Ends the leases that have expired by `now` and deletes their records; returns the number of
    /// leases that ended.
    pub fn expire(&mut self, now: Duration) -> usize {
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for &id in &expired {
            self.end_lease(id);
        }
        expired.len()
    }

    /// Applies one call at `now`. A `Watch` returns immediately what is there now.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if the value of a `Swap` exceeds [`MAX_VALUE`].
    pub fn apply(&mut self, call: &Call, now: Duration) -> Result<StoreResponse, TooLarge> {
        self.expire(now);
        Ok(match call {
            Call::Get { key } => StoreResponse::Value(self.read(key)),
            Call::List { prefix } => StoreResponse::Keys(self.list(prefix)),
            Call::Range { prefix, after, .. } => StoreResponse::Page(self.range(prefix, after)),
            Call::Watch { key, after, .. } => {
                StoreResponse::Value(self.read(key).filter(|r| r.revision > *after))
            }
            Call::Swap { key, expect, value, lease } => {
                return self.swap(key, *expect, value.as_deref(), *lease);
            }
            Call::Grant { ttl } => self.grant(*ttl, now),
            Call::Renew { lease } => self.renew(*lease, now),
            Call::Revoke { lease } => self.revoke(*lease),
        })
    }

    /// Whether a watch of `key` with the known revision `after` must return: there is a newer
    /// value, or the known key was deleted.
    pub fn has_change(&self, key: &str, after: Revision) -> bool {
        match self.records.get(key) {
            Some(e) => e.revision > after,
            None => after > 0,
        }
    }

    fn read(&self, key: &str) -> Option<Record> {
        let e = self.records.get(key)?;
        Some(Record { revision: e.revision, value: e.value.clone() })
    }

    fn list(&self, prefix: &str) -> Vec<String> {
        let from = self.records.range(prefix.to_owned()..);
        from.map(|(k, _)| k).take_while(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn range(&self, prefix: &str, after: &str) -> Page {
        let mut page = Page::default();
        let from = self.records.range(prefix.max(after).to_owned()..);
        for (key, entry) in from.take_while(|(k, _)| k.starts_with(prefix)) {
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if page.items.len() == MAX_PAGE {
                page.truncated = true;
                break;
            }
            let record = Record { revision: entry.revision, value: entry.value.clone() };
            page.items.push(Item { key: key.clone(), record });
        }
        page
    }

    fn swap(
        &mut self,
        key: &str,
        expect: Revision,
        value: Option<&[u8]>,
        lease: Option<LeaseId>,
    ) -> Result<StoreResponse, TooLarge> {
        let size = value.map_or(0, <[u8]>::len);
        if size > MAX_VALUE {
            return Err(TooLarge { size });
        }
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return Ok(StoreResponse::LeaseGone);
        }
        let current = self.records.get(key).map_or(0, |e| e.revision);
        if current != expect {
            return Ok(StoreResponse::Conflict(self.read(key)));
        }
        self.revision += 1;
        match value {
            Some(v) => {
                let entry = Entry { revision: self.revision, value: v.to_vec(), lease };
                self.records.insert(key.to_owned(), entry);
            }
            None => {
                self.records.remove(key);
            }
        }
        Ok(StoreResponse::Swapped(self.revision))
    }

    fn grant(&mut self, ttl: Duration, now: Duration) -> StoreResponse {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        StoreResponse::Granted(self.last_lease)
    }

    fn renew(&mut self, id: LeaseId, now: Duration) -> StoreResponse {
        match self.leases.get_mut(&id) {
            Some(l) => {
                l.expires_at = now + l.ttl;
                StoreResponse::Done
            }
            None => StoreResponse::LeaseGone,
        }
    }

    fn revoke(&mut self, id: LeaseId) -> StoreResponse {
        if !self.leases.contains_key(&id) {
            return StoreResponse::LeaseGone;
        }
        self.end_lease(id);
        StoreResponse::Done
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let before = self.records.len();
        self.records.retain(|_, e| e.lease != Some(id));
        self.revision += (before - self.records.len()) as Revision;
    }
}
