//! Measures the cost and detection time of membership over real UDP sockets on the loopback
//! interface.
//!
//! All instances run in this process. Prints one Markdown table row for each size. Processor time
//! is that of the whole process; memory is its growth while the instances started.

use {
    agate_member::{Handle, Hooks, Keys, ListedInstance, Peer, Place, Settings, Status, bind},
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const SIZES: [usize; 3] = [8, 32, 100];
/// Time during which the cost is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
const CRASHES: usize = 3;
/// Maximum wait for a state to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn place() -> Place {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Place { zone: "z".into(), region: "r".into(), address }
}

async fn start(count: usize) -> Vec<Handle> {
    let mut all = Vec::new();
    for i in 0..count {
        let settings = Settings::new(format!("instance-{i:04}"), place());
        let keys = Keys::new(&["the secret of the fleet"]).expect("the secret is long enough");
        all.push(bind(settings, keys, Hooks::none()).await.expect("a free port is bound"));
    }
    let seed = all[0].identity().clone();
    let place = Place { address: seed.address, ..place() };
    let listing = ListedInstance { peer: Peer { name: seed.name.clone(), place }, leaving: false };
    for h in &all[1..] {
        h.update_list(vec![listing.clone()]).await.expect("the membership runs");
    }
    all
}

async fn wait_until(done: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if done() {
            return true;
        }
        sleep(Duration::from_millis(5)).await;
    }
    false
}

fn live(h: &Handle) -> usize {
    h.members().iter().filter(|m| m.status == Status::Alive).count()
}

/// Returns the time that all threads of this process have spent on a core.
fn core_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("the kernel lists the threads");
    let nanos = tasks.flatten().filter_map(|t| {
        let text = fs::read_to_string(t.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

fn resident() -> usize {
    const PAGE: usize = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * PAGE
}

#[tokio::main]
async fn main() {
    println!(
        "| instances | joined after s | datagrams/s sent | B/s sent | B/s received | CPU µs/s | \
         memory KB | detection p50 s | max s | false verdicts |"
    );
    println!("|{}", "---|".repeat(10));
    for count in SIZES {
        measure(count).await;
    }
}

async fn measure(count: usize) {
    let before = resident();
    let started = Instant::now();
    let mut all = start(count).await;
    assert!(
        wait_until(|| all.iter().all(|h| live(h) == count - 1)).await,
        "the fleet did not join"
    );
    let joined = started.elapsed();
    sleep(Duration::from_secs(12)).await;

    let totals = |all: &[Handle]| {
        let t = all.iter().map(|h| h.counters().totals());
        t.fold((0, 0, 0), |s, t| (s.0 + t.sent, s.1 + t.sent_bytes, s.2 + t.received_bytes))
    };
    let (t0, cpu) = (totals(&all), core_time());
    sleep(MEASURED_TIME).await;
    let (t1, cpu) = (totals(&all), core_time() - cpu);
    let memory = resident().saturating_sub(before) / count / 1_000;
    let verdicts = all.iter().map(|h| h.counts().declared_failed).sum::<u64>();

    let mut times = Vec::new();
    for _ in 0..CRASHES {
        times.extend(crash(&mut all).await);
    }
    times.sort_by(f64::total_cmp);
    let per = |n: u64| n as f64 / count as f64 / MEASURED_TIME.as_secs_f64();
    println!(
        "| {count} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {memory} | {:.1} | {:.1} | {verdicts} |",
        joined.as_secs_f64(),
        per(t1.0 - t0.0),
        per(t1.1 - t0.1),
        per(t1.2 - t0.2),
        per(cpu.as_micros() as u64),
        times[times.len() / 2],
        times[times.len() - 1],
    );
}

/// Stops one instance without an announcement, and returns the times until each other instance has
/// declared it failed.
async fn crash(all: &mut Vec<Handle>) -> Vec<f64> {
    let gone = all.pop().expect("an instance is left").identity().name.clone();
    let start = Instant::now();
    let mut times = vec![None; all.len()];
    while times.iter().any(Option::is_none) && start.elapsed() < WAIT_TIMEOUT {
        for (h, t) in all.iter().zip(&mut times) {
            let declared =
                || h.members().iter().any(|m| m.name == gone && m.status == Status::Dead);
            if t.is_none() && declared() {
                *t = Some(start.elapsed().as_secs_f64());
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
    times.into_iter().flatten().collect()
}
