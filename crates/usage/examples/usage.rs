//! Measures the cost of usage counting for an instance and for the lease holder of a shard.

use {
    agate_usage::{
        clock::WindowClock,
        counter::{Counter, Message},
        figures::Figures,
        ledger::{Ledger, Part, PartRequest},
        sealed::{self, seal},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODELS: usize = 6;
const SHARDS: [u32; 3] = [16, 64, 128];
const WINDOW: Duration = Duration::from_secs(60);
const ROUND: Duration = Duration::from_millis(250);
const RATE: u64 = 24;
const SECONDS: u64 = 180;

struct Size {
    orgs: usize,
    instances: usize,
}

/// Draws organisations from a Zipf distribution, and models uniformly.
struct Sampler {
    names: Vec<Arc<str>>,
    models: Vec<Arc<str>>,
    sums: Vec<f64>,
    rng: StdRng,
}

impl Sampler {
    fn new(orgs: usize, seed: u64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=orgs).map(|i| {
            sum += 1.0 / i as f64;
            sum
        });
        let sums = sums.collect();
        Self {
            names: (0..orgs).map(|i| format!("organisation-{i}").into()).collect(),
            models: (0..MODELS).map(|i| format!("model-name-{i}").into()).collect(),
            sums,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn count(&mut self, counter: &mut Counter, at: Duration) {
        let last = self.sums[self.sums.len() - 1];
        let x = self.rng.random::<f64>() * last;
        let org = self.sums.partition_point(|s| *s < x).min(self.names.len() - 1);
        let model = self.rng.random_range(0..MODELS);
        let work = Figures { requests: 1, prompt: 900, output: 390 };
        counter.count(&self.names[org], &self.models[model], work, at, at);
    }
}

fn open(name: &str) -> Counter {
    let clock = WindowClock::open(WINDOW, Duration::ZERO, Duration::ZERO);
    Counter::open(name, clock)
}

fn main() {
    println!(
        "| organisations | bytes/s sent to two peers | rows of one window | CPU share of a core |"
    );
    println!("| --- | --- | --- | --- |");
    let sizes =
        [(8, 8), (800, 250), (6_500, 1_900)].map(|(orgs, instances)| Size { orgs, instances });
    for size in &sizes {
        instance(size);
    }
    println!();
    println!(
        "| organisations | instances | shards | parts to a holder | bytes/s | sealed record | rows | sealing |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in &sizes {
        SHARDS.iter().for_each(|shards| holder(size, *shards));
    }
}

/// Measures one instance that counts, replicates to two peers and merges the messages of two
/// others.
fn instance(size: &Size) {
    let mut sampler = Sampler::new(size.orgs, 1);
    let mut counter = open("instance-1@1");
    counter.set_peers(["instance-2@1".into(), "instance-3@1".into()]);
    let mut copies = Ledger::new();
    let mut sent = 0;
    let start = Instant::now();
    let rounds = Duration::from_secs(SECONDS).as_millis() / ROUND.as_millis();
    for round in 1..=rounds as u32 {
        let now = ROUND * round;
        for _ in 0..RATE * ROUND.as_millis() as u64 / 1000 {
            sampler.count(&mut counter, now);
        }
        for (peer, message) in counter.ship(now, now) {
            let bytes = sealed::encode(&message);
            sent += bytes.len();
            let received: Message = sealed::decode("message", &bytes).expect("own message");
            copies.merge(&received, now);
            counter.acknowledge(&peer, message.round);
        }
    }
    let share = start.elapsed().as_secs_f64() / SECONDS as f64;
    let rows = counter.part(0, 1, 1, 1).rows.len();
    println!("| {} | {} | {rows} | {:.4} % |", size.orgs, sent as u64 / SECONDS, share * 100.0);
}

/// Measures the lease holder of one shard, which collects the parts of all instances for one window
/// and seals it.
fn holder(size: &Size, shards: u32) {
    let mut ledger = Ledger::new();
    let mut bytes = 0;
    for i in 0..size.instances {
        let mut sampler = Sampler::new(size.orgs, 100 + i as u64);
        let mut counter = open(&format!("instance-{i}@1"));
        for second in 0..WINDOW.as_secs() {
            (0..RATE).for_each(|_| sampler.count(&mut counter, Duration::from_secs(second)));
        }
        counter.ship(WINDOW, WINDOW);
        let want = PartRequest { shard: 0, shards, oldest: 0, newest: 0 };
        let part: Part = counter.part(want.shard, want.shards, want.oldest, want.newest);
        bytes += sealed::encode(&part).len();
        ledger.merge_part(&part, WINDOW);
    }
    let start = Instant::now();
    let record = seal(0, shards, 0, 0, &[], &ledger);
    let took = start.elapsed();
    let complete = record.entries.iter().all(|e| e.complete);
    assert!(complete, "all instances have closed the window");
    println!(
        "| {} | {} | {shards} | {:.1} KB | {} | {:.1} KB | {} | {:.1} ms |",
        size.orgs,
        size.instances,
        bytes as f64 / 1e3,
        bytes as u64 / WINDOW.as_secs(),
        sealed::encode(&record).len() as f64 / 1e3,
        record.rows.len(),
        took.as_secs_f64() * 1e3
    );
}
