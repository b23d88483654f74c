//! Decisions that an instance records and reports.

mod support;

use {
    agate_cli::demo::Demo,
    agate_flow::decision::{Decision, LOG_CAPACITY},
    std::process::{Command, Output},
    support::{HttpRequest, keep_endpoints, model_request, start, wait_until},
};

fn find_decisions(demo: &Demo, of: &str) -> Vec<std::sync::Arc<Decision>> {
    demo.instances[0].proxy_state.decisions.find(of, LOG_CAPACITY)
}

/// Waits for the decision on the request that `response` responded to; it is recorded after the last
/// byte was sent.
async fn wait_for_decision(
    demo: &Demo,
    response: &support::ClientResponse,
) -> std::sync::Arc<Decision> {
    let id = response.headers["x-request-id"].to_str().expect("an id").to_owned();
    wait_until("the decision is recorded", || !find_decisions(demo, &id).is_empty()).await;
    find_decisions(demo, &id).remove(0)
}

#[tokio::test]
async fn served_request() {
    let demo = start(1, |_| {}).await;
    let response = model_request("a question", 8, true).send(demo.instances[0].address()).await;
    let decision = wait_for_decision(&demo, &response).await;
    assert_eq!(
        (&*decision.end, decision.run, decision.tries.len()),
        ("answered", None, 1),
        "{decision:?}"
    );
    assert_eq!(decision.org.as_deref(), Some("palmse"));
    assert_eq!(decision.route.as_deref(), Some("/v1/chat/completions"));
    let attempt = &decision.tries[0];
    assert!(attempt.predicted > 0 && attempt.retry.is_none() && !attempt.full, "{attempt:?}");
    let endpoints = &demo.document.fleet.endpoints;
    assert_eq!(endpoints[&*attempt.endpoint].zone, *attempt.zone);
}

#[tokio::test]
async fn retried_request() {
    let demo = start(1, |d| keep_endpoints(d, "order-desk", 2)).await;
    demo.services[0].proxy().refuse();
    demo.services[1].proxy().refuse();
    let response =
        HttpRequest::new("POST", "/orders/9", "b").send(demo.instances[0].address()).await;
    let decision = wait_for_decision(&demo, &response).await;
    assert_eq!(
        (&*decision.end, response.code()),
        ("no_endpoint", "no_endpoint".into()),
        "{decision:?}"
    );
    assert!(decision.tries.len() > 1, "{decision:?}");
    let (last, first) = decision.tries.split_last().expect("attempts");
    assert!(first.iter().all(|t| t.retry.as_deref() == Some("connect_failed")), "{decision:?}");
    assert!(last.retry.is_none(), "{decision:?}");
}

/// A recorded refusal must contain its reason but no key, body or query.
#[tokio::test]
async fn redacted_refusal() {
    let demo = start(1, |_| {}).await;
    let address = demo.instances[0].address();
    let call = HttpRequest::new("POST", "/orders/9?secret=query", "secret body").without_key();
    let response = call.header("authorization", "Bearer secret-key").send(address).await;
    let text = format!("{:?}", wait_for_decision(&demo, &response).await);
    assert!(text.contains("key_invalid") && text.contains("NotRun"), "{text}");
    assert!(!text.contains("secret"), "{text}");
}

/// The decision log must be bounded: the oldest decisions are removed.
#[tokio::test]
async fn bounded_log() {
    let demo = start(1, |_| {}).await;
    let address = demo.instances[0].address();
    let oldest = HttpRequest::new("GET", "/nowhere", "").send(address).await;
    wait_for_decision(&demo, &oldest).await;
    for _ in 0..LOG_CAPACITY {
        HttpRequest::new("DELETE", "/orders/9", "").send(address).await;
    }
    let id = oldest.headers["x-request-id"].to_str().expect("an id");
    wait_until("the oldest decision is removed", || find_decisions(&demo, id).is_empty()).await;
}

fn explain(of: &str, args: &[&str]) -> Output {
    let command =
        Command::new(env!("CARGO_BIN_EXE_agatetrack")).args(["explain", of]).args(args).output();
    command.expect("the binary runs")
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_command() {
    let demo = start(2, |_| {}).await;
    for instance in &demo.instances {
        let response = model_request("a question", 8, true).send(instance.address()).await;
        assert!(response.is_complete_stream());
    }
    wait_until("both decisions are recorded", || {
        demo.instances.iter().all(|i| i.proxy_state.decisions.find("palmse", 1).len() == 1)
    })
    .await;
    let operators: Vec<String> = demo.instances.iter().map(|i| i.operator().to_string()).collect();
    let args = ["--operator", &operators[0], "--operator", &operators[1]];
    let text = String::from_utf8(explain("palmse", &args).stdout).expect("text");
    assert_eq!(text.matches("answered").count(), 2, "{text}");
    let json = explain("palmse", &[&args[..], &["--output", "json"]].concat()).stdout;
    let json: serde_json::Value = serde_json::from_slice(&json).expect("JSON");
    assert_eq!(json.as_array().map(Vec::len), Some(2), "{json}");
    assert!(json[0]["tries"][0]["predicted"].as_u64() > Some(0), "{json}");
    assert_eq!(explain("nobody", &args).status.code(), Some(1));
}
