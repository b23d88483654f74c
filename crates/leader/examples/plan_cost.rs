//! Measures a round of the planner of endpoints at 12,000 endpoints in nine zones, and counts the
//! orders of half an hour in which the demand triples and falls, in virtual time.

#[path = "../tests/support/site.rs"]
#[allow(dead_code)]
mod site;

use {
    site::{Site, demand_of},
    std::{
        f64::consts::{FRAC_PI_2, TAU},
        time::Duration,
    },
};

const ZONES: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/// Length of the simulated day, in seconds; real days change more slowly.
const DAY: u32 = 1_800;

fn site(endpoints: u32) -> Site {
    let prices: Vec<(&str, f64)> =
        ZONES.iter().enumerate().map(|(i, zone)| (*zone, 1.0 + i as f64 / 10.0)).collect();
    let mut site = Site::new(2_000, &prices);
    ZONES.iter().for_each(|zone| site.add(zone, true, endpoints));
    site
}

fn measure(name: &str, site: &mut Site, engines: f64) {
    let mut times: Vec<Duration> = Vec::new();
    for _ in 0..400 {
        site.round(Some(demand_of(engines)));
        times.push(site.took);
    }
    times.sort();
    println!("{name}: median {:?}, 99% {:?} a round", times[200], times[396]);
}

fn main() {
    let mut busy = site(1_333);
    measure("steady", &mut busy, 10_600.0);
    measure("with releases", &mut busy, 8_000.0);
    let mut day = site(500);
    let demand = |t: f64| {
        let wave = 200.0 * (t * TAU / 11.0).sin();
        6_500.0 + 3_500.0 * (t / f64::from(DAY) * TAU - FRAC_PI_2).sin() + wave
    };
    day.run(Duration::from_secs(u64::from(DAY)), demand);
    println!("a day of {DAY} s: {} orders, {} endpoints at its end", day.sent.len(), day.running());
}
