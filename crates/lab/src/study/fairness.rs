//! Shares of the organisations when one sends ten times its share.

use {
    crate::{
        baseline::Order,
        results::Results,
        setup::Setup,
        simulation::run,
        study::engine_rate,
        table::{Table, percent, seconds},
        workload::{Request, Source, draw},
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Number of organisations.
pub const ORGS: u32 = 16;
/// Time before the measurement begins, in which the queues fill.
const WARMUP: Duration = Duration::from_secs(10);

/// Case of the study.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of engines.
    pub engines: u32,
    /// Duration of the measurement, after the warm-up.
    pub length: Duration,
    /// Seed of the workload and of the random choices.
    pub seed: u64,
}

/// Fraction of dossiers in the traffic.
const DOSSIERS: f64 = 0.3;

/// Load of every other organisation, relative to an equal share.
const OTHER_LOAD: f64 = 0.8;

/// Draws the workload; organisation 0 sends ten times an equal share.
pub fn traffic(case: &Case) -> Vec<Request> {
    let share = engine_rate(DOSSIERS) * f64::from(case.engines) / f64::from(ORGS);
    let source = |org| Source {
        org,
        rate: share * if org == 0 { 10.0 } else { OTHER_LOAD },
        dossiers: DOSSIERS,
        library: 0,
    };
    let sources: Vec<_> = (0..ORGS).map(source).collect();
    draw(&sources, (Mono::ZERO, WARMUP + case.length), 4, case.seed)
}

/// Runs one order of waiting requests.
pub fn measure(case: &Case, order: Order) -> Results {
    measure_with(case, order, true)
}

/// Runs one order; `shared` tells whether an instance uses only its share of the free slots.
pub fn measure_with(case: &Case, order: Order, shared: bool) -> Results {
    let setup = Setup {
        engines: case.engines,
        entries: 4,
        order: Some(order),
        shared,
        seed: case.seed,
        ..Setup::default()
    };
    run(setup, &traffic(case), Duration::from_secs(60))
}

/// Whether a request arrived after the warm-up.
pub fn measured(request: &Request) -> bool {
    request.at >= WARMUP
}

/// Compares the orders for several numbers of engines.
pub fn table(sizes: &[u32], length: Duration, seed: u64) -> Table {
    let title = format!("Fairness, one of 16 organisations at ten times its share, seed {seed}");
    let head = [
        "engines",
        "order",
        "good work, engine s/s",
        "good requests/s",
        "wasted work, engine s/s",
        "worst-served / fair share",
        "its organisation",
        "p50 first token, others, questions",
        "p95 first token, others, questions",
        "p95 of it in the queue",
        "p95 first token, flooding",
        "late, others",
    ];
    let mut table = Table::new(title, &head);
    for engines in sizes {
        let case = Case { engines: *engines, length, seed };
        let runs = [
            (Order::Fifo.name(), measure(&case, Order::Fifo)),
            (Order::RoundRobin.name(), measure(&case, Order::RoundRobin)),
            ("weighted fair, all slots taken", measure_with(&case, Order::Fair, false)),
            (Order::Fair.name(), measure(&case, Order::Fair)),
        ];
        let capacity = runs.iter().map(|(_, f)| f.good_work(measured)).fold(0.0, f64::max);
        for (name, results) in &runs {
            table.row(row(&case, name, results, capacity));
        }
    }
    table
}

fn row(case: &Case, name: &str, results: &Results, capacity: f64) -> [String; 12] {
    let length = case.length.as_secs_f64();
    let (worst, org) = results.worst_served(capacity, measured);
    let question = |r: &Request| measured(r) && r.org > 0 && r.urgent;
    let flooding = |r: &Request| measured(r) && r.org == 0;
    let others = |r: &Request| measured(r) && r.org > 0;
    [
        case.engines.to_string(),
        name.into(),
        format!("{:.2}", results.good_work(measured) / length),
        format!("{:.1}", results.good_count(measured) as f64 / length),
        format!("{:.2}", results.wasted_work(measured) / length),
        format!("{worst:.2}"),
        org.to_string(),
        seconds(results.first_percentile(50.0, question)),
        seconds(results.first_percentile(95.0, question)),
        seconds(results.wait_percentile(95.0, question)),
        seconds(results.first_percentile(95.0, flooding)),
        percent(results.late_fraction(others)),
    ]
}
