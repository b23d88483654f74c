//! Fair queue: shares, deadlines, early refusal and state of idle organisations.

use {
    agate_admit::{
        Event, Queue,
        queue::{IDLE_RETENTION, MAX_ORG_WAITING},
    },
    agate_core::Refusal,
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
};

const FAR: Duration = Duration::from_secs(3600);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Total cost granted to each of two organisations that always wait, over `grants` grants.
fn shares(weights: [u32; 2], costs: [u32; 2], grants: usize) -> [u64; 2] {
    let mut queue = Queue::new();
    let mut owner = std::collections::BTreeMap::new();
    let mut served = [0; 2];
    for org in [0, 1] {
        for _ in 0..8 {
            let ticket = queue.push(org, weights[org as usize], costs[org as usize], FAR, ms(0));
            owner.insert(ticket.expect("room"), org);
        }
    }
    for i in 0..grants {
        let now = ms(i as u64);
        for event in queue.pop(now, 1) {
            let Event::Granted(ticket) = event else { panic!("nothing expires") };
            let org = owner.remove(&ticket).expect("granted once");
            let i = org as usize;
            served[i] += u64::from(costs[i]);
            owner.insert(queue.push(org, weights[i], costs[i], FAR, now).expect("room"), org);
        }
    }
    served
}

/// Organisations that always wait are served in proportion to their weights, at any cost per
/// request.
#[rstest]
#[case([1, 1], [100, 100], 1.0)]
#[case([1, 1], [100, 5_000], 1.0)]
#[case([3, 1], [700, 200], 3.0)]
fn weighted_shares(#[case] weights: [u32; 2], #[case] costs: [u32; 2], #[case] ratio: f64) {
    let served = shares(weights, costs, 4000);
    let seen = served[0] as f64 / served[1] as f64;
    assert!((seen / ratio - 1.0).abs() < 0.05, "{served:?}");
}

/// Guards against an organisation's long request that delays its short one.
#[test]
fn earliest_deadline_first() {
    let mut queue = Queue::new();
    let late = queue.push(0, 1, 5000, ms(9000), ms(0)).expect("room");
    let soon = queue.push(0, 1, 10, ms(800), ms(1)).expect("room");
    assert_eq!(queue.pop(ms(2), 2), [Event::Granted(soon), Event::Granted(late)]);
}

/// Guards against granting a request after its deadline.
#[test]
fn passed_deadline_expires() {
    let mut queue = Queue::new();
    let ticket = queue.push(0, 1, 10, ms(100), ms(0)).expect("room");
    assert_eq!(queue.pop(ms(101), 1), [Event::Expired(ticket)]);
    assert!(queue.is_empty());
}

/// Guards against queueing requests that cannot be granted in time.
#[test]
fn unmet_deadline_refused() {
    let mut queue = Queue::new();
    for i in 0..20 {
        queue.push(0, 1, 1000, FAR, ms(i)).expect("room");
    }
    // Serves one request of 1,000 tokens per second.
    for i in 0..5 {
        queue.pop(ms(1000 * (i + 1)), 1);
    }
    let refused = queue.push(0, 1, 1000, FAR, ms(5000));
    assert!(refused.is_ok(), "a far deadline is met");
    let near = queue.push(0, 1, 10, ms(5500), ms(5000));
    assert!(near.is_ok(), "an earlier deadline goes first within its organisation");
    queue.push(0, 1, 60_000, ms(5600), ms(5000)).expect("nothing lies ahead of it but ten tokens");
    let refused = queue.push(0, 1, 10, ms(5700), ms(5000)).expect_err("a minute lies ahead of it");
    assert_eq!(refused.reason, Refusal::DeadlineUnmet);
    assert!(refused.after > ms(10_000));
}

/// Long responses hold all slots while engines change roles, so nothing is granted for a while.
/// Guards against refusing a request with a minute left behind a single other one, because the
/// pause made the service rate look like zero.
#[rstest]
#[case::same_organisation(0)]
#[case::unmeasured_organisation(1)]
fn pause_without_refusals(#[case] org: u32) {
    let mut queue = Queue::new();
    let far = |now: Duration| now + Duration::from_secs(60);
    // One long request is granted every ten seconds.
    for i in 0..6 {
        let now = ms(10_000 * i);
        queue.push(0, 1, 16_000, far(now), now).expect("room");
        for step in 1..39 {
            queue.pop(now + ms(250 * step), 0);
        }
        assert_eq!(queue.pop(now + ms(9_999), 1).len(), 1);
    }
    let begin = ms(60_000);
    queue.push(org, 1, 16_000, far(begin), begin).expect("room");
    for step in 1..=80 {
        let now = begin + ms(250 * step);
        queue.pop(now, 0);
        if step % 20 == 0 {
            let pushed = queue.push(org, 1, 16_000, far(now), now);
            let ticket = pushed.unwrap_or_else(|e| panic!("after {step}: {e}"));
            queue.cancel(ticket, now);
        }
    }
}

/// Guards against one organisation that fills the queue for others.
#[test]
fn full_organisation_refused() {
    let mut queue = Queue::new();
    for _ in 0..MAX_ORG_WAITING {
        queue.push(0, 1, 1, FAR, ms(0)).expect("room");
    }
    let refused = queue.push(0, 1, 1, FAR, ms(0)).expect_err("full");
    assert_eq!(refused.reason, Refusal::QueueFull);
    assert!(queue.push(1, 1, 1, FAR, ms(0)).is_ok());
}

/// Guards against state that is kept forever for idle organisations.
#[test]
fn idle_state_dropped() {
    let mut queue = Queue::new();
    for org in 0..1000 {
        queue.push(org, 1, 10, FAR, ms(0)).expect("room");
    }
    queue.pop(ms(1), 1000);
    assert_eq!(queue.orgs(), 1000);
    queue.pop(ms(2) + IDLE_RETENTION, 0);
    assert_eq!(queue.orgs(), 0);
}

/// Guards against an advantage from underestimated costs.
#[test]
fn underestimate_charged() {
    let mut queue = Queue::new();
    let first = queue.push(0, 1, 10, FAR, ms(0)).expect("room");
    assert_eq!(queue.pop(ms(0), 1), [Event::Granted(first)]);
    queue.settle(0, 10, 1000);
    queue.push(0, 1, 10, FAR, ms(1)).expect("room");
    let others: Vec<_> = (0..50).map(|_| queue.push(1, 1, 10, FAR, ms(1)).expect("room")).collect();
    let granted: Vec<_> = others.into_iter().map(Event::Granted).collect();
    assert_eq!(queue.pop(ms(2), 50), granted, "the underestimated one waits for its turn");
}

#[derive(Clone, Debug)]
enum Step {
    Push(u32, u32, u64),
    Pop(usize),
    Cancel(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6u32, 1..5000u32, 0..4000u64).prop_map(|(o, c, d)| Step::Push(o, c, d)),
        3 => (0..4usize).prop_map(Step::Pop),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => (0..1500u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against tickets that are lost or end twice, and against free slots left unused.
    #[test]
    fn tickets_end_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut queue = Queue::new();
        let mut open = BTreeSet::new();
        let mut now = ms(0);
        for step in steps {
            match step {
                Step::Push(org, cost, wait) => {
                    if let Ok(t) = queue.push(org, org + 1, cost, now + ms(wait), now) {
                        prop_assert!(open.insert(t));
                    }
                }
                Step::Pop(free) => {
                    for event in queue.pop(now, free) {
                        let (Event::Granted(t) | Event::Expired(t)) = event;
                        prop_assert!(open.remove(&t));
                    }
                }
                Step::Cancel(i) => {
                    let ticket = open.iter().nth(i % open.len().max(1)).copied();
                    if let Some(t) = ticket {
                        prop_assert!(queue.cancel(t, now));
                        prop_assert!(!queue.cancel(t, now));
                        open.remove(&t);
                    }
                }
                Step::Wait(time) => now += ms(time),
            }
            prop_assert_eq!(queue.len(), open.len());
        }
        let rest = queue.pop(now, usize::MAX);
        prop_assert_eq!(rest.len(), open.len(), "work-conserving: all that waits can be had");
    }
}

/// Reserved slots are granted to urgent requests only.
#[test]
fn urgent_reserve() {
    let mut queue = Queue::new();
    let slow = queue.push(0, 1, 10, ms(60_000), ms(0)).expect("room");
    let other = queue.push(1, 1, 10, ms(60_000), ms(0)).expect("room");
    let soon = queue.push(2, 1, 10, ms(1000), ms(0)).expect("room");
    assert_eq!(queue.pop_reserving(ms(1), 0, 5), [Event::Granted(soon)]);
    assert_eq!(queue.pop_reserving(ms(1), 1, 5), [Event::Granted(slow)]);
    assert_eq!(queue.pop_reserving(ms(1), 1, 0), [Event::Granted(other)]);
}
