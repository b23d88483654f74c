//! Views converge after joins, leaving, failures, pauses, restarts and partitions.

mod net;

use {
    agate_member::{Scope, Status},
    net::{Net, Shape, name},
    rstest::rstest,
    std::time::Duration,
};

const SMALL: Shape = Shape { members: 8, zones: 4, regions: 1, scope: Scope::Region };
const LARGE: Shape = Shape { members: 120, zones: 4, regions: 2, scope: Scope::Zone };

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Time within which views converge after a single fault.
const SETTLE_TIME: Duration = secs(20);

fn joined_fleet(shape: Shape, seed: u64) -> Net {
    let mut net = Net::new(shape, seed);
    assert!(net.run_until(SETTLE_TIME, Net::views_agree), "the fleet did not join");
    net.run_for(secs(3));
    net.log.clear();
    net
}

fn assert_converges(net: &mut Net, within: Duration) {
    let end = net.now + within;
    assert!(net.run_until(end, Net::views_agree), "views disagree after {within:?}");
}

#[rstest]
#[case::small(SMALL, 0.0)]
#[case::small_lossy(SMALL, 0.2)]
#[case::large(LARGE, 0.0)]
#[case::large_lossy(LARGE, 0.2)]
fn fleet_joins(#[case] shape: Shape, #[case] loss: f64) {
    let mut net = Net::new(shape, 1);
    net.loss = loss;
    assert_converges(&mut net, SETTLE_TIME);
}

#[rstest]
#[case::small(SMALL, 0.0)]
#[case::large(LARGE, 0.0)]
#[case::large_lossy(LARGE, 0.2)]
fn graceful_leave(#[case] shape: Shape, #[case] loss: f64) {
    let mut net = joined_fleet(shape, 2);
    net.loss = loss;
    net.leave(3);
    let end = net.now + secs(5);
    let done = |n: &Net| n.instances[3].left && n.views_agree();
    assert!(net.run_until(end, done), "the leaving was not learnt within five seconds");
    assert!(net.log.iter().all(|e| e.status != Status::Dead), "leaving was taken for a failure");
}

#[rstest]
#[case::small(SMALL, 0.0)]
#[case::large(LARGE, 0.0)]
#[case::large_lossy(LARGE, 0.2)]
fn crashed_member(#[case] shape: Shape, #[case] loss: f64) {
    let mut net = joined_fleet(shape, 3);
    net.loss = loss;
    net.crash(5);
    assert_converges(&mut net, SETTLE_TIME);
}

#[test]
fn paused_member() {
    let mut net = joined_fleet(LARGE, 4);
    net.pause(6);
    let end = net.now + SETTLE_TIME;
    let dead = |n: &Net| n.instances[2].state.status(&name(6)) == Some(Status::Dead);
    assert!(net.run_until(end, dead), "the pause was not noticed");
    net.run_for(secs(40));
    let before = net.log.len();
    net.resume(6);
    assert_converges(&mut net, SETTLE_TIME);
    assert_eq!(net.instances[6].state.counts().pauses, 1);
    assert_eq!(net.false_failures(before), 0, "the woken member accused others");
}

#[rstest]
#[case::greater_incarnation(None)]
#[case::clock_set_back(Some(1))]
fn restarted_member(#[case] incarnation: Option<u64>) {
    let mut net = joined_fleet(LARGE, 5);
    let old = net.instances[7].state.incarnation();
    net.restart(7, incarnation);
    net.run_for(secs(1));
    assert_converges(&mut net, SETTLE_TIME);
    let fresh = net.instances[7].state.incarnation();
    assert!(fresh > old, "a restart is a greater incarnation");
    let known = |n: &Net| {
        let members = n.instances[11].state.members();
        members.iter().any(|m| *m.name == *name(7) && m.incarnation >= fresh)
    };
    let end = net.now + SETTLE_TIME;
    assert!(net.run_until(end, known), "the new incarnation was not learnt");
}

#[rstest]
#[case::cannot_receive(false)]
#[case::cannot_send(true)]
fn one_way_loss(#[case] outward: bool) {
    let mut net = joined_fleet(LARGE, 6);
    net.blocked = Box::new(move |a, b| if outward { a == 9 } else { b == 9 });
    net.run_for(secs(60));
    assert_eq!(net.instances[1].state.status(&name(9)), Some(Status::Dead));
    let others = net.log.iter().filter(|e| e.observer != 9 && e.subject != 9);
    assert_eq!(others.filter(|e| e.status == Status::Dead).count(), 0, "others were accused");
    let before = net.log.len();
    net.blocked = Box::new(|_, _| false);
    assert_converges(&mut net, secs(30));
    let wrong = |e: &&net::Event| e.status == Status::Dead && e.subject != 9;
    assert_eq!(net.log[before..].iter().filter(wrong).count(), 0, "healing accused others");
}

#[rstest]
#[case(11)]
#[case(12)]
fn heavy_loss(#[case] seed: u64) {
    let mut net = joined_fleet(LARGE, seed);
    net.loss = 0.2;
    net.run_for(secs(120));
    assert_eq!(net.false_failures(0), 0);
    assert!(net.instances.iter().any(|n| n.state.counts().failures > 0), "loss had no effect");
}

#[test]
fn zone_loss() {
    let mut net = joined_fleet(LARGE, 8);
    for i in (0..LARGE.members).filter(|i| i % LARGE.zones == 2) {
        net.crash(i);
    }
    assert_converges(&mut net, SETTLE_TIME);
    net.run_for(secs(120));
    let zone = "zone-2".into();
    let held = |n: &net::Instance| n.state.members().iter().any(|m| m.place.zone == zone);
    assert!(net.instances.iter().filter(|n| n.up).all(|n| !held(n)), "a contact was kept");
    assert_eq!(net.false_failures(0), 0);
}

#[test]
fn zone_loss_small() {
    let mut net = joined_fleet(SMALL, 8);
    net.crash(2);
    net.crash(6);
    assert_converges(&mut net, SETTLE_TIME);
    assert_eq!(net.false_failures(0), 0);
}

#[test]
fn scope_partition() {
    let mut net = joined_fleet(SMALL, 9);
    net.blocked = Box::new(|a, b| (a < 4) != (b < 4));
    net.run_for(secs(180));
    let dead = |i: usize, j: usize| net.instances[i].state.status(&name(j)) == Some(Status::Dead);
    assert!(dead(0, 7) && dead(7, 0), "the partition was not noticed");
    net.blocked = Box::new(|_, _| false);
    assert_converges(&mut net, secs(30));
}

#[test]
fn region_partition() {
    let mut net = joined_fleet(LARGE, 10);
    let region = |i: usize| (i % 4) / 2;
    net.blocked = Box::new(move |a, b| region(a) != region(b));
    net.run_for(secs(180));
    assert_eq!(
        net.false_failures(0),
        0,
        "a partition between scopes made members of one scope fail"
    );
    net.instances[0].generation = 5;
    net.run_for(secs(20));
    let at = |net: &Net, r| {
        let of = (0..LARGE.members).filter(|&i| region(i) == r);
        of.filter(|&i| net.instances[i].generation == 5).count()
    };
    assert_eq!((at(&net, 0), at(&net, 1)), (60, 0));
    net.blocked = Box::new(|_, _| false);
    let end = net.now + secs(60);
    assert!(net.run_until(end, |n| at(n, 1) == 60), "digests do not cross after healing");
}
