//! Latency of short questions among long dossiers, below saturation.

use {
    crate::{
        baseline::{Choice, Order},
        results::Results,
        setup::Setup,
        simulation::run,
        study::engine_rate,
        table::{Table, millis, percent, seconds},
        workload::{Request, Source, draw},
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Time before the measurement begins.
const WARMUP: Duration = Duration::from_secs(10);
/// Fraction of dossiers in the traffic.
pub const DOSSIERS: f64 = 0.3;
/// Target for the 95th percentile of the time to first token.
pub const FIRST_TARGET: Duration = Duration::from_millis(780);
/// Target for the 95th percentile of the time between tokens.
pub const GAP_TARGET: Duration = Duration::from_millis(41);

/// Combination of policies.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name of the combination in tables.
    pub name: &'static str,
    /// Order of waiting requests.
    pub order: Order,
    /// Policy for choosing an endpoint.
    pub choice: Choice,
}

/// Policies of production.
pub const PRODUCTION: Policy =
    Policy { name: "fair, predicted delay", order: Order::Fair, choice: Choice::Predicted };
/// Baseline policies.
pub const BASELINES: [Policy; 2] = [
    Policy { name: "FIFO, random", order: Order::Fifo, choice: Choice::Random },
    Policy { name: "FIFO, least reported", order: Order::Fifo, choice: Choice::LeastReported },
];

/// Runs eight organisations with a total load of `load` times saturation.
pub fn measure(engines: u32, load: f64, policy: Policy, length: Duration, seed: u64) -> Results {
    let rate = engine_rate(DOSSIERS) * f64::from(engines) * load / 8.0;
    let source = |org| Source { org, rate, dossiers: DOSSIERS, library: 0 };
    let sources: Vec<_> = (0..8).map(source).collect();
    let requests = draw(&sources, (Mono::ZERO, WARMUP + length), 8, seed);
    let (order, choice) = (Some(policy.order), policy.choice);
    let setup = Setup { engines, order, choice, seed, ..Setup::default() };
    run(setup, &requests, Duration::from_secs(60))
}

/// Whether a request arrived after the warm-up.
pub fn measured(request: &Request) -> bool {
    request.at >= WARMUP
}

/// Compares the policies at several loads, relative to saturation.
pub fn table(engines: u32, loads: &[f64], length: Duration, seed: u64) -> Table {
    let title = format!("Questions among dossiers, {engines} engines, seed {seed}");
    let head = [
        "load",
        "policy",
        "questions late",
        "p95 first token, questions",
        "p95 first token, dossiers",
        "p95 between tokens",
    ];
    let mut table = Table::new(title, &head);
    for load in loads {
        for policy in BASELINES.into_iter().chain([PRODUCTION]) {
            let results = measure(engines, *load, policy, length, seed);
            table.row([
                percent(*load),
                policy.name.into(),
                percent(results.late_fraction(|r| measured(r) && r.urgent)),
                seconds(results.first_percentile(95.0, |r| measured(r) && r.urgent)),
                seconds(results.first_percentile(95.0, |r| measured(r) && !r.urgent)),
                millis(results.gap_percentile(95.0)),
            ]);
        }
    }
    table
}
