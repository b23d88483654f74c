//! An instance without access to the platform, with and without its peers.

mod harness;
mod support;

use {
    agate_config::freshness::ConfigFreshness,
    harness::Harness,
    std::sync::atomic::Ordering,
    support::{model_request, wait_until},
};

/// An isolated instance that considers itself the only one would keep serving an old configuration.
/// It must refuse requests with a key, because the platform listed other instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_instance() {
    let harness = Harness::spawn().await;
    let isolated = harness.start_instance(false).await;
    wait_until("it read the list", || !isolated.listed_peers().is_empty()).await;
    isolated.platform_proxy.refuse();
    wait_until("it refuses keyed work", || {
        isolated.config_standing() == Some(ConfigFreshness::Stale)
    })
    .await;
    let response = model_request("q", 3, false).send(isolated.client_proxy.address()).await;
    assert_eq!((response.code().as_str(), response.run().as_str()), ("config_stale", "not_run"));
}

/// An instance that cannot read the platform's list must learn from its peers which endpoints are
/// leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_from_peers() {
    let harness = Harness::spawn().await;
    let disconnected = harness.instances()[0].clone();
    disconnected.platform_proxy.refuse();
    let (name, engine) = harness.engines.first().expect("there are some");
    harness.mark_leaving(name, engine.address());
    let known = || {
        let snapshot = disconnected.proxy_state.current.load();
        let id = snapshot.endpoints().find(|(_, e)| *e.name == **name).expect("it is known").0;
        disconnected.proxy_state.table.load().endpoint(id).stats.leaving.load(Ordering::Relaxed)
    };
    wait_until("the instance knows that it leaves", known).await;
}
