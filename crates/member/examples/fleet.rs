//! Measures the cost, detection time and false failure declarations of membership at several fleet
//! sizes, in virtual time.
//!
//! Prints one Markdown table row for each size and loss rate. Bytes are those of the datagrams
//! without IP and UDP headers. Processor time covers the protocol with encoding and authentication,
//! scaled by the share of a core that this process got meanwhile.

#[path = "../tests/net/mod.rs"]
mod net;

use {
    agate_member::{Scope, Status},
    net::{Event, Net, Shape},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 2026;
/// Virtual time during which the cost is measured.
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// Minimum number of crashes at each size.
const CRASHES: usize = 20;
/// Time between a crash and the restart.
const RESTART_DELAY: Duration = Duration::from_secs(15);
/// Member-hours over which false failure declarations are counted.
const MEMBER_HOURS: f64 = 8.0;

const SHAPES: [Shape; 5] = [
    Shape { members: 8, zones: 4, regions: 1, scope: Scope::Region },
    Shape { members: 64, zones: 4, regions: 1, scope: Scope::Zone },
    Shape { members: 256, zones: 4, regions: 2, scope: Scope::Zone },
    Shape { members: 1_000, zones: 4, regions: 2, scope: Scope::Zone },
    Shape { members: 1_900, zones: 9, regions: 4, scope: Scope::Zone },
];

fn main() {
    let only: Option<usize> = std::env::args().nth(1).and_then(|a| a.parse().ok());
    println!(
        "| members | zones | loss | datagrams/s sent | B/s sent | B/s received | CPU µs/s | state KB | \
         detection p50 s | p99 s | max s | false verdicts per member-hour | failed probes per member-hour | digest spread p50 s | max s |"
    );
    println!("|{}", "---|".repeat(15));
    for shape in SHAPES {
        if only.is_some_and(|m| m != shape.members) {
            continue;
        }
        for loss in [0.0, 0.2] {
            measure(shape, loss);
        }
    }
}

fn measure(shape: Shape, loss: f64) {
    let mut net = Net::new(shape, SEED);
    assert!(net.run_until(Duration::from_secs(60), Net::views_agree), "the fleet did not join");
    net.run_for(Duration::from_secs(10));
    net.loss = loss;
    net.run_for(Duration::from_secs(10));

    net.log.clear();
    let cost = cost(&mut net);
    let (wrong, failures) = false_rates(&mut net);
    let spread = spread(&mut net);
    let state = net.instances.iter().map(|n| n.state.bytes()).sum::<usize>();
    let detection = detection(&mut net, shape);
    println!(
        "| {} | {} | {:.0}% | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.3} | {:.1} | {:.1} | {:.1} |",
        shape.members,
        shape.zones,
        loss * 100.0,
        cost.datagrams,
        cost.sent,
        cost.received,
        cost.cpu_time,
        state as f64 / shape.members as f64 / 1e3,
        quantile(&detection, 0.5),
        quantile(&detection, 0.99),
        quantile(&detection, 1.0),
        wrong,
        failures,
        quantile(&spread, 0.5),
        quantile(&spread, 1.0),
    );
}

/// Cost for each member and second.
struct Cost {
    datagrams: f64,
    sent: f64,
    received: f64,
    cpu_time: f64,
}

fn cost(net: &mut Net) -> Cost {
    for n in &mut net.instances {
        (n.sent, n.sent_bytes, n.received_bytes) = (0, 0, 0);
    }
    net.cpu_time = Duration::ZERO;
    let (wall, used) = (Instant::now(), core_time());
    net.run_for(MEASURED_TIME);
    let share = (core_time() - used).as_secs_f64() / wall.elapsed().as_secs_f64();
    net.cpu_time = net.cpu_time.mul_f64(share);
    let per = |total: u64| total as f64 / net.instances.len() as f64 / MEASURED_TIME.as_secs_f64();
    Cost {
        datagrams: per(net.instances.iter().map(|n| n.sent).sum()),
        sent: per(net.instances.iter().map(|n| n.sent_bytes).sum()),
        received: per(net.instances.iter().map(|n| n.received_bytes).sum()),
        cpu_time: per(net.cpu_time.as_micros() as u64),
    }
}

/// Returns the time that this thread has spent on a core.
fn core_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("the kernel reports the time of a thread"))
}

/// Returns the rates per member-hour of running members declared failed, and of failed probes.
fn false_rates(net: &mut Net) -> (f64, f64) {
    let members = net.instances.len() as f64;
    let span = agate_core::time::seconds((MEMBER_HOURS / members * 3600.0).max(60.0));
    let failures = |n: &Net| n.instances.iter().map(|n| n.state.counts().failures).sum::<u64>();
    let (log_start, before) = (net.log.len(), failures(net));
    net.run_for(span);
    let wrong = net.log[log_start..].iter().filter(|e| e.status == Status::Dead);
    // Declarations about one member within one minute count as one incident.
    let incidents: BTreeSet<_> = wrong.map(|e| (e.subject, e.at.as_secs() / 60)).collect();
    let hours = members * span.as_secs_f64() / 3600.0;
    (incidents.len() as f64 / hours, (failures(net) - before) as f64 / hours)
}

/// Returns the times until each instance has received a new configuration generation.
fn spread(net: &mut Net) -> Vec<f64> {
    let start = net.now;
    net.instances[0].generation = 1;
    let mut times = Vec::new();
    while times.len() < net.instances.len() {
        net.run_for(Duration::from_millis(100));
        let informed = net.instances.iter().filter(|n| n.generation == 1).count();
        times.resize(informed, (net.now - start).as_secs_f64());
        assert!(net.now < start + Duration::from_secs(120), "the digest did not reach everyone");
    }
    times
}

/// Returns the times from a crash until each member of the scope has declared the crashed one
/// failed.
///
/// Scopes do not affect each other, so one member of each scope crashes at the same time and
/// restarts before the next round.
fn detection(net: &mut Net, shape: Shape) -> Vec<f64> {
    let scopes = if shape.scope == Scope::Zone { shape.zones } else { 1 };
    let mut times = Vec::new();
    for k in 0..CRASHES.div_ceil(scopes) {
        let first = k * scopes * 3 % net.instances.len();
        let victims: BTreeSet<usize> = (first..first + scopes).collect();
        let (start, log_start) = (net.now, net.log.len());
        victims.iter().for_each(|&v| net.crash(v));
        net.run_for(RESTART_DELAY);
        let declared = |e: &&Event| victims.contains(&e.subject) && e.status == Status::Dead;
        let seen = net.log[log_start..].iter().filter(declared);
        times.extend(seen.map(|e| (e.at - start).as_secs_f64()));
        victims.iter().for_each(|&v| net.restart(v, None));
        net.run_for(RESTART_DELAY);
    }
    times.sort_by(f64::total_cmp);
    times
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let i = ((sorted.len() as f64 - 1.0) * q).round() as usize;
    sorted.get(i).copied().unwrap_or(f64::NAN)
}
