//! Measures the calls that leases cost the service, and how soon a holder that died is replaced.

#[path = "../tests/support/fleet.rs"]
mod fleet;

use {
    fleet::{Fleet, FleetSimulation},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Maximum number of leases for which the naive fleet is run, in which each instance tries each
/// lease.
const MAX_NAIVE: usize = 50;
const FLEETS: u64 = 200;
const KILLS: usize = 5;
const SETTLE: Duration = Duration::from_secs(30);
const STEADY: u64 = 300;

fn main() {
    restart();
    steady();
    replacement();
}

/// Fleets whose leases are usage shards and pieces of a pool.
fn fleets() -> [Fleet; 4] {
    let fleet = |instances, zones, shards: usize, pieces: usize| Fleet {
        instances,
        zones,
        leases: shards + pieces,
        naive: false,
    };
    [fleet(8, 4, 16, 1), fleet(100, 4, 16, 2), fleet(1_900, 9, 16, 12), fleet(1_900, 9, 128, 12)]
}

fn restart() {
    println!(
        "| instances | leases | peak reads/s | peak writes/s | reads of the start | without the rules: reads/s | writes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for fleet in fleets() {
        let mut s = FleetSimulation::start(fleet, 7);
        s.run(SETTLE);
        let naive = naive_peaks(fleet);
        println!(
            "| {} | {} | {} | {} | {} | {naive} |",
            fleet.instances,
            fleet.leases,
            s.counts.peak_reads,
            s.counts.peak_writes,
            s.counts.reads(),
        );
    }
    println!();
}

fn naive_peaks(fleet: Fleet) -> String {
    if fleet.leases > MAX_NAIVE {
        return "not run | not run".into();
    }
    let mut naive = FleetSimulation::start(Fleet { naive: true, ..fleet }, 7);
    naive.run(Duration::from_secs(2));
    format!("{} | {}", naive.counts.peak_reads, naive.counts.peak_writes)
}

fn steady() {
    println!(
        "| instances | leases | reads/s | writes/s | reads/s per lease | writes/s per lease |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for fleet in fleets() {
        let mut s = FleetSimulation::start(fleet, 7);
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

/// Runs kills over many fleets, since polls and renewals keep the phase in which a fleet started.
fn replacement() {
    println!("| instances | fleets | kills | p50 | p99 | greatest |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for fleet in [fleets()[0], fleets()[1], fleets()[2]] {
        let mut times: Vec<Duration> = (0..FLEETS).flat_map(|seed| kills(fleet, seed)).collect();
        times.sort();
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64();
        println!(
            "| {} | {FLEETS} | {} | {:.2} s | {:.2} s | {:.2} s |",
            fleet.instances,
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}

fn kills(fleet: Fleet, seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = FleetSimulation::start(Fleet { leases: 1, ..fleet }, seed);
    let kill = |_| {
        s.run(Duration::from_millis(rng.random_range(8_000..20_000)));
        s.kill_holder()
    };
    (0..KILLS).filter_map(kill).collect()
}
