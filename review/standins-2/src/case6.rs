//! Case 6: a worker crashes amid answers that end with their connections, and is back at once under its id.

use {
    crate::{
        http,
        site::{self, Folder, HOST, KEY, Process, Record, WorkerSpec},
        store::Store,
        worker::plain_body,
    },
    serde_json::json,
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::exit,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

/// Workers of the service; one of them crashes, once.
const WORKERS: usize = 6;
const CLIENTS: usize = 36;
/// Time until the worker serves again after its crash.
const BOOT_MS: u64 = 100;
/// Time that a client gives a request.
const DEADLINE: Duration = Duration::from_millis(4_000);
const LEAD: Duration = Duration::from_secs(6);
const REST: Duration = Duration::from_secs(6);

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    short: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

pub fn run() -> ! {
    let out =
        PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| site::cannot_run("no folder")));
    let record = Record::open(&out.join("record.txt"));
    let folder = Folder::create("6");
    let broken = play(&record, &folder);
    drop(folder);
    exit(i32::from(broken))
}

fn play(record: &Record, folder: &Folder) -> bool {
    let store = Store::start();
    let services = [json!({"name": "desk", "healthPath": "/health", "maxConns": 110})];
    let routes = [
        site::route("unsafe", "unsafe", "desk", 4_000, json!({"attempts": 1})),
        site::route("safe", "safe", "desk", 4_000, json!({})),
    ];
    store.put("op/config", &site::config(7, &routes, &services));
    let mut workers: Vec<(WorkerSpec, TcpListener, Process)> = Vec::new();
    for number in 0..WORKERS {
        let spec = WorkerSpec {
            name: format!("i-7f3a91c{number}"),
            service: "desk".into(),
            version: "v1".into(),
            stage: String::new(),
            zone: "a".into(),
            token_us: 0,
            boot_ms: BOOT_MS,
            chunked: false,
            slots: "",
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let process = site::worker(folder, &store, &spec, &listener);
        workers.push((spec, listener, process));
    }
    let terms = "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform";
    let instances: Vec<_> =
        ["front-a-1", "front-a-2"].map(|name| site::instance(folder, &store, name, terms)).into();
    site::wait_ready(&instances);
    record.line("the instances are ready; clients begin");
    let (done, counts) = (Arc::new(AtomicBool::new(false)), Arc::<Counts>::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = instances[number % instances.len()].listen;
            let (done, counts, record) = (done.clone(), counts.clone(), record.clone());
            thread::spawn(move || client(number, address, &done, &counts, &record))
        })
        .collect();
    thread::sleep(LEAD);
    if site::trouble() {
        let (spec, listener, process) = &mut workers[0];
        process.0.kill().expect("a running worker");
        process.0.wait().expect("a worker");
        record.line(&format!("worker {} crashed", spec.name));
        *process = site::worker(folder, &store, spec, listener);
        record.line(&format!("worker {} was started again under its id", spec.name));
    }
    thread::sleep(REST);
    done.store(true, SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    for (spec, ..) in &workers {
        for line in site::runs(folder, &spec.name) {
            record.line(&format!("worker {}: {line}", spec.name));
        }
    }
    let count = |n: &AtomicU64| n.load(SeqCst);
    let short = count(&counts.short);
    record.line(&format!(
        "whole {} short {short} refused {} failed {}",
        count(&counts.whole),
        count(&counts.refused),
        count(&counts.failed)
    ));
    if count(&counts.whole) < 100 {
        site::cannot_run("too few requests were served");
    }
    println!("whole {} short {short}", count(&counts.whole));
    short > 0
}

fn client(number: usize, address: SocketAddr, done: &AtomicBool, counts: &Counts, record: &Record) {
    for index in 0.. {
        if done.load(SeqCst) {
            return;
        }
        let id = format!("{number:04x}{index:012x}");
        let route = if (number + index) % 4 == 3 { "safe" } else { "unsafe" };
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "4000"),
            ("Api-Key", KEY),
        ];
        let answer =
            http::call(address, "POST", &format!("/{route}/2f"), &headers, b"booking", DEADLINE);
        let whole = answer.body == plain_body(&id).as_bytes();
        let (count, text) = match answer.status {
            200 if answer.complete && whole => (&counts.whole, "whole"),
            200 if answer.complete => (&counts.short, "COMPLETE BUT SHORT"),
            429 | 503 => (&counts.refused, "refused"),
            _ => (&counts.failed, "failed"),
        };
        count.fetch_add(1, SeqCst);
        record.line(&format!(
            "client {number}: {route} {id} status {} complete {} bytes {} of {}: {text}",
            answer.status,
            answer.complete,
            answer.body.len(),
            plain_body(&id).len()
        ));
        // Clients are not in step with each other.
        thread::sleep(Duration::from_millis(5 + (number as u64 * 37 + index as u64 * 61) % 90));
    }
}
