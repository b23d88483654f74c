//! Which prompts are started although they cannot be in time.

use {
    agate_relay::{
        load::{Rate, Reading},
        pace::Pace,
        place::{Candidate, Choice, Want, choose},
        worth::{LATE_WORTH, Late},
    },
    rstest::rstest,
    std::time::Duration,
};

/// Reading speed of the engines, in tokens a millisecond.
const SPEED: f64 = 50.0;
/// Time within which a first token is in time.
const WITHIN: Duration = Duration::from_millis(450);
/// Engine time of a usual prompt.
const USUAL: Duration = Duration::from_millis(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn engines(backlog: Duration) -> Vec<Candidate> {
    let tokens = backlog.as_secs_f64() * 1e3 * SPEED;
    let reading = Reading::new(&Pace::new(60.0, SPEED), &Rate::default());
    let reading = Reading { others: tokens as u64, ..reading };
    let engine = |i| Candidate {
        hash: i,
        near: true,
        healthy: true,
        refusing: false,
        open: 0,
        others: 0,
        most: 100,
        slots: 64,
        reading,
    };
    (1..=4).map(engine).collect()
}

/// A prompt of `tokens`, none of them shared, while callers ask for `load` of the engines' time.
fn prompt(tokens: u32, load: f64) -> Want {
    let late = Late { within: Duration::from_secs(3), slack: WITHIN - USUAL, load };
    Want { tokens, within: WITHIN, late, ..Want::default() }
}

fn starts(want: &Want, backlog: Duration) -> bool {
    matches!(choose(want, &engines(backlog)), Choice::At { .. })
}

/// Pattern: prompts of five times the usual length, which no engine reads within their objective.
/// Guards against refusing them whatever the load, so that their callers were never served.
#[test]
fn long_prompts_start() {
    let long = prompt(27_000, 0.6);
    assert!(
        starts(&long, Duration::ZERO),
        "engines have room, and a late answer is worth something"
    );
    assert!(!starts(&prompt(27_000, 1.5), ms(200)), "others would lose more than it brings");
    assert!(!starts(&prompt(400_000, 0.1), Duration::ZERO), "its caller would not wait for it");
}

/// Pattern: a burst of usual prompts beyond what the engines read. What cannot be in time is refused
/// instead of being read late in the place of others.
#[rstest]
fn usual_prompts_wait_no_longer(#[values(0.5, 0.8, 1.0, 4.0)] load: f64) {
    let usual = prompt(5_000, load);
    assert!(starts(&usual, ms(200)));
    assert!(!starts(&usual, ms(450)));
}

/// Whatever the size, the load and the backlog: what others lose is never worth more than the answer,
/// and more load or a longer backlog never lets something in.
#[rstest]
fn others_lose_no_more(#[values(0.0, 0.3, 0.7, 1.0, 3.0)] load: f64) {
    let slack = WITHIN - USUAL;
    let late = Late { within: Duration::from_secs(3), slack, load };
    let heavier = Late { load: load + 0.2, ..late };
    for own in (10..1_500).step_by(70).map(ms) {
        for ahead in (0..1_000).step_by(50).map(ms) {
            let is_worth = |l: &Late, ahead: Duration| l.is_worth(ahead + own, own, ahead);
            if is_worth(&late, ahead) {
                let lost = (own + ahead).saturating_sub(slack).as_secs_f64() * load.min(1.0);
                assert!(lost <= own.as_secs_f64() * LATE_WORTH + 1e-6);
            } else {
                assert!(!is_worth(&late, ahead + ms(50)) && !is_worth(&heavier, ahead));
            }
        }
    }
}
