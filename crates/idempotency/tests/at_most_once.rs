//! Random histories of calls, restarts, lost messages and store faults must never run a call twice.
//! A store that does not compare revisions must be detected by the same check.

mod common;

use {
    agate_idempotency::{Claim, ClaimCoordinator, Forward},
    agate_store::{Call, Record, Store, StoreResponse, memory::Memory},
    common::{memory, settings},
    indexmap::IndexMap,
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// What happens to a call after its claim succeeded.
#[derive(Clone, Copy, Debug)]
enum End {
    Answer,
    Drop,
    Kill,
    Unrun,
    Pause,
}

/// One step of a history.
#[derive(Clone, Debug)]
enum Step {
    Call { instance: usize, key: u8, run: u64, end: End },
    Restart { instance: usize },
    Lose { responses: u32, calls: u32 },
    Outage { on: bool },
    Latency { ms: u64 },
    Link { lossy: bool, ms: u64 },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        4 => Just(End::Answer), 1 => Just(End::Drop), 1 => Just(End::Kill),
        1 => Just(End::Unrun), 1 => Just(End::Pause),
    ];
    prop_oneof![
        8 => (0..3usize, 0..3u8, 0..3000u64, end)
            .prop_map(|(instance, key, run, end)| Step::Call { instance, key, run, end }),
        1 => (0..3usize).prop_map(|instance| Step::Restart { instance }),
        1 => (0..4u32, 0..4u32).prop_map(|(responses, calls)| Step::Lose { responses, calls }),
        1 => any::<bool>().prop_map(|on| Step::Outage { on }),
        1 => (0..600u64).prop_map(|ms| Step::Latency { ms }),
        1 => (any::<bool>(), 0..900u64).prop_map(|(lossy, ms)| Step::Link { lossy, ms }),
        4 => (0..1500u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Number of times that each key's call was sent.
type Runs = Arc<Mutex<IndexMap<u8, u32>>>;

async fn call(once: ClaimCoordinator, key: u8, run: u64, end: End, runs: Runs) {
    let Ok(Claim::Won(permit)) = once.claim("org", &key.to_string(), [key; 32]).await else {
        return;
    };
    if matches!(end, End::Pause) {
        sleep(Duration::from_millis(run * 2)).await;
    }
    if matches!(end, End::Unrun) || !permit.may_dispatch(Instant::now()) {
        return permit.release_unrun();
    }
    *runs.lock().unwrap().entry(key).or_insert(0) += 1;
    sleep(Duration::from_millis(run)).await;
    match end {
        End::Drop => drop(permit),
        End::Kill => std::mem::forget(permit),
        _ => permit.finish(200, vec![], vec![key]),
    }
}

/// Faults of messages between instances: whether responses are lost, and the delay in milliseconds.
type Link = Arc<Mutex<(bool, u64)>>;

/// Sends every change to `owner`, which processes it whether or not the response arrives.
fn forward(owner: ClaimCoordinator, link: Link) -> Forward {
    Arc::new(move |shard, ops| {
        let (owner, (lossy, ms)) = (owner.clone(), *link.lock().unwrap());
        let work = tokio::spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            owner.serve(shard, ops).await
        });
        Box::pin(async move { work.await.ok().flatten().filter(|_| !lossy) })
    })
}

/// Fleet in which all instances but the first two started forward to the first one.
struct Fleet {
    memory: Memory,
    wrap_store: fn(Store) -> Store,
    link: Link,
    instances: Vec<ClaimCoordinator>,
    started: u64,
}

impl Fleet {
    fn start(&mut self) -> ClaimCoordinator {
        let mut s = settings(self.started);
        s.limits.head = 300;
        if self.started > 1 {
            s.forward = Some(forward(self.instances[0].clone(), self.link.clone()));
        }
        self.started += 1;
        ClaimCoordinator::spawn((self.wrap_store)(self.memory.store()), s)
    }
}

/// Runs a history and returns how often each key's call was sent.
async fn run_history(steps: Vec<Step>, wrap_store: fn(Store) -> Store) -> IndexMap<u8, u32> {
    let m = memory();
    let runs = Runs::default();
    let link = Link::default();
    let instances = Vec::new();
    let mut fleet =
        Fleet { memory: m.clone(), wrap_store, link: link.clone(), instances, started: 0 };
    for _ in 0..3 {
        let once = fleet.start();
        fleet.instances.push(once);
    }
    let mut calls = tokio::task::JoinSet::new();
    for step in steps {
        match step {
            Step::Call { instance, key, run, end } => {
                calls.spawn(call(fleet.instances[instance].clone(), key, run, end, runs.clone()));
            }
            Step::Restart { instance } => {
                fleet.instances[instance] = fleet.start();
            }
            Step::Lose { responses, calls } => m.set_faults(|f| {
                f.lost_responses = responses;
                f.lost_requests = calls;
            }),
            Step::Outage { on } => m.set_faults(|f| f.outage = on),
            Step::Latency { ms } => m.set_faults(|f| f.latency = Duration::from_millis(ms)),
            Step::Link { lossy, ms } => *link.lock().unwrap() = (lossy, ms),
            Step::Wait { ms } => sleep(Duration::from_millis(ms)).await,
        }
    }
    while calls.join_next().await.is_some() {}
    Arc::try_unwrap(runs).unwrap().into_inner().unwrap()
}

fn run_blocking(steps: Vec<Step>, wrap_store: fn(Store) -> Store) -> IndexMap<u8, u32> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(run_history(steps, wrap_store))
}

/// Wraps a store so that its compare-and-swap does not compare.
fn without_compare(store: Store) -> Store {
    Store::new(move |purpose, call| {
        let store = store.clone();
        Box::pin(async move {
            let mut call = call;
            if let Call::Swap { key, expect, .. } = &mut call {
                let found: Option<Record> = store.get(purpose, key.clone()).await?;
                *expect = found.map_or(0, |r| r.revision);
            }
            let response: StoreResponse = store.call(purpose, call).await?;
            Ok(response)
        })
    })
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// No history may send the call of one key twice.
    #[test]
    fn one_run(steps in prop::collection::vec(step(), 1..40)) {
        let runs = run_blocking(steps, |s| s);
        prop_assert!(runs.values().all(|n| *n <= 1), "{runs:?}");
    }
}

/// The check above must find a second run if the store does not compare revisions.
#[test]
fn missing_compare() {
    let mut runner = proptest::test_runner::TestRunner::new(config(400));
    let history = prop::collection::vec(step(), 1..40);
    let found = runner.run(&history, |steps| {
        let runs = run_blocking(steps, without_compare);
        prop_assert!(runs.values().all(|n| *n <= 1));
        Ok(())
    });
    assert!(found.is_err(), "a store that does not compare must lead to a second run");
}
