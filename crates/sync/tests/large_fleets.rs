//! What coordinators tell in fleets of hundreds of instances and thousands of endpoints.

use {
    agate_sync::{
        asker::Confirmed,
        assembly::Assembly,
        changes::{History, ROWS},
        coordinator::{Coordinator, LOAD_AGE},
        message::{Demand, Figures, Load, Message, Question, State},
    },
    agate_view::roster::{Entry, digest_of},
    agate_wire::{Context, Keys, seal},
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn entry(i: u32) -> Entry {
    Entry {
        name: format!("i-{i:010x}").into(),
        service: "huvo11a".into(),
        address: ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 8080).into(),
        zone: "harju-a".into(),
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

fn question(from: usize, round: u64, loads: Vec<Load>) -> Question {
    let demands = vec![Demand { service: 5, reading: 100, slots: 7 }];
    let figures = Figures { loads, demands, changing: Vec::new(), holder: None };
    let from = format!("front-harju-a-{from}");
    Question { from, round, roster: 0, suspects: Default::default(), clock: None, figures }
}

/// A coordinator that `instances` told of load at `endpoints`, the first of which has most.
fn coordinator(instances: u32, endpoints: u32) -> Coordinator {
    let mut out = Coordinator::default();
    for i in 0..instances {
        let load = |k: u32| Load { endpoint: (i + k * 37) % endpoints, open: 1, tokens: 900 };
        let mut loads: Vec<Load> = (0..20).map(load).collect();
        loads.push(Load { endpoint: u32::MAX, open: 3, tokens: 90_000 });
        out.on_question(&question(i as usize, 1, loads), NOW);
    }
    out
}

/// Pattern: hundreds of instances with requests at thousands of endpoints. Guards against answers that
/// were too long for a datagram and so never sent: every instance then read everything from the store.
#[rstest]
#[case(300, 3_000)]
#[case(1_945, 20_000)]
fn answers_fit(#[case] instances: u32, #[case] endpoints: u32) {
    let figures = coordinator(instances, endpoints).totals("", &Figures::default(), NOW);
    assert!(figures.loads.iter().any(|l| l.endpoint == u32::MAX), "the busiest one is told");
    assert!(figures.loads.len() > 50, "{}", figures.loads.len());
    assert_eq!(figures.demands[0].reading, 100 * instances);
    let known = agate_sync::message::Known { version: u64::MAX, age: u64::MAX };
    let (config, roster) = (Some(known), Some(known));
    let (round, suspects) = (u64::MAX, Default::default());
    let mut message =
        Message::State(State { round, config, clock: None, suspects, roster, figures });
    while !fits(&message) {
        assert!(message.shorten(), "nothing is left to leave out");
    }
    let Message::State(state) = message else { unreachable!() };
    assert!(state.figures.loads.iter().any(|l| l.endpoint == u32::MAX), "the busiest one stays");
}

/// A message that holds more than a datagram takes loses its least loads, one by one half, and at last
/// still tells its proofs.
#[test]
fn shortened() {
    let loads = (0..5_000).map(|i| Load { endpoint: i, open: 1, tokens: i }).collect();
    let changing = (0..5_000).collect();
    let figures = Figures { loads, changing, ..Figures::default() };
    let mut message = Message::Question(Question { figures, ..question(1, 1, Vec::new()) });
    while !fits(&message) {
        assert!(message.shorten(), "nothing is left to leave out");
    }
}

/// Pattern: one endpoint of thousands leaves. Guards against passing all entries on at each change,
/// which took hundreds of datagrams for each instance and came seconds late.
#[rstest]
#[case(3_000)]
#[case(20_000)]
fn change_costs_change(#[case] endpoints: u32) {
    let before = entries(endpoints);
    let mut after = before.to_vec();
    after[7].leaving = true;
    after.remove(99);
    let (from, to) = (digest_of(&before), digest_of(&after));
    let mut history = History::default();
    history.note(from, &before);
    history.note(to, &Arc::new(after.clone()));
    let messages = history.since(from);
    assert_eq!(messages.len(), 1, "one datagram tells two changes");
    assert!(messages.iter().all(fits));
    let Message::Changes(part) = messages[0].clone() else { panic!("{:?}", messages[0]) };
    let vouched = Some(Confirmed { version: to, at: NOW });
    let (got, at) =
        Assembly::default().change(part, &before, from, vouched).expect("the set is whole");
    assert_eq!((digest_of(&got), got.len(), at), (to, after.len(), NOW));
    let unknown = history.since(12_345);
    assert_eq!(
        unknown.len(),
        after.len().div_ceil(ROWS),
        "an instance that knows nothing gets all"
    );
    assert!(unknown.iter().all(fits));
}

/// Changes count only on top of the very set that they were made for, and only if the result is
/// vouched for.
#[test]
fn foreign_changes() {
    let (before, other) = (entries(20), entries(18));
    let mut after = before.to_vec();
    after[3].leaving = true;
    let (from, to) = (digest_of(&before), digest_of(&after));
    let mut history = History::default();
    history.note(from, &before);
    history.note(to, &Arc::new(after));
    let Message::Changes(part) = history.since(from)[0].clone() else { panic!() };
    let (right, wrong) =
        (Some(Confirmed { version: to, at: NOW }), Some(Confirmed { version: from, at: NOW }));
    let mut assembly = Assembly::default();
    assert!(assembly.change(part.clone(), &other, digest_of(&other), right).is_none());
    assert!(assembly.change(part.clone(), &before, from, wrong).is_none());
    assert!(assembly.change(part.clone(), &before, from, None).is_none());
    assert!(assembly.change(part, &other, from, right).is_none(), "the digest shows it");
}

/// Whatever changes and however far an instance is behind, what it is sent leads to the same set.
#[rstest]
fn any_history(#[values(1, 2, 3, 4)] seed: u64) {
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
        history.note(to, &now);
        sets.push(now);
        let known = &sets[rng.random_range(0..sets.len())];
        let from = digest_of(known);
        let vouched = Some(Confirmed { version: to, at: NOW });
        let mut assembly = Assembly::default();
        let mut got = (from == to).then(|| (known.to_vec(), NOW));
        for message in history.since(from).iter().filter(|_| from != to) {
            assert!(fits(message));
            got = match message.clone() {
                Message::Changes(part) => assembly.change(part, known, from, vouched),
                Message::Entries(part) => assembly.take(part, vouched),
                other => panic!("{other:?}"),
            };
        }
        assert_eq!(digest_of(&got.expect("the set is whole").0), to);
    }
}

/// The sums follow every question, overtaken and silent ones included.
#[rstest]
fn sums_follow(#[values(1, 2, 3)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut c = Coordinator::default();
    let mut told: IndexMap<usize, (Duration, Vec<Load>)> = IndexMap::new();
    for round in 1..400 {
        let now = NOW + Duration::from_millis(round * 20);
        let from = rng.random_range(0..40);
        let load = |_| Load {
            endpoint: rng.random_range(0..30),
            open: rng.random_range(0..4),
            tokens: rng.random_range(0..9_000),
        };
        let loads: Vec<Load> = (0..3).map(load).collect();
        c.on_question(&question(from, round, loads.clone()), now);
        told.insert(from, (now, loads));
        let except = rng.random_range(0..40);
        let fresh = |(from, (at, _)): &(&usize, &(Duration, Vec<Load>))| {
            **from != except && now - *at < LOAD_AGE
        };
        let all: Vec<&Load> = told.iter().filter(fresh).flat_map(|(_, (_, l))| l).collect();
        let got = c.totals(&format!("front-harju-a-{except}"), &Figures::default(), now).loads;
        let sum = |l: &[&Load]| l.iter().map(|l| (l.open, l.tokens)).fold((0, 0), plus);
        assert_eq!(sum(&got.iter().collect::<Vec<_>>()), sum(&all), "round {round}");
    }
}

fn plus(a: (u32, u32), b: (u32, u32)) -> (u32, u32) {
    (a.0 + b.0, a.1 + b.1)
}
