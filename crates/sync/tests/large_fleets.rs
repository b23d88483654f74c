//! Message sizes and updates in fleets of hundreds of instances and thousands of endpoints.

use {
    agate_sync::{
        changes::{CHUNK_ENTRIES, History},
        coordinator::{Coordinator, MAX_REPORT_AGE},
        message::{Demand, Load, LoadReport, Message, Rate, Request, Response},
        poller::Confirmation,
        reassembly::Reassembly,
    },
    agate_view::roster::{Entry, digest_of},
    agate_wire::{Context, Keys, seal},
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
/// Number of services with rate-limited endpoints, more than a message holds.
const RATES: u32 = 40;

fn entry(i: u32) -> Entry {
    Entry {
        name: format!("i-{i:010x}").into(),
        service: "huvo11a".into(),
        address: ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 8080).into(),
        zone: "harju-a".into(),
        version: "v1".into(),
        slots: 12,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: Some(1_767_354_700_000 + u64::from(i)),
        spot: true,
    }
}

fn entries(n: u32) -> Arc<Vec<Entry>> {
    Arc::new((0..n).map(entry).collect())
}

fn keys() -> Keys {
    Keys::new(&[&[7; 32]]).expect("a good secret")
}

fn fits(message: &Message) -> bool {
    let address = ([10, 0, 0, 1], 7660).into();
    seal(&keys(), message, Context::Datagram(address)).is_ok()
}

fn request(from: usize, round: u64, loads: Vec<Load>) -> Request {
    let demands = vec![Demand { service: 5, reading: 100, slots: 7 }];
    let rate = |service: u32| Rate { service: 1 << 30 | service, requests: 900_000 };
    let rates = (0..RATES).map(rate).collect();
    let changing = Vec::new();
    let figures = LoadReport { loads, demands, changing, holder: None, rates, instances: 1 };
    let from = format!("front-harju-a-{from}");
    Request {
        from,
        round,
        roster: 0,
        suspects: Default::default(),
        clock: None,
        figures,
        in_force: 0,
    }
}

/// A coordinator with reports of `instances` on load at `endpoints`; endpoint `u32::MAX` has the
/// highest load.
fn coordinator(instances: u32, endpoints: u32) -> Coordinator {
    let mut out = Coordinator::default();
    for i in 0..instances {
        let load = |k: u32| Load { endpoint: (i + k * 37) % endpoints, open: 1, tokens: 900 };
        let mut loads: Vec<Load> = (0..20).map(load).collect();
        loads.push(Load { endpoint: u32::MAX, open: 3, tokens: 90_000 });
        out.on_request(&request(i as usize, 1, loads), NOW);
    }
    out
}

/// With hundreds of instances and thousands of endpoints a response must still fit into a datagram.
/// One that did not fit was never sent, and every instance read everything from the store.
#[rstest]
#[case(300, 3_000)]
#[case(1_945, 20_000)]
fn response_size(#[case] instances: u32, #[case] endpoints: u32) {
    let figures = coordinator(instances, endpoints).totals("", &LoadReport::default(), NOW);
    assert!(figures.loads.iter().any(|l| l.endpoint == u32::MAX), "the highest load is missing");
    assert!(figures.loads.len() > 50, "{}", figures.loads.len());
    assert_eq!(figures.demands[0].reading, 100 * instances);
    assert!((8..RATES as usize).contains(&figures.rates.len()), "{}", figures.rates.len());
    assert!(figures.rates.iter().all(|r| r.requests == 900_000 * instances));
    assert_eq!(figures.instances, instances);
    let known = agate_sync::message::VersionAge { version: u64::MAX, age: u64::MAX };
    let (config, roster) = (Some(known), Some(known));
    let (round, suspects) = (u64::MAX, Default::default());
    let mut message = Message::Response(Response {
        round,
        config,
        clock: None,
        suspects,
        roster,
        figures,
        in_force: u64::MAX,
    });
    while !fits(&message) {
        assert!(message.shorten(), "nothing is left to drop");
    }
    let Message::Response(response) = message else { unreachable!() };
    assert!(
        response.figures.loads.iter().any(|l| l.endpoint == u32::MAX),
        "the highest load was dropped"
    );
}

/// A message that is too long for a datagram loses its smallest loads, one half at a time, until it
/// fits.
#[test]
fn shortened_message() {
    let loads = (0..5_000).map(|i| Load { endpoint: i, open: 1, tokens: i }).collect();
    let changing = (0..5_000).collect();
    let figures = LoadReport { loads, changing, ..LoadReport::default() };
    let mut message = Message::Request(Request { figures, ..request(1, 1, Vec::new()) });
    while !fits(&message) {
        assert!(message.shorten(), "nothing is left to drop");
    }
}

/// A change of one endpoint among thousands must not resend all entries: that took hundreds of
/// datagrams for each instance and arrived seconds late.
#[rstest]
#[case(3_000)]
#[case(20_000)]
fn incremental_update(#[case] endpoints: u32) {
    let before = entries(endpoints);
    let mut after = before.to_vec();
    after[7].leaving = true;
    after.remove(99);
    let (from, to) = (digest_of(&before), digest_of(&after));
    let mut history = History::default();
    history.record(from, &before);
    history.record(to, &Arc::new(after.clone()));
    let messages = history.updates_since(from);
    assert_eq!(messages.len(), 1, "two changes fit into one datagram");
    assert!(messages.iter().all(fits));
    let Message::Changes(part) = messages[0].clone() else { panic!("{:?}", messages[0]) };
    let confirmed = Some(Confirmation { version: to, at: NOW });
    let (got, at) = Reassembly::default()
        .add_changes(part, &before, from, confirmed)
        .expect("all parts have arrived");
    assert_eq!((digest_of(&got), got.len(), at), (to, after.len(), NOW));
    let unknown = history.updates_since(12_345);
    assert_eq!(
        unknown.len(),
        after.len().div_ceil(CHUNK_ENTRIES),
        "an unknown digest gets the full set"
    );
    assert!(unknown.iter().all(fits));
}

/// An update applies only to the set that it was made for, and only if the result is confirmed.
#[test]
fn mismatched_update() {
    let (before, other) = (entries(20), entries(18));
    let mut after = before.to_vec();
    after[3].leaving = true;
    let (from, to) = (digest_of(&before), digest_of(&after));
    let mut history = History::default();
    history.record(from, &before);
    history.record(to, &Arc::new(after));
    let Message::Changes(part) = history.updates_since(from)[0].clone() else { panic!() };
    let (right, wrong) = (
        Some(Confirmation { version: to, at: NOW }),
        Some(Confirmation { version: from, at: NOW }),
    );
    let mut reassembly = Reassembly::default();
    assert!(reassembly.add_changes(part.clone(), &other, digest_of(&other), right).is_none());
    assert!(reassembly.add_changes(part.clone(), &before, from, wrong).is_none());
    assert!(reassembly.add_changes(part.clone(), &before, from, None).is_none());
    assert!(
        reassembly.add_changes(part, &other, from, right).is_none(),
        "the digest of the result is wrong"
    );
}

/// Random changes: whatever set an instance has, the messages that it is sent lead to the current
/// set.
#[rstest]
fn random_history(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut history, mut sets) = (History::default(), Vec::<Arc<Vec<Entry>>>::new());
    let mut set: IndexMap<u32, Entry> = (0..60).map(|i| (i, entry(i))).collect();
    for step in 0..100 {
        for _ in 0..rng.random_range(0..6) {
            let i = rng.random_range(0..80);
            match rng.random_range(0..3) {
                0 => drop(set.swap_remove(&i)),
                1 => drop(set.insert(i, Entry { leaving: true, ..entry(i) })),
                _ => drop(set.insert(i, Entry { slots: step, ..entry(i) })),
            }
        }
        let now = Arc::new(set.values().cloned().collect::<Vec<_>>());
        let to = digest_of(&now);
        history.record(to, &now);
        sets.push(now);
        let known = &sets[rng.random_range(0..sets.len())];
        let from = digest_of(known);
        let confirmed = Some(Confirmation { version: to, at: NOW });
        let mut reassembly = Reassembly::default();
        let mut got = (from == to).then(|| (known.to_vec(), NOW));
        for message in history.updates_since(from).iter().filter(|_| from != to) {
            assert!(fits(message));
            got = match message.clone() {
                Message::Changes(part) => reassembly.add_changes(part, known, from, confirmed),
                Message::Entries(part) => reassembly.add_entries(part, confirmed),
                other => panic!("{other:?}"),
            };
        }
        assert_eq!(digest_of(&got.expect("all parts have arrived").0), to);
    }
}

/// The sums must match the fresh reports, with reports replaced or expired.
#[rstest]
fn consistent_sums(#[values(1, 2, 3)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut c = Coordinator::default();
    let mut outcome: IndexMap<usize, (Duration, Vec<Load>)> = IndexMap::new();
    for round in 1..400 {
        let now = NOW + Duration::from_millis(round * 20);
        let from = rng.random_range(0..40);
        let load = |_| Load {
            endpoint: rng.random_range(0..30),
            open: rng.random_range(0..4),
            tokens: rng.random_range(0..9_000),
        };
        let loads: Vec<Load> = (0..3).map(load).collect();
        c.on_request(&request(from, round, loads.clone()), now);
        outcome.insert(from, (now, loads));
        let except = rng.random_range(0..40);
        let fresh = |(from, (at, _)): &(&usize, &(Duration, Vec<Load>))| {
            **from != except && now - *at < MAX_REPORT_AGE
        };
        let all: Vec<&Load> = outcome.iter().filter(fresh).flat_map(|(_, (_, l))| l).collect();
        let got = c.totals(&format!("front-harju-a-{except}"), &LoadReport::default(), now).loads;
        let sum = |l: &[&Load]| l.iter().map(|l| (l.open, l.tokens)).fold((0, 0), plus);
        assert_eq!(sum(&got.iter().collect::<Vec<_>>()), sum(&all), "round {round}");
    }
}

fn plus(a: (u32, u32), b: (u32, u32)) -> (u32, u32) {
    (a.0 + b.0, a.1 + b.1)
}
