//! Proofs that are taken over are never younger than they are.

use {
    agate_sync::{
        asker::{Asker, Confirmed, LEFT_OUT, SILENCE},
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
    State { round, config, clock: None, roster: None, figures: Figures::default() }
}

/// However long the answer is under way, the proof counts from before the question.
#[rstest]
fn delayed_answer(#[values(0, 30, 4_000)] delay: u64, #[values(0, 700)] age: u64) {
    let mut asker = Asker::default();
    let (_, round) = asker.ask(&["a"], ms(0)).expect("someone to ask");
    let told =
        asker.on_state(&state(round, age), Duration::ZERO, ms(delay)).expect("an open question");
    assert_eq!(told.config, Some(Confirmed { version: 9, at: ms(0) - Duration::from_millis(age) }));
}

/// An answer counts once, and only to an open question.
#[test]
fn repeated_answer() {
    let mut asker = Asker::default();
    let (_, round) = asker.ask(&["a"], ms(0)).expect("someone to ask");
    assert!(asker.on_state(&state(round + 1, 0), Duration::ZERO, ms(1)).is_none());
    assert!(asker.on_state(&state(round, 0), Duration::ZERO, ms(1)).is_some());
    assert!(asker.on_state(&state(round, 0), Duration::ZERO, ms(2)).is_none());
}

/// A silent coordinator is left out for a while, then tried again.
#[test]
fn silent_coordinator() {
    let mut asker = Asker::default();
    let mut at = 0;
    let ask =
        |asker: &mut Asker, at: u64| asker.ask(&["a", "b"], ms(at)).map(|(n, _)| n.to_owned());
    while at <= SILENCE.as_millis() as u64 {
        assert_eq!(ask(&mut asker, at).as_deref(), Some("a"));
        at += 50;
    }
    assert_eq!(ask(&mut asker, at).as_deref(), Some("b"));
    at += LEFT_OUT.as_millis() as u64;
    asker.on_state(&state(1, 0), Duration::ZERO, ms(at));
    assert_eq!(ask(&mut asker, at).as_deref(), Some("a"));
}

/// Without coordinators there is nobody to ask.
#[test]
fn nobody() {
    assert_eq!(Asker::default().ask(&[], ms(0)), None);
}
