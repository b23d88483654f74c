//! Case 8: a key was taken away; later the store comes back from a copy that still has it, while an instance
//! starts again.

use {
    crate::{
        http,
        site::{self, Folder, HOST, KEY, Process, Record, WorkerSpec},
        store::Store,
    },
    serde_json::json,
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Key that is taken away.
const REVOKED: &str = "7c0wq1zexd3kkn5rtvba";
/// Bound `revokeMs`.
const REVOKE_BOUND: Duration = Duration::from_millis(5_000);
const WORKERS: usize = 4;
/// Time from the acknowledgement of the new configuration to the drill.
const SINCE_REVOKED: Duration = Duration::from_millis(5_000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time after its return in which the operator and the workers write again what they had written.
const REWRITE: Duration = Duration::from_millis(1_000);
/// Time until a killed process is started again.
const RESTART: Duration = Duration::from_millis(600);

pub fn run() -> ! {
    let out =
        PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| site::cannot_run("no folder")));
    let record = Record::open(&out.join("record.txt"));
    let folder = Folder::create("8");
    let broken = play(&record, &folder);
    drop(folder);
    exit(i32::from(broken))
}

/// A request with the key that is taken away.
struct Sent {
    at: Instant,
    status: u16,
}

fn play(record: &Record, folder: &Folder) -> bool {
    let store = Store::start();
    let services = [json!({"name": "desk", "healthPath": "/health", "maxConns": 110})];
    let routes = [site::route("safe", "safe", "desk", 4_000, json!({}))];
    let config = |version, keys: &[&str]| site::config_with(version, &routes, &services, keys);
    store.put("op/config", &config(7, &[KEY, REVOKED]));
    let _workers: Vec<(TcpListener, Process)> = (0..WORKERS)
        .map(|number| {
            let spec = WorkerSpec {
                name: format!("i-7f3a91c{number}"),
                service: "desk".into(),
                version: "v1".into(),
                stage: String::new(),
                zone: "a".into(),
                token_us: 0,
                boot_ms: 0,
                chunked: false,
                slots: "",
            };
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let process = site::worker(folder, &store, &spec, &listener);
            (listener, process)
        })
        .collect();
    let terms = "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform";
    let names = ["front-a-1", "front-a-2", "front-a-3"];
    let mut instances: Vec<_> =
        names.iter().map(|name| site::instance(folder, &store, name, terms)).collect();
    site::wait_ready(&instances);
    let done = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let (address, done, sent) = (instances[0].listen, done.clone(), sent.clone());
            let record = record.clone();
            thread::spawn(move || client(number, address, &done, &sent, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let copy = store.copy();
    record.line("the store is copied");
    thread::sleep(Duration::from_millis(300));
    store.put("op/config", &config(9, &[KEY]));
    let acknowledged = Instant::now();
    record.line("version 9, without the key, is acknowledged");
    thread::sleep(SINCE_REVOKED);
    if site::trouble() {
        store.set_away(true);
        instances[0].kill();
        record.line("the store is away; front-a-1 is killed");
        thread::sleep(AWAY);
        let newer = store.come_back(copy);
        record.line("the store is back from the copy");
        thread::sleep(RESTART.saturating_sub(AWAY));
        instances[0].start();
        record.line("front-a-1 is started again");
        thread::sleep(REWRITE.saturating_sub(RESTART - AWAY));
        newer.iter().for_each(|(key, value)| store.put(key, value));
        record.line("the operator and the workers have written again what they had written");
    }
    thread::sleep(Duration::from_secs(4));
    done.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let sent = sent.lock().expect("not poisoned");
    let ran = |s: &&Sent| s.status == 200;
    let before = sent.iter().filter(ran).filter(|s| s.at < acknowledged).count();
    let late = sent.iter().filter(ran).filter(|s| s.at > acknowledged + REVOKE_BOUND).count();
    let text = format!("requests with the key: served before {before}, ran over 5 s after {late}");
    record.line(&text);
    println!("{text}");
    if before == 0 {
        site::cannot_run("the key was never served");
    }
    late > 0
}

fn client(
    number: usize,
    address: SocketAddr,
    done: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    for index in 0.. {
        if done.load(SeqCst) {
            return;
        }
        let id = format!("{number:04x}{index:012x}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "1500"),
            ("Api-Key", REVOKED),
        ];
        let at = Instant::now();
        let limit = Duration::from_millis(1_500);
        let answer = http::call(address, "GET", "/safe/2f", &headers, b"", limit);
        if answer.status != 0 {
            record.line(&format!("client {number}: request {id} status {}", answer.status));
        }
        sent.lock().expect("not poisoned").push(Sent { at, status: answer.status });
        thread::sleep(Duration::from_millis(20));
    }
}
