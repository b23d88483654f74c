//! Stages of engines follow the demand.

use {
    agate_duty::stage::{Asked, StageOrder, State, generating, plan},
    agate_view::{
        roster::{Entry, Stage},
        table::{Engine, Parts, Service, Table},
    },
    indexmap::IndexMap,
    rstest::rstest,
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(1_000);

fn table(slots: u32) -> Table {
    let engine = Engine { slots, switch: Duration::from_secs(3), ..Engine::default() };
    let service = Service { engine: Some(engine), ..Service::default() };
    Table::new(Parts { services: IndexMap::from([("model".into(), service)]), ..Parts::default() })
}

fn engines(reading: usize, generate: usize) -> Vec<Entry> {
    let one = |i: usize| Entry {
        name: format!("e{i}").into(),
        service: "model".into(),
        address: ([10, 0, 0, i as u8], 80).into(),
        zone: ["a", "b", "c", "d"][i % 4].into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: Some(if i < reading { Stage::Prefill } else { Stage::Decode }),
        born: None,
        spot: true,
    };
    (0..reading + generate).map(one).collect()
}

fn orders(entries: &[Entry], asked: Asked) -> Vec<StageOrder> {
    plan(&mut State::default(), &table(6), entries, |_| asked, NOW)
}

const PROMPTS: Asked = Asked { reading: 8.0, slots: 10.0 };
const ANSWERS: Asked = Asked { reading: 0.5, slots: 40.0 };

/// Pattern: the mix swings to long prompts, then to long answers.
#[test]
fn follows_swing() {
    let to_read = orders(&engines(4, 12), PROMPTS);
    assert!(!to_read.is_empty() && to_read.iter().all(|o| o.stage == Stage::Prefill));
    let to_generate = orders(&engines(12, 4), ANSWERS);
    assert!(!to_generate.is_empty() && to_generate.iter().all(|o| o.stage == Stage::Decode));
}

/// Pattern: bursts of long answers and of long prompts alternate within three seconds. The engines
/// that generate stay enough for the bursts of answers.
#[test]
fn alternating_bursts() {
    let (table, mut state, mut entries) = (table(6), State::default(), engines(8, 8));
    let mut fewest = usize::MAX;
    for step in 0..120_u64 {
        let now = NOW + Duration::from_millis(500 * step);
        let asked = if (step / 6) % 2 == 0 { PROMPTS } else { ANSWERS };
        for order in plan(&mut state, &table, &entries, |_| asked, now) {
            state.sent(&order, now);
            let entry = entries.iter_mut().find(|e| e.name == order.endpoint).expect("an engine");
            entry.stage = Some(order.stage);
        }
        let generate = entries.iter().filter(|e| e.stage == Some(Stage::Decode)).count();
        fewest = if step < 20 { usize::MAX } else { fewest.min(generate) };
    }
    assert!(fewest as f64 * 6.0 >= ANSWERS.slots, "{fewest} engines generate at the least");
}

/// Never more than a third of the engines change at once, and some always generate.
#[rstest]
#[case(PROMPTS)]
#[case(ANSWERS)]
#[case(Asked { reading: 50.0, slots: 0.0 })]
fn few_at_once(#[case] asked: Asked) {
    let (table, mut state, mut entries) = (table(6), State::default(), engines(8, 8));
    for step in 0..40 {
        let now = NOW + Duration::from_millis(500 * step);
        let given = plan(&mut state, &table, &entries, |_| asked, now);
        assert!(given.len() <= 5, "{given:?}");
        for order in given {
            state.sent(&order, now);
            let entry = entries.iter_mut().find(|e| e.name == order.endpoint).expect("an engine");
            entry.stage = Some(order.stage);
        }
        let generate = entries.iter().filter(|e| e.stage == Some(Stage::Decode)).count();
        assert!(generate >= 2, "{generate}");
    }
    let generate = entries.iter().filter(|e| e.stage == Some(Stage::Decode)).count();
    assert!(generate.abs_diff(generating(16, 6, asked)) <= 1, "{generate}");
}

/// An order whose effect is not seen yet is not given again.
#[test]
fn not_repeated() {
    let (table, mut state, entries) = (table(6), State::default(), engines(4, 12));
    for order in plan(&mut state, &table, &entries, |_| PROMPTS, NOW) {
        state.sent(&order, NOW);
    }
    let soon = NOW + Duration::from_secs(2);
    assert_eq!(plan(&mut state, &table, &entries, |_| PROMPTS, soon), []);
    let late = NOW + Duration::from_secs(10);
    assert!(!plan(&mut state, &table, &entries, |_| PROMPTS, late).is_empty());
}

/// Pattern: requests keep coming while engines change. A change is announced before its order, and
/// ends with the entry that shows it or when it never happens.
#[test]
fn announced_first() {
    let (table, mut state, mut entries) = (table(6), State::default(), engines(4, 12));
    let planned = plan(&mut state, &table, &entries, |_| PROMPTS, NOW);
    let names: Vec<_> = planned.iter().map(|o| o.endpoint.clone()).collect();
    assert_eq!(state.announce(planned, NOW), [], "nothing is ordered at once");
    assert_eq!(state.changing(&entries, NOW), names);
    let later = NOW + Duration::from_millis(1_000);
    let due = state.announce(Vec::new(), later);
    assert_eq!(due.iter().map(|o| o.endpoint.clone()).collect::<Vec<_>>(), names);
    due.iter().for_each(|o| state.sent(o, later));
    assert_eq!(state.announce(Vec::new(), later), [], "ordered once");
    let entry = entries.iter_mut().find(|e| e.name == names[0]).expect("an engine");
    entry.stage = Some(Stage::Prefill);
    assert_eq!(state.changing(&entries, later), names[1..]);
    assert!(state.changing(&entries, later + Duration::from_secs(20)).is_empty());
}

/// A division that fits is left alone.
#[test]
fn left_alone() {
    let want = generating(16, 6, PROMPTS);
    for off in [want - 1, want, want + 1] {
        assert_eq!(orders(&engines(16 - off, off), PROMPTS), [], "{off} of {want}");
    }
}

/// Without demand half of the engines generate.
#[test]
fn no_demand() {
    assert_eq!(generating(16, 6, Asked::default()), 8);
    assert_eq!(generating(1, 6, Asked::default()), 1);
}
