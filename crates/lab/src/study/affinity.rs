//! Cache hits and delay of the endpoint choices when dossiers repeat.

use {
    crate::{
        baseline::Choice,
        engine::Config,
        results::Results,
        setup::{CacheEvents, Setup},
        simulation::run,
        study::{deadline::measured, engine_rate},
        table::{Table, percent, seconds},
        workload::{Source, draw},
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Fraction of dossiers in the traffic.
const DOSSIERS: f64 = 0.5;
/// Number of different dossiers per engine, over all organisations.
const LIBRARY: f64 = 12.0;
/// Capacity of an engine's cache, in blocks.
const BLOCKS: usize = 1024;
/// Number of organisations.
const ORGS: u32 = 8;

/// Case of the study.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of engines.
    pub engines: u32,
    /// Whether one organisation has a third of the traffic, and a single dossier.
    pub hot: bool,
    /// Cache events, if engines publish them.
    pub events: Option<CacheEvents>,
    /// Duration of the measurement, after the warm-up.
    pub length: Duration,
    /// Seed of the workload and of the random choices.
    pub seed: u64,
}

/// Runs `choice` at 70% of the rate that saturates the engines without cache hits.
pub fn measure(case: &Case, choice: Choice) -> Results {
    let rate = engine_rate(DOSSIERS) * f64::from(case.engines) * 0.7;
    let library = (LIBRARY * f64::from(case.engines) / f64::from(ORGS)).ceil() as u64;
    let source = |org| match case.hot && org == 0 {
        true => Source { org, rate: rate / 3.0, dossiers: DOSSIERS, library: 1 },
        false => Source { org, rate: rate / f64::from(ORGS), dossiers: DOSSIERS, library },
    };
    let sources: Vec<_> = (0..ORGS).map(source).collect();
    let end = Duration::from_secs(10) + case.length;
    let requests = draw(&sources, (Mono::ZERO, end), 8, case.seed);
    let engine = Config { blocks: BLOCKS, ..Config::default() };
    let (engines, cache_events, seed) = (case.engines, case.events, case.seed);
    let setup = Setup { engines, engine, choice, cache_events, seed, ..Setup::default() };
    run(setup, &requests, Duration::from_secs(30))
}

const COLUMNS: [&str; 7] = [
    "engines",
    "choice",
    "prompt tokens cached",
    "p50 first token, dossiers",
    "p95 first token, dossiers",
    "p95 first token, questions",
    "late",
];

fn row(case: &Case, choice: Choice, name: &str) -> [String; 7] {
    let results = measure(case, choice);
    [
        case.engines.to_string(),
        name.into(),
        percent(results.cached_fraction()),
        seconds(results.first_percentile(50.0, |r| measured(r) && !r.urgent)),
        seconds(results.first_percentile(95.0, |r| measured(r) && !r.urgent)),
        seconds(results.first_percentile(95.0, |r| measured(r) && r.urgent)),
        percent(results.late_fraction(measured)),
    ]
}

/// Compares the choices for several numbers of engines.
pub fn table(sizes: &[(u32, Duration)], hot: bool, seed: u64) -> Table {
    let kind = if hot { "one dossier is a third of the traffic" } else { "no dossier stands out" };
    let mut table =
        Table::new(format!("Dossiers read again, {kind}, 70% load, seed {seed}"), &COLUMNS);
    let choices = [Choice::Random, Choice::LeastReported, Choice::PlainHash, Choice::Predicted];
    for (engines, length) in sizes {
        let case = Case { engines: *engines, hot, events: None, length: *length, seed };
        for choice in choices {
            table.row(row(&case, choice, choice.name()));
        }
    }
    table
}

/// Compares the production choice without cache events and with delayed and lost ones.
pub fn events(engines: u32, length: Duration, seed: u64) -> Table {
    let mut table = Table::new(format!("Cache events late and with gaps, seed {seed}"), &COLUMNS);
    let case = Case { engines, hot: false, events: None, length, seed };
    table.row(row(&case, Choice::Predicted, "no events"));
    for (lag, lost) in [(100, 0), (1000, 20), (5000, 50)] {
        let events = CacheEvents { lag: Duration::from_millis(lag), lost };
        let case = Case { events: Some(events), ..case };
        table.row(row(&case, Choice::Predicted, &format!("lag {lag} ms, {lost}% lost")));
    }
    table
}
