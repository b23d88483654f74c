//! Model requests that have a message in common and crash the engines that run them are quarantined by
//! that message, while requests with all other messages are served.

mod support;

use {
    agate_cli::demo::Demo,
    std::time::{Duration, Instant},
    support::{HttpRequest, keep_endpoints, start},
    tokio::{task::JoinSet, time::sleep},
};

const POISON: &str = "poison";
/// Message that all requests share.
const SHARED: &str = "You are a helpful assistant.";
/// Interval between two requests with the crashing message.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which they are sent.
const RUN_TIME: Duration = Duration::from_secs(8);
/// Time after a crash at which an engine restarts.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Crash after which a message has to be quarantined, according to the operators.
const LIMIT_CRASH: usize = 5;
/// Time after that crash from which requests with the message are late, according to the operators.
const QUARANTINE_TIME: Duration = Duration::from_secs(3);
/// Maximum number of late crashes, according to the operators.
const MAX_LATE_CRASHES: usize = 3;

/// A request with these messages.
fn request(messages: &[&str]) -> HttpRequest {
    let messages: Vec<_> =
        messages.iter().map(|m| serde_json::json!({"role": "user", "content": m})).collect();
    let body = serde_json::json!({"model": "tile-match", "messages": messages, "max_tokens": 10});
    HttpRequest::new("POST", "/v1/chat/completions", body.to_string())
}

/// Restarts crashed engines and records the times of crashes.
async fn watch(demo: &Demo, end: Instant) -> Vec<Instant> {
    let mut crashes = Vec::new();
    let mut known = vec![0; demo.engines.len()];
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < end {
        for (i, engine) in demo.engines.iter().enumerate() {
            if engine.crashes() > known[i] {
                known[i] = engine.crashes();
                crashes.push(Instant::now());
                restarts.push((i, Instant::now() + RESTART_DELAY));
            }
        }
        restarts.retain(|(i, at)| {
            let due = Instant::now() >= *at;
            if due {
                demo.engines[*i].restart();
            }
            !due
        });
        sleep(Duration::from_millis(5)).await;
    }
    crashes
}

/// Guards against forwarding ever new requests with a message that crashes each engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shared_message() {
    let demo = start(2, |d| keep_endpoints(d, "glaze-oracle", 6)).await;
    demo.engines.iter().for_each(|e| e.set(|f| f.crash_text = Some(POISON.into())));
    let addresses: Vec<_> = demo.instances.iter().map(|i| i.address()).collect();
    let end = Instant::now() + RUN_TIME;
    let mut callers = JoinSet::new();
    for (round, address) in addresses.iter().copied().cycle().enumerate().take(80) {
        callers.spawn(async move {
            sleep(SEND_INTERVAL * round as u32).await;
            let own = format!("question {round}");
            let poison = request(&[SHARED, POISON, &own]).try_send(address);
            let harmless = request(&[SHARED, "harmless", &own]).try_send(address);
            let (poison, harmless) = tokio::join!(poison, harmless);
            drop(poison);
            harmless.is_ok_and(|r| r.status == 200)
        });
    }
    let crashes = watch(&demo, end).await;
    let responses = callers.join_all().await;
    let limit = crashes.get(LIMIT_CRASH - 1).map(|at| *at + QUARANTINE_TIME);
    let late = crashes.iter().filter(|at| limit.is_some_and(|limit| **at > limit)).count();
    let served = responses.iter().filter(|served| **served).count();
    println!(
        "{} crashes, {late} late, {served} of {} harmless served",
        crashes.len(),
        responses.len()
    );
    assert!(
        late <= MAX_LATE_CRASHES,
        "{late} crashes later than {QUARANTINE_TIME:?} after the fifth"
    );
    assert!(2 * served >= responses.len(), "{served} of {} harmless served", responses.len());
}
