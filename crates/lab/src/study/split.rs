//! Engines set apart for prefill against undivided ones, while the share of dossiers swings.

use {
    crate::{
        figures::Figures,
        setup::{Setup, Split},
        study::{deadline::measured, engine_rate},
        table::{Table, millis, percent, seconds},
        workload::{Request, Source, draw},
        world::run,
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Shares of dossiers that alternate.
const SWING: [f64; 2] = [0.1, 0.4];
/// Time between swings.
const HALF: Duration = Duration::from_secs(60);
/// Organisations.
const ORGS: u32 = 8;

/// Draws traffic whose share of dossiers swings, at `load` of what undivided engines can take of
/// either mix.
pub fn traffic(engines: u32, load: f64, swings: u32, seed: u64) -> Vec<Request> {
    let mut all = Vec::new();
    for i in 0..swings {
        let dossiers = SWING[i as usize % 2];
        let rate = engine_rate(dossiers) * f64::from(engines) * load / f64::from(ORGS);
        let source = |org| Source { org, rate, dossiers, library: 0 };
        let sources: Vec<_> = (0..ORGS).map(source).collect();
        let (start, end): (Mono, Mono) = (HALF * i, HALF * (i + 1));
        all.extend(draw(&sources, (start, end), 8, seed + u64::from(i)));
    }
    all.iter_mut().enumerate().for_each(|(id, request)| request.id = id);
    all
}

/// Runs `apart` of the engines for prefill, or none.
pub fn measure(engines: u32, apart: u32, load: f64, seed: u64) -> Figures {
    let split =
        Split { engines: apart, chunk: 2_048, slots: 4, transfer: Duration::from_micros(10) };
    let split = (apart > 0).then_some(split);
    let setup = Setup { engines, split, seed, ..Setup::default() };
    run(setup, &traffic(engines, load, 4, seed), Duration::from_secs(60))
}

/// Compares numbers of engines set apart.
pub fn table(engines: u32, seed: u64) -> Table {
    let title =
        format!("Prefill apart, {engines} engines, dossiers swing from 10% to 40%, seed {seed}");
    let head = [
        "load",
        "engines apart",
        "good work, engine s/s",
        "p95 first token, questions",
        "p95 first token, dossiers",
        "p95 between tokens",
        "late",
    ];
    let mut table = Table::new(title, &head);
    for load in [0.6, 0.8, 1.0] {
        for apart in [0, 1, 2, 3, 4] {
            let f = measure(engines, apart, load, seed);
            table.row([
                percent(load),
                apart.to_string(),
                format!("{:.2}", f.good_work(measured) / (HALF * 4).as_secs_f64()),
                seconds(f.first_percentile(95.0, |r| measured(r) && r.urgent)),
                seconds(f.first_percentile(95.0, |r| measured(r) && !r.urgent)),
                millis(f.gap_percentile(95.0)),
                percent(f.late_share(measured)),
            ]);
        }
    }
    table
}
