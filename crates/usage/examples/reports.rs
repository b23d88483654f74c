//! Simulates kills, lost messages and store outages, and prints how many reports are late or wrong.

#[path = "../tests/support/mod.rs"]
mod support;

use {
    agate_usage::clock::window_end,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    support::{LENGTH, Op, PlantedBug, Simulation, StoreMode},
};

const HOURS: u64 = 6;
/// Time after the end of a window after which its report counts as late.
const LATE: Duration = Duration::from_secs(30);
/// Seconds from the death of a lease holder to the next holder: the longest time that leases take.
const HANDOVER: u64 = 12;

/// Number of past windows for which late counts are accepted.
const HORIZON: u64 = 15;
/// Seconds between two relays of the copies of silent instances.
const RELAY: u64 = 5;

struct Faults {
    name: &'static str,
    /// Kills per hour, of all instances together.
    kills: f64,
    /// Fraction of messages lost.
    loss: f64,
    /// Store outages per hour.
    outages: f64,
    /// Duration of an outage in seconds.
    outage_secs: u64,
}

const LEVELS: [Faults; 3] = [
    Faults { name: "none", kills: 0.0, loss: 0.0, outages: 0.0, outage_secs: 0 },
    Faults { name: "usual", kills: 4.0, loss: 0.01, outages: 0.2, outage_secs: 60 },
    Faults { name: "heavy", kills: 60.0, loss: 0.2, outages: 2.0, outage_secs: 300 },
];

fn main() {
    println!(
        "| instances | faults | windows | late | greatest delay | adjusted rows | work missing | work too much | refused |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in [3, 5, 8] {
        LEVELS.iter().for_each(|faults| run(count, faults));
    }
}

fn run(count: usize, faults: &Faults) {
    let mut rng = StdRng::seed_from_u64(3);
    let mut w = Simulation::new(PlantedBug::None, HORIZON, count);
    let (mut holder, mut handover_at, mut outage) = (0, 1, 0);
    for second in 0..HOURS * 3600 {
        w.run(&Op::Advance(1));
        (0..count).for_each(|i| {
            w.run(&Op::Count(i, rng.random_range(0..2), rng.random_range(1..400)));
        });
        // Kills happen between the work of a second and the round that would replicate it.
        if rng.random_bool(faults.kills / 3600.0) {
            let victim = rng.random_range(0..count);
            w.run(&Op::Kill(victim));
            handover_at = if victim == holder { second + HANDOVER } else { handover_at };
        }
        if handover_at == second {
            holder = rng.random_range(0..count);
            (0..count).for_each(|i| w.run(&Op::SetLease(i, i == holder)));
        }
        if rng.random_bool(faults.outages / 3600.0) {
            outage = second + faults.outage_secs;
        }
        replicate(&mut w, &mut rng, faults, count);
        if second % RELAY == 0 {
            (0..count).for_each(|i| w.run(&Op::Relay(i)));
        }
        let mode = if second < outage { StoreMode::Unavailable } else { StoreMode::Working };
        w.run(&Op::RunSealer(holder, mode, u8::MAX));
    }
    print(count, faults, &mut w);
}

/// Runs one replication round of all instances.
fn replicate(w: &mut Simulation, rng: &mut StdRng, faults: &Faults, count: usize) {
    (0..count).for_each(|i| w.run(&Op::Replicate(i)));
    while !w.messages.is_empty() {
        match rng.random_bool(faults.loss) {
            true => w.run(&Op::Drop(0)),
            false => w.run(&Op::Deliver(0, false, true)),
        }
    }
}

fn print(count: usize, faults: &Faults, w: &mut Simulation) {
    let windows = w.reports.len();
    let delays =
        w.first_reports.iter().map(|(win, at)| at.saturating_sub(window_end(*win, LENGTH)));
    let delays: Vec<Duration> = delays.collect();
    let late = delays.iter().filter(|d| **d > LATE).count();
    let longest = delays.iter().max().map_or(0, Duration::as_secs);
    w.recover();
    let rows = w.reports.values().flat_map(|s| s.rows.iter().map(|r| (s.window, r.key.window)));
    let adjusted = rows.filter(|(sealed, counted)| counted < sealed).count();
    let refused: u64 = w.instances.iter().map(|n| n.sealer.rejected).sum();
    let (ran, got) = (w.ran(0) + w.ran(1), w.reported(0) + w.reported(1));
    let missing = ran.saturating_sub(got) as f64 / ran as f64 * 100.0;
    println!(
        "| {count} | {} | {windows} | {late} | {longest} s | {adjusted} | {missing:.4} % | {} | {refused} |",
        faults.name,
        got.saturating_sub(ran)
    );
}
