//! Store writes stay within their limit if instances forward to the shard's owner. Without
//! forwarding, every instance writes its own small batches and exceeds the limit.

mod common;

use {
    agate_idempotency::{Claim, ClaimCoordinator, Forward, Settings},
    agate_store::memory::Memory,
    common::{memory, settings},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Most store writes per 1,000 calls at 1,000 calls a second.
const WRITE_BOUND: u64 = 50;
const RATE: u32 = 1000;
const SECONDS: u32 = 4;

fn fleet(m: &Memory, owned: bool) -> Vec<ClaimCoordinator> {
    let owner = ClaimCoordinator::spawn(m.store(), settings(0));
    let mut all = vec![owner.clone()];
    for i in 1..8 {
        let owner = owner.clone();
        let forward: Forward = Arc::new(move |shard, ops| {
            let owner = owner.clone();
            Box::pin(async move { owner.serve(shard, ops).await })
        });
        let forward = owned.then_some(forward);
        all.push(ClaimCoordinator::spawn(m.store(), Settings { forward, ..settings(i) }));
    }
    all
}

/// Returns the store writes per 1,000 calls.
async fn writes(owned: bool) -> u64 {
    let m = memory();
    m.set_faults(|f| f.latency = Duration::from_millis(4));
    let all = fleet(&m, owned);
    let start = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..RATE * SECONDS {
        sleep_until(start + Duration::from_secs(1) / RATE * n).await;
        let once = all[n as usize % all.len()].clone();
        calls.spawn(async move {
            let got = once.claim("org", &n.to_string(), [1; 32]).await;
            let Ok(Claim::Won(permit)) = got else { panic!("{got:?}") };
            permit.finish(201, vec![], vec![0; 200]);
        });
    }
    while let Some(done) = calls.join_next().await {
        done.unwrap();
    }
    for once in &all {
        assert!(once.drain().await);
    }
    m.counts().writes() * 1000 / u64::from(RATE * SECONDS)
}

/// Forwarding must keep the writes within the limit. The direct case shows that the limit is not
/// met without it.
#[rstest]
#[case::owner(true, true)]
#[case::direct(false, false)]
#[tokio::test(start_paused = true)]
async fn batched_writes(#[case] owned: bool, #[case] within: bool) {
    let n = writes(owned).await;
    assert_eq!(n <= WRITE_BOUND, within, "{n} writes per 1,000 bookings");
}
