//! Comparison of dedicated prefill engines with undivided ones while the fraction of dossiers
//! varies.

use {
    crate::{
        results::Results,
        setup::{Setup, Split},
        simulation::run,
        study::{deadline::measured, engine_rate},
        table::{Table, millis, percent, seconds},
        workload::{Request, Source, draw},
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Fractions of dossiers that alternate.
const DOSSIER_FRACTIONS: [f64; 2] = [0.1, 0.4];
/// Time between two changes of the fraction.
const PHASE_TIME: Duration = Duration::from_secs(60);
/// Number of organisations.
const ORGS: u32 = 8;

/// Draws traffic of `phases` phases with alternating fractions of dossiers. In each phase the rate
/// is `load` times the one that saturates undivided engines.
pub fn traffic(engines: u32, load: f64, phases: u32, seed: u64) -> Vec<Request> {
    let mut all = Vec::new();
    for i in 0..phases {
        let dossiers = DOSSIER_FRACTIONS[i as usize % 2];
        let rate = engine_rate(dossiers) * f64::from(engines) * load / f64::from(ORGS);
        let source = |org| Source { org, rate, dossiers, library: 0 };
        let sources: Vec<_> = (0..ORGS).map(source).collect();
        let (start, end): (Mono, Mono) = (PHASE_TIME * i, PHASE_TIME * (i + 1));
        all.extend(draw(&sources, (start, end), 8, seed + u64::from(i)));
    }
    all.iter_mut().enumerate().for_each(|(id, request)| request.id = id);
    all
}

/// Runs `engines` engines, of which `dedicated` are for prefill only.
pub fn measure(engines: u32, dedicated: u32, load: f64, seed: u64) -> Results {
    let split =
        Split { engines: dedicated, chunk: 2_048, slots: 4, transfer: Duration::from_micros(10) };
    let split = (dedicated > 0).then_some(split);
    let setup = Setup { engines, split, seed, ..Setup::default() };
    run(setup, &traffic(engines, load, 4, seed), Duration::from_secs(60))
}

/// Compares several numbers of dedicated prefill engines.
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
        for dedicated in [0, 1, 2, 3, 4] {
            let results = measure(engines, dedicated, load, seed);
            table.row([
                percent(load),
                dedicated.to_string(),
                format!("{:.2}", results.good_work(measured) / (PHASE_TIME * 4).as_secs_f64()),
                seconds(results.first_percentile(95.0, |r| measured(r) && r.urgent)),
                seconds(results.first_percentile(95.0, |r| measured(r) && !r.urgent)),
                millis(results.gap_percentile(95.0)),
                percent(results.late_fraction(measured)),
            ]);
        }
    }
    table
}
