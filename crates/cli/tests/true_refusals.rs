//! A refusal that says "not run" is true, whatever fails.

mod support;

use {
    agate_cli::demo::Demo,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rstest::rstest,
    std::time::Duration,
    support::{Call, Reply, ask, keep, start},
};

/// Whether any service ran the booking.
fn ran(demo: &Demo, booking: &str) -> usize {
    demo.services.iter().map(|s| s.runs().get(booking).copied().unwrap_or(0)).sum()
}

fn says_unrun(reply: &Reply) -> bool {
    let body = reply.run() == "not_run";
    assert_eq!(body, reply.headers.contains_key("x-not-run"), "{reply:?}");
    body
}

async fn book(demo: &Demo, booking: &str) -> Reply {
    let call = Call::new("POST", "/orders/9", booking.to_owned());
    call.header("idempotency-key", booking).send(demo.instances[0].address()).await
}

#[tokio::test]
async fn refused_connections() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.tap().refuse());
    let reply = book(&demo, "b").await;
    assert_eq!((reply.status.as_u16(), says_unrun(&reply)), (503, true));
    assert_eq!(ran(&demo, "b"), 0);
}

#[tokio::test]
async fn lost_reply() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.tap().set(|f| f.cut_after = Some(0)));
    let reply = book(&demo, "b").await;
    assert!(!says_unrun(&reply), "{reply:?}");
    assert!(ran(&demo, "b") <= 1);
}

#[tokio::test]
async fn declared_unrun() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.set(|f| f.not_run = true));
    let reply = book(&demo, "b").await;
    assert!(says_unrun(&reply), "{reply:?}");
    assert_eq!(ran(&demo, "b"), 0);
}

#[rstest]
#[case::no_key(Call::new("POST", "/orders/9", "x").unkeyed(), 401, "key_missing")]
#[case::bad_key(Call::new("POST", "/orders/9", "x").header("authorization", "Bearer no"), 401, "key_invalid")]
#[case::no_route(Call::new("POST", "/nowhere", "x"), 404, "route_unknown")]
#[case::bad_method(Call::new("DELETE", "/orders/9", "x"), 405, "method_not_allowed")]
#[case::bad_json(Call::new("POST", "/v1/chat/completions", "{"), 400, "body_malformed")]
#[case::bad_model(
    Call::new("POST", "/v1/chat/completions", r#"{"model":"x","messages":[]}"#),
    404,
    "model_unknown"
)]
#[case::too_long(ask("x", 1_000_000, false), 400, "body_malformed")]
#[case::large(Call::new("POST", "/orders/9", vec![b'x'; 9 << 20]), 413, "body_too_large")]
#[tokio::test]
async fn bad_input(#[case] call: Call, #[case] status: u16, #[case] code: &str) {
    let demo = start(1, |_| {}).await;
    let reply = call.send(demo.instances[0].address()).await;
    assert_eq!((reply.status.as_u16(), reply.code().as_str()), (status, code));
    assert!(says_unrun(&reply));
    let counted = format!("agatetrack_refusals_total{{reason=\"{code}\"}} 1");
    assert!(demo.instances[0].gate.meter.text().contains(&counted));
}

/// One fault of a service.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Refuse,
    Kill,
    Cut(u64),
    Unrun,
    Crossed,
    LoseReply,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        Just(Fault::Refuse),
        Just(Fault::Kill),
        (0u64..200).prop_map(Fault::Cut),
        Just(Fault::Unrun),
        Just(Fault::Crossed),
        Just(Fault::LoseReply),
    ]
}

fn inject(demo: &Demo, service: usize, fault: Fault) {
    let service = &demo.services[service];
    service.tap().admit();
    service.tap().set(|f| f.cut_after = None);
    service.set(|f| *f = agate_standin::ServiceFaults::default());
    match fault {
        Fault::None => {}
        Fault::Refuse => service.tap().refuse(),
        Fault::Kill => service.tap().kill(),
        Fault::Cut(n) => service.tap().set(|f| f.cut_after = Some(n)),
        Fault::Unrun => service.set(|f| f.not_run = true),
        Fault::Crossed => service.set(|f| f.wrong_id = true),
        Fault::LoseReply => service.set(|f| f.lose_replies = 1),
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
                keep(d, "order-desk", 2);
                d.routes.iter_mut().for_each(|r| r.deadline = Duration::from_millis(400));
            })
            .await;
            for (i, faults) in rounds.iter().enumerate() {
                faults.iter().enumerate().for_each(|(s, f)| inject(&demo, s, *f));
                let booking = format!("b{i}");
                let reply = book(&demo, &booking).await;
                let runs = ran(&demo, &booking);
                assert!(runs <= 1, "{runs} runs under {faults:?}");
                assert!(!says_unrun(&reply) || runs == 0, "ran though refused: {faults:?}");
                assert!(!reply.status.is_success() || runs == 1, "answered without a run: {faults:?}");
            }
        });
    }
}
