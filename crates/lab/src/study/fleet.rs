//! Control of the fleet of a pool whose endpoints start minutes after an order, are reclaimed by
//! the platform or are not available.

mod decide;
mod policy;
mod queues;
mod scenario;
mod simulation;

pub use {
    decide::decisions,
    scenario::{Scenario, User, scenarios},
    simulation::{RunResult, Sample},
};

use {
    crate::{
        plot::Line,
        table::{Table, percent},
    },
    agate_core::Mono,
    agate_fleet::{Inventory, Mix, Need, feasible_mix},
    scenario::{RATE, ZONES, demand},
};

/// Policy that controls the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Constant number of standard endpoints, for the mean demand.
    Fixed,
    /// Follows the current demand, without hysteresis.
    Threshold,
    /// The controller of production.
    Controller,
    /// Follows the demand of the next five minutes, which it knows.
    Oracle,
}

/// Runs a scenario with one control.
pub fn measure(scenario: &Scenario, control: Control, seed: u64) -> RunResult {
    let s = policy::settings(scenario);
    let sum = |kind: usize| demand(scenario, Mono::ZERO).iter().map(|d| d[kind]).sum::<f64>();
    let need = Need { deadline: sum(0) * s.headroom / RATE, long: sum(1) / RATE };
    let none = Mix::default();
    let inventory =
        Inventory { present: none, free: none, leaving: none, peak: 0, zones: ZONES.len() };
    let initial = match control {
        Control::Fixed => Mix { standard: (scenario.scale * s.headroom).ceil() as usize, cheap: 0 },
        _ => feasible_mix(&s, need, &inventory).0,
    };
    let prices = s.prices;
    let policy = match control {
        Control::Fixed => policy::fixed(),
        Control::Threshold => policy::threshold(s),
        Control::Controller => policy::controller(s),
        Control::Oracle => policy::oracle(scenario, s),
    };
    simulation::run(scenario, initial, prices, seed, policy)
}

/// Compares the controls in the scenarios of both users.
pub fn table(scales: &[f64], seed: u64) -> Table {
    let title = format!("Fleet of a pool, 2 h, seed {seed}");
    let head = [
        "user",
        "endpoints",
        "scenario",
        "control",
        "goodput",
        "cost of a million good tokens",
        "endpoints ordered and released",
        "worst-served organisation",
        "work on cheap without harm",
        "interrupted work lost",
    ];
    let mut table = Table::new(title, &head);
    for user in [User::Savikoda, User::Board] {
        for scale in scales {
            for scenario in scenarios(user, *scale) {
                for control in
                    [Control::Fixed, Control::Threshold, Control::Controller, Control::Oracle]
                {
                    let o = measure(&scenario, control, seed);
                    table.row([
                        format!("{user:?}"),
                        format!("{scale:.0}"),
                        scenario.name.to_owned(),
                        format!("{control:?}").to_lowercase(),
                        percent(o.goodput),
                        format!("{:.4}", o.cost),
                        o.changes.to_string(),
                        percent(o.worst),
                        percent(o.cheap),
                        percent(o.lost),
                    ]);
                }
            }
        }
    }
    table
}

/// Demand, endpoints, served work and cost over time with the production controller, as lines of a
/// plot.
pub fn lines(scenario: &Scenario, seed: u64) -> Vec<Line> {
    let samples = measure(scenario, Control::Controller, seed).samples;
    let line = |name: &str, of: fn(&Sample) -> f64| Line {
        name: name.to_owned(),
        points: samples.iter().map(|s| (s.minute, of(s))).collect(),
    };
    vec![
        line("demand", |s| s.demand),
        line("standard endpoints", |s| s.fleet.0),
        line("cheap endpoints", |s| s.fleet.1),
        line("served work", |s| s.served),
        line("cost an hour", |s| s.cost),
    ]
}
