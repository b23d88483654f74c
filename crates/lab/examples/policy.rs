//! Prints the results of a study: `policy -- NAME [SEED]`. Only the study `fleet` uses the seed.

use {
    agate_lab::{
        plot,
        study::{affinity, budget, deadline, fairness, fleet, overload, retry, split},
    },
    std::{path::Path, time::Duration},
};

const SEED: u64 = 20;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let seed = std::env::args().nth(2).and_then(|s| s.parse().ok()).unwrap_or(SEED);
    let secs = Duration::from_secs;
    match name.as_str() {
        "fairness" => println!("{}", fairness::table(&[4, 8, 32], secs(120), SEED)),
        "deadline" => println!("{}", deadline::table(8, &[0.6, 0.8, 0.95], secs(120), SEED)),
        "overload" => println!("{}", overload::goodput(8, &[0.8, 1.0, 1.5, 3.0], secs(120), SEED)),
        "herding" => {
            let lags = [100, 1000, 5000].map(Duration::from_millis);
            println!("{}", overload::herding(&lags, secs(60), SEED));
        }
        "affinity" => {
            let sizes = [(8, secs(120)), (64, secs(60)), (1000, secs(20))];
            println!("{}", affinity::table(&sizes, false, SEED));
            println!("{}", affinity::table(&sizes[..2], true, SEED));
            println!("{}", affinity::events(64, secs(60), SEED));
        }
        "retry" => println!("{}", retry::table(SEED)),
        "budget" => println!("{}", budget::table(SEED)),
        "split" => println!("{}", split::table(8, SEED)),
        "fleet" => println!("{}", fleet::table(&[8.0, 100.0], seed)),
        "decisions" => println!("{}", fleet::decisions(&[100, 1_000])),
        "plots" => plots(),
        _ => eprintln!(
            "usage: policy -- fairness|deadline|overload|herding|affinity|retry|budget|split|fleet|\
             decisions|plots"
        ),
    }
}

fn plots() {
    let loads = [0.4, 0.6, 0.8, 0.9, 1.0, 1.25, 1.5, 2.0, 3.0];
    let lines = overload::lines(8, &loads, Duration::from_secs(60), SEED);
    let path = Path::new("docs/measurements/goodput.svg");
    let axes = ("load / saturation", "good work, engine s/s");
    plot::lines(path, "Goodput over load, 8 engines", axes, &lines).expect("the plot is written");
    for (user, file) in [(fleet::User::Savikoda, "savikoda"), (fleet::User::Board, "board")] {
        let scenarios = fleet::scenarios(user, 100.0);
        let scenario = scenarios
            .iter()
            .find(|s| s.name == "both")
            .expect("there is a scenario with this name");
        let lines = fleet::lines(scenario, SEED);
        let path = format!("docs/measurements/fleet-{file}.svg");
        let axes = ("minutes", "endpoints; price units an hour");
        let title = format!("{user:?}: reclaims and a time without cheap endpoints");
        plot::lines(Path::new(&path), &title, axes, &lines).expect("the plot is written");
    }
}
