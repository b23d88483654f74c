//! The request path with separate processes: requests, graceful stop on a signal, and reload of
//! settings.

mod support;

use {
    nix::sys::signal::Signal,
    rstest::rstest,
    std::{net::SocketAddr, process::Command, time::Duration},
    support::{
        HttpRequest, expected_text, model_request,
        process::{Process, TempDir},
        wait_until,
    },
};

/// Time between two checks of a process that should end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks after which a process that has not ended fails the test.
const MAX_POLLS: u32 = 1500;

/// The processes of a small system with one instance.
struct System {
    instance: Process,
    address: SocketAddr,
    _others: Vec<Process>,
    files: TempDir,
}

async fn system() -> System {
    let free = "127.0.0.1:0";
    let platform = Process::spawn(&["standin", "platform", "--listen", free]);
    let gap = std::env::var("AGATETRACK_STOP_GAP").unwrap_or_else(|_| "2ms".into());
    let engine = ["standin", "engine", "--listen", free, "--model", "tile-match", "--gap", &gap];
    let engine = Process::spawn(&engine);
    let service = Process::spawn(&["standin", "service", "--listen", free]);
    let (platform_address, engine_address, service_address) = (
        platform.address("listens on").await,
        engine.address("listens on").await,
        service.address("listens on").await,
    );
    let mut document = agate_cli::demo::read(None).expect("the built-in document is valid");
    support::keep_endpoints(&mut document, "glaze-oracle", 1);
    support::keep_endpoints(&mut document, "order-desk", 1);
    for endpoint in document.fleet.endpoints.values_mut() {
        let engine = endpoint.pool == "glaze-oracle";
        endpoint.address = if engine { engine_address } else { service_address };
    }
    let files = TempDir::new();
    let write = |name: &str, text: String| files.write(name, &text);
    let document = serde_saphyr::to_string(&document).expect("documents serialise");
    let document = write("document.yaml", document);
    let to = platform_address.to_string();
    let applied = Command::new(env!("CARGO_BIN_EXE_agatetrack"))
        .args(["config", "apply", &document, "--platform", &to, "--author", "test"])
        .output()
        .expect("the binary runs");
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    let settings = format!(
        "name: entry-1\nzone: harju-a\nregion: harju\nlisten: {free}\noperator: 127.0.0.1:0\nplatform: {to}\n\
         stop: {{grace: 100ms}}\n"
    );
    let settings = write("settings.yaml", settings);
    let instance = Process::spawn(&["serve", "--settings", &settings]);
    let address = instance.address("serves callers at").await;
    System { instance, address, _others: vec![platform, engine, service], files }
}

#[tokio::test]
async fn separate_processes() {
    let system = system().await;
    let response = model_request("a question", 8, true).send(system.address).await;
    assert!(
        response.is_complete_stream() && response.text() == expected_text("a question", 8),
        "{}",
        response.body
    );
    assert_eq!(HttpRequest::new("POST", "/orders/3", "{}").send(system.address).await.status, 201);
}

/// SIGTERM must cut no request, and the process must exit without an error.
///
/// With `AGATETRACK_STOP_GAP=30ms` the stream lasts at least 45 s.
#[tokio::test]
async fn graceful_stop() {
    const TOKENS: u32 = 1500;
    let mut system = system().await;
    let body = support::model_body("long", TOKENS, true);
    let call = HttpRequest::new("POST", "/dossiers/v1/chat/completions", body);
    let stream = tokio::spawn(call.send(system.address));
    let first =
        HttpRequest::new("GET", "/catalogue/1", "").without_key().send(system.address).await;
    assert_eq!(first.status, 200);
    system.instance.signal(Signal::SIGTERM);
    let response = stream.await.expect("the caller gets a response");
    assert!(
        response.is_complete_stream() && response.text() == expected_text("long", TOKENS),
        "{}",
        response.body
    );
    let status = system.instance.child.wait().expect("the process ends");
    assert!(status.success(), "{status}");
}

/// SIGHUP must apply the settings that may change, name the others in the log, and stop nothing.
#[tokio::test]
async fn settings_reload() {
    let system = system().await;
    let path = system.files.0.join("settings.yaml");
    let first = std::fs::read_to_string(&path).expect("the settings");
    let post = || HttpRequest::new("POST", "/orders/3", "0123456789").send(system.address);
    assert_eq!(post().await.status, 201);
    let changed = first.replace("100ms", "200ms") + "limits: {body: 4}\n";
    for (text, mark) in [
        ("nonsense: 1\n", "keeping the old settings"),
        (&changed, "the change of stop needs a restart"),
        (&changed, "settings reloaded"),
    ] {
        std::fs::write(&path, text).expect("the settings");
        system.instance.signal(Signal::SIGHUP);
        wait_until("the log says so", || system.instance.printed(mark)).await;
    }
    assert_eq!(post().await.code(), "body_too_large");
    let operator = system.instance.address("serves operators at").await;
    assert_eq!(HttpRequest::new("GET", "/readyz", "").send(operator).await.status, 200);
}

/// The demo must exit on SIGINT and SIGTERM.
#[rstest]
#[case::interrupt(Signal::SIGINT)]
#[case::terminate(Signal::SIGTERM)]
#[tokio::test]
async fn demo_signals(#[case] signal: Signal) {
    let mut demo = Process::spawn(&["demo", "--listen", "127.0.0.1:0"]);
    wait_until("the demo runs", || demo.printed("Ctrl-C stops")).await;
    demo.signal(signal);
    let mut status = None;
    for _ in 0..MAX_POLLS {
        status = demo.child.try_wait().expect("the process is a child");
        if status.is_some() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}
