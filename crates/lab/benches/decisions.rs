//! Measures the decisions for one request: admission, endpoint choice and cost settlement.

use {
    agate_admit::{Event, Queue, queue::cost},
    agate_core::{EndpointId, OrgId},
    agate_route::{
        Distances, Role, RouteQuery, Spec, Table, choose,
        health::ExchangeResult,
        prefix::{blocks, salt},
    },
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    std::{hint::black_box, time::Duration},
};

const NOW: Duration = Duration::from_secs(1);
/// Deadline that no request reaches.
const FAR_DEADLINE: Duration = Duration::from_secs(100_000);
const PROMPT_BYTES: usize = 4_096;

/// Table of `engines` engines with some of their slots in use.
fn table(engines: u32) -> Table {
    let names: Vec<_> = (0..engines).map(|i| format!("worker-{i}")).collect();
    let specs = names.iter().enumerate().map(|(i, name)| Spec {
        id: i as EndpointId,
        name,
        pool: 0,
        zone: i as u32 % 4,
        slots: 32,
        role: Role::Whole,
        leaving: false,
    });
    let table = Table::rebuild(&Table::new(0, Distances::default(), 7), specs);
    for id in 0..engines {
        (0..24 + id % 8).for_each(|_| table.start(id));
    }
    table
}

/// Queue in which every organisation has one request.
fn queue(orgs: OrgId) -> Queue {
    let mut queue = Queue::new();
    for org in 0..orgs {
        queue.push(org, 1, 1_000, FAR_DEADLINE, NOW).expect("the queue has room");
    }
    queue
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    let text = "x".repeat(PROMPT_BYTES);
    for (engines, orgs) in [(8, 8), (100, 8), (1_000, 8), (8, 6_500), (100, 6_500), (1_000, 6_500)]
    {
        let (table, mut queue) = (table(engines), queue(orgs));
        let mut i = 0;
        let id = BenchmarkId::new(format!("{engines} engines"), format!("{orgs} organisations"));
        group.bench_function(id, |b| {
            b.iter(|| {
                i += 1;
                let (org, now) = (i % orgs, NOW + Duration::from_micros(u64::from(i)));
                let prefix = blocks(salt("org") + u64::from(org), &[], black_box(&text));
                let estimate = cost(1_000, 200);
                queue.push(org, 1, estimate, FAR_DEADLINE, now).expect("the queue has room");
                let free = table.free_slots(0, 1, now);
                assert_eq!(free, 1);
                let events = queue.pop(now, 1);
                assert!(matches!(events[..], [Event::Granted(_)]));
                let ask =
                    RouteQuery { pool: 0, zone: 0, prefix: &prefix, tokens: 1_000, avoid: &[] };
                let id = choose(&table, &ask, now).expect("an endpoint is available");
                table.start(id);
                table.note_cached(id, &prefix, 0);
                table.finish(id, ExchangeResult::Success, Duration::from_secs(1), now);
                queue.settle(org, estimate, cost(1_000, 180));
                id
            });
        });
    }
    group.finish();
}

fn rebuild(c: &mut Criterion) {
    let mut group = c.benchmark_group("rebuild");
    group.sample_size(10);
    for engines in [8, 100, 1_000] {
        group.bench_function(BenchmarkId::from_parameter(engines), |b| b.iter(|| table(engines)));
    }
    group.finish();
}

criterion_group!(benches, request, rebuild);
criterion_main!(benches);
