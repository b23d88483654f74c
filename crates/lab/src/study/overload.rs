//! Goodput beyond saturation, and herding on lagging load reports.

use {
    crate::{
        baseline::Choice,
        figures::Figures,
        plot::Line,
        setup::Setup,
        study::deadline::{self, BASELINES, OURS, Policy, measured},
        table::{Table, percent, seconds},
        workload::{Source, draw},
        world::run,
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Compares goodput over load.
pub fn goodput(engines: u32, loads: &[f64], length: Duration, seed: u64) -> Table {
    let title = format!("Goodput over load, {engines} engines, seed {seed}");
    let head =
        ["load", "policy", "good work, engine s/s", "good requests/s", "wasted work, engine s/s"];
    let mut table = Table::new(title, &head);
    for load in loads {
        for policy in BASELINES.into_iter().chain([OURS]) {
            let f = deadline::measure(engines, *load, policy, length, seed);
            let seconds = length.as_secs_f64();
            table.row([
                percent(*load),
                policy.name.into(),
                format!("{:.2}", f.good_work(measured) / seconds),
                format!("{:.1}", f.good_count(measured) as f64 / seconds),
                format!("{:.2}", f.wasted_work(measured) / seconds),
            ]);
        }
    }
    table
}

/// Goodput of each policy over load, as lines of a plot.
pub fn lines(engines: u32, loads: &[f64], length: Duration, seed: u64) -> Vec<Line> {
    let point = |load: f64, policy| {
        let good = deadline::measure(engines, load, policy, length, seed).good_work(measured);
        (load, good / length.as_secs_f64())
    };
    let line = |policy: Policy| Line {
        name: policy.name.into(),
        points: loads.iter().map(|load| point(*load, policy)).collect(),
    };
    BASELINES.into_iter().chain([OURS]).map(line).collect()
}

/// Runs `choice` at 70% of saturation without a queue before the engines, with load reports that
/// lag. Without gossip the reports are all that an instance knows of the others.
pub fn lagging(
    choice: Choice,
    lag: Duration,
    gossip: bool,
    length: Duration,
    seed: u64,
) -> Figures {
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

/// Compares choices over the lag of load reports.
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
            let f = lagging(choice, *lag, gossip, length, seed);
            table.row([
                seconds(*lag),
                name.into(),
                format!("{:.2}", f.unevenness()),
                seconds(f.first_percentile(95.0, |r| measured(r) && r.urgent)),
                seconds(f.first_percentile(95.0, |r| measured(r) && !r.urgent)),
            ]);
        }
    }
    table
}
