//! Short questions among long dossiers below saturation.

use {
    crate::{
        baseline::{Choice, Order},
        figures::Figures,
        setup::Setup,
        study::engine_rate,
        table::{Table, millis, percent, seconds},
        workload::{Request, Source, draw},
        world::run,
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Time before the measured part.
const WARM: Duration = Duration::from_secs(10);
/// Share of dossiers in the traffic.
pub const DOSSIERS: f64 = 0.3;
/// Time to first token that 95 in 100 requests must reach.
pub const FIRST_TARGET: Duration = Duration::from_millis(780);
/// Time between tokens that 95 in 100 tokens must reach.
pub const GAP_TARGET: Duration = Duration::from_millis(41);

/// Policies that are compared.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// Order of waiting requests.
    pub order: Order,
    /// Choice of endpoint.
    pub choice: Choice,
}

/// The production policy.
pub const OURS: Policy =
    Policy { name: "fair, predicted delay", order: Order::Fair, choice: Choice::Predicted };
/// The baselines.
pub const BASELINES: [Policy; 2] = [
    Policy { name: "FIFO, random", order: Order::Fifo, choice: Choice::Random },
    Policy { name: "FIFO, least reported", order: Order::Fifo, choice: Choice::LeastReported },
];

/// Runs eight organisations at `load`, relative to saturation.
pub fn measure(engines: u32, load: f64, policy: Policy, length: Duration, seed: u64) -> Figures {
    let rate = engine_rate(DOSSIERS) * f64::from(engines) * load / 8.0;
    let source = |org| Source { org, rate, dossiers: DOSSIERS, library: 0 };
    let sources: Vec<_> = (0..8).map(source).collect();
    let requests = draw(&sources, (Mono::ZERO, WARM + length), 8, seed);
    let (order, choice) = (Some(policy.order), policy.choice);
    let setup = Setup { engines, order, choice, seed, ..Setup::default() };
    run(setup, &requests, Duration::from_secs(60))
}

/// Whether a request belongs to the measured part.
pub fn measured(request: &Request) -> bool {
    request.at >= WARM
}

/// Compares the policies at several loads.
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
        for policy in BASELINES.into_iter().chain([OURS]) {
            let f = measure(engines, *load, policy, length, seed);
            table.row([
                percent(*load),
                policy.name.into(),
                percent(f.late_share(|r| measured(r) && r.urgent)),
                seconds(f.first_percentile(95.0, |r| measured(r) && r.urgent)),
                seconds(f.first_percentile(95.0, |r| measured(r) && !r.urgent)),
                millis(f.gap_percentile(95.0)),
            ]);
        }
    }
    table
}
