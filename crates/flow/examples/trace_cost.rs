//! Measures what the note of a request's decisions costs.
//!
//! Makes the notes of requests with one attempt and with three, and prints the time of each.
//! Run: `cargo run --release -p agate-flow --example trace_cost`.

use {
    agate_flow::decision::{Ring, Trace},
    agate_route::choose::Choice,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Notes of one run.
const NOTES: u32 = 200_000;

fn main() {
    let ring = Arc::<Ring>::default();
    let (endpoint, zone): (Arc<str>, Arc<str>) = ("glaze-oracle-1".into(), "harju-a".into());
    let choice = Choice { id: 1, full: false, delay: Duration::from_millis(4), cached: 512 };
    println!("| attempts | ns a request |");
    println!("| ---: | ---: |");
    for attempts in [1, 3] {
        let begin = Instant::now();
        for _ in 0..NOTES {
            let trace = Trace::begin(&ring, "0123456789abcdef0123456789abcdef", Duration::ZERO);
            trace.note(|n| n.route = Some(zone.clone()));
            trace.note(|n| n.org = Some(zone.clone()));
            trace.note(|n| n.pool = Some(zone.clone()));
            for i in 0..attempts {
                trace.chose(&endpoint, &zone, &choice);
                if i > 0 {
                    trace.retried("connect_failed");
                }
            }
            trace.end("answered", Duration::from_millis(9));
        }
        println!("| {attempts} | {} |", begin.elapsed().as_nanos() / u128::from(NOTES));
    }
}
