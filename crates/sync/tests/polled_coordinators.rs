//! Confirmations taken from responses never look fresher than they are, and the choice of the
//! coordinator to poll.

use {
    agate_sync::{
        message::{LoadReport, Response, VersionAge},
        poller::{Confirmation, MAX_CONFIG_AGE, Poller, RESPONSE_TIMEOUT, RETRY_INTERVAL},
    },
    rstest::rstest,
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(10_000 + n)
}

fn response(round: u64, age_ms: u64) -> Response {
    let config = Some(VersionAge { version: 9, age: age_ms * 1_000 });
    Response {
        round,
        config,
        clock: None,
        suspects: Default::default(),
        roster: None,
        figures: LoadReport::default(),
        in_force: 0,
    }
}

/// A delayed response must not make a confirmation look fresher: its age counts from before the
/// request.
#[rstest]
fn delayed_response(#[values(0, 30, 4_000)] delay: u64, #[values(0, 700)] age: u64) {
    let mut poller = Poller::default();
    let (_, round) = poller.poll(&["a"], ms(0))[0];
    let outcome = poller
        .on_response(&response(round, age), Duration::ZERO, ms(delay))
        .expect("a pending request");
    assert_eq!(
        outcome.config,
        Some(Confirmation { version: 9, at: ms(0) - Duration::from_millis(age) })
    );
}

/// A response counts once, and only if its request is pending.
#[test]
fn repeated_response() {
    let mut poller = Poller::default();
    let (_, round) = poller.poll(&["a"], ms(0))[0];
    assert!(poller.on_response(&response(round + 1, 0), Duration::ZERO, ms(1)).is_none());
    assert!(poller.on_response(&response(round, 0), Duration::ZERO, ms(1)).is_some());
    assert!(poller.on_response(&response(round, 0), Duration::ZERO, ms(2)).is_none());
}

/// Requests at `at` of an instance with the coordinators `a` and `b`.
fn poll(poller: &mut Poller, at: u64) -> Vec<(&'static str, u64)> {
    poller.poll(&["a", "b"], ms(at))
}

/// A coordinator that does not respond is replaced by the next one without a gap. It is retried
/// until it responds.
#[test]
fn unresponsive_coordinator() {
    let mut poller = Poller::default();
    let mut at = 0;
    while at <= RESPONSE_TIMEOUT.as_millis() as u64 {
        assert_eq!(poll(&mut poller, at)[0].0, "a");
        at += 50;
    }
    let mut tried = 0;
    for turn in 0.. {
        let requests = poll(&mut poller, at);
        let (name, round) = *requests.last().expect("a coordinator to poll");
        assert_eq!(name, "b", "the next one is polled without a gap");
        poller
            .on_response(&response(round, 0), Duration::ZERO, ms(at + 2))
            .expect("a pending request");
        at += 50;
        if requests.len() == 2 {
            tried += 1;
        }
        if tried == 3 {
            assert!(
                turn as u64 * 50 >= 2 * RETRY_INTERVAL.as_millis() as u64,
                "retried at most once per interval"
            );
            let outcome = poller.on_response(&response(requests[0].1, 0), Duration::ZERO, ms(at));
            assert!(
                outcome.is_some_and(|t| !t.current && t.config.is_some()),
                "its confirmations count"
            );
            break;
        }
        assert!(turn < 1_000, "the unresponsive coordinator is never retried");
    }
    let requests = poll(&mut poller, at);
    assert_eq!(requests.iter().map(|(n, _)| *n).collect::<Vec<_>>(), ["a"]);
}

/// Without coordinators, or if none responds, there is nobody to poll.
#[test]
fn no_target() {
    assert_eq!(Poller::default().poll(&[], ms(0)), []);
    let mut poller = Poller::default();
    for at in 0..40 {
        poller.poll(&["a"], ms(at * 50));
    }
    assert!(!poller.has_fresh_target());
}

/// A coordinator that responds but does not reach the store is polled only while no other one has
/// fresh confirmations. The next coordinator is active meanwhile.
#[test]
fn stale_coordinator() {
    let old = MAX_CONFIG_AGE.as_millis() as u64 + 1;
    let mut poller = Poller::default();
    let (name, round) = poll(&mut poller, 0)[0];
    assert_eq!(name, "a");
    poller.on_response(&response(round, old), Duration::ZERO, ms(2)).expect("a pending request");
    assert!(!poller.has_fresh_target());
    let (name, round) = poll(&mut poller, 50)[0];
    assert_eq!(name, "b");
    poller.on_response(&response(round, 0), Duration::ZERO, ms(52)).expect("a pending request");
    assert!(poller.has_fresh_target());
    let (_, round) = poll(&mut poller, 100)[0];
    poller.on_response(&response(round, old), Duration::ZERO, ms(102)).expect("a pending request");
    assert_eq!(
        poll(&mut poller, 150)[0].0,
        "a",
        "none has fresh confirmations: the first that responds"
    );
    let mut second = Poller::default();
    let (_, round) = second.poll(&["a"], ms(0))[0];
    second.on_response(&response(round, old), Duration::ZERO, ms(2)).expect("a pending request");
    assert!(
        second.poll(&["a"], ms(50)).len() == 1 && !second.has_fresh_target(),
        "it becomes active and goes on polling"
    );
}

/// A coordinator whose confirmations are fresh again is polled again.
#[test]
fn recovered_coordinator() {
    let old = MAX_CONFIG_AGE.as_millis() as u64 + 1;
    let mut poller = Poller::default();
    let (_, round) = poll(&mut poller, 0)[0];
    poller.on_response(&response(round, old), Duration::ZERO, ms(2)).expect("a pending request");
    for turn in 1..100 {
        let at = turn * 50;
        let requests = poll(&mut poller, at);
        for (name, round) in &requests {
            poller.on_response(&response(*round, 0), Duration::ZERO, ms(at + 2)).expect(name);
        }
        if requests.len() == 2 {
            assert!(at >= RETRY_INTERVAL.as_millis() as u64);
            assert_eq!(poll(&mut poller, at + 50)[0].0, "a");
            return;
        }
    }
    panic!("the first coordinator is never retried");
}
