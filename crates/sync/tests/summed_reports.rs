//! What a coordinator reports about the other instances.

use {
    agate_sync::{
        coordinator::{Coordinator, MAX_REPORT_AGE},
        message::{Demand, Load, LoadReport, Rate, Request, Usage},
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);

fn request(from: &str, round: u64, tokens: u32) -> Request {
    let loads = vec![Load { endpoint: 1, open: 2, tokens }];
    let demands = vec![Demand { service: 5, reading: 100, slots: 7 }];
    let holder = Some("h".into());
    let rates = vec![Rate { service: 5, requests: 1_500 }];
    let figures = LoadReport { loads, demands, changing: vec![9], holder, rates, instances: 1 };
    Request {
        from: from.into(),
        round,
        roster: 0,
        suspects: Default::default(),
        clock: None,
        figures,
        in_force: 0,
    }
}

fn tokens(coordinator: &Coordinator, except: &str, at: Duration) -> u32 {
    let loads = vec![Load { endpoint: 1, open: 1, tokens: 1_000 }];
    let own = LoadReport { loads, ..LoadReport::default() };
    coordinator.totals(except, &own, at).loads.iter().map(|l| l.tokens).sum()
}

/// Every instance receives the load of all but itself, the coordinator's own load included.
#[test]
fn all_others() {
    let mut c = Coordinator::default();
    c.on_request(&request("a", 1, 10), NOW);
    c.on_request(&request("b", 1, 20), NOW);
    assert_eq!(tokens(&c, "a", NOW), 1_020);
    assert_eq!(tokens(&c, "b", NOW), 1_010);
    let others = c.totals("a", &LoadReport::default(), NOW);
    assert_eq!(others.demands, [Demand { service: 5, reading: 100, slots: 7 }]);
    assert_eq!(others.rates, [Rate { service: 5, requests: 1_500 }]);
    let all = c.totals("", &LoadReport::default(), NOW);
    assert_eq!(all.rates, [Rate { service: 5, requests: 3_000 }]);
    assert_eq!((others.instances, all.instances), (1, 2));
    assert_eq!(others.changing, [9]);
    assert_eq!(others.holder.as_deref(), Some("h"));
}

/// A reordered request must not replace a newer report, and the report of a silent instance
/// expires.
#[test]
fn reordered_and_expired() {
    let mut c = Coordinator::default();
    c.on_request(&request("a", 2, 10), NOW);
    c.on_request(&request("a", 1, 99), NOW);
    assert_eq!(tokens(&c, "b", NOW), 1_010);
    assert_eq!(tokens(&c, "b", NOW + MAX_REPORT_AGE), 1_000);
}

/// A usage round must not be acknowledged before all its messages have arrived.
#[test]
fn lost_part() {
    let mut c = Coordinator::default();
    let usage = |round| Usage { from: "a".into(), round, window: 3, rows: vec![("x".into(), 1)] };
    c.on_usage(&usage(1));
    assert!(!c.usage_complete("a", 1, 2));
    c.on_usage(&usage(1));
    assert!(c.usage_complete("a", 1, 2));
    assert!(!c.usage_complete("a", 2, 1));
    c.on_usage(&usage(2));
    assert!(c.usage_complete("a", 2, 1));
}
