//! Proofs that are taken over are never younger than they are.

use {
    agate_sync::{
        asker::{Asker, Confirmed, FRESH, LEFT_OUT, SILENCE},
        message::{Figures, Known, State},
    },
    rstest::rstest,
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(10_000 + n)
}

fn state(round: u64, age_ms: u64) -> State {
    let config = Some(Known { version: 9, age: age_ms * 1_000 });
    State {
        round,
        config,
        clock: None,
        suspects: Default::default(),
        roster: None,
        figures: Figures::default(),
    }
}

/// However long the answer is under way, the proof counts from before the question.
#[rstest]
fn delayed_answer(#[values(0, 30, 4_000)] delay: u64, #[values(0, 700)] age: u64) {
    let mut asker = Asker::default();
    let (_, round) = asker.ask(&["a"], ms(0))[0];
    let told =
        asker.on_state(&state(round, age), Duration::ZERO, ms(delay)).expect("an open question");
    assert_eq!(told.config, Some(Confirmed { version: 9, at: ms(0) - Duration::from_millis(age) }));
}

/// An answer counts once, and only to an open question.
#[test]
fn repeated_answer() {
    let mut asker = Asker::default();
    let (_, round) = asker.ask(&["a"], ms(0))[0];
    assert!(asker.on_state(&state(round + 1, 0), Duration::ZERO, ms(1)).is_none());
    assert!(asker.on_state(&state(round, 0), Duration::ZERO, ms(1)).is_some());
    assert!(asker.on_state(&state(round, 0), Duration::ZERO, ms(2)).is_none());
}

/// Whom an instance with coordinators `a` and `b` asks at `at`.
fn asked(asker: &mut Asker, at: u64) -> Vec<(&'static str, u64)> {
    asker.ask(&["a", "b"], ms(at))
}

/// A silent coordinator is left out. It is tried again beside the next one, which goes on answering,
/// until it answers itself.
#[test]
fn silent_coordinator() {
    let mut asker = Asker::default();
    let mut at = 0;
    while at <= SILENCE.as_millis() as u64 {
        assert_eq!(asked(&mut asker, at)[0].0, "a");
        at += 50;
    }
    let mut tried = 0;
    for turn in 0.. {
        let questions = asked(&mut asker, at);
        let (name, round) = *questions.last().expect("someone to ask");
        assert_eq!(name, "b", "the next one is asked without a break");
        asker.on_state(&state(round, 0), Duration::ZERO, ms(at + 2)).expect("an open question");
        at += 50;
        if questions.len() == 2 {
            tried += 1;
        }
        if tried == 3 {
            assert!(turn as u64 * 50 >= 2 * LEFT_OUT.as_millis() as u64, "seldom enough");
            let told = asker.on_state(&state(questions[0].1, 0), Duration::ZERO, ms(at));
            assert!(told.is_some_and(|t| !t.current && t.config.is_some()), "its proofs count");
            break;
        }
        assert!(turn < 1_000, "it is tried again");
    }
    let questions = asked(&mut asker, at);
    assert_eq!(questions.iter().map(|(n, _)| *n).collect::<Vec<_>>(), ["a"]);
}

/// Without coordinators, or with none that answers, there is nobody to ask.
#[test]
fn nobody() {
    assert_eq!(Asker::default().ask(&[], ms(0)), []);
    let mut asker = Asker::default();
    for at in 0..40 {
        asker.ask(&["a"], ms(at * 50));
    }
    assert!(!asker.has_fresh());
}

/// A coordinator that answers but does not reach the store is asked only while no other one has fresh
/// proofs; the next one leads meanwhile.
#[test]
fn stale_coordinator() {
    let old = FRESH.as_millis() as u64 + 1;
    let mut asker = Asker::default();
    let (name, round) = asked(&mut asker, 0)[0];
    assert_eq!(name, "a");
    asker.on_state(&state(round, old), Duration::ZERO, ms(2)).expect("an open question");
    assert!(!asker.has_fresh());
    let (name, round) = asked(&mut asker, 50)[0];
    assert_eq!(name, "b");
    asker.on_state(&state(round, 0), Duration::ZERO, ms(52)).expect("an open question");
    assert!(asker.has_fresh());
    let (_, round) = asked(&mut asker, 100)[0];
    asker.on_state(&state(round, old), Duration::ZERO, ms(102)).expect("an open question");
    assert_eq!(asked(&mut asker, 150)[0].0, "a", "no one is better, so the first that answers");
    let mut second = Asker::default();
    let (_, round) = second.ask(&["a"], ms(0))[0];
    second.on_state(&state(round, old), Duration::ZERO, ms(2)).expect("an open question");
    assert!(second.ask(&["a"], ms(50)).len() == 1 && !second.has_fresh(), "it leads, and asks on");
}

/// One whose proofs are fresh again is asked again.
#[test]
fn regained_coordinator() {
    let old = FRESH.as_millis() as u64 + 1;
    let mut asker = Asker::default();
    let (_, round) = asked(&mut asker, 0)[0];
    asker.on_state(&state(round, old), Duration::ZERO, ms(2)).expect("an open question");
    for turn in 1..100 {
        let at = turn * 50;
        let questions = asked(&mut asker, at);
        for (name, round) in &questions {
            asker.on_state(&state(*round, 0), Duration::ZERO, ms(at + 2)).expect(name);
        }
        if questions.len() == 2 {
            assert!(at >= LEFT_OUT.as_millis() as u64);
            assert_eq!(asked(&mut asker, at + 50)[0].0, "a");
            return;
        }
    }
    panic!("the first coordinator is never tried again");
}
