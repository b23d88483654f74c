//! Goodput above saturation, and herding caused by delayed load reports.

use {
    crate::{
        baseline::Choice,
        plot::Line,
        results::Results,
        setup::Setup,
        simulation::run,
        study::deadline::{self, BASELINES, PRODUCTION, Policy, measured},
        table::{Table, percent, seconds},
        workload::{Source, draw},
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Compares the goodput of the policies at several loads, relative to saturation.
pub fn goodput(engines: u32, loads: &[f64], length: Duration, seed: u64) -> Table {
    let title = format!("Goodput over load, {engines} engines, seed {seed}");
    let head =
        ["load", "policy", "good work, engine s/s", "good requests/s", "wasted work, engine s/s"];
    let mut table = Table::new(title, &head);
    for load in loads {
        for policy in BASELINES.into_iter().chain([PRODUCTION]) {
            let results = deadline::measure(engines, *load, policy, length, seed);
            let seconds = length.as_secs_f64();
            table.row([
                percent(*load),
                policy.name.into(),
                format!("{:.2}", results.good_work(measured) / seconds),
                format!("{:.1}", results.good_count(measured) as f64 / seconds),
                format!("{:.2}", results.wasted_work(measured) / seconds),
            ]);
        }
    }
    table
}

/// Goodput of each policy over the load, as lines of a plot.
pub fn lines(engines: u32, loads: &[f64], length: Duration, seed: u64) -> Vec<Line> {
    let point = |load: f64, policy| {
        let good = deadline::measure(engines, load, policy, length, seed).good_work(measured);
        (load, good / length.as_secs_f64())
    };
    let line = |policy: Policy| Line {
        name: policy.name.into(),
        points: loads.iter().map(|load| point(*load, policy)).collect(),
    };
    BASELINES.into_iter().chain([PRODUCTION]).map(line).collect()
}

/// Runs `choice` at 70% of saturation with load reports delayed by `lag` and no queues in the
/// instances. Without `gossip`, an instance knows the load from other instances only by the
/// reports.
pub fn measure_lag(
    choice: Choice,
    lag: Duration,
    gossip: bool,
    length: Duration,
    seed: u64,
) -> Results {
    let engines = 16;
    let rate = crate::study::engine_rate(deadline::DOSSIERS) * f64::from(engines) * 0.7 / 8.0;
    let source = |org| Source { org, rate, dossiers: deadline::DOSSIERS, library: 0 };
    let sources: Vec<_> = (0..8).map(source).collect();
    let requests = draw(&sources, (Mono::ZERO, Duration::from_secs(10) + length), 8, seed);
    let gossip_lag = gossip.then_some(Duration::from_millis(200));
    let setup = Setup {
        engines,
        order: None,
        choice,
        report_lag: lag,
        gossip_lag,
        seed,
        ..Setup::default()
    };
    run(setup, &requests, Duration::from_secs(30))
}

/// Compares the choices for several delays of load reports.
pub fn herding(lags: &[Duration], length: Duration, seed: u64) -> Table {
    let title = format!("Lagging load reports, 16 engines at 70% load, 8 instances, seed {seed}");
    let head = [
        "lag of reports",
        "choice",
        "greatest / mean load",
        "p95 first token, questions",
        "p95 first token, dossiers",
    ];
    let mut table = Table::new(title, &head);
    let choices = [
        (Choice::Random, true, "random"),
        (Choice::LeastReported, true, "least reported load"),
        (Choice::Predicted, false, "predicted delay, no gossip"),
        (Choice::Predicted, true, "predicted delay"),
    ];
    for lag in lags {
        for (choice, gossip, name) in choices {
            let results = measure_lag(choice, *lag, gossip, length, seed);
            table.row([
                seconds(*lag),
                name.into(),
                format!("{:.2}", results.load_imbalance()),
                seconds(results.first_percentile(95.0, |r| measured(r) && r.urgent)),
                seconds(results.first_percentile(95.0, |r| measured(r) && !r.urgent)),
            ]);
        }
    }
    table
}
