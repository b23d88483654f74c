//! The in-memory service keeps the invariants of the port and injects the requested faults.

use {
    agate_store::{
        Call, Error, Memory, Purpose, Store, StoreResponse,
        metrics::Kind,
        model::{MAX_VALUE, Model},
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

const P: Purpose = Purpose::Record;
const LONG: Duration = Duration::from_secs(3600);

fn open() -> (Memory, Store, Arc<AtomicU64>) {
    let ms = Arc::new(AtomicU64::new(0));
    let clock = ms.clone();
    let memory = Memory::open(move || Duration::from_millis(clock.load(Ordering::SeqCst)));
    let store = memory.store();
    (memory, store, ms)
}

#[tokio::test]
async fn swap_conflict() {
    let (_, s, _) = open();
    let first = s.swap(P, "a", 0, vec![1]).await.unwrap().unwrap();
    let present = s.swap(P, "a", 0, vec![2]).await.unwrap().unwrap_err().unwrap();
    assert_eq!((present.revision, present.value), (first, vec![1]));
    assert!(s.swap(P, "a", first, vec![2]).await.unwrap().unwrap() > first);
}

#[tokio::test]
async fn lease_expiry() {
    let (memory, s, ms) = open();
    let ttl = Duration::from_secs(1);
    let StoreResponse::Granted(id) = s.call(P, Call::Grant { ttl }).await.unwrap() else {
        panic!()
    };
    let swap = Call::Swap { key: "a".into(), expect: 0, value: Some(vec![1]), lease: Some(id) };
    let StoreResponse::Swapped(r) = s.call(P, swap.clone()).await.unwrap() else { panic!() };
    ms.store(900, Ordering::SeqCst);
    assert_eq!(s.call(P, Call::Renew { lease: id }).await.unwrap(), StoreResponse::Done);
    ms.store(1899, Ordering::SeqCst);
    assert!(s.get(P, "a").await.unwrap().is_some());
    let watcher = tokio::spawn({
        let s = s.clone();
        async move { s.watch(P, "a", r, LONG).await }
    });
    while memory.counts().waiting == 0 {
        tokio::task::yield_now().await;
    }
    ms.store(1900, Ordering::SeqCst);
    assert_eq!(memory.expire(), 1);
    assert_eq!(watcher.await.unwrap().unwrap(), None);
    assert_eq!(s.call(P, Call::Renew { lease: id }).await.unwrap(), StoreResponse::LeaseGone);
    assert_eq!(s.call(P, swap).await.unwrap(), StoreResponse::LeaseGone);
    assert_eq!(memory.counts().waiting, 0);
}

#[tokio::test]
async fn watch_change() {
    let (memory, s, _) = open();
    let watcher = tokio::spawn({
        let s = s.clone();
        async move { s.watch(P, "a", 0, LONG).await }
    });
    while memory.counts().waiting == 0 {
        tokio::task::yield_now().await;
    }
    let r = s.swap(P, "a", 0, vec![7]).await.unwrap().unwrap();
    assert_eq!(watcher.await.unwrap().unwrap().unwrap().revision, r);
    assert_eq!(s.watch(P, "a", r, Duration::ZERO).await.unwrap(), None);
    assert_eq!(memory.counts().of(P, Kind::Watch), 2);
}

#[rstest]
#[case::lost_response(1, 0, true)]
#[case::lost_call(0, 1, false)]
#[tokio::test]
async fn ambiguous_write(#[case] responses: u32, #[case] calls: u32, #[case] effect: bool) {
    let (memory, s, _) = open();
    memory.set_faults(|f| (f.lost_responses, f.lost_requests) = (responses, calls));
    let e = s.swap(P, "a", 0, vec![1]).await.unwrap_err();
    assert!(matches!(e, Error::Ambiguous { .. }));
    assert_eq!(s.get(P, "a").await.unwrap().is_some(), effect);
}

#[tokio::test]
async fn outage_and_limits() {
    let (memory, s, ms) = open();
    memory.set_faults(|f| f.outage = true);
    assert!(matches!(s.get(P, "a").await, Err(Error::Unavailable { .. })));
    memory.set_faults(|f| (f.outage, f.max_writes) = (false, Some(1)));
    assert!(s.swap(P, "a", 0, vec![1]).await.is_ok());
    assert!(matches!(s.swap(P, "b", 0, vec![1]).await, Err(Error::Limited { .. })));
    assert_eq!(s.get(P, "b").await.unwrap(), None);
    ms.store(1000, Ordering::SeqCst);
    assert!(s.swap(P, "b", 0, vec![0; MAX_VALUE]).await.is_ok());
    memory.set_faults(|f| f.max_writes = None);
    let large = s.swap(P, "c", 0, vec![0; MAX_VALUE + 1]).await;
    assert!(matches!(large, Err(Error::Unavailable { .. })));
    assert_eq!(memory.counts().limited, 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..Default::default()
    })]

    /// Revisions increase with every change, also across deletion and lease expiry, and a swap
    /// succeeds exactly if the key has the expected revision.
    #[test]
    fn monotonic_revisions(ops in prop::collection::vec((0u8..5, 0u8..3, 0u64..3), 1..80)) {
        let (mut m, mut now, mut last) = (Model::new(), Duration::ZERO, 0);
        let mut lease = None;
        for (op, key, arg) in ops {
            let key = key.to_string();
            let seen = m.apply(&Call::Get { key: key.clone() }, now).unwrap();
            let StoreResponse::Value(seen) = seen else { panic!() };
            let present = seen.map_or(0, |r| r.revision);
            let expect = if arg == 0 { present } else { arg };
            let call = match op {
                0 => Call::Swap { key, expect, value: Some(vec![0]), lease: None },
                1 => Call::Swap { key, expect, value: None, lease: None },
                2 => Call::Swap { key, expect, value: Some(vec![1]), lease },
                3 => Call::Grant { ttl: Duration::from_secs(arg) },
                _ => { now += Duration::from_secs(arg); continue }
            };
            match m.apply(&call, now).unwrap() {
                StoreResponse::Swapped(r) => {
                    prop_assert!(r > last && expect == present);
                    last = r;
                }
                StoreResponse::Conflict(_) => prop_assert!(expect != present),
                StoreResponse::Granted(l) => lease = Some(l),
                _ => {}
            }
        }
    }
}
