//! One request that crashes engines takes down at most two; its neighbours are answered.

mod support;

use {
    agate_cli::demo::Demo,
    support::{answer, ask, keep, start, until},
};

const POISON: &str = "poison";

async fn poisoned(engines: usize) -> Demo {
    let demo = start(1, |d| keep(d, "glaze-oracle", engines)).await;
    demo.engines.iter().for_each(|e| e.set(|f| f.crash_mark = Some(POISON.into())));
    demo
}

fn crashes(demo: &Demo) -> u64 {
    demo.engines.iter().map(|e| e.crashes()).sum()
}

#[tokio::test]
async fn resent_often() {
    let demo = poisoned(5).await;
    for _ in 0..4 {
        let reply = ask(POISON, 10, false).send(demo.instances[0].address()).await;
        assert_eq!(reply.code(), "request_quarantined", "{}", reply.body);
    }
    assert_eq!(crashes(&demo), 2);
    let reply = ask("good", 10, false).send(demo.instances[0].address()).await;
    assert_eq!(reply.text(), answer("good", 10));
}

#[tokio::test]
async fn answered_neighbours() {
    let demo = poisoned(4).await;
    let to = demo.instances[0].address();
    let texts: Vec<String> = (0..24).map(|i| format!("neighbour {i}")).collect();
    let calls = texts.iter().map(|t| ask(t, 200, false).send(to));
    let neighbours: Vec<_> = calls.map(tokio::spawn).collect();
    let running = || demo.engines.iter().map(|e| e.load().running).sum::<usize>();
    until("the neighbours run", || running() == 24).await;
    let reply = ask(POISON, 10, false).send(to).await;
    assert_eq!(reply.code(), "request_quarantined", "{}", reply.body);
    assert_eq!(crashes(&demo), 2);
    for (text, reply) in texts.iter().zip(neighbours) {
        let reply = reply.await.expect("the neighbour gets a reply");
        assert_eq!(reply.text(), answer(text, 200), "{}", reply.body);
    }
}

/// Guards against taking copies of one request, in flight at engines that end together, for a request
/// that crashes them.
#[tokio::test]
async fn copies_end_together() {
    let demo = start(1, |d| keep(d, "glaze-oracle", 4)).await;
    let to = demo.instances[0].address();
    let calls = (0..16).map(|_| ask("popular", 200, false).send(to));
    let copies: Vec<_> = calls.map(tokio::spawn).collect();
    let busy = || demo.engines.iter().filter(|e| e.load().running > 0).count();
    until("copies run at two engines", || busy() >= 2).await;
    demo.engines.iter().filter(|e| e.load().running > 0).for_each(|e| e.crash());
    for copy in copies {
        let reply = copy.await.expect("the copy gets a reply");
        assert_ne!(reply.code(), "request_quarantined", "{}", reply.body);
    }
    demo.engines.iter().for_each(|e| e.restart());
    let reply = ask("popular", 10, false).send(to).await;
    assert_eq!(reply.text(), answer("popular", 10), "{}", reply.body);
}

/// Another organisation's equal request is another request.
#[tokio::test]
async fn other_organisation() {
    let demo = poisoned(3).await;
    let to = demo.instances[0].address();
    ask(POISON, 10, false).send(to).await;
    demo.engines.iter().for_each(|e| {
        e.set(|f| f.crash_mark = None);
        e.restart();
    });
    let reply = ask(POISON, 10, false).send(to).await;
    assert_eq!(reply.code(), "request_quarantined");
    let other = ask(POISON, 10, false).header("authorization", "Bearer demo-kolga-key");
    assert_eq!(other.send(to).await.text(), answer(POISON, 10));
}
