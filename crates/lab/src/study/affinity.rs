//! Cache hits and delay of the choices when dossiers are read again.

use {
    crate::{
        baseline::Choice,
        engine::Shape,
        figures::Figures,
        setup::{CacheEvents, Setup},
        study::{deadline::measured, engine_rate},
        table::{Table, percent, seconds},
        workload::{Source, draw},
        world::run,
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

/// One case of the study.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of engines.
    pub engines: u32,
    /// Whether a third of the traffic reads one and the same dossier.
    pub hot: bool,
    /// Cache events, if engines publish them.
    pub events: Option<CacheEvents>,
    /// Measured time.
    pub length: Duration,
    /// Seed.
    pub seed: u64,
}

/// Runs `choice` at 70% of the saturation that holds without any cache hit.
pub fn measure(case: &Case, choice: Choice) -> Figures {
    let fleet = engine_rate(DOSSIERS) * f64::from(case.engines) * 0.7;
    let library = (LIBRARY * f64::from(case.engines) / f64::from(ORGS)).ceil() as u64;
    let source = |org| match case.hot && org == 0 {
        true => Source { org, rate: fleet / 3.0, dossiers: DOSSIERS, library: 1 },
        false => Source { org, rate: fleet / f64::from(ORGS), dossiers: DOSSIERS, library },
    };
    let sources: Vec<_> = (0..ORGS).map(source).collect();
    let end = Duration::from_secs(10) + case.length;
    let requests = draw(&sources, (Mono::ZERO, end), 8, case.seed);
    let shape = Shape { blocks: BLOCKS, ..Shape::default() };
    let (engines, cache_events, seed) = (case.engines, case.events, case.seed);
    let setup = Setup { engines, shape, choice, cache_events, seed, ..Setup::default() };
    run(setup, &requests, Duration::from_secs(30))
}

const HEAD: [&str; 7] = [
    "engines",
    "choice",
    "prompt tokens cached",
    "p50 first token, dossiers",
    "p95 first token, dossiers",
    "p95 first token, questions",
    "late",
];

fn row(case: &Case, choice: Choice, name: &str) -> [String; 7] {
    let f = measure(case, choice);
    [
        case.engines.to_string(),
        name.into(),
        percent(f.cached_share()),
        seconds(f.first_percentile(50.0, |r| measured(r) && !r.urgent)),
        seconds(f.first_percentile(95.0, |r| measured(r) && !r.urgent)),
        seconds(f.first_percentile(95.0, |r| measured(r) && r.urgent)),
        percent(f.late_share(measured)),
    ]
}

/// Compares the choices over the number of engines.
pub fn table(sizes: &[(u32, Duration)], hot: bool, seed: u64) -> Table {
    let kind = if hot { "one dossier is a third of the traffic" } else { "no dossier stands out" };
    let mut table =
        Table::new(format!("Dossiers read again, {kind}, 70% load, seed {seed}"), &HEAD);
    let choices = [Choice::Random, Choice::LeastReported, Choice::PlainHash, Choice::Predicted];
    for (engines, length) in sizes {
        let case = Case { engines: *engines, hot, events: None, length: *length, seed };
        for choice in choices {
            table.row(row(&case, choice, choice.name()));
        }
    }
    table
}

/// Compares the production choice without and with cache events.
pub fn events(engines: u32, length: Duration, seed: u64) -> Table {
    let mut table = Table::new(format!("Cache events late and with gaps, seed {seed}"), &HEAD);
    let case = Case { engines, hot: false, events: None, length, seed };
    table.row(row(&case, Choice::Predicted, "no events"));
    for (lag, lost) in [(100, 0), (1000, 20), (5000, 50)] {
        let events = CacheEvents { lag: Duration::from_millis(lag), lost };
        let case = Case { events: Some(events), ..case };
        table.row(row(&case, Choice::Predicted, &format!("lag {lag} ms, {lost}% lost")));
    }
    table
}
