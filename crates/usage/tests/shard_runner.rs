//! The runner seals and reports each window once, with a real lease and store and under faults.

use {
    agate_lease::{Lease, Settings as LeaseSettings},
    agate_store::{Memory, Purpose},
    agate_usage::{
        Shard,
        clock::WindowClock,
        counter::Counter,
        figures::Figures,
        runner::{Ports, ReportError},
        sealed::Sealed,
        sealer::Settings,
    },
    indexmap::IndexMap,
    rstest::rstest,
    std::{
        sync::{Arc, Mutex, atomic::Ordering},
        time::{Duration, Instant},
    },
};

const LENGTH: Duration = Duration::from_millis(400);

fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        shard: 0,
        shards: 1,
        window: LENGTH,
        gather: ms(20),
        grace: ms(100),
        horizon: 1000,
        retry: ms(10),
        timeout: ms(5000),
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against reporting a window with two different figures when results of store calls and
/// reports are lost.
#[rstest]
#[case::clean(0, false)]
#[case::lost_responses(3, true)]
#[tokio::test]
async fn reports_once(#[case] lost: u32, #[case] fails: bool) {
    let memory = Memory::open(|| Duration::ZERO);
    let lease = Lease::spawn(memory.store(), LeaseSettings::new("usage/0", "a"));
    wait_until(|| lease.may_act().is_some()).await;
    memory.set_faults(|f| f.lost_responses = lost);
    let origin = Instant::now();
    let wall = move || Duration::from_secs(1000) + origin.elapsed();
    let clock = WindowClock::open(LENGTH, wall(), Duration::ZERO);
    let mut counter = Counter::open("a@1", clock);
    let work = Figures { requests: 1, prompt: 5, output: 7 };
    counter.count(&"org".into(), &"m".into(), work, wall(), origin.elapsed());
    let reports = Arc::new(Mutex::new(IndexMap::<u64, Sealed>::new()));
    let attempts = Arc::new(Mutex::new(0));
    let (accepted, count) = (reports.clone(), attempts.clone());
    let report = move |s: Sealed| -> futures_util::future::BoxFuture<'static, _> {
        let mut attempts = count.lock().unwrap();
        *attempts += 1;
        // The report is accepted, but every other time its response is lost.
        let old = accepted.lock().unwrap().insert(s.window, s.clone());
        assert!(old.is_none_or(|o| o == s), "reports of one window differ");
        let lose_response = fails && *attempts % 2 == 1;
        Box::pin(async move {
            let failed = ReportError::Failed { peer: "p".into(), cause: "lost".into() };
            if lose_response { Err(failed) } else { Ok(()) }
        })
    };
    let ports = Ports {
        store: memory.store(),
        lease,
        report: Arc::new(report),
        gather: Arc::new(|_| {}),
        wall: Arc::new(wall),
    };
    let shard = Shard::spawn(settings(), ports);
    shard.merge_part(&counter.part(0, 1, 0, u64::MAX - 1));
    wait_until(|| shard.counters().reported.load(Ordering::Relaxed) >= 3).await;
    let sum = || {
        let reports = reports.lock().unwrap();
        let rows = reports.values().flat_map(|s| &s.rows);
        rows.map(|r| r.figures.output).sum::<u64>()
    };
    wait_until(|| sum() > 0).await;
    assert_eq!(sum(), 7);
    assert_eq!(shard.counters().rejected.load(Ordering::Relaxed), 0);
}

/// Guards against overwriting a head record that cannot be decoded.
#[tokio::test]
async fn bad_head_refused() {
    let memory = Memory::open(|| Duration::ZERO);
    let store = memory.store();
    store.swap(Purpose::Report, "usage/0/head", 0, vec![77]).await.unwrap().unwrap();
    let lease = Lease::spawn(memory.store(), LeaseSettings::new("usage/0", "a"));
    let ports = Ports {
        store: memory.store(),
        lease,
        report: Arc::new(|_| panic!("nothing can be reported")),
        gather: Arc::new(|_| {}),
        wall: Arc::new(|| Duration::from_secs(1000)),
    };
    let shard = Shard::spawn(settings(), ports);
    wait_until(|| shard.counters().refused.load(Ordering::Relaxed) > 1).await;
    let record = store.get(Purpose::Report, "usage/0/head").await.unwrap().unwrap();
    assert_eq!(record.value, [77]);
}
