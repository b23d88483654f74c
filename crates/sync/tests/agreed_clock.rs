//! The time of day that instances agree on when clocks of some machines are off.

use {
    agate_sync::{
        asker::Asker,
        clocks::{Ahead, Clock, FULL_WEIGHT, LONGEST_WAY, Vote, agreed},
        coordinator::Coordinator,
        message::{Figures, Question, State},
    },
    rstest::rstest,
    std::time::Duration,
};

const TRUE: Duration = Duration::from_secs(1_700_000_000);
const NOW: Duration = Duration::from_secs(100);

fn s(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// A vote of a clock that is `off` seconds ahead of the coordinator's.
fn vote(off: f64, kept: f64) -> Vote {
    Vote::new((off * 1e6) as Ahead, s(kept))
}

fn question(from: &str, clock: Vote) -> Question {
    let figures = Figures::default();
    Question {
        from: from.into(),
        round: 1,
        roster: 0,
        suspects: Default::default(),
        clock: Some(clock),
        figures,
    }
}

fn state(round: u64, agreed: Option<Ahead>) -> State {
    let clock = Some(Clock { wall: TRUE.as_micros() as u64, agreed });
    State {
        round,
        config: None,
        clock,
        suspects: Default::default(),
        roster: None,
        figures: Figures::default(),
    }
}

/// A machine's clock is off and its instance starts again: the agreed time is that of the others,
/// also if it is the coordinator itself.
#[rstest]
#[case(4.0)]
#[case(-4.0)]
fn restarted(#[case] off: f64) {
    let mut c = Coordinator::default();
    for (i, name) in ["a", "b", "c"].iter().enumerate() {
        c.on_question(&question(name, vote(0.001 * i as f64, 30.0)), NOW);
    }
    c.on_question(&question("d", vote(off, 0.0)), NOW);
    let ahead = c.agreed(s(30.0), 5, NOW).expect("an agreement");
    assert!(ahead.abs() < 10_000, "{ahead}");
    let mut c = Coordinator::default();
    for name in ["a", "b", "c"] {
        c.on_question(&question(name, vote(-off, 30.0)), NOW);
    }
    assert_eq!(c.agreed(s(0.0), 4, NOW), Some((-off * 1e6) as Ahead));
}

/// Most instances start again on machines whose clocks are off: the few that have kept the time for
/// long outweigh them.
#[test]
fn outvoted() {
    let mut votes = vec![vote(3.0, 0.0); 6];
    votes.extend([vote(0.0, 40.0), vote(0.002, 50.0)]);
    let ahead = agreed(votes, 8).expect("an agreement");
    assert!(ahead.abs() < 10_000, "{ahead}");
}

/// One instance that runs for days does not decide alone.
#[test]
fn no_dictator() {
    let day = 86_400.0;
    let votes = vec![vote(7.0, 10.0 * day), vote(0.0, 80.0), vote(0.0, 90.0)];
    assert_eq!(agreed(votes, 3), Some(0));
    assert!(FULL_WEIGHT < s(80.0));
}

/// A coordinator that has heard of few instances agrees to nothing, and votes that were not renewed
/// no longer count.
#[test]
fn too_few() {
    let mut c = Coordinator::default();
    c.on_question(&question("a", vote(2.0, 30.0)), NOW);
    assert_eq!(c.agreed(s(1.0), 4, NOW), None);
    assert_eq!(c.agreed(s(1.0), 2, NOW), Some(2_000_000));
    assert_eq!(c.agreed(s(1.0), 2, NOW + s(60.0)), None);
    assert_eq!(c.agreed(s(1.0), 1, NOW + s(60.0)), Some(0));
}

/// An instance measures its difference by an answer that came soon, and uses the agreed time.
#[test]
fn measured() {
    let mut asker = Asker::default();
    let (_, round) = asker.ask(&["a"], NOW)[0];
    assert_eq!(asker.ahead(), None);
    let now = NOW + s(0.004);
    let own = TRUE + s(3.002);
    let told = asker.on_state(&state(round, Some(500_000)), own, now).expect("an open question");
    assert_eq!(told.wall, Some(TRUE + s(0.502)));
    assert_eq!(asker.ahead(), Some(3_000_000));
}

/// What was long under way changes nothing, and another coordinator's clock is measured anew.
#[test]
fn under_way() {
    let mut asker = Asker::default();
    let (_, round) = asker.ask(&["a"], NOW)[0];
    let late = NOW + LONGEST_WAY + s(0.001);
    let told = asker.on_state(&state(round, Some(0)), TRUE, late).expect("an open question");
    assert_eq!((told.wall, asker.ahead()), (None, None));
    let (_, round) = asker.ask(&["a"], late)[0];
    let soon = late + s(0.002);
    assert!(asker.on_state(&state(round, None), TRUE, soon).is_some_and(|t| t.wall.is_none()));
    assert!(asker.ahead().is_some());
    assert_eq!(asker.ask(&["b"], soon).len(), 1);
    assert_eq!(asker.ahead(), None);
}
