//! Case 9: workers crash twice, and are of a newer version when they start again under their ids.

use {
    crate::{
        http::{self, Answer},
        site::{self, Folder, HOST, KEY, Process, Record, WorkerSpec},
        store::Store,
    },
    serde_json::json,
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const WORKERS: usize = 12;
/// Workers that crash.
const CRASHING: usize = 2;
const INSTANCES: usize = 6;
/// Time between two new streams.
const PAUSE: Duration = Duration::from_millis(12);
/// Events of a stream, one each 40 ms.
const EVENTS: usize = 40;
/// Time between their crashes.
const UP: Duration = Duration::from_millis(980);
/// Number of their crashes.
const DOWNS: usize = 2;
const DEADLINE: Duration = Duration::from_secs(5);

/// What a client saw of a stream.
struct Seen {
    id: String,
    status: u16,
    complete: bool,
    body: String,
}

pub fn run() -> ! {
    let out =
        PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| site::cannot_run("no folder")));
    let record = Record::open(&out.join("record.txt"));
    let folder = Folder::create("9");
    let broken = play(&record, &folder);
    drop(folder);
    exit(i32::from(broken))
}

fn play(record: &Record, folder: &Folder) -> bool {
    let store = Store::start();
    let services = [json!({"name": "oracle", "healthPath": "/health", "maxConns": 570})];
    let more = json!({"attempts": 3, "resumable": true, "gapTargetMs": 150});
    let routes = [site::route("model", "stream", "oracle", 5_000, more)];
    store.put("op/config", &site::config(7, &routes, &services));
    let mut workers: Vec<(WorkerSpec, TcpListener, Process)> = Vec::new();
    for number in 0..WORKERS {
        let spec = WorkerSpec {
            name: format!("i-7f3a91{number:02}"),
            service: "oracle".into(),
            version: "v1".into(),
            stage: String::new(),
            zone: "a".into(),
            token_us: 0,
            boot_ms: 20,
            chunked: true,
            slots: "",
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let process = site::worker(folder, &store, &spec, &listener);
        workers.push((spec, listener, process));
    }
    let terms = "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform";
    let instances: Vec<_> = (1..=INSTANCES)
        .map(|n| site::instance(folder, &store, &format!("front-a-{n}"), terms))
        .collect();
    site::wait_ready(&instances);
    thread::sleep(Duration::from_secs(5));
    record.line("the instances are ready; the streams begin");
    let bodies: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let addresses: Vec<SocketAddr> = instances.iter().map(|i| i.listen).collect();
    let (sink, stop) = (bodies.clone(), Arc::new(Mutex::new(false)));
    let stopped = stop.clone();
    let source = thread::spawn(move || {
        let mut open = Vec::new();
        for index in 0.. {
            if *stopped.lock().expect("not poisoned") {
                break;
            }
            let (address, sink) = (addresses[index % addresses.len()], sink.clone());
            open.push(thread::spawn(move || {
                let id = format!("{index:016x}");
                let answer = ask(address, &id);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let Answer { status, complete, .. } = answer;
                sink.lock().expect("not poisoned").push(Seen { id, status, complete, body });
            }));
            thread::sleep(PAUSE);
        }
        open.into_iter().for_each(|t| t.join().expect("a client"));
    });
    thread::sleep(Duration::from_secs(3));
    if site::trouble() {
        for down in 0..DOWNS {
            for (spec, listener, process) in &mut workers[..CRASHING] {
                process.0.kill().expect("a running worker");
                process.0.wait().expect("a worker");
                spec.version = "v2".into();
                *process = site::worker(folder, &store, spec, listener);
                record.line(&format!(
                    "worker {} crashed and was started again, now of v2 ({down})",
                    spec.name
                ));
            }
            thread::sleep(UP);
        }
    }
    thread::sleep(Duration::from_secs(2));
    *stop.lock().expect("not poisoned") = true;
    source.join().expect("the clients");
    let bodies = bodies.lock().expect("not poisoned");
    let (mut whole, mut mixed) = (0, 0);
    for Seen { id, status, complete, body } in bodies.iter() {
        let (first, second) = (body.contains("data: v1 "), body.contains("data: v2 "));
        mixed += usize::from(first && second);
        whole += usize::from(*complete && body.matches("id: ").count() == EVENTS);
        let text = if first && second { "EVENTS OF TWO VERSIONS" } else { "of one version" };
        let events: Vec<&str> =
            body.lines().filter_map(|l| l.strip_prefix("data: ")).map(|l| &l[..2]).collect();
        record.line(&format!(
            "stream {id} status {status} complete {complete} {}: {text}",
            events.concat()
        ));
    }
    for (spec, ..) in &workers[..CRASHING] {
        for line in site::runs(folder, &spec.name) {
            record.line(&format!("worker {}: {line}", spec.name));
        }
    }
    let text = format!("streams {} whole {whole} of two versions {mixed}", bodies.len());
    record.line(&text);
    println!("{text}");
    if whole < 100 {
        site::cannot_run("too few streams were served");
    }
    mixed > 2
}

fn ask(address: SocketAddr, id: &str) -> Answer {
    let prefix = format!("{}:220", &id[8..]);
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Counts", "220,40"),
        ("Prompt-Prefix", &prefix),
        ("Deadline-Ms", "5000"),
        ("Api-Key", KEY),
    ];
    let path = format!("/model/2f?events={EVENTS}");
    http::call(address, "POST", &path, &headers, id.as_bytes(), DEADLINE)
}
