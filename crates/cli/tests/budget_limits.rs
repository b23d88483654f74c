//! Budgets hold across instances: the spend must not exceed a cap, whichever instance fails, except
//! for a bounded credit while the store is unavailable.

mod support;

use {
    agate_cli::demo::Demo,
    agate_config::{Document, doc::Budget},
    futures_util::future::join_all,
    rstest::rstest,
    std::time::Duration,
    support::{ClientResponse, model_request, start, wait_until},
};

/// Cap of the organisation's budget, in tokens.
const CAP: u64 = 8_000;
/// Tokens of each response.
const TOKENS: u32 = 60;
/// Maximum charge of one request, in tokens: its response plus more than its body.
const MAX_COST: u64 = TOKENS as u64 + 180;
/// The longest period that a document may have, so that no period ends during a test.
const PERIOD: Duration = Duration::from_secs(366 * 24 * 60 * 60);
/// Key of an organisation with another budget.
const OTHER_KEY: &str = "Bearer demo-kolga-key";

async fn start_capped(count: u16, tokens: u64, period: Duration) -> Demo {
    let demo = start(count, |d: &mut Document| {
        d.budgets.insert("large".into(), Budget { tokens, period });
    })
    .await;
    let others = usize::from(count) - 1;
    let joined = || demo.instances.iter().all(|i| i.mesh.live().len() == others);
    wait_until("the instances know each other", joined).await;
    demo
}

async fn send(demo: &Demo, instance: usize) -> ClientResponse {
    model_request("how hot", TOKENS, false).send(demo.instances[instance].address()).await
}

/// Sends requests to all instances until all refuse; returns a refusal.
async fn exhaust_budget(demo: &Demo) -> ClientResponse {
    loop {
        let responses = join_all((0..demo.instances.len()).map(|i| send(demo, i))).await;
        if responses.iter().all(|r| r.status != 200) {
            return responses.into_iter().next().expect("there is an instance");
        }
    }
}

/// Tokens that the engines processed and generated.
fn tokens_run(demo: &Demo) -> u64 {
    let log = demo.engines.iter().flat_map(|e| e.log());
    log.map(|e| e.prompt as u64 + u64::from(e.tokens)).sum()
}

fn refusal(response: &ClientResponse) -> (String, String) {
    (response.code(), response.run())
}

fn budget_spent() -> (String, String) {
    ("budget_spent".into(), "not_run".into())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn capped_organisation() {
    let demo = start_capped(2, CAP, PERIOD).await;
    let response = exhaust_budget(&demo).await;
    assert_eq!(refusal(&response), budget_spent(), "{}", response.body);
    assert_eq!(response.status, 429);
    assert!(response.headers.contains_key("retry-after"));
    // The remainders held by each instance and the owner are too small for one request.
    let run = tokens_run(&demo);
    assert!(run <= CAP, "{run} tokens ran");
    assert!(run > CAP - 3 * MAX_COST, "{run} tokens ran");
    let other = model_request("other", TOKENS, false).header("authorization", OTHER_KEY);
    assert_eq!(other.send(demo.instances[0].address()).await.status, 200);
}

/// Each of three instances is killed in one case, so that one of them is the budget's owner.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_owner(#[case] killed: usize) {
    let mut demo = start_capped(3, CAP, PERIOD).await;
    for i in 0..3 {
        assert_eq!(send(&demo, i).await.status, 200);
    }
    demo.instances.remove(killed).kill();
    let response = exhaust_budget(&demo).await;
    assert_eq!(refusal(&response), budget_spent(), "{}", response.body);
    let run = tokens_run(&demo);
    assert!(run <= CAP, "{run} tokens ran");
    // A slab, a quarter of the cap, and a slice may be lost with the owner.
    assert!(run > CAP / 2, "{run} tokens ran");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn store_outage() {
    let demo = start_capped(2, CAP, PERIOD).await;
    assert_eq!(send(&demo, 0).await.status, 200);
    demo.platform.set(|f| f.outage = true);
    assert_eq!(send(&demo, 0).await.status, 200, "the slab lasts");
    let response = exhaust_budget(&demo).await;
    assert_eq!(refusal(&response), budget_spent(), "{}", response.body);
    let before = tokens_run(&demo);
    // A slab is a quarter of the cap and the credit an eighth.
    assert!(before <= CAP / 4 + CAP / 8, "{before} tokens ran without the store");
    demo.platform.set(|f| f.outage = false);
    let mut served = false;
    while !served {
        served = send(&demo, 0).await.status == 200;
    }
    exhaust_budget(&demo).await;
    assert!(tokens_run(&demo) <= CAP + CAP / 8);
}

/// Instances that hold no slice when the store goes down may serve on credit, together at most an
/// eighth of the cap.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn credit_only() {
    let demo = start_capped(2, CAP, PERIOD).await;
    demo.platform.set(|f| f.outage = true);
    for i in 0..2 {
        assert_eq!(send(&demo, i).await.status, 200);
    }
    let response = exhaust_budget(&demo).await;
    assert_eq!(refusal(&response), budget_spent(), "{}", response.body);
    let run = tokens_run(&demo);
    assert!(run <= CAP / 8, "{run} tokens ran on credit");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn next_period() {
    let demo = start_capped(1, MAX_COST + 20, Duration::from_secs(3)).await;
    while send(&demo, 0).await.status == 200 {}
    let response = exhaust_budget(&demo).await;
    let wait: u64 = response.headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((1..=3).contains(&wait), "{wait}");
    let mut served = false;
    while !served {
        served = send(&demo, 0).await.status == 200;
    }
}
