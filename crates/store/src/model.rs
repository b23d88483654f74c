//! State of the key-value service as a plain value, without I/O, waiting or a clock.
//!
//! The in-memory service wraps it, and property tests drive it directly under virtual time.
//! Invariants: one counter numbers all changes, so a revision is never reused, not even after a
//! key was deleted; an expired lease and its records are gone before any later call is applied.

use {
    crate::{Call, Item, Page, Record, Reply, Revision, port::LeaseId},
    std::{collections::BTreeMap, time::Duration},
};

/// Largest value that the service holds, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// Most records in one page of a range.
pub const MAX_PAGE: usize = 500;

/// A call that the service refuses because its value is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("value of {size} bytes is above the limit of {MAX_VALUE}")]
pub struct TooLarge {
    /// Size of the refused value, in bytes.
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
    until: Duration,
}

/// Records and leases of the service. Keys are ordered because `List` answers in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Model {
    records: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    revision: Revision,
    granted: LeaseId,
}

impl Model {
    /// Returns an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of changes so far; also the greatest revision given out.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Ends the leases that lapsed by `now` and deletes their records; returns how many ended.
    pub fn expire(&mut self, now: Duration) -> usize {
        let lapsed: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for &id in &lapsed {
            self.end_lease(id);
        }
        lapsed.len()
    }

    /// Applies one call at `now`. A `Watch` is answered as a read of what is there now.
    pub fn apply(&mut self, call: &Call, now: Duration) -> Result<Reply, TooLarge> {
        self.expire(now);
        Ok(match call {
            Call::Get { key } => Reply::Value(self.read(key)),
            Call::List { prefix } => Reply::Keys(self.list(prefix)),
            Call::Range { prefix, after, .. } => Reply::Page(self.range(prefix, after)),
            Call::Watch { key, after, .. } => {
                Reply::Value(self.read(key).filter(|r| r.revision > *after))
            }
            Call::Swap { key, expect, value, lease } => {
                return self.swap(key, *expect, value.as_deref(), *lease);
            }
            Call::Grant { ttl } => self.grant(*ttl, now),
            Call::Renew { lease } => self.renew(*lease, now),
            Call::Revoke { lease } => self.revoke(*lease),
        })
    }

    /// Whether a watch of `key` that knows `after` has something to tell: a newer value, or that
    /// the key it knew is gone.
    pub fn has_news(&self, key: &str, after: Revision) -> bool {
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
    ) -> Result<Reply, TooLarge> {
        let size = value.map_or(0, <[u8]>::len);
        if size > MAX_VALUE {
            return Err(TooLarge { size });
        }
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return Ok(Reply::LeaseGone);
        }
        let present = self.records.get(key).map_or(0, |e| e.revision);
        if present != expect {
            return Ok(Reply::Conflict(self.read(key)));
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
        Ok(Reply::Swapped(self.revision))
    }

    fn grant(&mut self, ttl: Duration, now: Duration) -> Reply {
        self.granted += 1;
        self.leases.insert(self.granted, Lease { ttl, until: now + ttl });
        Reply::Granted(self.granted)
    }

    fn renew(&mut self, id: LeaseId, now: Duration) -> Reply {
        match self.leases.get_mut(&id) {
            Some(l) => {
                l.until = now + l.ttl;
                Reply::Done
            }
            None => Reply::LeaseGone,
        }
    }

    fn revoke(&mut self, id: LeaseId) -> Reply {
        if !self.leases.contains_key(&id) {
            return Reply::LeaseGone;
        }
        self.end_lease(id);
        Reply::Done
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let before = self.records.len();
        self.records.retain(|_, e| e.lease != Some(id));
        self.revision += (before - self.records.len()) as Revision;
    }
}
