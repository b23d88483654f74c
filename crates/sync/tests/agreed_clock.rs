//! Agreement on the time of day when the clocks of some machines are off.

use {
    agate_sync::{
        clocks::{Clock, ClockOffset, FULL_WEIGHT, MAX_ROUND_TRIP, Vote, weighted_median},
        coordinator::Coordinator,
        message::{LoadReport, Request, Response},
        poller::Poller,
    },
    rstest::rstest,
    std::time::Duration,
};

const TRUE: Duration = Duration::from_secs(1_700_000_000);
const NOW: Duration = Duration::from_secs(100);

fn s(n: f64) -> Duration {
    agate_core::time::seconds(n)
}

/// A vote of a clock that is `off` seconds ahead of the coordinator's.
fn vote(off: f64, kept: f64) -> Vote {
    Vote::new((off * 1e6) as ClockOffset, s(kept))
}

fn request(from: &str, clock: Vote) -> Request {
    let figures = LoadReport::default();
    Request {
        from: from.into(),
        round: 1,
        roster: 0,
        suspects: Default::default(),
        clock: Some(clock),
        figures,
        in_force: 0,
    }
}

fn response(round: u64, agreed: Option<ClockOffset>) -> Response {
    let clock = Some(Clock { wall: TRUE.as_micros() as u64, agreed });
    Response {
        round,
        config: None,
        clock,
        suspects: Default::default(),
        roster: None,
        figures: LoadReport::default(),
        in_force: 0,
    }
}

/// An instance that restarts on a machine with a wrong clock must not shift the agreed time, also
/// if it is the coordinator itself.
#[rstest]
#[case(4.0)]
#[case(-4.0)]
fn restart_with_wrong_clock(#[case] off: f64) {
    let mut c = Coordinator::default();
    for (i, name) in ["a", "b", "c"].iter().enumerate() {
        c.on_request(&request(name, vote(0.001 * i as f64, 30.0)), NOW);
    }
    c.on_request(&request("d", vote(off, 0.0)), NOW);
    let ahead = c.agreed_offset(s(30.0), 5, NOW).expect("an agreement");
    assert!(ahead.abs() < 10_000, "{ahead}");
    let mut c = Coordinator::default();
    for name in ["a", "b", "c"] {
        c.on_request(&request(name, vote(-off, 30.0)), NOW);
    }
    assert_eq!(c.agreed_offset(s(0.0), 4, NOW), Some((-off * 1e6) as ClockOffset));
}

/// Most instances restart on machines with wrong clocks: the few that have kept their time for long
/// must outweigh them.
#[test]
fn majority_restarted() {
    let mut votes = vec![vote(3.0, 0.0); 6];
    votes.extend([vote(0.0, 40.0), vote(0.002, 50.0)]);
    let ahead = weighted_median(votes, 8).expect("an agreement");
    assert!(ahead.abs() < 10_000, "{ahead}");
}

/// An instance that has run for days must not decide alone: the weight is capped.
#[test]
fn capped_weight() {
    let day = 86_400.0;
    let votes = vec![vote(7.0, 10.0 * day), vote(0.0, 80.0), vote(0.0, 90.0)];
    assert_eq!(weighted_median(votes, 3), Some(0));
    assert!(FULL_WEIGHT < s(80.0));
}

/// A coordinator with too few votes must not agree on a time, and stale votes must not count.
#[test]
fn missing_quorum() {
    let mut c = Coordinator::default();
    c.on_request(&request("a", vote(2.0, 30.0)), NOW);
    assert_eq!(c.agreed_offset(s(1.0), 4, NOW), None);
    assert_eq!(c.agreed_offset(s(1.0), 2, NOW), Some(2_000_000));
    assert_eq!(c.agreed_offset(s(1.0), 2, NOW + s(60.0)), None);
    assert_eq!(c.agreed_offset(s(1.0), 1, NOW + s(60.0)), Some(0));
}

/// An instance measures its offset from a fast response and adopts the agreed time.
#[test]
fn measured_offset() {
    let mut poller = Poller::default();
    let (_, round) = poller.poll(&["a"], NOW)[0];
    assert_eq!(poller.clock_offset(), None);
    let now = NOW + s(0.004);
    let own = TRUE + s(3.002);
    let outcome =
        poller.on_response(&response(round, Some(500_000)), own, now).expect("a pending request");
    assert_eq!(outcome.wall, Some(TRUE + s(0.502)));
    assert_eq!(poller.clock_offset(), Some(3_000_000));
}

/// A slow response must not be used for the clock, and the offset is measured again for another
/// coordinator.
#[test]
fn slow_response() {
    let mut poller = Poller::default();
    let (_, round) = poller.poll(&["a"], NOW)[0];
    let late = NOW + MAX_ROUND_TRIP + s(0.001);
    let outcome =
        poller.on_response(&response(round, Some(0)), TRUE, late).expect("a pending request");
    assert_eq!((outcome.wall, poller.clock_offset()), (None, None));
    let (_, round) = poller.poll(&["a"], late)[0];
    let soon = late + s(0.002);
    assert!(
        poller.on_response(&response(round, None), TRUE, soon).is_some_and(|t| t.wall.is_none())
    );
    assert!(poller.clock_offset().is_some());
    assert_eq!(poller.poll(&["b"], soon).len(), 1);
    assert_eq!(poller.clock_offset(), None);
}
