//! Endpoint selection from a table.

use {
    agate_route::{
        Distances, LoadReport, NoEndpoint, Role, RouteQuery, Spec, Table, choose,
        health::ExchangeResult,
        ranking::{Ranking, name_hash},
    },
    std::{sync::atomic::Ordering::Relaxed, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn table(count: u32) -> Table {
    let names: Vec<_> = (0..count).map(|i| format!("worker-{i}")).collect();
    rebuilt(&Table::new(0, Distances::default(), 7), &names)
}

fn rebuilt(old: &Table, names: &[String]) -> Table {
    let specs = names.iter().map(|name| {
        let id: u32 = name.rsplit('-').next().and_then(|n| n.parse().ok()).expect("number");
        Spec { id, name, pool: 0, zone: id % 4, slots: 4, role: Role::Whole, leaving: false }
    });
    Table::rebuild(old, specs.collect::<Vec<_>>())
}

fn ask<'a>(prefix: &'a [u64], avoid: &'a [u32]) -> RouteQuery<'a> {
    RouteQuery { pool: 0, zone: 0, prefix, tokens: prefix.len() as u32 * 64 + 20, avoid }
}

fn chain(seed: u64, len: u64) -> Vec<u64> {
    (0..len).map(|i| (seed * 1000 + i + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect()
}

/// Guards against instances that choose different endpoints for one prefix.
#[test]
fn instances_agree() {
    let (a, b) = (table(64), {
        let mut names: Vec<_> = (0..64).map(|i| format!("worker-{i}")).collect();
        names.reverse();
        rebuilt(&Table::new(0, Distances::default(), 99), &names)
    });
    for seed in 0..50 {
        let prefix = chain(seed, 64);
        let ask = ask(&prefix, &[]);
        assert_eq!(choose(&a, &ask, NOW), choose(&b, &ask, NOW));
    }
}

/// Guards against queueing at the home of a prefix while other endpoints have free slots.
#[test]
fn full_endpoint_avoided() {
    let t = table(8);
    let prefix = chain(1, 64);
    let first = choose(&t, &ask(&prefix, &[]), NOW).expect("endpoint");
    for _ in 0..4 {
        t.start(first);
    }
    let second = choose(&t, &ask(&prefix, &[]), NOW).expect("endpoint");
    assert_ne!(first, second);
}

/// Guards against retrying a request at an endpoint that was already tried.
#[test]
fn tried_avoided() {
    let t = table(3);
    let prefix = chain(1, 8);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let id = choose(&t, &ask(&prefix, &tried), NOW).expect("endpoint");
        assert!(!tried.contains(&id));
        tried.push(id);
    }
    assert_eq!(choose(&t, &ask(&prefix, &tried), NOW), Err(NoEndpoint::Unusable(0)));
}

/// Guards against new requests to an endpoint that is leaving.
#[test]
fn leaving_avoided() {
    let t = table(2);
    t.endpoint(0).stats.leaving.store(true, Relaxed);
    for seed in 0..20 {
        assert_eq!(choose(&t, &ask(&chain(seed, 4), &[]), NOW), Ok(1));
    }
}

/// Guards against losing the counts of open requests when the configuration changes.
#[test]
fn counters_survive_rebuild() {
    let old = table(4);
    old.start(2);
    let names = ["worker-2".to_owned(), "worker-5".to_owned()];
    let new = rebuilt(&old, &names);
    assert_eq!(new.endpoint(2).stats.inflight(NOW), 1);
    old.finish(2, ExchangeResult::Success, Duration::from_secs(1), NOW);
    assert_eq!(new.endpoint(2).stats.inflight(NOW), 0);
    assert_eq!(new.members(0).count(), 2);
    assert!((0..20).all(|s| matches!(choose(&new, &ask(&chain(s, 4), &[]), NOW), Ok(2 | 5))));
}

/// Guards against a load report that hides requests sent since, and against outdated reports.
#[test]
fn lagging_report() {
    let t = table(1);
    let live = &t.endpoint(0).stats;
    t.start(0);
    live.set_load(LoadReport { running: 3, waiting: 1, slots: 8, at: NOW });
    t.start(0);
    assert_eq!(live.inflight(NOW), 5);
    assert_eq!(live.inflight(NOW + Duration::from_secs(60)), 2, "an old report is ignored");
}

/// Guards against cache misses after a removal: only the slots of the removed endpoint move.
#[test]
fn minimal_remapping() {
    let members: Vec<_> = (0..32).map(|i| (i, name_hash(&format!("worker-{i}")))).collect();
    let (all, less) = (Ranking::build(members.clone()), Ranking::build(members[..31].to_vec()));
    for key in 0..2000 {
        let kept: Vec<_> = all.get(key).filter(|id| *id != 31).collect();
        let after: Vec<_> = less.get(key).collect();
        assert!(after.starts_with(&kept), "{kept:?} moved to {after:?}");
    }
}

/// Free slots are counted at endpoints that take requests, up to the limit.
#[test]
fn free_slots_counted() {
    let t = table(3);
    assert_eq!(t.free_slots(0, 100, NOW), 12);
    assert_eq!(t.free_slots(0, 5, NOW), 5);
    t.start(0);
    t.endpoint(1).stats.leaving.store(true, Relaxed);
    assert_eq!(t.free_slots(0, 100, NOW), 7);
}

/// Guards against losing prefix affinity for good after many prompts that are never repeated.
#[test]
fn home_tried_after_misses() {
    let t = table(16);
    let home = choose(&t, &ask(&chain(1, 64), &[]), NOW).expect("endpoint");
    for seed in 100..2000 {
        let prefix = chain(seed, 64);
        let id = choose(&t, &ask(&prefix, &[]), NOW).expect("endpoint");
        t.note_cached(id, &prefix, 0);
    }
    let again = (0..20).filter(|_| choose(&t, &ask(&chain(1, 64), &[]), NOW) == Ok(home)).count();
    assert!(again >= 15, "prompts without repetition must not end the affinity");
}

/// Guards against sending a prefix to an endpoint that has evicted it.
#[test]
fn evicted_prefix() {
    let t = table(16);
    let prefix = chain(1, 64);
    let home = choose(&t, &ask(&prefix, &[]), NOW).expect("endpoint");
    let other = (home + 4) % 16;
    t.note_cached(other, &prefix, 0);
    assert_eq!(choose(&t, &ask(&prefix, &[]), NOW), Ok(other), "the known cache beats the home");
    t.cache_event(other, &[], &prefix);
    assert_eq!(choose(&t, &ask(&prefix, &[]), NOW), Ok(home));
}

/// A fraction of the slots is counted as reserved for urgent requests, and is used last.
#[test]
fn reserved_slots() {
    let names = ["worker-0".to_owned()];
    let t = rebuilt(&Table::new(0, Distances::default(), 7), &names);
    t.endpoint(0).stats.set_load(LoadReport { running: 0, waiting: 0, slots: 16, at: NOW });
    for started in 0..=18 {
        let room = t.count_free(0, 100, NOW);
        let expected = (14u32.saturating_sub(started), 16u32.saturating_sub(started).min(2));
        assert_eq!((room.free, room.reserved), expected, "{started} requests at it");
        t.start(0);
    }
}

/// The capacity counts only slots of endpoints that take requests.
#[test]
fn capacity_members() {
    let names: Vec<_> = (0..4).map(|i| format!("worker-{i}")).collect();
    let spec = |id: u32| Spec {
        id,
        name: &names[id as usize],
        pool: 0,
        zone: 0,
        slots: 4,
        role: if id == 0 { Role::Prefill } else { Role::Decode },
        leaving: id == 1,
    };
    let t = Table::rebuild(&Table::new(0, Distances::default(), 7), (0..4).map(spec));
    t.start(2);
    assert_eq!(t.capacity(0, NOW), 8);
    assert_eq!(t.free_slots(0, 100, NOW), 7);
    assert_eq!(t.capacity(9, NOW), 0);
}
