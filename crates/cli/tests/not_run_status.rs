//! A refusal with the status "not run" for a request that was executed.

mod support;

use {
    agate_cli::demo::Demo,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rstest::rstest,
    std::time::Duration,
    support::{ClientResponse, HttpRequest, keep_endpoints, model_request, start},
};

/// Number of executions of the booking by all services.
fn execution_count(demo: &Demo, booking: &str) -> usize {
    demo.services.iter().map(|s| s.runs().get(booking).copied().unwrap_or(0)).sum()
}

fn states_not_run(response: &ClientResponse) -> bool {
    let body = response.run() == "not_run";
    assert_eq!(body, response.headers.contains_key("x-not-run"), "{response:?}");
    body
}

async fn send_booking(demo: &Demo, booking: &str) -> ClientResponse {
    let call = HttpRequest::new("POST", "/orders/9", booking.to_owned());
    call.header("idempotency-key", booking).send(demo.instances[0].address()).await
}

#[tokio::test]
async fn refused_connections() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.proxy().refuse());
    let response = send_booking(&demo, "b").await;
    assert_eq!((response.status.as_u16(), states_not_run(&response)), (503, true));
    assert_eq!(execution_count(&demo, "b"), 0);
}

#[tokio::test]
async fn lost_response() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.proxy().set(|f| f.cut_after = Some(0)));
    let response = send_booking(&demo, "b").await;
    assert!(!states_not_run(&response), "{response:?}");
    assert!(execution_count(&demo, "b") <= 1);
}

#[tokio::test]
async fn stated_not_run() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.set(|f| f.not_run = true));
    let response = send_booking(&demo, "b").await;
    assert!(states_not_run(&response), "{response:?}");
    assert_eq!(execution_count(&demo, "b"), 0);
}

#[rstest]
#[case::no_key(HttpRequest::new("POST", "/orders/9", "x").without_key(), 401, "key_missing")]
#[case::bad_key(HttpRequest::new("POST", "/orders/9", "x").header("authorization", "Bearer no"), 401, "key_invalid")]
#[case::no_route(HttpRequest::new("POST", "/nowhere", "x"), 404, "route_unknown")]
#[case::bad_method(HttpRequest::new("DELETE", "/orders/9", "x"), 405, "method_not_allowed")]
#[case::bad_json(HttpRequest::new("POST", "/v1/chat/completions", "{"), 400, "body_malformed")]
#[case::bad_model(
    HttpRequest::new("POST", "/v1/chat/completions", r#"{"model":"x","messages":[]}"#),
    404,
    "model_unknown"
)]
#[case::too_long(model_request("x", 1_000_000, false), 400, "body_malformed")]
#[case::large(HttpRequest::new("POST", "/orders/9", vec![b'x'; 9 << 20]), 413, "body_too_large")]
#[tokio::test]
async fn bad_input(#[case] call: HttpRequest, #[case] status: u16, #[case] code: &str) {
    let demo = start(1, |_| {}).await;
    let response = call.send(demo.instances[0].address()).await;
    assert_eq!((response.status.as_u16(), response.code().as_str()), (status, code));
    assert!(states_not_run(&response));
    let counted = format!("agatetrack_refusals_total{{reason=\"{code}\"}} 1");
    assert!(demo.instances[0].proxy_state.metrics.text().contains(&counted));
}

/// A fault of a service.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Refuse,
    Kill,
    Truncate(u64),
    NotRun,
    WrongId,
    LoseResponse,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        Just(Fault::Refuse),
        Just(Fault::Kill),
        (0u64..200).prop_map(Fault::Truncate),
        Just(Fault::NotRun),
        Just(Fault::WrongId),
        Just(Fault::LoseResponse),
    ]
}

fn inject(demo: &Demo, service: usize, fault: Fault) {
    let service = &demo.services[service];
    service.proxy().accept();
    service.proxy().set(|f| f.cut_after = None);
    service.set(|f| *f = agate_standin::ServiceFaults::default());
    match fault {
        Fault::None => {}
        Fault::Refuse => service.proxy().refuse(),
        Fault::Kill => service.proxy().kill(),
        Fault::Truncate(n) => service.proxy().set(|f| f.cut_after = Some(n)),
        Fault::NotRun => service.set(|f| f.not_run = true),
        Fault::WrongId => service.set(|f| f.wrong_id = true),
        Fault::LoseResponse => service.set(|f| f.lose_replies = 1),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 24,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn random_faults(rounds in prop::collection::vec(prop::collection::vec(fault(), 2), 6)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let demo = start(1, |d| {
                keep_endpoints(d, "order-desk", 2);
                d.routes.iter_mut().for_each(|r| r.deadline = Duration::from_millis(400));
            })
            .await;
            for (i, faults) in rounds.iter().enumerate() {
                faults.iter().enumerate().for_each(|(s, f)| inject(&demo, s, *f));
                let booking = format!("b{i}");
                let response = send_booking(&demo, &booking).await;
                let runs = execution_count(&demo, &booking);
                assert!(runs <= 1, "{runs} runs under {faults:?}");
                assert!(!states_not_run(&response) || runs == 0, "ran though refused: {faults:?}");
                assert!(!response.status.is_success() || runs == 1, "answered without a run: {faults:?}");
            }
        });
    }
}
