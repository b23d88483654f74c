//! Two concurrent faults under client load; a checker verifies the recorded history.
//!
//! Random choices depend on the seed, which is printed. All pairs with several seeds: `cargo test
//! -p agate-cli --test fault_pairs all_pairs -- --ignored --nocapture`.

mod harness;
mod support;

use {
    agate_audit::{
        check,
        history::{Ending, History},
    },
    futures_util::{StreamExt, stream},
    harness::{
        Harness,
        clients::Clients,
        faults::InjectedFault::{self, *},
        recorder,
    },
    rstest::rstest,
    support::wait_until,
};

/// Responses through each instance before the faults, and again after them.
const WARM_RESPONSES: usize = 8;
/// Minimum number of complete responses in a run.
const MIN_RESPONSES: usize = 60;
/// Minimum number of bookings executed in a run.
const MIN_BOOKINGS: usize = 8;
/// Seeds of the run over all pairs.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Concurrent scenarios in that run.
const CONCURRENT_RUNS: usize = 6;

/// Runs client load with one or two faults and returns the recorded history.
async fn scenario(first: InjectedFault, second: Option<InjectedFault>, seed: u64) -> History {
    println!("{first:?} with {second:?}, seed {seed}");
    let harness = Harness::spawn().await;
    let watch = recorder::watch(&harness);
    let clients = Clients::spawn(&harness, seed);
    wait_for_responses(&harness).await;
    let other = async {
        if let Some(second) = second {
            second.run(&harness, seed).await;
        }
    };
    tokio::join!(first.run(&harness, seed), other);
    wait_for_responses(&harness).await;
    clients.stop().await;
    let history = recorder::close(&harness);
    watch.abort();
    assert_eq!(harness.panics(), [""; 0], "an instance panicked");
    history
}

/// Waits until every instance has given some more responses.
async fn wait_for_responses(harness: &Harness) {
    let before: Vec<_> = harness
        .instances()
        .into_iter()
        .map(|e| (harness.recorder.count_responses(&e.name) + WARM_RESPONSES, e))
        .collect();
    let reached =
        || before.iter().all(|(least, e)| harness.recorder.count_responses(&e.name) >= *least);
    wait_until("every instance responds", reached).await;
}

fn check_history(history: &History) {
    let whole = |e: &Ending| matches!(e, Ending::Whole(_));
    let responses = history.calls.iter().filter(|c| whole(&c.ending)).count();
    let bookings = history.runs.iter().filter(|r| r.idempotency_key.is_some()).count();
    assert!(responses >= MIN_RESPONSES, "only {responses} responses");
    assert!(bookings >= MIN_BOOKINGS, "only {bookings} bookings ran");
    assert!(!history.installs.is_empty() && !history.lease_holds.is_empty(), "nothing was watched");
    println!("{responses} responses, {bookings} bookings, {} faults", history.faults.len());
    let found = check(history);
    assert!(found.is_empty(), "{found:#?}");
}

#[rstest]
#[case::outage_and_crash(Outage, CrashEngine)]
#[case::kill_during_replacement(Replace, Kill)]
#[case::revocation_while_isolated(DisconnectStore, RevokeKey)]
#[case::stalled_and_leaving(StallConnections, RemoveEndpoint)]
#[case::crashing_request_lost_responses(CrashingRequest, LoseResponses)]
#[case::revocation_during_outage(Outage, RevokeKey)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pairs(#[case] first: InjectedFault, #[case] second: InjectedFault) {
    check_history(&scenario(first, Some(second), 1).await);
}

/// Every fault alone and every pair of faults.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes many minutes; for runs by hand"]
async fn all_pairs() {
    let alone = InjectedFault::ALL.map(|s| (s, None));
    let both = InjectedFault::ALL.into_iter().enumerate().flat_map(|(i, first)| {
        InjectedFault::ALL[i + 1..].iter().map(move |second| (first, Some(*second)))
    });
    let all: Vec<_> = alone.into_iter().chain(both).collect();
    let runs = SEEDS.into_iter().flat_map(|seed| all.iter().map(move |(a, b)| (*a, *b, seed)));
    let runs = runs.map(|(first, second, seed)| async move {
        let run = tokio::spawn(async move { check_history(&scenario(first, second, seed).await) });
        (run.await.is_err(), first, second, seed)
    });
    let ended: Vec<_> = stream::iter(runs).buffer_unordered(CONCURRENT_RUNS).collect().await;
    let failed: Vec<_> = ended.iter().filter(|(failed, ..)| *failed).collect();
    println!("{} of {} runs failed", failed.len(), ended.len());
    assert!(failed.is_empty(), "{failed:?}");
}
