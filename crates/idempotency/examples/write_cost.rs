//! Measures the store calls and the added latency of claims, on virtual time with fixed seeds.
//!
//! Calls with an idempotency key arrive as a Poisson process at random instances, and each runs for
//! 200 ms. The store takes 4 ms per call, and a message between instances takes 2 ms each way.
//! "Direct": every instance writes its own claims. "Owner": instances forward them to the owner of
//! the claim shard.

use {
    agate_idempotency::{Claim, ClaimCoordinator, Forward, Settings, owner},
    agate_store::{Purpose, memory::Memory},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        sync::{Arc, Mutex, OnceLock},
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

const STORE_DELAY: Duration = Duration::from_millis(4);
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
const RUN_TIME: Duration = Duration::from_millis(200);
const SPAN: Duration = Duration::from_secs(10);
/// Bytes of a stored response body.
const RESPONSE_BYTES: usize = 200;

/// Parameters of one row of the table.
struct Case {
    instances: usize,
    shards: u32,
    linger_ms: u64,
    rate: f64,
    owned: bool,
}

fn forward(
    all: Arc<OnceLock<Vec<ClaimCoordinator>>>,
    me: usize,
    names: Arc<Vec<String>>,
) -> Forward {
    Arc::new(move |shard, ops| {
        let name = owner::owner(shard, names.iter().map(String::as_str)).expect("members");
        let to = names.iter().position(|n| n == name).expect("a member");
        let peer = (to != me).then(|| all.get().expect("all started")[to].clone());
        Box::pin(async move {
            let peer = peer?;
            sleep(MESSAGE_DELAY).await;
            let verdicts = peer.serve(shard, ops).await;
            sleep(MESSAGE_DELAY).await;
            verdicts
        })
    })
}

fn fleet(case: &Case, memory: &Memory) -> Vec<ClaimCoordinator> {
    let all = Arc::new(OnceLock::new());
    let names = Arc::new((0..case.instances).map(|i| format!("i{i}")).collect::<Vec<_>>());
    let start = |i: usize| {
        let mut s = Settings::new(i as u64);
        s.shards = case.shards;
        s.write_interval = Duration::from_millis(case.linger_ms);
        if case.owned {
            s.forward = Some(forward(all.clone(), i, names.clone()));
        }
        ClaimCoordinator::spawn(memory.store(), s)
    };
    let started: Vec<_> = (0..case.instances).map(start).collect();
    assert!(all.set(started.clone()).is_ok(), "set once");
    started
}

/// Latencies of the successful claims, in milliseconds, and the number of other results.
type Results = Arc<Mutex<(Vec<f64>, u32)>>;

async fn claim_and_finish(once: ClaimCoordinator, key: u64, results: Results) {
    let asked = Instant::now();
    match once.claim("org", &key.to_string(), [0; 32]).await {
        Ok(Claim::Won(permit)) => {
            results.lock().unwrap().0.push(asked.elapsed().as_secs_f64() * 1e3);
            sleep(RUN_TIME).await;
            permit.finish(201, vec![], vec![0; RESPONSE_BYTES]);
        }
        _ => results.lock().unwrap().1 += 1,
    }
}

async fn measure(case: Case) {
    let start = Instant::now();
    let memory = Memory::open(move || start.elapsed());
    memory.set_faults(|f| f.latency = STORE_DELAY);
    let fleet = fleet(&case, &memory);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let results = Results::default();
    let mut calls = tokio::task::JoinSet::new();
    let (mut at, mut n) = (Duration::ZERO, 0u64);
    while at < SPAN {
        at += agate_core::time::seconds(-(1.0 - rng.random::<f64>()).ln() / case.rate);
        sleep_until(start + at).await;
        let once = fleet[rng.random_range(0..case.instances)].clone();
        calls.spawn(claim_and_finish(once, n, results.clone()));
        n += 1;
    }
    while calls.join_next().await.is_some() {}
    sleep(Duration::from_secs(1)).await;
    print_row(&case, &memory, n, &results);
}

fn print_row(case: &Case, memory: &Memory, n: u64, results: &Results) {
    let (mut won, refused) = std::mem::take(&mut *results.lock().unwrap());
    won.sort_by(f64::total_cmp);
    let at = |q: f64| won.get(((won.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(f64::NAN);
    let counts = memory.counts();
    let per = |c: u64| c as f64 * 1000.0 / n as f64;
    println!(
        "| {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {} |",
        if case.owned { "owner" } else { "direct" },
        case.instances,
        case.shards,
        case.linger_ms,
        case.rate,
        per(counts.writes()),
        per(counts.purpose(Purpose::Claim) - counts.writes()),
        counts.writes() as f64 / SPAN.as_secs_f64(),
        at(0.5),
        at(0.95),
        refused,
    );
}

fn main() {
    println!(
        "| way | instances | shards | linger ms | bookings/s | writes per 1,000 | reads per 1,000 | writes/s | added p50 ms | added p95 ms | refused |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let mut cases = Vec::new();
    for (owned, linger_ms) in [(false, 30), (false, 160), (true, 30)] {
        for rate in [100.0, 1000.0, 5000.0] {
            cases.push(Case { instances: 8, shards: 1, linger_ms, rate, owned });
        }
    }
    for instances in [64, 256, 1900] {
        cases.push(Case { instances, shards: 4, linger_ms: 50, rate: 5000.0, owned: true });
    }
    for case in cases {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime starts").block_on(measure(case));
    }
}
