//! Cache hits and delay of the choices when dossiers are read again.

use {
    crate::{
        baseline::Choice,
        engine::Shape,
        figures::Figures,
        study::{deadline::measured, engine_rate},
        table::{Table, percent, seconds},
        workload::{Source, draw},
        world::{Setup, run},
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Share of dossiers in the traffic.
const DOSSIERS: f64 = 0.5;
/// Dossiers of each organisation, for each engine of the fleet.
const LIBRARY: f64 = 12.0;
/// Blocks that an engine caches.
const BLOCKS: usize = 1024;
/// Organisations.
const ORGS: u32 = 8;

/// Runs `choice` at 70% of the saturation that holds without any cache hit.
pub fn measure(engines: u32, choice: Choice, length: Duration, seed: u64) -> Figures {
    let rate = engine_rate(DOSSIERS) * f64::from(engines) * 0.7 / f64::from(ORGS);
    let library = (LIBRARY * f64::from(engines) / f64::from(ORGS)).ceil() as u64;
    let source = |org| Source { org, rate, dossiers: DOSSIERS, library };
    let sources: Vec<_> = (0..ORGS).map(source).collect();
    let requests = draw(&sources, (Mono::ZERO, Duration::from_secs(10) + length), 8, seed);
    let shape = Shape { blocks: BLOCKS, ..Shape::default() };
    let setup = Setup { engines, shape, choice, seed, ..Setup::default() };
    run(setup, &requests, Duration::from_secs(30))
}

/// Compares the choices over the number of engines.
pub fn table(sizes: &[(u32, Duration)], seed: u64) -> Table {
    let title = format!("Dossiers read again, 70% load, seed {seed}");
    let head = [
        "engines",
        "choice",
        "prompt tokens cached",
        "p50 first token, dossiers",
        "p95 first token, dossiers",
        "p95 first token, questions",
        "late",
    ];
    let mut table = Table::new(title, &head);
    let choices = [Choice::Random, Choice::LeastReported, Choice::PlainHash, Choice::Predicted];
    for (engines, length) in sizes {
        for choice in choices {
            let f = measure(*engines, choice, *length, seed);
            table.row([
                engines.to_string(),
                choice.name().into(),
                percent(f.cached_share()),
                seconds(f.first_percentile(50.0, |r| measured(r) && !r.urgent)),
                seconds(f.first_percentile(95.0, |r| measured(r) && !r.urgent)),
                seconds(f.first_percentile(95.0, |r| measured(r) && r.urgent)),
                percent(f.late_share(measured)),
            ]);
        }
    }
    table
}
