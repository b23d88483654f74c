//! Claims forwarded to the owner of their shard: few writes to the store, and no dependence on the
//! owner.

mod support;

use {
    agate_cli::{demo::Demo, instance::Instance},
    agate_idempotency::owner,
    futures_util::future::join_all,
    rstest::rstest,
    support::{ClientResponse, HttpRequest, start, wait_until},
};

/// Number of instances.
const INSTANCES: u16 = 4;
/// Bookings per burst.
const BOOKINGS: usize = 200;
/// Maximum number of bursts within which every booking must have run.
const MAX_BURSTS: usize = 20;
/// Maximum number of store writes per 1,000 bookings.
const MAX_WRITES: u64 = 50;

async fn send_booking(demo: &Demo, instance: usize, key: &str) -> ClientResponse {
    let call = HttpRequest::new("POST", "/orders/9", "slot").header("idempotency-key", key);
    call.send(demo.instances[instance].address()).await
}

/// Sends one burst, spread over all instances.
async fn send_burst(demo: &Demo, name: &str) -> Vec<ClientResponse> {
    let count = demo.instances.len();
    let keys: Vec<_> = (0..BOOKINGS).map(|i| format!("{name}-{i}")).collect();
    join_all(keys.iter().enumerate().map(|(i, key)| send_booking(demo, i % count, key))).await
}

fn run_counts(demo: &Demo, name: &str) -> Vec<usize> {
    let of =
        |key: &str| demo.services.iter().map(|s| s.runs().get(key).copied().unwrap_or(0)).sum();
    (0..BOOKINGS).map(|i| of(&format!("{name}-{i}"))).collect()
}

fn count_writes(demo: &Demo) -> u64 {
    let counts = demo.platform.counts();
    counts.iter().filter(|(path, _)| path.contains("swap")).map(|(_, n)| n).sum()
}

/// Starts the instances and waits until each knows all others.
async fn start_joined() -> Demo {
    let demo = start(INSTANCES, |_| {}).await;
    let knows = |i: &Instance| {
        i.mesh.member().is_some_and(|m| m.members().len() + 1 >= usize::from(INSTANCES))
    };
    wait_until("every instance knows the others", || demo.instances.iter().all(knows)).await;
    demo
}

#[tokio::test]
async fn batched_writes() {
    let demo = start_joined().await;
    let before = count_writes(&demo);
    let responses = send_burst(&demo, "k").await;
    let drained = join_all(demo.instances.iter().map(|i| i.proxy_state.once.drain())).await;
    assert!(drained.iter().all(|d| *d), "an outcome was not recorded");
    let written = count_writes(&demo) - before;
    assert!(responses.iter().all(|r| r.status == 201), "a booking was refused");
    assert!(run_counts(&demo, "k").iter().all(|n| *n == 1), "a booking did not run exactly once");
    assert!(written > 0, "no write was counted");
    let per_thousand = written * 1000 / BOOKINGS as u64;
    assert!(per_thousand <= MAX_WRITES, "{per_thousand} writes per 1,000 bookings");
}

/// Index of the instance that owns the only shard.
fn owner_index(demo: &Demo) -> usize {
    let names = demo.instances.iter().map(|i| &*i.mesh.member().expect("joined").identity().name);
    let names: Vec<_> = names.map(str::to_owned).collect();
    let owner = owner::owner(0, names.iter().map(String::as_str)).expect("there are members");
    names.iter().position(|n| n == owner).expect("the owner is a member")
}

/// Bookings lost or run twice when the owner stops or crashes during a burst. A booking that was
/// confirmed must have run once, and a refused one must run once when it is sent again.
#[rstest]
#[case::stopped(true)]
#[case::dropped(false)]
#[tokio::test]
async fn lost_owner(#[case] graceful: bool) {
    let mut demo = start_joined().await;
    let index = owner_index(&demo);
    let owner = demo.instances.remove(index);
    let leave = async {
        wait_until("a booking ran", || run_counts(&demo, "k").contains(&1)).await;
        if graceful {
            owner.stop().await;
        } else {
            drop(owner);
        }
    };
    let (responses, ()) = tokio::join!(send_burst(&demo, "k"), leave);
    for (response, n) in responses.iter().zip(run_counts(&demo, "k")) {
        let expected = if response.status == 201 { 1 } else { 0 };
        assert_eq!(n, expected, "{} {}", response.status, response.body);
    }
    let mut open = BOOKINGS;
    for _ in 0..MAX_BURSTS {
        open = send_burst(&demo, "k").await.iter().filter(|r| r.status != 201).count();
        if open == 0 {
            break;
        }
    }
    assert_eq!(open, 0, "bookings still fail");
    assert!(run_counts(&demo, "k").iter().all(|n| *n == 1), "a booking did not run exactly once");
}
