//! Prints the measurements of the policies: `policy -- NAME`.

use {
    agate_lab::{
        plot,
        study::{affinity, budget, deadline, fairness, overload, retry, split},
    },
    std::{path::Path, time::Duration},
};

const SEED: u64 = 20;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
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
        "plots" => plots(),
        _ => eprintln!(
            "usage: policy -- fairness|deadline|overload|herding|affinity|retry|budget|split|plots"
        ),
    }
}

fn plots() {
    let loads = [0.4, 0.6, 0.8, 0.9, 1.0, 1.25, 1.5, 2.0, 3.0];
    let lines = overload::lines(8, &loads, Duration::from_secs(60), SEED);
    let path = Path::new("docs/measurements/goodput.svg");
    let axes = ("load / saturation", "good work, engine s/s");
    plot::lines(path, "Goodput over load, 8 engines", axes, &lines).expect("the plot is written");
}
