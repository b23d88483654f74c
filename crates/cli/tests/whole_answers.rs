//! Every caller gets the whole answer to its own request, or an error that cannot pass for one.

mod support;

use {
    agate_standin::EngineFaults,
    rstest::rstest,
    std::time::Duration,
    support::{Call, answer, ask, keep, start},
};

#[rstest]
#[case::stream(true)]
#[case::whole(false)]
#[tokio::test]
async fn plain_answer(#[case] stream: bool) {
    let demo = start(1, |_| {}).await;
    let reply = ask("does it match?", 12, stream).send(demo.instances[0].address()).await;
    assert_eq!(reply.text(), answer("does it match?", 12));
    assert!(reply.whole && (!stream || reply.ended()));
}

/// One shot of each fault at every engine: the request is answered whole from elsewhere.
#[rstest]
#[case::cut(|f: &mut EngineFaults| f.cut_after = Some(5))]
#[case::short(|f: &mut EngineFaults| f.short_end = Some(5))]
#[case::stalled(|f: &mut EngineFaults| f.stall_after = Some(5))]
#[case::crossed(|f: &mut EngineFaults| f.wrong_id = true)]
#[case::refused(|f: &mut EngineFaults| f.not_run = true)]
#[case::late(|f: &mut EngineFaults| f.late_reply = Duration::from_millis(200))]
#[tokio::test]
async fn broken_once(#[case] fault: fn(&mut EngineFaults), #[values(true, false)] stream: bool) {
    let demo = start(1, |d| keep(d, "glaze-oracle", 2)).await;
    demo.engines[0].set(|f| {
        f.shots = 1;
        fault(f);
    });
    for _ in 0..4 {
        let reply = ask("dossier", 20, stream).send(demo.instances[0].address()).await;
        assert_eq!(reply.text(), answer("dossier", 20), "{}", reply.body);
        assert!(reply.whole && (!stream || reply.ended()), "{}", reply.body);
    }
}

/// Retries are counted by their reasons.
#[tokio::test]
async fn counted_retries() {
    let demo = start(1, |d| keep(d, "glaze-oracle", 2)).await;
    let counted = |reason: &str| {
        let retries = &demo.instances[0].gate.meter.retries;
        retries.with_label_values(&[reason]).get()
    };
    demo.engines.iter().for_each(|e| {
        e.set(|f| {
            f.shots = 1;
            f.cut_after = Some(5);
        });
    });
    let reply = ask("dossier", 20, true).send(demo.instances[0].address()).await;
    assert!(reply.ended(), "{}", reply.body);
    assert_eq!((counted("stream_resumed"), counted("connect_failed")), (2, 0));
    demo.engines.iter().for_each(|e| e.tap().refuse());
    let reply = ask("dossier", 20, true).send(demo.instances[0].address()).await;
    assert_eq!(reply.code(), "no_endpoint", "{}", reply.body);
    assert!(counted("connect_failed") > 0);
}

/// The same faults without end: never a clean short end.
#[rstest]
#[case::cut(|f: &mut EngineFaults| f.cut_after = Some(5))]
#[case::short(|f: &mut EngineFaults| f.short_end = Some(5))]
#[case::stalled(|f: &mut EngineFaults| f.stall_after = Some(5))]
#[tokio::test]
async fn broken_always(#[case] fault: fn(&mut EngineFaults), #[values(true, false)] stream: bool) {
    let demo = start(1, |d| keep(d, "glaze-oracle", 2)).await;
    demo.engines.iter().for_each(|e| e.set(fault));
    let reply = ask("dossier", 200, stream).send(demo.instances[0].address()).await;
    if stream {
        assert!(!reply.whole && !reply.body.contains("[DONE]"), "{}", reply.body);
        assert!(reply.body.contains("\"run\":\"unknown\""), "{}", reply.body);
        assert!(answer("dossier", 200).starts_with(&reply.text()));
    } else {
        assert_eq!((reply.status.as_u16(), reply.run().as_str()), (502, "unknown"));
    }
}

/// Bytes after a reply must not become part of the next one on the connection.
#[tokio::test]
async fn extra_bytes() {
    let demo = start(1, |d| keep(d, "order-desk", 1)).await;
    let to = demo.instances[0].address();
    let junk = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\njunk";
    demo.services[0].tap().set(|f| f.append = junk.to_vec());
    for i in 0..6 {
        let path = format!("/catalogue/{i}");
        let reply = Call::new("GET", &path, "").unkeyed().send(to).await;
        assert!(!reply.body.contains("junk"), "{}", reply.body);
    }
}

/// A reply cut in its middle is not handed on as whole.
#[tokio::test]
async fn cut_reply() {
    let demo = start(1, |d| keep(d, "order-desk", 1)).await;
    demo.services[0].tap().set(|f| f.cut_after = Some(40));
    let reply = Call::new("POST", "/orders/7", "{}").send(demo.instances[0].address()).await;
    assert_eq!((reply.status.as_u16(), reply.run().as_str()), (502, "unknown"), "{}", reply.body);
}
