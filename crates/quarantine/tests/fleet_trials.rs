//! Suspects shared between instances, through observations and through the store.

use {
    agate_quarantine::{
        Decision, Property, Quarantine,
        evidence::{Call, Evidence},
        quarantine::MAX_OBSERVATIONS,
        suspicion::{Observation, REPORT_TIME, Suspicions},
        table::{CAPACITY, Table, TrialEnd},
    },
    agate_store::{Memory, Store},
    agate_view::{framing, shared_record::Role},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const FINGERPRINT: u64 = 77;
const MINUTE: Duration = Duration::from_secs(60);

/// The property of a whole request.
const REQUEST: Property = Property { print: FINGERPRINT, depth: 0 };

/// An unanswered call of the request; a trial of it if `trial`.
fn call(trial: bool) -> Call {
    Call { properties: vec![REQUEST], trial: if trial { vec![FINGERPRINT] } else { Vec::new() } }
}

fn suspected(known: &mut Suspicions, now: Duration) -> bool {
    known.suspected(FINGERPRINT, |_| false, now)
}

fn at(ms: u64) -> Duration {
    Duration::from_secs(1_000) + Duration::from_millis(ms)
}

/// Guards against suspecting a popular request that got a response between two crashes.
#[test]
fn response_between_crashes() {
    let mut known = Suspicions::default();
    known.on_crash(REQUEST, 1, at(0));
    assert!(known.on_response(FINGERPRINT, at(5), at(7)));
    known.on_crash(REQUEST, 2, at(10));
    assert!(!suspected(&mut known, at(10)));
    known.on_crash(REQUEST, 3, at(15));
    assert!(suspected(&mut known, at(15)));
}

/// Guards against counting one crash several times because several instances saw it.
#[test]
fn duplicate_reports() {
    let mut known = Suspicions::default();
    known.on_crash(REQUEST, 1, at(0));
    let observation = Observation { print: FINGERPRINT, crashed: Some(1), age: 40 };
    known.merge(&[observation, observation], at(50));
    assert!(!suspected(&mut known, at(50)));
}

/// Guards against losing a suspicion when different instances saw its crashes, in whatever order
/// their observations arrive.
#[rstest]
#[case(&[0, 1])]
#[case(&[1, 0])]
#[case(&[1, 1, 0, 0])]
fn crashes_merged(#[case] order: &[usize]) {
    let mut seen = [Suspicions::default(), Suspicions::default()];
    seen[0].on_crash(REQUEST, 1, at(0));
    seen[1].on_crash(REQUEST, 2, at(20));
    let reported: Vec<Vec<Observation>> =
        seen.iter_mut().map(|s| s.recent(MAX_OBSERVATIONS, at(40))).collect();
    let mut third = Suspicions::default();
    for from in order {
        third.merge(&reported[*from], at(50));
    }
    assert!(suspected(&mut third, at(50)));
}

/// Guards against observations that are never sent: when a whole rack crashes, those of requests
/// that were only in flight fill many messages.
#[test]
fn reports_rotate() {
    let mut known = Suspicions::default();
    (0..100).for_each(|print| known.on_crash(Property { print, depth: 0 }, 1, at(0)));
    let mut reported: Vec<u64> = Vec::new();
    for _ in 0..100_usize.div_ceil(MAX_OBSERVATIONS) {
        reported.extend(known.recent(MAX_OBSERVATIONS, at(1)).iter().map(|s| s.print));
    }
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 100);
    assert!(known.recent(MAX_OBSERVATIONS, at(0) + REPORT_TIME).is_empty());
}

/// Guards against attributing a crash to a trial when an earlier call of the request was
/// unanswered.
#[test]
fn earlier_call() {
    let mut seen = Evidence::default();
    assert_eq!(seen.on_unanswered(1, call(false), at(0)), None);
    assert_eq!(seen.on_crash(1, at(1)), [call(false)]);
    assert_eq!(seen.on_unanswered(2, call(true), at(2)), None);
    assert_eq!(seen.on_crash(2, at(3)), [call(true)]);
}

/// Guards against counting a crash against a request whose connection broke while its endpoint was
/// alive.
#[test]
fn endpoint_alive() {
    let mut seen = Evidence::default();
    seen.on_unanswered(1, call(false), at(0));
    seen.on_alive(1, &call(false), at(1));
    assert_eq!(seen.on_crash(1, at(2)), []);
}

/// Guards against more than three trials that crash endpoints, however long the caller retries.
#[test]
fn bounded_trials() {
    let mut table = Table::default();
    let mut trials = 0;
    for second in 0..(20 * 3_600) {
        let now = Duration::from_secs(second);
        if table.begin_trial(&[FINGERPRINT], trials, Duration::from_secs(1), now).is_ok() {
            table.on_crash(FINGERPRINT, trials, now);
            trials += 1;
        }
    }
    assert_eq!(trials, 3);
}

/// Guards against counting the delayed report of an older crash as the result of a trial at another
/// endpoint.
#[test]
fn other_crash_during_trial() {
    let mut table = Table::default();
    table.begin_trial(&[FINGERPRINT], 1, MINUTE, at(0)).expect("a first trial");
    assert!(!table.on_crash(FINGERPRINT, 2, at(1)));
    assert!(table.on_crash(FINGERPRINT, 1, at(2)));
    assert!(!table.on_crash(FINGERPRINT, 1, at(3)));
}

/// Guards against ignoring a crash that is detected only after its trial ended without a result.
#[test]
fn late_crash() {
    let mut table = Table::default();
    table.begin_trial(&[FINGERPRINT], 1, Duration::from_secs(1), at(0)).expect("a first trial");
    assert!(table.end(FINGERPRINT, 1, TrialEnd::Unresolved, at(900)));
    assert!(table.wait(&[FINGERPRINT], at(4_500)).is_some_and(|w| !w.is_zero()));
    assert!(table.on_crash(FINGERPRINT, 1, at(4_500)));
    assert!(table.wait(&[FINGERPRINT], at(60_000)).is_some_and(|w| w > 8 * MINUTE));
}

/// Guards against trials of two suspects at one endpoint, where a crash does not identify its
/// cause.
#[test]
fn one_trial_per_endpoint() {
    let mut table = Table::default();
    table.begin_trial(&[1], 9, MINUTE, at(0)).expect("a first trial");
    assert!(table.begin_trial(&[2], 9, MINUTE, at(1)).is_err());
    assert!(table.begin_trial(&[2], 8, MINUTE, at(1)).is_ok());
    assert_eq!(table.on_trial(at(2)).collect::<Vec<_>>(), [9, 8]);
}

/// Guards against a trial that stays open forever because its instance was killed.
#[test]
fn abandoned_trial() {
    let mut table = Table::default();
    table.begin_trial(&[FINGERPRINT], 1, Duration::from_secs(1), at(0)).expect("a first trial");
    assert!(table.begin_trial(&[FINGERPRINT], 2, MINUTE, at(900)).is_err());
    assert!(table.begin_trial(&[FINGERPRINT], 2, MINUTE, at(7_000)).is_ok());
}

/// Guards against evicting confirmed suspects when callers fill the record with others.
#[test]
fn record_overflow() {
    let mut table = Table::default();
    table.begin_trial(&[FINGERPRINT], 1, MINUTE, at(0)).expect("a first trial");
    table.on_crash(FINGERPRINT, 1, at(1));
    for fingerprint in 1_000..(1_000 + 2 * CAPACITY as u64) {
        table.add(fingerprint, at(fingerprint), at(fingerprint));
    }
    assert_eq!(table.counts(), (0, CAPACITY));
    assert!(table.contains(FINGERPRINT));
    assert_eq!(framing::decode(&framing::encode(&table)), Some(table));
}

fn instance(store: &Store) -> Arc<Quarantine> {
    Quarantine::new(store.clone(), agate_view::clock::wall)
}

/// Guards against concurrent trials of one suspect by several instances.
#[tokio::test]
async fn one_trial_per_fleet() {
    let store = Memory::open(agate_view::clock::now).store();
    let instances: Vec<_> = (0..8).map(|_| instance(&store)).collect();
    let begun = instances.iter().enumerate().map(|(i, q)| {
        let q = q.clone();
        tokio::spawn(async move { q.begin_trial(vec![FINGERPRINT], i as u32, MINUTE).await.ok() })
    });
    let mut trials = Vec::new();
    for task in begun.collect::<Vec<_>>() {
        trials.extend(task.await.expect("no panic"));
    }
    assert_eq!(trials.len(), 1);
}

/// Guards against losing a suspect when all instances restart.
#[tokio::test]
async fn fleet_restart() {
    let store = Memory::open(agate_view::clock::now).store();
    let first = instance(&store);
    let trial = first.begin_trial(vec![FINGERPRINT], 1, MINUTE).await.expect("a trial");
    first.on_unanswered(call(true), 1);
    first.on_crash(1, "refused");
    drop((trial, first));
    let next = instance(&store);
    tokio::spawn(next.clone().follow(|| Role::Follower));
    let is_blocked =
        || matches!(next.check(&[REQUEST]), Decision::Blocked { wait, .. } if wait > 9 * MINUTE);
    for _ in 0..500 {
        if is_blocked() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{:?}", next.check(&[REQUEST]));
}

/// Guards against sending a suspect while the store is unavailable and no trial can be written.
#[tokio::test]
async fn store_unavailable() {
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
        own.on_unanswered(call(false), endpoint);
        own.on_crash(endpoint, "refused");
    }
    assert_eq!(own.check(&[REQUEST]), Decision::TrialOnly(vec![FINGERPRINT]));
    assert!(own.begin_trial(vec![FINGERPRINT], 3, MINUTE).await.is_err());
}
