//! Interfaces of the platform and their faults.

mod common;

use {
    agate_standin::{
        Platform, PlatformFaults,
        platform::{FleetEndpoint, Instance},
    },
    common::{any, call},
    rstest::rstest,
    std::time::Duration,
};

const SWAP: &str = "POST /store/v1/swap";

fn swap(expect: u64, value: &str) -> String {
    serde_json::json!({ "key": "a/b", "expect": expect, "value": value }).to_string()
}

#[tokio::test]
async fn swap_and_watch() {
    let p = Platform::bind(any()).await.unwrap();
    let a = p.address();
    assert!(call(a, "GET /store/v1/key?key=a%2Fb", "", "").await.starts_with("HTTP/1.1 404"));
    assert!(call(a, SWAP, "", &swap(0, "aGk=")).await.contains("\"revision\":1"));
    let conflict = call(a, SWAP, "", &swap(0, "aGk=")).await;
    assert!(conflict.starts_with("HTTP/1.1 409") && conflict.contains("aGk="));
    let watch = "GET /store/v1/watch?key=a%2Fb&after=1&wait_ms=1";
    assert!(call(a, watch, "", "").await.starts_with("HTTP/1.1 204"));
    let waiting = tokio::spawn(async move {
        call(a, "GET /store/v1/watch?key=a%2Fb&after=1&wait_ms=20000", "", "").await
    });
    assert!(call(a, SWAP, "", &swap(1, "aG8=")).await.contains("\"revision\":2"));
    assert!(waiting.await.unwrap().contains("aG8="));
    assert!(call(a, "GET /store/v1/list?prefix=a", "", "").await.contains(r#"["a/b"]"#));
}

#[tokio::test]
async fn revoked_lease() {
    let p = Platform::bind(any()).await.unwrap();
    let a = p.address();
    assert!(call(a, "POST /store/v1/lease", "", r#"{"ttl_ms":60000}"#).await.contains("lease"));
    let body = r#"{"key":"k","expect":0,"value":"aGk=","lease":1}"#;
    assert!(call(a, SWAP, "", body).await.starts_with("HTTP/1.1 200"));
    assert!(call(a, "POST /store/v1/revoke", "", r#"{"lease":1}"#).await.contains("204"));
    assert!(call(a, "GET /store/v1/key?key=k", "", "").await.starts_with("HTTP/1.1 404"));
    assert!(call(a, "POST /store/v1/renew", "", r#"{"lease":1}"#).await.contains("410"));
}

/// Requests during an outage or above the rate limit have no effect; those whose acknowledgement is
/// lost have.
#[rstest]
#[case::outage(|f: &mut PlatformFaults| f.outage = true, "503", false)]
#[case::limited(|f: &mut PlatformFaults| f.rate_limit = 1, "429", false)]
#[case::lost(|f: &mut PlatformFaults| f.lose_acks = 1, "500", true)]
#[tokio::test]
async fn store_fault(
    #[case] fault: fn(&mut PlatformFaults),
    #[case] status: &str,
    #[case] effect: bool,
) {
    let p = Platform::bind(any()).await.unwrap();
    p.set(fault);
    if status == "429" {
        call(p.address(), "GET /store/v1/list?prefix=", "", "").await;
    }
    let response = call(p.address(), SWAP, "", &swap(0, "aGk=")).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    let found = p.store().get(agate_store::Purpose::Record, "a/b").await.unwrap();
    assert_eq!(found.is_some(), effect);
    assert_eq!(p.counts()["/store/v1/swap"], 1);
}

/// A second report of a window with other figures is refused, the same figures are accepted again.
#[tokio::test]
async fn conflicting_report() {
    let p = Platform::bind(any()).await.unwrap();
    let report =
        |n: u32| format!(r#"{{"window":1,"shard":"s","figures":{{"n":{n}}},"token":"t"}}"#);
    for (n, status) in [(1, "204"), (1, "204"), (2, "409")] {
        let response = call(p.address(), "POST /usage/v1/report", "", &report(n)).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")));
    }
    let conflicts: Vec<_> = p.usage().iter().map(|u| u.conflict).collect();
    assert_eq!(conflicts, [false, false, true]);
}

/// An order with a known idempotency key is recorded once.
#[tokio::test]
async fn repeated_order() {
    let p = Platform::bind(any()).await.unwrap();
    let body = r#"{"zone":"z1","pool":"oracle","kind":"cheap","count":2,"token":"t1"}"#;
    for _ in 0..2 {
        let response = call(p.address(), "POST /fleet/v1/order", "", body).await;
        assert!(response.contains("order-1"));
    }
    assert_eq!(p.orders().len(), 1);
    p.set(|f| f.no_cheap = true);
    let response = call(p.address(), "POST /fleet/v1/order", "", body).await;
    assert!(response.starts_with("HTTP/1.1 409"));
}

/// Lists with a lag do not show recent changes.
#[tokio::test]
async fn lagging_lists() {
    let p = Platform::bind(any()).await.unwrap();
    let state = "live".to_owned();
    let zone = "z1".to_owned();
    p.set_endpoints(vec![FleetEndpoint {
        name: "e1".into(),
        zone: zone.clone(),
        pool: "oracle".into(),
        kind: "cheap".into(),
        address: any(),
        state: state.clone(),
        leaving_ms: None,
    }]);
    p.set_instances(vec![Instance { name: "i1".into(), zone, address: any(), state }]);
    for (path, name) in [("/fleet/v1/endpoints", "e1"), ("/instances/v1", "i1")] {
        p.set(|f| f.list_lag = Duration::ZERO);
        assert!(call(p.address(), &format!("GET {path}"), "", "").await.contains(name));
        p.set(|f| f.list_lag = Duration::from_secs(3600));
        assert!(!call(p.address(), &format!("GET {path}"), "", "").await.contains(name));
    }
}
