//! Every metric must be documented on the operators' page, and its value must be updated.

mod support;

use {
    indexmap::IndexSet,
    support::{HttpRequest, start, wait_until},
};

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

async fn scrape(demo: &agate_cli::demo::Demo) -> String {
    HttpRequest::new("GET", "/metrics", "").send(demo.instances[0].operator()).await.body
}

/// Value of the sample whose line begins with `name`.
fn value(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|l| l.starts_with(name)).unwrap_or_else(|| panic!("no {name}"));
    line.rsplit(' ').next().and_then(|v| v.parse().ok()).expect("a number")
}

#[tokio::test]
async fn undocumented_metrics() {
    let demo = start(2, |_| {}).await;
    let text = scrape(&demo).await;
    let names = text.lines().filter_map(|l| l.strip_prefix("# TYPE ")?.split(' ').next());
    let names: IndexSet<&str> = names.collect();
    assert!(names.len() > 20, "{names:?}");
    let undocumented: Vec<_> =
        names.iter().filter(|n| !PAGE.contains(&format!("| `{n}"))).collect();
    assert!(undocumented.is_empty(), "not on the page: {undocumented:?}");
}

#[tokio::test]
async fn live_counts() {
    let demo = start(2, |_| {}).await;
    wait_until("the instances know each other", || {
        demo.instances.iter().all(|i| i.mesh.live().len() == 1)
    })
    .await;
    let text = scrape(&demo).await;
    assert!(
        value(&text, "agatetrack_store_calls_total{event=\"answered\",purpose=\"config\"}") > 0.0
    );
    assert_eq!(value(&text, "agatetrack_members{status=\"alive\"}"), 1.0);
    assert!(value(&text, "agatetrack_member_messages_total{what=\"sent\"}") > 0.0);
    assert!(value(&text, "agatetrack_config_proof_age_seconds").is_finite());
    let usable = "agatetrack_endpoints{pool=\"order-desk\",state=\"usable\"}";
    assert_eq!(value(&text, usable), 4.0);
    assert_eq!(value(&text, "agatetrack_claims_total{event=\"batches\"}"), 0.0);
    let booking = HttpRequest::new("POST", "/orders/9", "b").header("idempotency-key", "b");
    assert_eq!(booking.send(demo.instances[0].address()).await.status, 201);
    let batches: f64 = {
        let mut all = 0.0;
        for i in &demo.instances {
            let text = HttpRequest::new("GET", "/metrics", "").send(i.operator()).await.body;
            all += value(&text, "agatetrack_claims_total{event=\"batches\"}");
        }
        all
    };
    assert!(batches > 0.0);
}
