//! The client retries only attempts without effect, coalesces reads, and resolves lost responses by
//! reading.

use {
    agate_store::{
        Call, Client, Error, Memory, Purpose, Store, StoreResponse, SwapOutcome, Write, breaker,
        client::Settings, metrics::Kind, swap_resolved, tally::Event,
    },
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Semaphore,
};

const P: Purpose = Purpose::Record;

fn settings() -> Settings {
    Settings {
        base_delay: Duration::from_micros(1),
        max_delay: Duration::from_micros(10),
        breaker: breaker::Settings {
            failures: 100,
            base: Duration::from_secs(3600),
            max: Duration::from_secs(3600),
        },
        ..Settings::for_fleet(1)
    }
}

fn open(settings: Settings) -> (Memory, Client) {
    let memory = Memory::open(|| Duration::ZERO);
    let client = Client::open(memory.store(), settings, 1);
    (memory, client)
}

#[tokio::test]
async fn ambiguous_write() {
    let (memory, client) = open(settings());
    memory.set_faults(|f| f.lost_responses = 1);
    let e = client.store().swap(P, "a", 0, vec![1]).await.unwrap_err();
    assert!(matches!(e, Error::Ambiguous { .. }));
    assert_eq!(memory.counts().kind(Kind::Swap), 1);
    assert_eq!(client.tally().get(P, Event::Ambiguous), 1);
}

#[tokio::test]
async fn retried_failure() {
    let (memory, client) = open(settings());
    memory.set_faults(|f| f.outage = true);
    assert!(client.store().swap(P, "a", 0, vec![1]).await.is_err());
    assert_eq!(memory.counts().kind(Kind::Swap), u64::from(settings().attempts));
    assert_eq!(client.tally().get(P, Event::Retried), u64::from(settings().attempts) - 1);
}

#[rstest]
#[case::write(true)]
#[case::read(false)]
#[tokio::test]
async fn missing_response(#[case] write: bool) {
    let (memory, client) = open(Settings { deadline: Duration::from_millis(5), ..settings() });
    memory.set_faults(|f| f.no_response = true);
    let s = client.store();
    let e = match write {
        true => s.swap(P, "a", 0, vec![1]).await.unwrap_err(),
        false => s.get(P, "a").await.unwrap_err(),
    };
    assert_eq!(matches!(e, Error::Ambiguous { .. }), write, "{e}");
}

#[tokio::test]
async fn open_breaker() {
    let breaker = breaker::Settings { failures: 3, ..settings().breaker };
    let (memory, client) = open(Settings { breaker, ..settings() });
    memory.set_faults(|f| f.outage = true);
    for _ in 0..5 {
        assert!(client.store().get(P, "a").await.is_err());
    }
    assert_eq!(memory.counts().reads(), 3);
    assert!(client.tally().get(P, Event::CircuitOpen) > 0);
    memory.set_faults(|f| f.outage = false);
    assert!(client.store().get(P, "a").await.is_err());
    assert!(
        client.store().get(Purpose::Lease, "a").await.is_ok(),
        "a lease call passes and closes the breaker"
    );
    assert!(client.store().get(P, "a").await.is_ok());
}

#[tokio::test]
async fn exhausted_budget() {
    let settings = Settings { deadline: Duration::from_millis(1), ..Settings::for_fleet(1_900) };
    let (memory, client) = open(settings);
    let mut refused = 0;
    for i in 0..50 {
        let e = client.store().swap(Purpose::Claim, i.to_string(), 0, vec![]).await;
        refused += u64::from(matches!(e, Err(Error::Limited { peer, .. }) if peer == "local"));
    }
    assert_eq!(memory.counts().writes() + refused, 50);
    assert!(refused >= 20 && client.tally().get(Purpose::Claim, Event::OverBudget) == refused);
    assert!(client.store().swap(Purpose::Lease, "l", 0, vec![]).await.is_ok());
}

/// Waiting reads are coalesced. A read in flight must not be joined, since it may miss a later
/// change.
#[tokio::test]
async fn coalesced_reads() {
    let memory = Memory::open(|| Duration::ZERO);
    let (inner, pass, sent) =
        (memory.store(), Arc::new(Semaphore::new(0)), Arc::new(AtomicU32::new(0)));
    let (gate, count) = (pass.clone(), sent.clone());
    // Each read evaluates the key first and is delayed afterwards, so its result may be stale.
    let slow = Store::new(move |p, call| {
        let (inner, gate, count) = (inner.clone(), gate.clone(), count.clone());
        Box::pin(async move {
            let response = inner.call(p, call).await;
            count.fetch_add(1, Ordering::SeqCst);
            gate.acquire().await.expect("the semaphore is not closed").forget();
            response
        })
    });
    let client = Client::open(slow, settings(), 1);
    let read = |s: Store| tokio::spawn(async move { s.get(P, "a").await.unwrap() });
    let first = read(client.store());
    while sent.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    memory.store().swap(P, "a", 0, vec![9]).await.unwrap().unwrap();
    let later: Vec<_> = (0..20).map(|_| read(client.store())).collect();
    while client.tally().get(P, Event::Coalesced) < 19 {
        tokio::task::yield_now().await;
    }
    pass.add_permits(2);
    assert_eq!(first.await.unwrap(), None);
    for l in later {
        assert_eq!(l.await.unwrap().unwrap().value, vec![9]);
    }
    assert_eq!(memory.counts().kind(Kind::Get), 2);
}

#[rstest]
#[case::clean(0, 0, 1)]
#[case::lost_response(1, 0, 1)]
#[case::lost_call(0, 1, 2)]
#[case::lost_both(1, 1, 2)]
#[tokio::test]
async fn resolved_swap(#[case] responses: u32, #[case] calls: u32, #[case] writes: u64) {
    let (memory, client) = open(settings());
    memory.set_faults(|f| (f.lost_responses, f.lost_requests) = (responses, calls));
    let write = Write { key: "a".into(), expect: 0, value: vec![5] };
    let done = swap_resolved(&client.store(), P, &write, 3, |r| r.value == [5]).await.unwrap();
    assert!(matches!(done, SwapOutcome::Done(_)), "{done:?}");
    assert_eq!(memory.counts().kind(Kind::Swap), writes);
}

/// Another writer changes the key between the lost call and the read: the outcome must not claim
/// that the value was written.
#[rstest]
#[case::overtaken(true)]
#[case::conflict(false)]
#[tokio::test]
async fn concurrent_writer(#[case] lost: bool) {
    let memory = Memory::open(|| Duration::ZERO);
    let inner = memory.store();
    let other = Store::new(move |p, call| {
        let inner = inner.clone();
        Box::pin(async move {
            if !matches!(call, Call::Swap { .. }) {
                return inner.call(p, call).await;
            }
            let theirs = inner.swap(p, "a", 0, vec![6]).await?;
            if lost {
                let cause = "test".into();
                return Err(Error::Ambiguous { step: "swap", peer: "test".into(), cause });
            }
            Ok(StoreResponse::Conflict(theirs.err().flatten()))
        })
    });
    let write = Write { key: "a".into(), expect: 0, value: vec![5] };
    let done = swap_resolved(&other, P, &write, 3, |r| r.value == [5]).await.unwrap();
    assert_eq!(matches!(done, SwapOutcome::Superseded(_)), lost);
    assert_eq!(matches!(done, SwapOutcome::Conflict(_)), !lost);
}
