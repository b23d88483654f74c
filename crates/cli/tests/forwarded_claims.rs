//! Instances hand their claims to the owner of the shard, and go on without it.

mod support;

use {
    agate_cli::{demo::Demo, instance::Instance},
    agate_once::owner,
    futures_util::future::join_all,
    rstest::rstest,
    support::{Call, Reply, start, until},
};

/// Instances of each test.
const INSTANCES: u16 = 4;
/// Bookings of each burst.
const BOOKINGS: usize = 200;
/// Bursts within which every booking must have run.
const ROUNDS: usize = 20;
/// Most store writes per 1,000 bookings.
const WRITE_BOUND: u64 = 50;

async fn book(demo: &Demo, instance: usize, key: &str) -> Reply {
    let call = Call::new("POST", "/orders/9", "slot").header("idempotency-key", key);
    call.send(demo.instances[instance].address()).await
}

/// Sends one burst through all instances at once.
async fn burst(demo: &Demo, name: &str) -> Vec<Reply> {
    let count = demo.instances.len();
    let keys: Vec<_> = (0..BOOKINGS).map(|i| format!("{name}-{i}")).collect();
    join_all(keys.iter().enumerate().map(|(i, key)| book(demo, i % count, key))).await
}

fn runs(demo: &Demo, name: &str) -> Vec<usize> {
    let of =
        |key: &str| demo.services.iter().map(|s| s.runs().get(key).copied().unwrap_or(0)).sum();
    (0..BOOKINGS).map(|i| of(&format!("{name}-{i}"))).collect()
}

fn writes(demo: &Demo) -> u64 {
    let counts = demo.platform.counts();
    counts.iter().filter(|(path, _)| path.contains("swap")).map(|(_, n)| n).sum()
}

/// Starts the instances and waits until each knows all others.
async fn joined() -> Demo {
    let demo = start(INSTANCES, |_| {}).await;
    let knows = |i: &Instance| {
        i.mesh.member().is_some_and(|m| m.members().len() + 1 >= usize::from(INSTANCES))
    };
    until("every instance knows the others", || demo.instances.iter().all(knows)).await;
    demo
}

#[tokio::test]
async fn few_writes() {
    let demo = joined().await;
    let before = writes(&demo);
    let replies = burst(&demo, "k").await;
    let drained = join_all(demo.instances.iter().map(|i| i.gate.once.drain())).await;
    assert!(drained.iter().all(|d| *d), "an outcome was not recorded");
    let written = writes(&demo) - before;
    assert!(replies.iter().all(|r| r.status == 201), "a booking was refused");
    assert!(runs(&demo, "k").iter().all(|n| *n == 1), "a booking did not run exactly once");
    assert!(written > 0, "no write was counted");
    let per = written * 1000 / BOOKINGS as u64;
    assert!(per <= WRITE_BOUND, "{per} writes per 1,000 bookings");
}

/// Index of the instance that owns the only shard.
fn owner_index(demo: &Demo) -> usize {
    let names = demo.instances.iter().map(|i| &*i.mesh.member().expect("joined").identity().name);
    let names: Vec<_> = names.map(str::to_owned).collect();
    let owner = owner::owner(0, names.iter().map(String::as_str)).expect("there are members");
    names.iter().position(|n| n == owner).expect("the owner is a member")
}

/// The owner leaves in the middle of a burst, with or without a word: what was answered as run ran
/// once, and what was refused runs once when it is sent again.
#[rstest]
#[case::stopped(true)]
#[case::dropped(false)]
#[tokio::test]
async fn owner_gone(#[case] graceful: bool) {
    let mut demo = joined().await;
    let index = owner_index(&demo);
    let owner = demo.instances.remove(index);
    let leave = async {
        until("a booking ran", || runs(&demo, "k").contains(&1)).await;
        if graceful {
            owner.stop().await;
        } else {
            drop(owner);
        }
    };
    let (replies, ()) = tokio::join!(burst(&demo, "k"), leave);
    for (reply, n) in replies.iter().zip(runs(&demo, "k")) {
        let expected = if reply.status == 201 { 1 } else { 0 };
        assert_eq!(n, expected, "{} {}", reply.status, reply.body);
    }
    let mut open = BOOKINGS;
    for _ in 0..ROUNDS {
        open = burst(&demo, "k").await.iter().filter(|r| r.status != 201).count();
        if open == 0 {
            break;
        }
    }
    assert_eq!(open, 0, "bookings do not go on");
    assert!(runs(&demo, "k").iter().all(|n| *n == 1), "a booking did not run exactly once");
}
