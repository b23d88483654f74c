//! Truncated, mixed-up or overlong responses. Every client must receive the complete response to
//! its own request, or an error that cannot be mistaken for one.

mod support;

use {
    agate_standin::EngineFaults,
    rstest::rstest,
    std::time::Duration,
    support::{HttpRequest, expected_text, keep_endpoints, model_request, start},
};

#[rstest]
#[case::stream(true)]
#[case::single_object(false)]
#[tokio::test]
async fn complete_response(#[case] stream: bool) {
    let demo = start(1, |_| {}).await;
    let response =
        model_request("does it match?", 12, stream).send(demo.instances[0].address()).await;
    assert_eq!(response.text(), expected_text("does it match?", 12));
    assert!(response.complete && (!stream || response.is_complete_stream()));
}

/// One fault at one engine: every request must get a complete response.
#[rstest]
#[case::truncated(|f: &mut EngineFaults| f.cut_after = Some(5))]
#[case::early_end(|f: &mut EngineFaults| f.short_end = Some(5))]
#[case::stalled(|f: &mut EngineFaults| f.stall_after = Some(5))]
#[case::wrong_id(|f: &mut EngineFaults| f.wrong_id = true)]
#[case::refused(|f: &mut EngineFaults| f.not_run = true)]
#[case::delayed(|f: &mut EngineFaults| f.response_delay = Duration::from_millis(200))]
#[tokio::test]
async fn single_fault(#[case] fault: fn(&mut EngineFaults), #[values(true, false)] stream: bool) {
    let demo = start(1, |d| keep_endpoints(d, "glaze-oracle", 2)).await;
    demo.engines[0].set(|f| {
        f.faulty_requests = 1;
        fault(f);
    });
    for _ in 0..4 {
        let response = model_request("dossier", 20, stream).send(demo.instances[0].address()).await;
        assert_eq!(response.text(), expected_text("dossier", 20), "{}", response.body);
        assert!(
            response.complete && (!stream || response.is_complete_stream()),
            "{}",
            response.body
        );
    }
}

/// Retries must be counted by reason.
#[tokio::test]
async fn counted_retries() {
    let demo = start(1, |d| keep_endpoints(d, "glaze-oracle", 2)).await;
    let counted = |reason: &str| {
        let retries = &demo.instances[0].proxy_state.metrics.retries;
        retries.with_label_values(&[reason]).get()
    };
    demo.engines.iter().for_each(|e| {
        e.set(|f| {
            f.faulty_requests = 1;
            f.cut_after = Some(5);
        });
    });
    let response = model_request("dossier", 20, true).send(demo.instances[0].address()).await;
    assert!(response.is_complete_stream(), "{}", response.body);
    assert_eq!((counted("stream_resumed"), counted("connect_failed")), (2, 0));
    demo.engines.iter().for_each(|e| e.proxy().refuse());
    let response = model_request("dossier", 20, true).send(demo.instances[0].address()).await;
    assert_eq!(response.code(), "no_endpoint", "{}", response.body);
    assert!(counted("connect_failed") > 0);
}

/// The same faults at every engine, permanently: a stream must never end as if it were complete.
#[rstest]
#[case::truncated(|f: &mut EngineFaults| f.cut_after = Some(5))]
#[case::early_end(|f: &mut EngineFaults| f.short_end = Some(5))]
#[case::stalled(|f: &mut EngineFaults| f.stall_after = Some(5))]
#[tokio::test]
async fn permanent_fault(
    #[case] fault: fn(&mut EngineFaults),
    #[values(true, false)] stream: bool,
) {
    let demo = start(1, |d| keep_endpoints(d, "glaze-oracle", 2)).await;
    demo.engines.iter().for_each(|e| e.set(fault));
    let response = model_request("dossier", 200, stream).send(demo.instances[0].address()).await;
    if stream {
        assert!(!response.complete && !response.body.contains("[DONE]"), "{}", response.body);
        assert!(response.body.contains("\"run\":\"unknown\""), "{}", response.body);
        assert!(expected_text("dossier", 200).starts_with(&response.text()));
    } else {
        assert_eq!((response.status.as_u16(), response.run().as_str()), (502, "unknown"));
    }
}

/// Surplus bytes after a response must not become part of the next response on the connection.
#[tokio::test]
async fn surplus_bytes() {
    let demo = start(1, |d| keep_endpoints(d, "order-desk", 1)).await;
    let to = demo.instances[0].address();
    let junk = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\njunk";
    demo.services[0].proxy().set(|f| f.append = junk.to_vec());
    for i in 0..6 {
        let path = format!("/catalogue/{i}");
        let response = HttpRequest::new("GET", &path, "").without_key().send(to).await;
        assert!(!response.body.contains("junk"), "{}", response.body);
    }
}

/// A truncated response must not be forwarded as complete.
#[tokio::test]
async fn truncated_response() {
    let demo = start(1, |d| keep_endpoints(d, "order-desk", 1)).await;
    demo.services[0].proxy().set(|f| f.cut_after = Some(40));
    let response =
        HttpRequest::new("POST", "/orders/7", "{}").send(demo.instances[0].address()).await;
    assert_eq!(
        (response.status.as_u16(), response.run().as_str()),
        (502, "unknown"),
        "{}",
        response.body
    );
}
