//! The lease runner over a store: acquisition, release and invalid records.

use {
    agate_lease::{
        Lease, Settings,
        record::{self, LeaseRecord},
    },
    agate_store::{Memory, Purpose},
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Short times for a test. A slow machine may lose the lease, but then acquires it again.
fn settings(holder: &str) -> Settings {
    let ms = Duration::from_millis;
    Settings {
        ttl: ms(400),
        margin: ms(40),
        renew: ms(100),
        poll: ms(20),
        retry: ms(20),
        timeout: ms(200),
        ..Settings::new("x", holder)
    }
}

async fn until(what: impl Fn() -> bool) {
    while !what() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[rstest]
#[case::clean(0)]
#[case::lost_responses(2)]
#[tokio::test]
async fn release_handover(#[case] lost: u32) {
    let memory = Memory::open(|| Duration::ZERO);
    memory.set_faults(|f| f.lost_responses = lost);
    let a = Lease::spawn(memory.store(), settings("a"));
    until(|| a.may_act().is_some()).await;
    let b = Lease::spawn(memory.store(), settings("b"));
    let token = a.may_act().or(*a.follow().borrow());
    a.release().await;
    assert_eq!(a.may_act(), None);
    until(|| b.may_act().is_some()).await;
    assert!(b.may_act() > token);
    assert!(b.first_order_in(Duration::from_secs(1)) > Some(Duration::from_secs(1)));
}

#[tokio::test]
async fn store_outage() {
    let memory = Memory::open(|| Duration::ZERO);
    let a = Lease::spawn(memory.store(), settings("a"));
    until(|| a.may_act().is_some()).await;
    let first = a.counters().gained.load(Ordering::Relaxed);
    memory.set_faults(|f| f.outage = true);
    until(|| a.may_act().is_none()).await;
    memory.set_faults(|f| f.outage = false);
    until(|| a.counters().gained.load(Ordering::Relaxed) > first).await;
}

/// After the store came back from an older copy no token is given out again, and nobody acts before
/// the holder that the store has forgotten has stopped.
#[rstest]
#[case::record_lost(true)]
#[case::earlier_holder(false)]
#[tokio::test]
async fn store_rollback(#[case] lost: bool) {
    let memory = Memory::open(|| Duration::ZERO);
    let mut copy = memory.copy();
    let a = Lease::spawn(memory.store(), settings("a"));
    until(|| a.may_act().is_some()).await;
    if !lost {
        copy = memory.copy();
    }
    a.release().await;
    let b = Lease::spawn(memory.store(), settings("b"));
    until(|| b.may_act().is_some()).await;
    let token = b.may_act().or(*b.follow().borrow());
    a.set_candidate(true);
    memory.come_back(copy);
    let mut holders = vec![b, a, Lease::spawn(memory.store(), settings("c"))];
    // An instance that starts now has no memory of the former holder, and the record of the copy
    // makes it wait unless that is lost as well.
    if lost {
        holders.pop();
    }
    let mut next = None;
    while next.is_none() {
        let acting: Vec<_> = holders.iter().filter_map(Lease::may_act).collect();
        assert!(acting.len() <= 1, "{acting:?} act at once");
        next = acting.into_iter().find(|t| Some(*t) != token);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(next > token, "{next:?} after {token:?}");
}

#[rstest]
#[case::garbage(b"not a record".to_vec())]
#[case::version(br#"{"version":2,"holder":"z","more":1}"#.to_vec())]
#[case::large(vec![b' '; 5000])]
#[tokio::test]
async fn invalid_record(#[case] value: Vec<u8>) {
    let memory = Memory::open(|| Duration::ZERO);
    let store = memory.store();
    store.swap(Purpose::Lease, "lease/x", 0, value.clone()).await.unwrap().unwrap();
    let a = Lease::spawn(memory.store(), settings("a"));
    until(|| a.counters().refused.load(Ordering::Relaxed) > 1).await;
    assert_eq!(a.may_act(), None);
    assert_eq!(store.get(Purpose::Lease, "lease/x").await.unwrap().unwrap().value, value);
    let refused = record::decode("lease/x", &value).unwrap_err().to_string();
    assert!(refused.contains("lease/x"), "{refused}");
}

#[test]
fn record_roundtrip() {
    let ttl = Duration::from_millis(6000);
    let body = LeaseRecord { holder: "a-1".into(), token: 7, write_number: 3, ttl };
    assert_eq!(record::decode("k", &record::encode(&body)), Ok(body));
}

#[tokio::test]
async fn dropped_handle() {
    let memory = Memory::open(|| Duration::ZERO);
    let a = Lease::spawn(memory.store(), settings("a"));
    until(|| a.may_act().is_some()).await;
    drop(a);
    let b = Lease::spawn(memory.store(), settings("b"));
    until(|| b.may_act().is_some()).await;
    let counted = Arc::new(AtomicU64::new(memory.counts().writes()));
    until(|| memory.counts().writes() > counted.load(Ordering::Relaxed) + 1).await;
    assert!(b.may_act().is_some_and(|t| t >= 2));
}
