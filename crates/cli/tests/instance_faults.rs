//! Instances that fail, lose the store or are replaced while others serve.

mod support;

use {
    agate_cli::{configs::edit, demo::Demo, instance::Instance},
    agate_config::{freshness::ConfigFreshness, publish, section::Section},
    support::{HttpRequest, expected_text, keep_endpoints, model_request, start, wait_until},
};

/// A request that crashed two engines through one instance must be refused by all instances.
#[tokio::test]
async fn shared_quarantine() {
    let demo = start(3, |d| keep_endpoints(d, "glaze-oracle", 6)).await;
    wait_until("the instances know each other", || joined(&demo, 2)).await;
    demo.engines.iter().for_each(|e| e.set(|f| f.crash_text = Some("poison".into())));
    let first = model_request("poison", 5, false).send(demo.instances[0].address()).await;
    assert_eq!(first.code(), "request_quarantined", "{}", first.body);
    let knows = || demo.instances.iter().all(|i| !i.proxy_state.suspects.state().is_empty());
    wait_until("every instance knows of it", knows).await;
    for instance in &demo.instances {
        let response = model_request("poison", 5, false).send(instance.address()).await;
        assert_eq!(
            (response.code().as_str(), response.run().as_str()),
            ("request_quarantined", "not_run")
        );
    }
    assert_eq!(demo.engines.iter().map(|e| e.crashes()).sum::<u64>(), 2);
}

/// While the store is down, requests with a key must be served, and the configuration must not go
/// back to an older one afterwards.
#[tokio::test]
async fn store_outage() {
    let demo = start(3, |_| {}).await;
    wait_until("the instances know each other", || joined(&demo, 2)).await;
    demo.platform.set(|f| f.outage = true);
    let freshness = |i: &Instance| i.mesh.follower().expect("it follows").freshness();
    let old = || demo.instances.iter().all(|i| freshness(i) == ConfigFreshness::StoreDown);
    wait_until("no instance has a recent proof", old).await;
    for (i, instance) in demo.instances.iter().enumerate() {
        let text = format!("q{i}");
        let response = model_request(&text, 3, false).send(instance.address()).await;
        assert_eq!(response.text(), expected_text(&text, 3), "{}", response.body);
    }
    demo.platform.set(|f| f.outage = false);
    assert!(demo.instances.iter().all(|i| i.proxy_state.current.load().generation == 1));
}

/// A rolling restart under load must neither cut nor lose a request.
#[tokio::test]
async fn rolling_restart() {
    let mut demo = start(3, |_| {}).await;
    wait_until("the instances know each other", || joined(&demo, 2)).await;
    for round in 0..2 {
        let leaving = demo.instances.remove(0);
        let to = leaving.address();
        let stream = tokio::spawn(model_request("long", 400, true).send(to));
        wait_until("the stream runs", || leaving.proxy_state.flight.open() == 1).await;
        let stop = tokio::spawn(leaving.stop());
        for instance in &demo.instances {
            let text = format!("round {round}");
            let response = model_request(&text, 3, false).send(instance.address()).await;
            assert_eq!(response.text(), expected_text(&text, 3), "{}", response.body);
        }
        let response = stream.await.expect("the caller gets a response");
        assert!(
            response.is_complete_stream() && response.text() == expected_text("long", 400),
            "{}",
            response.body
        );
        stop.await.expect("the instance stops");
    }
}

/// A stopping instance must refuse new requests as not run.
#[tokio::test]
async fn stopping_instance() {
    let demo = start(1, |_| {}).await;
    let instance = &demo.instances[0];
    let stream = tokio::spawn(model_request("long", 400, true).send(instance.address()));
    wait_until("the stream runs", || instance.proxy_state.flight.open() == 1).await;
    instance.proxy_state.flight.close();
    let response =
        HttpRequest::new("GET", "/catalogue/1", "").without_key().send(instance.address()).await;
    assert_eq!(
        (response.code().as_str(), response.run().as_str()),
        ("instance_stopping", "not_run")
    );
    assert!(stream.await.expect("the caller gets a response").is_complete_stream());
}

/// A change must reach every instance, and an earlier one must never replace a later one.
#[tokio::test]
async fn monotonic_generations() {
    let demo = start(4, |_| {}).await;
    let store = agate_native::store::open(demo.platform.address());
    for weight in [7, 8, 9] {
        let mut document = demo.document.clone();
        document.organisations["palmse"].weight = weight;
        let change = edit("test", document, vec![Section::Organisations]);
        let generation = publish::apply(&store, &change).await.expect("accepted").generation;
        let reached = || {
            demo.instances.iter().all(|i| {
                let snapshot = i.proxy_state.current.load();
                let palmse = snapshot.orgs().find(|(_, o)| &*o.name == "palmse");
                snapshot.generation >= generation && palmse.is_some_and(|(_, o)| o.weight == weight)
            })
        };
        wait_until("the change is in force everywhere", reached).await;
    }
}

fn joined(demo: &Demo, others: usize) -> bool {
    demo.instances.iter().all(|i| i.mesh.member().is_some_and(|m| m.members().len() == others))
}
