//! Uses of one idempotency key by several calls, with and without failures of instances or the
//! store. No key may lead to a second run, and no key may stay blocked after a claim that was
//! refused or released.

mod common;

use {
    agate_idempotency::{Claim, ClaimCoordinator, Settings, Verdict},
    agate_store::{Purpose, memory::Faults},
    common::{claim, label, memory, settings, spawn, win},
    futures_util::{FutureExt, future::join},
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Two instances claim one key at the same time. One runs the call and the other replays its
/// response.
#[tokio::test(start_paused = true)]
async fn racing_instances() {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    let run = |once: ClaimCoordinator| async move {
        let got = claim(&once, 1).await;
        let text = label(&got);
        if let Ok(Claim::Won(permit)) = got {
            sleep(Duration::from_secs(1)).await;
            permit.finish(201, vec![("a".into(), "b".into())], b"done".to_vec());
        } else if let Ok(Claim::Replay(response)) = got {
            assert_eq!((response.status, response.body), (201, Some(b"done".to_vec())));
        }
        text
    };
    let (x, y) = join(run(a), run(b)).await;
    let mut both = [x, y];
    both.sort();
    assert_eq!(both, ["replay", "won"]);
}

/// A key used again with another request must not get the response of the first one, neither while
/// the claim is open nor after it is closed.
#[tokio::test(start_paused = true)]
async fn changed_request() {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    let permit = win(&a).await;
    assert_eq!(label(&claim(&b, 2).await), "conflict");
    permit.finish(200, vec![], vec![]);
    assert!(a.drain().await);
    assert_eq!(label(&claim(&b, 2).await), "conflict");
}

/// A holder that disappears may have sent its call, so the outcome is unknown and no other call may
/// run.
#[rstest]
#[case::dropped(false)]
#[case::killed(true)]
#[tokio::test(start_paused = true)]
async fn lost_holder(#[case] killed: bool) {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    let permit = win(&a).await;
    match killed {
        true => std::mem::forget(permit),
        false => drop(permit),
    }
    assert_eq!(label(&claim(&b, 1).await), "unknown");
    assert_eq!(label(&claim(&a, 1).await), "unknown");
}

/// The store applies a claim but its response is lost, or a call to it is lost. The claim is
/// repeated and must recognise itself, and it must still exclude other calls.
#[rstest]
#[case::answer(|f: &mut Faults| f.lost_responses = 1)]
#[case::call(|f: &mut Faults| f.lost_requests = 1)]
#[case::always(|f: &mut Faults| f.lost_responses = u32::MAX)]
#[tokio::test(start_paused = true)]
async fn lost_store_response(#[case] fault: fn(&mut Faults)) {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    m.set_faults(fault);
    let _permit = win(&a).await;
    assert_eq!(label(&claim(&b, 1).await), "unknown");
}

/// A claim that the store never confirms is refused. It must not leave the key blocked.
#[rstest]
#[case::outage(|f: &mut Faults| f.outage = true)]
#[case::lost(|f: &mut Faults| f.lost_requests = u32::MAX)]
#[case::limited(|f: &mut Faults| f.max_writes = Some(0))]
#[tokio::test(start_paused = true)]
async fn store_down(#[case] fault: fn(&mut Faults)) {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    m.set_faults(fault);
    assert_eq!(label(&claim(&a, 1).await), "unavailable");
    let failed = a.counters().read().into_iter().find(|(n, _)| *n == "abandoned");
    assert_eq!(failed, Some(("abandoned", 1)));
    m.set_faults(|f| *f = Faults::default());
    assert!(a.drain().await);
    assert_eq!(label(&claim(&b, 1).await), "won", "a refused claim leaves the key free");
}

/// A call that was not sent releases its claim, and a call that waits for it then runs.
#[tokio::test(start_paused = true)]
async fn released_claim() {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    let permit = win(&a).await;
    let later = async {
        sleep(Duration::from_secs(1)).await;
        permit.release_unrun();
    };
    let ((), got) = join(later, claim(&b, 1)).await;
    assert_eq!(label(&got), "won");
}

/// A claim must be kept for the retention time and no longer.
#[tokio::test(start_paused = true)]
async fn claim_expiry() {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    let keep = settings(0).retention;
    win(&a).await.finish(200, vec![], vec![]);
    assert!(a.drain().await);
    sleep(keep - Duration::from_secs(2)).await;
    assert_eq!(label(&claim(&b, 1).await), "replay");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(label(&claim(&b, 1).await), "won");
}

/// A claim confirmed after the time to send has passed must not be used, and must be freed.
#[tokio::test(start_paused = true)]
async fn late_confirmation() {
    let m = memory();
    let late = Settings { dispatch: Duration::from_millis(300), ..settings(1) };
    let (a, b) = (ClaimCoordinator::spawn(m.store(), late), spawn(&m, 2));
    m.set_faults(|f| f.latency = Duration::from_millis(400));
    assert_eq!(label(&claim(&a, 1).await), "unavailable");
    m.set_faults(|f| f.latency = Duration::ZERO);
    assert!(a.drain().await);
    assert_eq!(label(&claim(&b, 1).await), "won");
}

/// A process that is paused after its claim must not send the call once the time to send has
/// passed.
#[tokio::test(start_paused = true)]
async fn expired_permit() {
    let m = memory();
    let a = spawn(&m, 1);
    let permit = win(&a).await;
    assert!(permit.may_dispatch(Instant::now()));
    sleep(settings(1).dispatch).await;
    assert!(!permit.may_dispatch(Instant::now()));
}

/// A call that waits in a queue for longer than [`Settings::dispatch`] can still be sent after it
/// is admitted, and no other call can claim its key meanwhile.
#[tokio::test(start_paused = true)]
async fn renewed_permit() {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    let s = settings(0);
    let mut permit = win(&a).await;
    sleep(s.renewal_limit - Duration::from_millis(1)).await;
    assert!(!permit.may_dispatch(Instant::now()));
    permit.renew(Instant::now());
    assert!(permit.may_dispatch(Instant::now()));
    sleep(s.dispatch - Duration::from_millis(1)).await;
    assert!(permit.may_dispatch(Instant::now()));
    assert_eq!(label(&claim(&b, 1).await), "unknown");
    permit.renew(Instant::now());
    assert!(!permit.may_dispatch(Instant::now()), "renewed after the hold had ended");
    assert!(s.renewal_limit + 2 * s.dispatch < s.retention, "the claim outlives every renewal");
}

/// A drain waits for batches that were sent to the owner before it and have no response yet.
/// Otherwise an instance could stop before an outcome is stored.
#[rstest]
#[case::answered(true)]
#[case::silent(false)]
#[tokio::test(start_paused = true)]
async fn drain_waits(#[case] answered: bool) {
    let m = memory();
    let owner = spawn(&m, 9);
    let (calls, late) = (AtomicUsize::new(0), Duration::from_millis(300));
    let forward: agate_idempotency::Forward = Arc::new(move |shard, ops| {
        let (owner, first) = (owner.clone(), calls.fetch_add(1, Ordering::Relaxed) == 1);
        Box::pin(async move {
            // The second message, which carries the outcome, is slow.
            sleep(if first { late } else { Duration::ZERO }).await;
            if first && !answered { None } else { owner.serve(shard, ops).await }
        })
    });
    let a = ClaimCoordinator::spawn(m.store(), Settings { forward: Some(forward), ..settings(1) });
    win(&a).await.finish(200, vec![], vec![]);
    // The outcome is sent in a message of its own before the drain is requested.
    sleep(Duration::from_millis(20)).await;
    assert!(a.drain().await);
    let no_wait = Settings { wait_limit: Duration::ZERO, ..settings(2) };
    assert_eq!(label(&claim(&ClaimCoordinator::spawn(m.store(), no_wait), 1).await), "replay");
}

/// A caller that stops waiting before its claim is confirmed must not leave the key blocked.
#[tokio::test(start_paused = true)]
async fn cancelled_claim() {
    let m = memory();
    let (a, b) = (spawn(&m, 1), spawn(&m, 2));
    m.set_faults(|f| f.latency = Duration::from_millis(50));
    let mut asking = Box::pin(claim(&a, 1));
    assert!(asking.as_mut().now_or_never().is_none());
    sleep(Duration::from_millis(10)).await;
    drop(asking);
    assert!(a.drain().await && a.drain().await);
    assert_eq!(label(&claim(&b, 1).await), "won");
}

/// Responses that moved from the head to a segment must still be replayed by another instance, and
/// other requests with their keys must still conflict.
#[tokio::test(start_paused = true)]
async fn sealed_responses() {
    let m = memory();
    let mut s = settings(1);
    s.limits.head = 500;
    let a = ClaimCoordinator::spawn(m.store(), s);
    for i in 0..50u8 {
        let Ok(Claim::Won(p)) = a.claim("org", &i.to_string(), [i; 32]).await else { panic!() };
        p.finish(200, vec![], vec![i; 100]);
    }
    assert!(a.drain().await);
    let b = spawn(&m, 2);
    for i in 0..50u8 {
        let got = b.claim("org", &i.to_string(), [i; 32]).await;
        let Ok(Claim::Replay(response)) = got else { panic!("{got:?}") };
        assert_eq!(response.body, Some(vec![i; 100]));
        assert_eq!(label(&b.claim("org", &i.to_string(), [99; 32]).await), "conflict");
    }
}

/// A writer that fails between writing a segment and the head leaves a segment behind. It is
/// deleted, and referenced segments are kept.
#[tokio::test(start_paused = true)]
async fn unreferenced_segment() {
    let m = memory();
    let store = m.store();
    store.swap(Purpose::Claim, "claim/0/left-1", 0, vec![1]).await.unwrap().unwrap();
    let mut s = settings(1);
    s.limits.head = 500;
    let a = ClaimCoordinator::spawn(store.clone(), s);
    for i in 0..20u8 {
        let Ok(Claim::Won(p)) = a.claim("org", &i.to_string(), [i; 32]).await else { panic!() };
        p.finish(200, vec![], vec![i; 100]);
    }
    assert!(a.drain().await);
    let b = spawn(&m, 2);
    assert_eq!(label(&claim(&b, 1).await), "won");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.get(Purpose::Claim, "claim/0/left-1").await.unwrap(), None);
    for i in 0..20u8 {
        assert_eq!(label(&b.claim("org", &i.to_string(), [i; 32]).await), "replay");
    }
}

/// A response too large to store is replayed without its body.
#[tokio::test(start_paused = true)]
async fn large_response() {
    let m = memory();
    let a = spawn(&m, 1);
    win(&a).await.finish(200, vec![], vec![0; 1 << 20]);
    assert!(a.drain().await);
    let Ok(Claim::Replay(response)) = claim(&a, 1).await else { panic!() };
    assert_eq!((response.status, response.body), (200, None));
}

/// Starts an instance that forwards to `owner`. Without an owner, its messages get no response.
fn forwarding(
    m: &agate_store::memory::Memory,
    instance: u64,
    owner: Option<ClaimCoordinator>,
) -> ClaimCoordinator {
    let forward: agate_idempotency::Forward = Arc::new(move |shard, ops| {
        let owner = owner.clone();
        Box::pin(async move {
            let verdicts: Option<Vec<Verdict>> = owner?.serve(shard, ops).await;
            verdicts
        })
    });
    ClaimCoordinator::spawn(m.store(), Settings { forward: Some(forward), ..settings(instance) })
}

/// Claims work in the same way through the owner of the shard and, if the owner does not respond,
/// through the own writer.
#[rstest]
#[case::owner(true)]
#[case::unreachable(false)]
#[tokio::test(start_paused = true)]
async fn forwarded_claim(#[case] reachable: bool) {
    let m = memory();
    let owner = spawn(&m, 9);
    let a = forwarding(&m, 1, reachable.then(|| owner.clone()));
    let b = forwarding(&m, 2, Some(owner.clone()));
    let permit = win(&a).await;
    assert_eq!(label(&claim(&owner, 2).await), "conflict");
    permit.finish(200, vec![], vec![]);
    assert!(a.drain().await);
    assert_eq!(label(&claim(&b, 1).await), "replay");
}

/// The owner applies a forwarded claim but its response is lost. The own writer repeats the claim,
/// which must not fail against itself nor allow a second run.
#[tokio::test(start_paused = true)]
async fn lost_owner_response() {
    let m = memory();
    let owner = spawn(&m, 9);
    let lossy: agate_idempotency::Forward = Arc::new(move |shard, ops| {
        let owner = owner.clone();
        Box::pin(async move { owner.serve(shard, ops).await.and(None) })
    });
    let a = ClaimCoordinator::spawn(m.store(), Settings { forward: Some(lossy), ..settings(1) });
    let _permit = win(&a).await;
    assert_eq!(label(&claim(&spawn(&m, 2), 1).await), "unknown");
}
