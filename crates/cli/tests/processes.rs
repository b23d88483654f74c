//! The path as separate processes, and graceful shutdown on a signal.

mod support;

use {
    rstest::rstest,
    std::{
        io::{BufRead, BufReader, Read},
        net::SocketAddr,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{Call, answer, ask, until},
};

/// Time between two looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(20);
/// Looks at a process that is to end before a test gives up.
const ENDING_LOOKS: u32 = 1500;

/// One child process with the address that its log names.
struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    fn spawn(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_agatetrack"))
            .args(args)
            .env("NO_COLOR", "1")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        keep_lines(child.stderr.take().expect("a piped log"), lines.clone());
        keep_lines(child.stdout.take().expect("a piped output"), lines.clone());
        Self { child, lines }
    }

    fn printed(&self, mark: &str) -> bool {
        self.lines.lock().expect("no panic while locked").iter().any(|l| l.contains(mark))
    }

    fn find(&self, mark: &str) -> Option<SocketAddr> {
        let lines = self.lines.lock().expect("no panic while locked");
        let line = lines.iter().find(|l| l.contains(mark))?;
        line.split_whitespace().find_map(|w| w.parse().ok())
    }

    async fn address(&self, mark: &str) -> SocketAddr {
        until("the process names its address", || self.find(mark).is_some()).await;
        self.find(mark).expect("just seen")
    }

    /// Sends a signal by its name.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }
}

/// Keeps what a process prints until it ends.
fn keep_lines(from: impl Read + Send + 'static, kept: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            kept.lock().expect("no panic while locked").push(line);
        }
    });
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The processes of a small system with one instance.
struct System {
    instance: Process,
    address: SocketAddr,
    _others: Vec<Process>,
    _files: tempdir::Dir,
}

/// A directory that is removed when dropped.
mod tempdir {
    use std::{fs, path::PathBuf};

    pub struct Dir(pub PathBuf);

    impl Dir {
        pub fn new() -> Self {
            let path = std::env::temp_dir().join(format!("agate-{:016x}", rand::random::<u64>()));
            fs::create_dir(&path).expect("a new directory");
            Self(path)
        }
    }

    impl Drop for Dir {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
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
    support::keep(&mut document, "glaze-oracle", 1);
    support::keep(&mut document, "order-desk", 1);
    for endpoint in document.fleet.endpoints.values_mut() {
        let engine = endpoint.pool == "glaze-oracle";
        endpoint.address = if engine { engine_address } else { service_address };
    }
    let files = tempdir::Dir::new();
    let write = |name: &str, text: String| {
        let path = files.0.join(name);
        std::fs::write(&path, text).expect("a file in the directory");
        path.to_str().expect("a printable path").to_owned()
    };
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
    System { instance, address, _others: vec![platform, engine, service], _files: files }
}

#[tokio::test]
async fn separate_processes() {
    let system = system().await;
    let reply = ask("a question", 8, true).send(system.address).await;
    assert!(reply.ended() && reply.text() == answer("a question", 8), "{}", reply.body);
    assert_eq!(Call::new("POST", "/orders/3", "{}").send(system.address).await.status, 201);
}

/// A signal to stop cuts no request, and the process ends by itself without an error.
///
/// With `AGATETRACK_STOP_GAP=30ms` the stream outlasts the server library's own limit on a shutdown.
#[tokio::test]
async fn graceful_stop() {
    const TOKENS: u32 = 1500;
    let mut system = system().await;
    let body = support::question("long", TOKENS, true);
    let call = Call::new("POST", "/dossiers/v1/chat/completions", body);
    let stream = tokio::spawn(call.send(system.address));
    let first = Call::new("GET", "/catalogue/1", "").unkeyed().send(system.address).await;
    assert_eq!(first.status, 200);
    system.instance.signal("TERM");
    let reply = stream.await.expect("the caller gets a reply");
    assert!(reply.ended() && reply.text() == answer("long", TOKENS), "{}", reply.body);
    let status = system.instance.child.wait().expect("the process ends");
    assert!(status.success(), "{status}");
}

/// The demo ends by itself on every signal to stop.
#[rstest]
#[case::interrupt("INT")]
#[case::terminate("TERM")]
#[tokio::test]
async fn demo_stops(#[case] name: &str) {
    let mut demo = Process::spawn(&["demo", "--listen", "127.0.0.1:0"]);
    until("the demo runs", || demo.printed("Ctrl-C stops")).await;
    demo.signal(name);
    let mut status = None;
    for _ in 0..ENDING_LOOKS {
        status = demo.child.try_wait().expect("the process is a child");
        if status.is_some() {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}
