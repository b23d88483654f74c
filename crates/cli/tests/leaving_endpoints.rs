//! A leaving endpoint must get no new requests, and its running requests must finish.

mod support;

use {
    agate_standin::platform::Instance,
    support::{expected_text, keep_endpoints, model_request, start, wait_until},
};

#[tokio::test]
async fn listed_leaving() {
    let demo = start(1, |d| keep_endpoints(d, "glaze-oracle", 2)).await;
    let to = demo.instances[0].address();
    let stream = tokio::spawn(model_request("long", 1000, true).send(to));
    let busy = || demo.engines.iter().position(|e| e.load().running == 1);
    wait_until("the stream runs", || busy().is_some()).await;
    let leaving = &demo.engines[busy().expect("just seen")];
    let (name, endpoint) = demo
        .document
        .fleet
        .endpoints
        .iter()
        .find(|(_, e)| e.address == leaving.address())
        .expect("the engine is an endpoint of the document");
    demo.platform.set_instances(vec![Instance {
        name: name.clone(),
        zone: endpoint.zone.clone(),
        address: endpoint.address,
        state: "leaving".into(),
    }]);
    let proxy_state = &demo.instances[0].proxy_state;
    let left = || {
        let snapshot = proxy_state.current.load();
        let id = snapshot.endpoints().find(|(_, e)| *e.name == **name).expect("it is known").0;
        proxy_state
            .table
            .load()
            .endpoint(id)
            .stats
            .leaving
            .load(std::sync::atomic::Ordering::Relaxed)
    };
    wait_until("the instance knows that it leaves", left).await;
    let before = leaving.log().len();
    for i in 0..10 {
        let text = format!("q{i}");
        assert_eq!(model_request(&text, 3, false).send(to).await.text(), expected_text(&text, 3));
    }
    assert_eq!(leaving.log().len(), before, "it got new work");
    let response = stream.await.expect("the caller gets a response");
    assert!(response.is_complete_stream() && response.text() == expected_text("long", 1000));
    assert_eq!(leaving.log()[0].tokens, 1000, "its stream was cut");
}
