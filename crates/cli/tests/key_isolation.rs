//! A request must run only for the organisation of its key, endpoints must not see keys, and
//! revocation must take effect quickly.

mod support;

use {
    agate_cli::{configs::edit, demo::Demo},
    agate_config::{publish, section::Section},
    support::{HttpRequest, KEY, keep_endpoints, model_request, start, wait_until},
};

async fn revoke_key(demo: &Demo, org: &str) {
    let mut document = demo.document.clone();
    document.organisations[org].keys.clear();
    let store = agate_native::store::open(demo.platform.address());
    let change = edit("test", document, vec![Section::Organisations]);
    publish::apply(&store, &change).await.expect("the change is accepted");
}

fn in_force(demo: &Demo, generation: u64) -> bool {
    demo.instances.iter().all(|i| i.proxy_state.current.load().generation >= generation)
}

#[tokio::test]
async fn hidden_keys() {
    let demo = start(1, |_| {}).await;
    let to = demo.instances[0].address();
    for (name, value) in [
        ("x-api-key", KEY.to_owned()),
        ("cookie", format!("key={KEY}")),
        ("x-other", format!("prefix {KEY}")),
    ] {
        let response =
            HttpRequest::new("POST", "/orders/1", "{}").header(name, &value).send(to).await;
        assert_eq!(response.status, 201, "{}", response.body);
        assert_eq!(model_request("x", 4, false).header(name, &value).send(to).await.status, 200);
    }
    assert!(demo.services.iter().flat_map(|s| s.log()).all(|e| !e.key_seen));
    assert!(demo.engines.iter().flat_map(|e| e.log()).all(|e| !e.key_seen));
}

#[tokio::test]
async fn forbidden_service() {
    let demo = start(1, |d| d.organisations["palmse"].services.clear()).await;
    let to = demo.instances[0].address();
    let response = HttpRequest::new("POST", "/orders/1", "{}").send(to).await;
    assert_eq!((response.status.as_u16(), response.code().as_str()), (403, "forbidden"));
    assert!(demo.services.iter().all(|s| s.log().is_empty()));
}

#[tokio::test]
async fn revoked_key() {
    let demo = start(3, |_| {}).await;
    revoke_key(&demo, "palmse").await;
    wait_until("the change is in force", || in_force(&demo, 2)).await;
    for instance in &demo.instances {
        let response = model_request("x", 4, false).send(instance.address()).await;
        assert_eq!((response.status.as_u16(), response.code().as_str()), (401, "key_invalid"));
    }
}

/// Requests that are queued when their key is revoked must be refused at once and must not run.
#[tokio::test]
async fn revoked_while_queued() {
    let demo = start(1, |d| {
        keep_endpoints(d, "glaze-oracle", 1);
        d.fleet.pools["glaze-oracle"].slots = 1;
    })
    .await;
    let to = demo.instances[0].address();
    let busy = tokio::spawn(
        model_request("long", 600, false).header("authorization", "Bearer demo-kolga-key").send(to),
    );
    wait_until("the slot is taken", || demo.engines[0].load().running == 1).await;
    let waiting = tokio::spawn(model_request("waits", 4, false).send(to));
    wait_until("the request waits", || demo.instances[0].proxy_state.flight.open() == 2).await;
    revoke_key(&demo, "palmse").await;
    let response = waiting.await.expect("the caller gets a response");
    assert_eq!((response.code().as_str(), response.run().as_str()), ("key_withdrawn", "not_run"));
    assert_eq!(demo.engines[0].log().len(), 1);
    assert_eq!(busy.await.expect("the other caller is served").status, 200);
}

/// An interrupted stream must not be resumed on another engine after its key was revoked.
#[tokio::test]
async fn revoked_during_stream() {
    let demo = start(1, |d| keep_endpoints(d, "glaze-oracle", 2)).await;
    let to = demo.instances[0].address();
    let stream = tokio::spawn(model_request("long", 2000, true).send(to));
    wait_until("the stream runs", || demo.engines.iter().any(|e| e.load().running == 1)).await;
    revoke_key(&demo, "palmse").await;
    wait_until("the change is in force", || in_force(&demo, 2)).await;
    demo.engines.iter().for_each(|e| e.proxy().kill());
    let response = stream.await.expect("the caller gets a response");
    assert!(!response.complete && response.body.contains("key_withdrawn"), "{}", response.body);
    assert_eq!(demo.engines.iter().map(|e| e.log().len()).sum::<usize>(), 1);
}
