//! Measures the cost of recording the decisions of a request.
//!
//! Records requests with one attempt and with three, and prints the time per request of each. Run:
//! `cargo run --release -p agate-flow --example trace_cost`.

use {
    agate_flow::decision::{DecisionLog, Trace},
    agate_route::choose::Choice,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Requests recorded for each row of the table.
const RUNS: u32 = 200_000;

fn main() {
    let log = Arc::<DecisionLog>::default();
    let (endpoint, zone): (Arc<str>, Arc<str>) = ("glaze-oracle-1".into(), "harju-a".into());
    let choice = Choice { id: 1, full: false, delay: Duration::from_millis(4), cached: 512 };
    println!("| attempts | ns a request |");
    println!("| ---: | ---: |");
    for attempts in [1, 3] {
        let begin = Instant::now();
        for _ in 0..RUNS {
            let trace = Trace::begin(&log, "0123456789abcdef0123456789abcdef", Duration::ZERO);
            trace.record(|n| n.route = Some(zone.clone()));
            trace.record(|n| n.org = Some(zone.clone()));
            trace.record(|n| n.pool = Some(zone.clone()));
            for i in 0..attempts {
                trace.record_choice(&endpoint, &zone, &choice);
                if i > 0 {
                    trace.record_retry("connect_failed");
                }
            }
            trace.end("answered", Duration::from_millis(9));
        }
        println!("| {attempts} | {} |", begin.elapsed().as_nanos() / u128::from(RUNS));
    }
}
