//! Targets of the fleet controller, relative to the threshold and oracle policies: goodput, cost
//! and number of changes. The budget must never be exceeded.

use {
    agate_lab::study::fleet::{Control, User, measure, scenarios},
    rstest::rstest,
};

/// Mean demand, in endpoints.
const SCALE: f64 = 100.0;

#[rstest]
fn controller_targets(
    #[values(User::Savikoda, User::Board)] user: User,
    #[values(0, 1, 2, 3)] scenario: usize,
) {
    let scenario = &scenarios(user, SCALE)[scenario];
    let run = |control| measure(scenario, control, 20);
    let (controller, oracle) = (run(Control::Controller), run(Control::Oracle));
    let threshold = run(Control::Threshold);
    let name = scenario.name;
    assert!(controller.goodput >= 0.95 * oracle.goodput, "{name}: goodput {}", controller.goodput);
    assert!(
        controller.cost <= 1.10 * oracle.cost,
        "{name}: cost {} of {}",
        controller.cost,
        oracle.cost
    );
    assert!(2 * controller.changes <= threshold.changes, "{name}: {} changes", controller.changes);
    assert!(controller.lost < 1e-9, "{name}: {} of the interrupted work lost", controller.lost);
}

/// A budget too small for all work must be kept; the goodput falls.
#[rstest]
fn budget_limit(#[values(User::Savikoda, User::Board)] user: User) {
    let mut scenario = scenarios(user, SCALE).pop().expect("a user has scenarios");
    let unlimited = measure(&scenario, Control::Controller, 20);
    scenario.budget = 30.0;
    let capped = measure(&scenario, Control::Controller, 20);
    assert!(capped.peak <= scenario.budget + 1e-9, "{} an hour", capped.peak);
    assert!(capped.goodput < unlimited.goodput);
}
