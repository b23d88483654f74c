//! Prints what leases cost the service, and how soon a dead holder is replaced.

#[path = "../tests/support/storm.rs"]
mod storm;

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    storm::{Fleet, Storm},
};

const SHARDS: usize = 16;
const SETTLE: Duration = Duration::from_secs(30);
const STEADY: u64 = 300;

fn main() {
    restart();
    steady();
    replacement();
}

fn fleets() -> [Fleet; 3] {
    let fleet = |instances, zones, pieces| Fleet {
        instances,
        zones,
        leases: SHARDS + pieces,
        naive: false,
    };
    [fleet(8, 4, 1), fleet(100, 4, 2), fleet(1_900, 9, 12)]
}

fn restart() {
    println!(
        "| instances | leases | peak reads/s | peak writes/s | reads of the start | without the rules: reads/s | writes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for fleet in fleets() {
        let mut s = Storm::start(fleet, 7);
        s.run(SETTLE);
        let mut naive = Storm::start(Fleet { naive: true, ..fleet }, 7);
        naive.run(Duration::from_secs(2));
        println!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            fleet.instances,
            fleet.leases,
            s.counts.peak_reads,
            s.counts.peak_writes,
            s.counts.reads(),
            naive.counts.peak_reads,
            naive.counts.peak_writes,
        );
    }
    println!();
}

fn steady() {
    println!(
        "| instances | leases | reads/s | writes/s | reads/s per lease | writes/s per lease |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for fleet in fleets() {
        let mut s = Storm::start(fleet, 7);
        s.run(SETTLE);
        let before = s.counts.clone();
        s.run(Duration::from_secs(STEADY));
        let rate = |after: u64, before: u64| (after - before) as f64 / STEADY as f64;
        let reads = rate(s.counts.reads(), before.reads());
        let writes = rate(s.counts.writes(), before.writes());
        let leases = fleet.leases as f64;
        println!(
            "| {} | {} | {reads:.1} | {writes:.1} | {:.2} | {:.2} |",
            fleet.instances,
            fleet.leases,
            reads / leases,
            writes / leases
        );
    }
    println!();
}

fn replacement() {
    println!("| instances | kills | p50 | p99 | greatest |");
    println!("| --- | --- | --- | --- | --- |");
    for fleet in fleets() {
        let mut rng = StdRng::seed_from_u64(9);
        let mut s = Storm::start(Fleet { leases: 1, ..fleet }, 7);
        let mut times: Vec<Duration> = (0..400)
            .filter_map(|_| {
                s.run(Duration::from_millis(rng.random_range(8_000..20_000)));
                s.kill_holder()
            })
            .collect();
        times.sort();
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64();
        println!(
            "| {} | {} | {:.2} s | {:.2} s | {:.2} s |",
            fleet.instances,
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}
