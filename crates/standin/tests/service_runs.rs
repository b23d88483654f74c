//! The service records what it ran, even if the caller gets no response.

mod common;

use {
    agate_standin::Service,
    common::{any, call, send, wait_until},
    rstest::rstest,
};

/// Bookings are identified by idempotency key, JSON field or request id, in this order.
#[rstest]
#[case::header("idempotency-key: k1\r\n", "{}", "k1")]
#[case::body("", r#"{"booking":"b1"}"#, "b1")]
#[case::request("x-request-id: r1\r\n", "{}", "r1")]
#[tokio::test]
async fn counted_bookings(#[case] headers: &str, #[case] body: &str, #[case] key: &str) {
    let service = Service::bind(any(), "desk").await.unwrap();
    for _ in 0..2 {
        call(service.address(), "POST /bookings", headers, body).await;
    }
    call(service.address(), "GET /bookings/1", "authorization: Bearer x\r\n", "").await;
    assert_eq!(service.runs().get(key), Some(&2));
    assert_eq!(service.log().iter().filter(|e| e.key_seen).count(), 1);
}

#[tokio::test]
async fn lost_response() {
    let service = Service::bind(any(), "desk").await.unwrap();
    service.set(|f| f.lose_replies = 1);
    let conn = send(service.address(), "POST /b", "idempotency-key: k\r\n", "{}").await;
    wait_until(|| service.runs().get("k") == Some(&1)).await;
    drop(conn);
}

#[tokio::test]
async fn stated_not_run() {
    let service = Service::bind(any(), "desk").await.unwrap();
    service.set(|f| f.not_run = true);
    let response = call(service.address(), "POST /b", "", "{}").await;
    assert!(response.contains("x-not-run: true") && service.log().is_empty());
}
