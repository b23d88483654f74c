//! An instance that is cut off from the platform, with and without its peers.

mod rig;
mod support;

use {
    agate_config::freshness::Standing,
    rig::Rig,
    std::sync::atomic::Ordering,
    support::{ask, until},
};

/// An instance that hears nobody, though the platform listed others, does not take itself for the
/// only one: cut off from the platform too, it refuses keyed work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hears_nobody() {
    let rig = Rig::spawn().await;
    let lone = rig.add(false).await;
    until("it read the list", || !lone.listed().is_empty()).await;
    lone.back.refuse();
    until("it refuses keyed work", || lone.standing() == Some(Standing::Stale)).await;
    let reply = ask("q", 3, false).send(lone.front.address()).await;
    assert_eq!((reply.code().as_str(), reply.run().as_str()), ("config_stale", "not_run"));
}

/// An instance that cannot read the platform's list learns from its peers which endpoints leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_from_peers() {
    let rig = Rig::spawn().await;
    let cut = rig.entries()[0].clone();
    cut.back.refuse();
    let (name, engine) = rig.engines.first().expect("there are some");
    rig.leave(name, engine.address());
    let known = || {
        let snapshot = cut.gate.current.load();
        let id = snapshot.endpoints().find(|(_, e)| *e.name == **name).expect("it is known").0;
        cut.gate.table.load().endpoint(id).live.leaving.load(Ordering::Relaxed)
    };
    until("the instance knows that it leaves", known).await;
}
