//! Suspects as several instances come to know them, through signs and through the store.

use {
    agate_quarantine::{
        Judgement, Quarantine, Role,
        evidence::{Call, Evidence},
        quarantine::SIGNS,
        suspicion::{NEWS, Sign, Suspicions},
        table::{CAPACITY, End, Table},
    },
    agate_store::{Memory, Store},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const PRINT: u64 = 77;
const MINUTE: Duration = Duration::from_secs(60);

fn at(ms: u64) -> Duration {
    Duration::from_secs(1_000) + Duration::from_millis(ms)
}

/// Guards against blaming a popular request that was answered elsewhere after the crashes.
#[test]
fn answered_between() {
    let mut known = Suspicions::default();
    known.on_crash(PRINT, 1, at(0));
    assert!(known.on_answer(PRINT, at(5)));
    known.on_crash(PRINT, 2, at(10));
    assert!(!known.suspected(PRINT));
    known.on_crash(PRINT, 3, at(15));
    assert!(known.suspected(PRINT));
}

/// Guards against counting one crash once for each instance that saw it.
#[test]
fn one_crash_told_twice() {
    let mut known = Suspicions::default();
    known.on_crash(PRINT, 1, at(0));
    let sign = Sign { print: PRINT, crashed: Some(1), age: 40 };
    known.merge(&[sign, sign], at(50));
    assert!(!known.suspected(PRINT));
}

/// Guards against a suspicion that is known only where its crashes happened, in whatever order signs
/// arrive.
#[rstest]
#[case(&[0, 1])]
#[case(&[1, 0])]
#[case(&[1, 1, 0, 0])]
fn crashes_at_two(#[case] order: &[usize]) {
    let mut seen = [Suspicions::default(), Suspicions::default()];
    seen[0].on_crash(PRINT, 1, at(0));
    seen[1].on_crash(PRINT, 2, at(20));
    let told: Vec<Vec<Sign>> = seen.iter_mut().map(|s| s.news(SIGNS, at(40))).collect();
    let mut third = Suspicions::default();
    for from in order {
        third.merge(&told[*from], at(50));
    }
    assert!(third.suspected(PRINT));
}

/// Guards against news that crowd each other out: a rack's bystanders fill many messages.
#[test]
fn many_told_in_turn() {
    let mut known = Suspicions::default();
    (0..100).for_each(|print| known.on_crash(print, 1, at(0)));
    let mut told: Vec<u64> = Vec::new();
    for _ in 0..100_usize.div_ceil(SIGNS) {
        told.extend(known.news(SIGNS, at(1)).iter().map(|s| s.print));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 100);
    assert!(known.news(SIGNS, at(0) + NEWS).is_empty());
}

/// Guards against blaming a trial for an older call that was left unanswered at the same endpoint.
#[test]
fn older_call() {
    let mut seen = Evidence::default();
    let [older, trial] = [false, true].map(|trial| Call { print: PRINT, trial });
    assert!(!seen.on_unanswered(1, older, at(0)));
    assert_eq!(seen.on_crash(1, at(1)), [older]);
    assert!(!seen.on_unanswered(2, trial, at(2)));
    assert_eq!(seen.on_crash(2, at(3)), [trial]);
}

/// Guards against blaming a request whose connection broke before an endpoint that lives.
#[test]
fn endpoint_lives() {
    let mut seen = Evidence::default();
    let call = Call { print: PRINT, trial: false };
    seen.on_unanswered(1, call, at(0));
    seen.on_alive(1, call, at(1));
    assert_eq!(seen.on_crash(1, at(2)), []);
}

/// Guards against more than three trials that crash endpoints, however long the request comes again.
#[test]
fn trials_are_few() {
    let mut table = Table::default();
    let mut trials = 0;
    for second in 0..(20 * 3_600) {
        let now = Duration::from_secs(second);
        if table.begin(PRINT, trials, Duration::from_secs(1), now).is_ok() {
            table.on_crash(PRINT, trials, now);
            trials += 1;
        }
    }
    assert_eq!(trials, 3);
}

/// Guards against counting an older crash, seen late, as the result of a trial elsewhere.
#[test]
fn other_crash_during_trial() {
    let mut table = Table::default();
    table.begin(PRINT, 1, MINUTE, at(0)).expect("a first trial");
    assert!(!table.on_crash(PRINT, 2, at(1)));
    assert!(table.on_crash(PRINT, 1, at(2)));
    assert!(!table.on_crash(PRINT, 1, at(3)));
}

/// Guards against a crash that shows only after its trial ended without a result, and is forgotten.
#[test]
fn crash_seen_late() {
    let mut table = Table::default();
    table.begin(PRINT, 1, Duration::from_secs(1), at(0)).expect("a first trial");
    assert!(table.end(PRINT, 1, End::Unresolved, at(900)));
    assert!(table.wait(PRINT, at(4_500)).is_some_and(|w| !w.is_zero()));
    assert!(table.on_crash(PRINT, 1, at(4_500)));
    assert!(table.wait(PRINT, at(60_000)).is_some_and(|w| w > 8 * MINUTE));
}

/// Guards against two suspects at one endpoint, where a crash would not name its cause.
#[test]
fn one_trial_an_endpoint() {
    let mut table = Table::default();
    table.begin(1, 9, MINUTE, at(0)).expect("a first trial");
    assert!(table.begin(2, 9, MINUTE, at(1)).is_err());
    assert!(table.begin(2, 8, MINUTE, at(1)).is_ok());
    assert_eq!(table.on_trial(at(2)).collect::<Vec<_>>(), [9, 8]);
}

/// Guards against a trial that nobody ends, since its instance was killed.
#[test]
fn holder_gone() {
    let mut table = Table::default();
    table.begin(PRINT, 1, Duration::from_secs(1), at(0)).expect("a first trial");
    assert!(table.begin(PRINT, 2, MINUTE, at(900)).is_err());
    assert!(table.begin(PRINT, 2, MINUTE, at(7_000)).is_ok());
}

/// Guards against a record that callers fill: suspects that crashed something in a trial stay.
#[test]
fn full_record() {
    let mut table = Table::default();
    table.begin(PRINT, 1, MINUTE, at(0)).expect("a first trial");
    table.on_crash(PRINT, 1, at(1));
    for print in 1_000..(1_000 + 2 * CAPACITY as u64) {
        table.add(print, at(print));
    }
    assert_eq!(table.len(), CAPACITY);
    assert!(table.contains(PRINT));
    assert_eq!(Table::decode(&table.encode()), Some(table));
}

fn instance(store: &Store) -> Arc<Quarantine> {
    Quarantine::new(store.clone(), agate_view::clock::wall)
}

/// Guards against two instances that try the same suspect at once.
#[tokio::test]
async fn one_trial_in_the_fleet() {
    let store = Memory::open(agate_view::clock::now).store();
    let instances: Vec<_> = (0..8).map(|_| instance(&store)).collect();
    let begun = instances.iter().enumerate().map(|(i, q)| {
        let q = q.clone();
        tokio::spawn(async move { q.begin(PRINT, i as u32, MINUTE).await.ok() })
    });
    let mut trials = Vec::new();
    for task in begun.collect::<Vec<_>>() {
        trials.extend(task.await.expect("no panic"));
    }
    assert_eq!(trials.len(), 1);
}

/// Guards against a suspect that is forgotten when every instance starts anew.
#[tokio::test]
async fn all_started_anew() {
    let store = Memory::open(agate_view::clock::now).store();
    let first = instance(&store);
    let trial = first.begin(PRINT, 1, MINUTE).await.expect("a trial");
    first.on_unanswered(Call { print: PRINT, trial: true }, 1);
    first.on_crash(1, "refused");
    drop((trial, first));
    let next = instance(&store);
    tokio::spawn(next.clone().follow(|| Role::Led));
    let held = || matches!(next.judge(PRINT), Judgement::Held(wait) if wait > 9 * MINUTE);
    for _ in 0..500 {
        if held() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{:?}", next.judge(PRINT));
}

/// Guards against sending a suspect while no trial can be written.
#[tokio::test]
async fn store_away() {
    let store = Store::new(|_, _| {
        Box::pin(async {
            Err(agate_store::Error::Unavailable {
                step: "swap",
                peer: "store".into(),
                cause: "away".into(),
            })
        })
    });
    let own = instance(&store);
    for endpoint in [1, 2] {
        own.on_unanswered(Call { print: PRINT, trial: false }, endpoint);
        own.on_crash(endpoint, "refused");
    }
    assert_eq!(own.judge(PRINT), Judgement::Trial);
    assert!(own.begin(PRINT, 3, MINUTE).await.is_err());
}
