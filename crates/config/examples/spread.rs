//! Measures how fast a change is installed on all instances, and what that costs the store and each
//! instance, in virtual time with 1% of the datagrams lost.
//!
//! Run with `cargo run --release -p agate-config --example spread`.

#[path = "../tests/support/sim.rs"]
mod sim;
#[path = "support/mod.rs"]
mod support;

use {
    agate_config::{
        Document, Head, Section, compact::pack, freshness::ConfigFreshness, head::VERSION,
        index::Tree,
    },
    agate_wire::{Body, Context, Digest, Envelope, Gossip, Keys, seal},
    sim::{Sim, Sizes},
    std::time::Duration,
};

const FLEETS: [(usize, usize); 5] = [(8, 4), (64, 4), (256, 9), (1_000, 9), (1_900, 9)];
const SEEDS: u64 = 3;
const CHANGES: u64 = 20;
const LOSS: f64 = 0.01;
/// Organisations in the document whose message sizes are used.
const ORGANISATIONS: usize = 6_500;
/// Bytes of the IP and UDP headers of a datagram.
const HEADERS: u64 = 28;
const MINUTE: Duration = Duration::from_secs(60);
/// Interval of changes at 20,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4_320);

fn main() {
    let sizes = sizes();
    println!("Bytes of a message: {:?}", sizes[0]);
    println!("Bytes of a record in the store: {:?}\n", sizes[1]);
    println!(
        "| instances | zones | watchers | in force p50 ms | in force max ms | reads in an idle minute | polls in an idle minute | share of time fresh | reads a change | peak reads/s at start | idle B/s mean | idle B/s most | B/s mean at 20,000 a day | B/s most |"
    );
    println!(
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    );
    for (count, zones) in FLEETS {
        measure_fleet(count, zones, sizes);
    }
    println!(
        "\n| instances | peak reads/s at a cold start | reads | in force everywhere ms | KB in and out mean | KB most |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for (count, zones) in FLEETS {
        cold_start(count, zones, sizes);
    }
}

/// Measures a start of all instances at once while none holds a chunk.
fn cold_start(count: usize, zones: usize, [sizes, stored]: [Sizes; 2]) {
    let doc = support::document(ORGANISATIONS);
    let tree = Tree::new(&doc, Section::Organisations);
    let mut sim = Sim::new(count, zones, sizes, 0);
    sim.stored = stored;
    sim.loss = LOSS;
    sim.tree = (tree.index.len(), tree.leaves.len() / tree.index.len());
    let taken = sim.run_until(MINUTE, |s| s.all_at(1));
    let taken = taken.map_or("above 60000".into(), |t| t.as_millis().to_string());
    let moved = sim.instances.iter().map(|n| (n.bytes_in + n.bytes_out) / 1_000);
    let (mean, most) = (moved.clone().sum::<u64>() / count as u64, moved.max().unwrap_or_default());
    println!("| {count} | {} | {} | {taken} | {mean} | {most} |", sim.peak.2, sim.reads);
}

fn measure_fleet(count: usize, zones: usize, [sizes, stored]: [Sizes; 2]) {
    let mut taken = Vec::new();
    let (mut idle, mut busy, mut start, mut polls) = (0, 0, 0, 0);
    let mut fresh = 0.0;
    let (mut quiet, mut loaded) = ((0, 0), (0, 0));
    let mut watchers = 0;
    for seed in 0..SEEDS {
        let mut sim = Sim::new(count, zones, sizes, seed);
        sim.stored = stored;
        sim.loss = LOSS;
        sim.run(MINUTE);
        start = start.max(sim.peak.2);
        watchers = sim.instances.iter().filter(|n| n.state.is_watcher()).count();
        polls -= total_polls(&sim);
        let (reads, bytes) = measure_usage(&mut sim, |s| fresh += fresh_fraction(s) / SEEDS as f64);
        polls += total_polls(&sim);
        idle += reads;
        quiet = combine_rates(quiet, bytes, MINUTE);
        let changing = CHANGE_INTERVAL * CHANGES as u32;
        let (reads, bytes) = measure_usage(&mut sim, |s| taken.extend(changes(s)));
        busy += reads;
        loaded = combine_rates(loaded, bytes, changing);
    }
    taken.sort();
    let (idle, busy) = (idle / SEEDS, busy / SEEDS);
    let baseline = idle as f64 * (CHANGE_INTERVAL * CHANGES as u32).as_secs_f64() / 60.0;
    println!(
        "| {count} | {zones} | {watchers} | {} | {} | {idle} | {} | {fresh:.5} | {:.0} | {start} | {} | {} | {} | {} |",
        taken[taken.len() / 2].as_millis(),
        taken[taken.len() - 1].as_millis(),
        polls / SEEDS as i64,
        (busy as f64 - baseline) / CHANGES as f64,
        quiet.0,
        quiet.1,
        loaded.0,
        loaded.1,
    );
}

fn total_polls(sim: &Sim) -> i64 {
    sim.instances.iter().map(|n| n.state.counters.polls as i64).sum()
}

/// Runs an idle minute and returns the fraction of instance-seconds with a recent proof.
fn fresh_fraction(sim: &mut Sim) -> f64 {
    let mut fresh = 0;
    for _ in 0..MINUTE.as_secs() {
        sim.run(Duration::from_secs(1));
        let held = (0..sim.instances.len()).filter(|i| sim.freshness(*i) == ConfigFreshness::Fresh);
        fresh += held.count();
    }
    fresh as f64 / (sim.instances.len() as u64 * MINUTE.as_secs()) as f64
}

/// Publishes changes at the given interval and returns the time that each took to be installed on
/// all instances.
fn changes(sim: &mut Sim) -> Vec<Duration> {
    let mut out = Vec::new();
    for _ in 0..CHANGES {
        sim.publish();
        let generation = sim.head;
        let taken = sim.run_until(CHANGE_INTERVAL, |s| s.all_at(generation));
        out.push(taken.unwrap_or(CHANGE_INTERVAL));
        sim.run(CHANGE_INTERVAL - taken.unwrap_or(CHANGE_INTERVAL));
    }
    out
}

/// Returns the store reads, and the bytes that each instance sent and received, during `run`.
fn measure_usage(sim: &mut Sim, run: impl FnOnce(&mut Sim)) -> (u64, Vec<u64>) {
    let total = |s: &Sim| s.instances.iter().map(|n| n.bytes_in + n.bytes_out).collect::<Vec<_>>();
    let (reads, bytes) = (sim.reads, total(sim));
    run(sim);
    let used = total(sim).iter().zip(bytes).map(|(after, before)| after - before).collect();
    (sim.reads - reads, used)
}

/// Returns the mean and maximum bytes per second, over this and earlier runs.
fn combine_rates(so_far: (u64, u64), bytes: Vec<u64>, time: Duration) -> (u64, u64) {
    let rate = |b: u64| (b as f64 / time.as_secs_f64()) as u64;
    let mean = rate(bytes.iter().sum::<u64>() / bytes.len() as u64);
    let most = rate(bytes.into_iter().max().unwrap_or_default());
    (so_far.0.max(mean), so_far.1.max(most))
}

/// Returns the sizes of messages between instances, and of the same records in the store.
fn sizes() -> [Sizes; 2] {
    let doc = support::document(ORGANISATIONS);
    let tree = Tree::new(&doc, Section::Organisations);
    let plain = |bytes: &[u8]| bytes.len();
    let short = |bytes: &[u8]| pack(bytes).len();
    let of = |length: &dyn Fn(&[u8]) -> usize| Sizes {
        digest: digest(),
        head: length(&head(&doc, 1_000_000).encode()) as u64,
        index: mean_chunk(tree.index.iter().map(|c| length(&c.bytes))),
        chunk: mean_chunk(tree.leaves.values().map(|c| length(c))),
    };
    [of(&short), of(&plain)]
}

/// Returns the mean length of the chunk that holds an entry chosen at random.
fn mean_chunk(lengths: impl Iterator<Item = usize>) -> u64 {
    let (squares, sum) = lengths.fold((0, 0), |(q, s), n| (q + n * n, s + n));
    (squares / sum) as u64
}

fn head(doc: &Document, generation: u64) -> Head {
    Head {
        version: VERSION,
        generation,
        index: Section::ALL.into_iter().map(|s| (s, Tree::new(doc, s).ids())).collect(),
        author: "an author's name".into(),
        parent: Some(agate_config::head::history_key(generation - 1)),
        token: "0123456789abcdef0123456789abcdef".into(),
        time: Duration::from_secs(1_700_000_000),
        comment: "a comment of some length on one changed key".into(),
    }
}

/// Returns the bytes of an authenticated acknowledgement with a digest, on the wire.
fn digest() -> u64 {
    let keys = Keys::new(&["0123456789abcdef"]).expect("the secret is long enough");
    let config = Digest::Config { generation: 1_000_000, age: Some(Duration::from_millis(1_500)) };
    let gossip = Gossip { digests: vec![config], ..Gossip::default() };
    let envelope = Envelope {
        from: "instance-0000".into(),
        incarnation: 1_700_000_000_000,
        sequence: 1_000_000,
        body: Body::Ack { number: 1_000_000, target: None, gossip },
    };
    let to = "10.0.0.1:7000".parse().expect("an address");
    let sealed = seal(&keys, &envelope, Context::Datagram(to)).expect("it fits a datagram");
    sealed.len() as u64 + HEADERS
}
