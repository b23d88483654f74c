//! The records of the instances in the store: writes the own one, and follows them all.

use {
    crate::{
        belief::Belief,
        clock,
        peers::{self, Peer},
        reach::Reach,
    },
    agate_store::{Call, Error, Freshness, Purpose, Reply, Result, Store},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Writes of the own record under one lease: the first finds out what an earlier start left.
const WRITES: u32 = 3;
/// Time between two reads of the instances while the list changes.
const FIRST_PEERS: Duration = Duration::from_millis(250);
/// Unchanged reads after which the list is read at its usual pace.
const QUIET_READS: u32 = 3;
/// Renewals of the own record within its time to live.
const RENEWALS: u32 = 3;

/// Follows the list of instances.
pub(crate) async fn instances(store: Store, name: String, pace: Duration, belief: Arc<Belief>) {
    let mut reach = Reach::new("instances");
    let mut quiet = 0;
    loop {
        quiet += 1;
        let sent = clock::now();
        match store.range(Purpose::Roster, peers::PREFIX, Freshness::Stale).await {
            Ok(items) => {
                reach.answered();
                let list = peers::decode(&items);
                if list.iter().any(|p| p.name == name) {
                    belief.listed.note(sent);
                }
                if **belief.peers.load() != list {
                    log::info!(event = "instances_changed", known = list.len(); "the set of instances changed");
                    belief.peers.store(Arc::new(list));
                    quiet = 0;
                    belief.announce();
                }
            }
            Err(e) => reach.failed(&e),
        }
        // While instances come, the coordinators are found soon: until then each reads for itself.
        sleep(if quiet < QUIET_READS { FIRST_PEERS } else { pace }).await;
    }
}

/// Keeps the record of this instance in the store.
pub(crate) async fn own(store: Store, own: Peer, ttl: Duration) {
    let mut reach = Reach::new("own record");
    loop {
        let lease = match store.call(Purpose::Lease, Call::Grant { ttl }).await {
            Ok(Reply::Granted(lease)) => lease,
            Ok(other) => {
                reach.failed(&unexpected(&other));
                sleep(reach.pause(false)).await;
                continue;
            }
            Err(e) => {
                reach.failed(&e);
                sleep(reach.pause(false)).await;
                continue;
            }
        };
        match write(&store, &own, lease).await {
            Ok(true) => reach.answered(),
            Ok(false) => continue,
            Err(e) => {
                reach.failed(&e);
                sleep(reach.pause(false)).await;
                continue;
            }
        }
        renew(&store, lease, ttl, &mut reach).await;
    }
}

/// Error for an answer that the port does not allow.
fn unexpected(reply: &Reply) -> Error {
    let cause = format!("unexpected reply {reply:?}");
    Error::Malformed { step: "grant", peer: "store".into(), cause }
}

/// Writes the own record under `lease`, over what an earlier start may have left; returns whether it
/// stands.
async fn write(store: &Store, own: &Peer, lease: u64) -> Result<bool> {
    let mut expect = 0;
    for _ in 0..WRITES {
        let (key, value) = (own.key(), Some(own.encode()));
        let call = Call::Swap { key, expect, value, lease: Some(lease) };
        match store.call(Purpose::Lease, call).await? {
            Reply::Swapped(_) => return Ok(true),
            Reply::Conflict(found) => expect = found.map_or(0, |r| r.revision),
            _ => return Ok(false),
        }
    }
    Ok(false)
}

/// Renews `lease` until it has ended.
async fn renew(store: &Store, lease: u64, ttl: Duration, reach: &mut Reach) {
    loop {
        sleep(ttl / RENEWALS).await;
        match store.call(Purpose::Lease, Call::Renew { lease }).await {
            Ok(Reply::Done) => reach.answered(),
            Ok(_) => return,
            Err(e) => reach.failed(&e),
        }
    }
}
