//! Records of the instances in the store: maintains the own record and follows the records of all.

use {
    crate::{
        clock,
        local_view::LocalView,
        peers::{self, Peer},
        store_health::StoreHealth,
    },
    agate_store::{Call, Error, Freshness, Purpose, Result, Store, StoreResponse},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Attempts to write the own record under one lease; the first one may conflict with a record of an
/// earlier start.
const MAX_WRITES: u32 = 3;
/// Time between two reads of the instances while the list changes.
const STARTUP_INTERVAL: Duration = Duration::from_millis(250);
/// Unchanged reads after which the list is read at its regular interval.
const STABLE_READS: u32 = 3;
/// Renewals of the lease within its time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Reads the list of instances regularly and publishes its changes in `view`.
pub(crate) async fn follow_instances(
    store: Store,
    name: String,
    interval: Duration,
    view: Arc<LocalView>,
) {
    let mut health = StoreHealth::new("instances");
    let mut unchanged = 0;
    loop {
        unchanged += 1;
        let sent = clock::now();
        match store.range(Purpose::Roster, peers::PREFIX, Freshness::Stale).await {
            Ok(items) => {
                health.on_success();
                let list = peers::decode(&items);
                if list.iter().any(|p| p.name == name) {
                    view.listed.confirm(sent);
                }
                if **view.peers.load() != list {
                    log::info!(event = "instances_changed", known = list.len(); "the set of instances changed");
                    view.peers.store(Arc::new(list));
                    unchanged = 0;
                    view.notify_changed();
                }
            }
            Err(e) => health.on_failure(&e),
        }
        // While instances start, the coordinators should be known soon: until then each instance
        // reads the store itself.
        sleep(if unchanged < STABLE_READS { STARTUP_INTERVAL } else { interval }).await;
    }
}

/// Keeps the record of this instance in the store under a lease of `ttl`.
pub(crate) async fn maintain_record(store: Store, own: Peer, ttl: Duration) {
    let mut health = StoreHealth::new("own record");
    loop {
        let lease = match store.call(Purpose::Lease, Call::Grant { ttl }).await {
            Ok(StoreResponse::Granted(lease)) => lease,
            Ok(other) => {
                health.on_failure(&unexpected_response(&other));
                sleep(health.retry_delay(false)).await;
                continue;
            }
            Err(e) => {
                health.on_failure(&e);
                sleep(health.retry_delay(false)).await;
                continue;
            }
        };
        match write_record(&store, &own, lease).await {
            Ok(true) => health.on_success(),
            Ok(false) => continue,
            Err(e) => {
                health.on_failure(&e);
                sleep(health.retry_delay(false)).await;
                continue;
            }
        }
        renew_lease(&store, lease, ttl, &mut health).await;
    }
}

/// Error for a response that does not match the call.
fn unexpected_response(response: &StoreResponse) -> Error {
    let cause = format!("unexpected response {response:?}");
    Error::Malformed { step: "grant", peer: "store".into(), cause }
}

/// Writes the own record under `lease` and replaces one that an earlier start left. Returns whether
/// it was written.
async fn write_record(store: &Store, own: &Peer, lease: u64) -> Result<bool> {
    let mut expect = 0;
    for _ in 0..MAX_WRITES {
        let (key, value) = (own.key(), Some(own.encode()));
        let call = Call::Swap { key, expect, value, lease: Some(lease) };
        match store.call(Purpose::Lease, call).await? {
            StoreResponse::Swapped(_) => return Ok(true),
            StoreResponse::Conflict(found) => expect = found.map_or(0, |r| r.revision),
            _ => return Ok(false),
        }
    }
    Ok(false)
}

/// Renews `lease` until it has ended.
async fn renew_lease(store: &Store, lease: u64, ttl: Duration, health: &mut StoreHealth) {
    loop {
        sleep(ttl / RENEWALS_PER_TTL).await;
        match store.call(Purpose::Lease, Call::Renew { lease }).await {
            Ok(StoreResponse::Done) => health.on_success(),
            Ok(_) => return,
            Err(e) => health.on_failure(&e),
        }
    }
}
