//! Key-value state in memory behind the store port.

use {
    agate_store::{Call, Record, Reply, Revision, Store, port::LeaseId},
    futures_util::future::BoxFuture,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

#[derive(Default)]
struct Map {
    keys: BTreeMap<String, (Record, Option<LeaseId>)>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    revision: Revision,
    lease: LeaseId,
}

impl Map {
    /// Ends leases that lapsed, with their records.
    fn expire(&mut self) {
        let now = Instant::now();
        let gone: Vec<_> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(l, _)| *l).collect();
        for l in gone {
            self.revoke(l);
        }
    }

    fn revoke(&mut self, lease: LeaseId) -> Reply {
        self.keys.retain(|_, (_, l)| *l != Some(lease));
        match self.leases.remove(&lease) {
            Some(_) => Reply::Done,
            None => Reply::LeaseGone,
        }
    }

    fn swap(
        &mut self,
        key: String,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Reply {
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return Reply::LeaseGone;
        }
        let present = self.keys.get(&key).map(|(r, _)| r.clone());
        if present.as_ref().map_or(0, |r| r.revision) != expect {
            return Reply::Conflict(present);
        }
        self.revision += 1;
        match value {
            Some(value) => {
                self.keys.insert(key, (Record { revision: self.revision, value }, lease));
            }
            None => {
                self.keys.remove(&key);
            }
        }
        Reply::Swapped(self.revision)
    }

    fn call(&mut self, call: Call) -> Reply {
        self.expire();
        match call {
            Call::Get { key } | Call::Watch { key, .. } => {
                Reply::Value(self.keys.get(&key).map(|(r, _)| r.clone()))
            }
            Call::List { prefix } => {
                Reply::Keys(self.keys.keys().filter(|k| k.starts_with(&prefix)).cloned().collect())
            }
            Call::Swap { key, expect, value, lease } => self.swap(key, expect, value, lease),
            Call::Grant { ttl } => {
                self.lease += 1;
                self.leases.insert(self.lease, (Instant::now() + ttl, ttl));
                Reply::Granted(self.lease)
            }
            Call::Renew { lease } => match self.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    Reply::Done
                }
                None => Reply::LeaseGone,
            },
            Call::Revoke { lease } => self.revoke(lease),
        }
    }
}

/// Opens an empty key-value service.
pub(super) fn open() -> Store {
    let map = Arc::new(Mutex::new(Map::default()));
    let changed = watch::Sender::new(());
    Store::new(move |_, call| -> BoxFuture<'static, _> {
        let (map, changed) = (map.clone(), changed.clone());
        Box::pin(async move {
            if let Call::Watch { key, after, wait } = call {
                return Ok(watch_key(&map, &changed, key, after, wait).await);
            }
            let write = call.is_write();
            let reply = map.lock().expect("no panic while locked").call(call);
            if write {
                changed.send_replace(());
            }
            Ok(reply)
        })
    })
}

async fn watch_key(
    map: &Mutex<Map>,
    changed: &watch::Sender<()>,
    key: String,
    after: Revision,
    wait: Duration,
) -> Reply {
    let end = Instant::now() + wait;
    let mut news = changed.subscribe();
    loop {
        let reply = map.lock().expect("no panic while locked").call(Call::Get { key: key.clone() });
        if matches!(&reply, Reply::Value(Some(r)) if r.revision > after) {
            return reply;
        }
        if tokio::time::timeout_at(end, news.changed()).await.is_err() {
            return Reply::Value(None);
        }
    }
}
