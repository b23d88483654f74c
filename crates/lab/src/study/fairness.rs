//! Shares of organisations when one offers ten times its share.

use {
    crate::{
        baseline::Order,
        figures::Figures,
        setup::Setup,
        study::engine_rate,
        table::{Table, percent, seconds},
        workload::{Request, Source, draw},
        world::run,
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Organisations.
pub const ORGS: u32 = 16;
/// Time before the measured part, in which queues fill.
const WARM: Duration = Duration::from_secs(10);

/// One case of the study.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of engines.
    pub engines: u32,
    /// Measured time.
    pub length: Duration,
    /// Seed.
    pub seed: u64,
}

/// Share of dossiers in the traffic.
const DOSSIERS: f64 = 0.3;

/// Load of every other organisation, relative to an equal share.
const OTHERS: f64 = 0.8;

/// Draws the traffic: organisation 0 offers ten times an equal share.
pub fn traffic(case: &Case) -> Vec<Request> {
    let share = engine_rate(DOSSIERS) * f64::from(case.engines) / f64::from(ORGS);
    let source = |org| Source {
        org,
        rate: share * if org == 0 { 10.0 } else { OTHERS },
        dossiers: DOSSIERS,
        library: 0,
    };
    let sources: Vec<_> = (0..ORGS).map(source).collect();
    draw(&sources, (Mono::ZERO, WARM + case.length), 4, case.seed)
}

/// Runs one order.
pub fn measure(case: &Case, order: Order) -> Figures {
    measure_with(case, order, true)
}

/// Runs one order, with or without each instance taking only its part of scarce slots.
pub fn measure_with(case: &Case, order: Order, shared: bool) -> Figures {
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

/// Whether a request belongs to the measured part.
pub fn measured(request: &Request) -> bool {
    request.at >= WARM
}

/// Compares the orders at several sizes.
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
        for (name, figures) in &runs {
            table.row(row(&case, name, figures, capacity));
        }
    }
    table
}

fn row(case: &Case, name: &str, figures: &Figures, capacity: f64) -> [String; 12] {
    let length = case.length.as_secs_f64();
    let (worst, org) = figures.worst_served(capacity, measured);
    let question = |r: &Request| measured(r) && r.org > 0 && r.urgent;
    let flooding = |r: &Request| measured(r) && r.org == 0;
    let others = |r: &Request| measured(r) && r.org > 0;
    [
        case.engines.to_string(),
        name.into(),
        format!("{:.2}", figures.good_work(measured) / length),
        format!("{:.1}", figures.good_count(measured) as f64 / length),
        format!("{:.2}", figures.wasted_work(measured) / length),
        format!("{worst:.2}"),
        org.to_string(),
        seconds(figures.first_percentile(50.0, question)),
        seconds(figures.first_percentile(95.0, question)),
        seconds(figures.wait_percentile(95.0, question)),
        seconds(figures.first_percentile(95.0, flooding)),
        percent(figures.late_share(others)),
    ]
}
