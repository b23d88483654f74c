//! Prints how many reports come late or off under kills, lost messages and store outages.

#[path = "../tests/support/mod.rs"]
mod support;

use {
    agate_usage::clock::window_end,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    support::{LENGTH, Mode, Op, Plant, World},
};

const HOURS: u64 = 6;
/// Time after the end of a window from which its report counts as late.
const LATE: Duration = Duration::from_secs(30);
/// Seconds from the death of a holder to the next one, as the leases take at most.
const HANDOVER: u64 = 12;

/// Windows back to which late figures are taken in.
const HORIZON: u64 = 15;
/// Seconds between two rounds in which copies of silent instances are handed on.
const RELAY: u64 = 5;

struct Faults {
    name: &'static str,
    /// Kills an hour, over all instances.
    kills: f64,
    /// Part of the messages that are lost.
    loss: f64,
    /// Store outages an hour.
    outages: f64,
    /// Length of an outage in seconds.
    down: u64,
}

const LEVELS: [Faults; 3] = [
    Faults { name: "none", kills: 0.0, loss: 0.0, outages: 0.0, down: 0 },
    Faults { name: "usual", kills: 4.0, loss: 0.01, outages: 0.2, down: 60 },
    Faults { name: "heavy", kills: 60.0, loss: 0.2, outages: 2.0, down: 300 },
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
    let mut w = World::new(Plant::Sound, HORIZON, count);
    let (mut holder, mut vacant, mut outage) = (0, 1, 0);
    for second in 0..HOURS * 3600 {
        w.run(&Op::Wait(1));
        (0..count).for_each(|i| {
            w.run(&Op::Count(i, rng.random_range(0..2), rng.random_range(1..400)));
        });
        // A kill comes between the work of a second and the round that would ship it.
        if rng.random_bool(faults.kills / 3600.0) {
            let victim = rng.random_range(0..count);
            w.run(&Op::Kill(victim));
            vacant = if victim == holder { second + HANDOVER } else { vacant };
        }
        if vacant == second {
            holder = rng.random_range(0..count);
            (0..count).for_each(|i| w.run(&Op::Authority(i, i == holder)));
        }
        if rng.random_bool(faults.outages / 3600.0) {
            outage = second + faults.down;
        }
        ship(&mut w, &mut rng, faults, count);
        if second % RELAY == 0 {
            (0..count).for_each(|i| w.run(&Op::Relay(i)));
        }
        let mode = if second < outage { Mode::Down } else { Mode::Fine };
        w.run(&Op::Drive(holder, mode, u8::MAX));
    }
    print(count, faults, &mut w);
}

/// One round of every instance to all peers.
fn ship(w: &mut World, rng: &mut StdRng, faults: &Faults, count: usize) {
    (0..count).for_each(|i| w.run(&Op::Ship(i)));
    while !w.net.is_empty() {
        match rng.random_bool(faults.loss) {
            true => w.run(&Op::Drop(0)),
            false => w.run(&Op::Deliver(0, false, true)),
        }
    }
}

fn print(count: usize, faults: &Faults, w: &mut World) {
    let windows = w.reports.len();
    let delays = w.times.iter().map(|(win, at)| at.saturating_sub(window_end(*win, LENGTH)));
    let delays: Vec<Duration> = delays.collect();
    let late = delays.iter().filter(|d| **d > LATE).count();
    let greatest = delays.iter().max().map_or(0, Duration::as_secs);
    w.recover();
    let rows = w.reports.values().flat_map(|s| s.rows.iter().map(|r| (s.window, r.key.window)));
    let adjusted = rows.filter(|(sealed, counted)| counted < sealed).count();
    let refused: u64 = w.nodes.iter().map(|n| n.sealer.rejected).sum();
    let (ran, got) = (w.ran(0) + w.ran(1), w.reported(0) + w.reported(1));
    let missing = ran.saturating_sub(got) as f64 / ran as f64 * 100.0;
    println!(
        "| {count} | {} | {windows} | {late} | {greatest} s | {adjusted} | {missing:.4} % | {} | {refused} |",
        faults.name,
        got.saturating_sub(ran)
    );
}
