//! Where model work goes under load.

use {
    agate_relay::{
        load::{Rate, Reading},
        pace::{Pace, Sample},
        place::{Candidate, Choice, MOST_CANDIDATES, Spot, Want, choose, shortlist},
    },
    agate_route::ranking::mix,
    std::time::Duration,
};

const SPEED: f64 = 400.0;
const BASE: Duration = Duration::from_millis(12);

fn engine(i: u64) -> Candidate {
    Candidate {
        hash: mix(i, 77),
        near: true,
        healthy: true,
        refusing: false,
        open: 0,
        others: 0,
        most: 100,
        slots: 6,
        reading: Reading::new(&Pace::new(12.0, SPEED), &Rate::default()),
    }
}

fn engines(n: u64) -> Vec<Candidate> {
    (0..n).map(engine).collect()
}

/// A dossier: 9,190 tokens, 6,300 of them shared.
fn dossier(subject: u64) -> Want {
    Want {
        subject: Some(subject),
        tokens: 9_190,
        shared: 6_300,
        within: Duration::from_millis(100),
        ..Want::default()
    }
}

fn index(choice: Choice) -> usize {
    match choice {
        Choice::At { index, .. } => index,
        other => panic!("{other:?}"),
    }
}

/// Pattern: many subjects, each asked for again and again. A subject stays at its homes, and all
/// engines get a part.
#[test]
fn subjects_stay() {
    let all = engines(12);
    let mut used = [0; 12];
    for subject in 0..730 {
        let at = index(choose(&dossier(subject), &all));
        assert_eq!(at, index(choose(&dossier(subject), &all)));
        used[at] += 1;
    }
    assert!(used.iter().all(|n| *n > 15), "{used:?}");
}

/// Pattern: an engine joins or leaves. Only subjects of that engine move.
#[test]
fn few_move() {
    let (before, after) = (engines(12), engines(11));
    for subject in 0..730 {
        let (old, new) =
            (index(choose(&dossier(subject), &before)), index(choose(&dossier(subject), &after)));
        assert!(old == new || old == 11, "{subject}: {old} to {new}");
    }
}

/// Pattern: a burst of dossiers on one subject while engines are otherwise idle. The second home
/// shares the load; shared parts are not read on every engine.
#[test]
fn hot_subject() {
    let mut all = engines(12);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let Choice::At { index, tokens } = choose(&dossier(5), &all) else { break };
        all[index].reading.own += u64::from(tokens);
        all[index].open += 1;
        used.insert(index);
    }
    assert!((2..=3).contains(&used.len()), "{used:?}");
}

/// Pattern: more prompts than the engines can read. Those that cannot be in time are refused, and
/// the others are expected in time.
#[test]
fn overload_refuses() {
    let mut all = engines(4);
    let mut refused = 0;
    for subject in 0..200 {
        match choose(&dossier(subject), &all) {
            Choice::At { index, tokens } => {
                all[index].reading.own += u64::from(tokens);
                all[index].open += 1;
            }
            Choice::Full(wait) => {
                assert!(wait > Duration::ZERO);
                refused += 1;
            }
            Choice::None => panic!("there are engines"),
        }
    }
    assert!((100..200).contains(&refused), "{refused}");
    for c in &all {
        let last = BASE + c.reading.time(c.reading.own as u32);
        assert!(last <= Duration::from_millis(100), "{last:?}");
    }
}

/// Pattern: other instances fill an engine. Their load counts like the own one.
#[test]
fn others_count() {
    let mut all = engines(12);
    let home = index(choose(&dossier(9), &all));
    all[home].reading.others = 40_000;
    assert_ne!(index(choose(&dossier(9), &all)), home);
}

/// An engine that refused a moment ago, or whose failure detector tripped, gets nothing while
/// others can take the work.
#[test]
fn left_out() {
    let mut all = engines(3);
    (all[0].refusing, all[1].healthy) = (true, false);
    for subject in 0..50 {
        assert_eq!(index(choose(&dossier(subject), &all)), 2);
    }
    all[2].refusing = true;
    assert!(matches!(choose(&dossier(1), &all), Choice::Full(_)));
    assert_eq!(choose(&dossier(1), &[]), Choice::None);
}

/// Pattern: long answers hold all slots. Work whose prompt was read does not queue behind them; a
/// short question may.
#[test]
fn held_slots() {
    let mut all = engines(2);
    for c in &mut all {
        c.others = 6;
    }
    let read = Want { within: Duration::from_millis(80), slot: true, ..Want::default() };
    assert!(matches!(choose(&read, &all), Choice::Full(_)));
    let question = Want { tokens: 220, within: Duration::from_secs(10), slot: false, ..read };
    assert!(matches!(choose(&question, &all), Choice::At { .. }));
    all[1].others = 5;
    assert_eq!(index(choose(&read, &all)), 1);
}

/// The speed that is learned is the engine's, also when the load of others is known late: once too
/// much, once too little.
#[test]
fn steady_speed() {
    let mut pace = Pace::new(12.0, 200.0);
    for i in 0..400_u64 {
        let ahead = 10_000 + (i % 7) * 3_000;
        let seen = if i % 2 == 0 { ahead + 8_000 } else { ahead - 8_000 };
        let own = 1_500 + (i % 7) as u32 * 3_000;
        let millis = 12.0 + ahead as f64 / 500.0;
        pace.learn(&Sample { own, ahead: seen, millis });
    }
    assert!((400.0..600.0).contains(&pace.speed()), "{}", pace.speed());
}

/// Pattern: engines whose first token takes long however short the prompt is. Guards against taking
/// that time for slow reading, which made prompts of many times the usual length look many times too
/// slow to be in time, so that they were refused whatever the load.
#[test]
fn long_first_step() {
    let mut pace = Pace::default();
    for i in 0..60_u64 {
        let own = 800 + (i % 8) as u32 * 500;
        let ahead = u64::from(own) + (i % 3) * 1_000;
        let millis = 70.0 + ahead as f64 / 54.6;
        pace.learn(&Sample { own, ahead, millis });
    }
    let reading = Reading::new(&pace, &Rate::default());
    let expected = reading.first_token(17_000, 0).as_secs_f64() * 1e3;
    let true_time = 70.0 + 17_000.0 / 54.6;
    assert!((0.85..1.15).contains(&(expected / true_time)), "{expected} instead of {true_time}");
}

/// Pattern: some engines of a kind turn slow. Each one's own speed is learned beside that of its kind.
#[test]
fn slow_engine() {
    let pace = Pace::new(12.0, SPEED);
    let mut rate = Rate::default();
    for _ in 0..30 {
        rate.learn(40.0, 120.0);
    }
    let slow = Reading::new(&pace, &rate);
    assert!((0.3..0.5).contains(&(slow.speed / SPEED)), "{}", slow.speed);
}

/// Pattern: thousands of endpoints. A request looks at a bounded number of them, its subject's homes
/// always among these, and every endpoint gets its turn.
#[test]
fn bounded_look() {
    let all: Vec<Spot> = (0..3_000).map(|i| Spot { hash: mix(i, 77), near: i % 6 == 0 }).collect();
    let mut looked = std::collections::BTreeSet::new();
    for draw in 0..4_000 {
        let listed = shortlist(Some(5), &all, draw * 7);
        assert!(listed.len() <= MOST_CANDIDATES);
        assert!(listed.iter().filter(|i| all[**i].near).count() >= 60, "most are near");
        let home = (0..3_000).max_by_key(|i| mix(all[*i].hash, 5)).expect("there are endpoints");
        assert!(listed.contains(&home));
        looked.extend(listed);
    }
    assert_eq!(looked.len(), all.len());
    let few: Vec<usize> = shortlist(Some(5), &all[..MOST_CANDIDATES], 9);
    assert_eq!(few, (0..MOST_CANDIDATES).collect::<Vec<_>>());
}
