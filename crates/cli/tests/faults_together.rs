//! Faults two at a time while callers send; one checker judges what everyone saw.
//!
//! What a run chooses follows from its seed, which is printed. All pairs with several seeds:
//! `cargo test -p agate-cli --test faults_together all_pairs -- --ignored --nocapture`.

mod rig;
mod support;

use {
    agate_audit::{
        check,
        history::{Ending, History},
    },
    futures_util::{StreamExt, stream},
    rig::{
        Rig,
        callers::Callers,
        faults::Strike::{self, *},
        records,
    },
    rstest::rstest,
    support::until,
};

/// Answers through each instance before the faults, and again after them.
const WARM: usize = 8;
/// Least whole answers of a run.
const LEAST_ANSWERS: usize = 60;
/// Least bookings that ran.
const LEAST_BOOKINGS: usize = 8;
/// Seeds that the walk over all pairs takes.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Runs of that walk that go on at the same time.
const AT_ONCE: usize = 6;

/// Runs traffic with two faults at once and returns what everyone saw.
async fn scenario(first: Strike, second: Option<Strike>, seed: u64) -> History {
    println!("{first:?} with {second:?}, seed {seed}");
    let rig = Rig::spawn().await;
    let watch = records::watch(&rig);
    let callers = Callers::spawn(&rig, seed);
    all_answer(&rig).await;
    let other = async {
        if let Some(second) = second {
            second.run(&rig, seed).await;
        }
    };
    tokio::join!(first.run(&rig, seed), other);
    all_answer(&rig).await;
    callers.stop().await;
    let history = records::close(&rig);
    watch.abort();
    assert_eq!(rig.panics(), [""; 0], "an instance panicked");
    history
}

/// Waits until every instance gave some more answers.
async fn all_answer(rig: &Rig) {
    let before: Vec<_> =
        rig.entries().into_iter().map(|e| (rig.records.answered(&e.name) + WARM, e)).collect();
    let enough = || before.iter().all(|(least, e)| rig.records.answered(&e.name) >= *least);
    until("every instance answers", enough).await;
}

fn judge(history: &History) {
    let whole = |e: &Ending| matches!(e, Ending::Whole(_));
    let answers = history.calls.iter().filter(|c| whole(&c.ending)).count();
    let bookings = history.runs.iter().filter(|r| r.booking.is_some()).count();
    assert!(answers >= LEAST_ANSWERS, "only {answers} answers");
    assert!(bookings >= LEAST_BOOKINGS, "only {bookings} bookings ran");
    assert!(!history.installs.is_empty() && !history.holds.is_empty(), "nothing was watched");
    println!("{answers} answers, {bookings} bookings, {} faults", history.faults.len());
    let found = check(history);
    assert!(found.is_empty(), "{found:#?}");
}

#[rstest]
#[case::no_store_no_engine(Outage, Crash)]
#[case::killed_amid_rolling(Replace, Kill)]
#[case::unheard_withdrawal(CutStore, Withdraw)]
#[case::silent_leaving(Silence, Leave)]
#[case::poison_lost_acks(Poison, LostAcks)]
#[case::withdrawn_amid_outage(Outage, Withdraw)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pairs(#[case] first: Strike, #[case] second: Strike) {
    judge(&scenario(first, Some(second), 1).await);
}

/// Every fault alone, and every two together.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes many minutes; for runs by hand"]
async fn all_pairs() {
    let alone = Strike::ALL.map(|s| (s, None));
    let both = Strike::ALL.into_iter().enumerate().flat_map(|(i, first)| {
        Strike::ALL[i + 1..].iter().map(move |second| (first, Some(*second)))
    });
    let all: Vec<_> = alone.into_iter().chain(both).collect();
    let runs = SEEDS.into_iter().flat_map(|seed| all.iter().map(move |(a, b)| (*a, *b, seed)));
    let runs = runs.map(|(first, second, seed)| async move {
        let run = tokio::spawn(async move { judge(&scenario(first, second, seed).await) });
        (run.await.is_err(), first, second, seed)
    });
    let ended: Vec<_> = stream::iter(runs).buffer_unordered(AT_ONCE).collect().await;
    let failed: Vec<_> = ended.iter().filter(|(failed, ..)| *failed).collect();
    println!("{} of {} runs failed", failed.len(), ended.len());
    assert!(failed.is_empty(), "{failed:?}");
}
