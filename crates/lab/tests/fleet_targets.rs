//! The fleet's controller against the threshold and the oracle, at the stated targets.

use {
    agate_lab::study::fleet::{Control, User, measure, scenarios},
    rstest::rstest,
};

/// Endpoints that the mean demand keeps busy.
const SCALE: f64 = 100.0;

#[rstest]
fn targets_met(
    #[values(User::Savikoda, User::Board)] user: User,
    #[values(0, 1, 2, 3)] scenario: usize,
) {
    let scenario = &scenarios(user, SCALE)[scenario];
    let of = |control| measure(scenario, control, 20);
    let (own, oracle) = (of(Control::Controller), of(Control::Oracle));
    let threshold = of(Control::Threshold);
    let name = scenario.name;
    assert!(own.goodput >= 0.95 * oracle.goodput, "{name}: goodput {}", own.goodput);
    assert!(own.cost <= 1.10 * oracle.cost, "{name}: cost {} of {}", own.cost, oracle.cost);
    assert!(2 * own.changes <= threshold.changes, "{name}: {} changes", own.changes);
    assert!(own.lost < 1e-9, "{name}: {} of the interrupted work lost", own.lost);
}

/// A budget below what all work needs is kept, and costs long work before deadline work.
#[rstest]
fn capped(#[values(User::Savikoda, User::Board)] user: User) {
    let mut scenario = scenarios(user, SCALE).pop().expect("there is a scenario");
    let free = measure(&scenario, Control::Controller, 20);
    scenario.budget = 30.0;
    let capped = measure(&scenario, Control::Controller, 20);
    assert!(capped.peak <= scenario.budget + 1e-9, "{} an hour", capped.peak);
    assert!(capped.goodput < free.goodput);
}
