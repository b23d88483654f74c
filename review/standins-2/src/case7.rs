//! Case 7: the spot workers of a zone are reclaimed, and streams are moved off them while moves of memory are
//! slow.

use {
    crate::{
        http,
        site::{self, Folder, HOST, KEY, Process, Record, WorkerSpec},
        store::Store,
        worker::{EVENTS, PROMPT, stream_body},
    },
    serde_json::json,
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::exit,
        thread,
        time::Duration,
    },
};

/// Workers that decode in the zone that is reclaimed.
const RECLAIMED: usize = 2;
/// Workers that decode in the other zone.
const KEPT: usize = 4;
/// Workers of the other zone that prefill.
const PREFILL: usize = 2;
/// Streams.
const STREAMS: usize = 16;
/// Time that the memory of one token takes the link: 262,144 bytes at 16 Gbit/s.
const TOKEN_US: u64 = 131;
/// How many times as long moves take while they are slow.
const SLOW: u64 = 8;
/// Time from the notice to the end of a reclaimed worker.
const NOTICE: Duration = Duration::from_millis(2_500);
const DEADLINE: Duration = Duration::from_secs(15);

pub fn run() -> ! {
    let out =
        PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| site::cannot_run("no folder")));
    let record = Record::open(&out.join("record.txt"));
    let folder = Folder::create("7");
    let broken = play(&record, &folder);
    drop(folder);
    exit(i32::from(broken))
}

fn play(record: &Record, folder: &Folder) -> bool {
    let store = Store::start();
    let services = [json!({"name": "oracle", "healthPath": "/health", "maxConns": 570,
        "engine": {"slots": 12, "kvTokens": 317_000, "kvBytes": 262_144, "linkMbps": 16_000.0,
            "handleTtlS": 5.0, "switchS": 3.0, "moves": true}})];
    let more = json!({"attempts": 1, "sticky": true, "gapTargetMs": 150});
    let routes = [site::route("model", "stream", "oracle", 15_000, more)];
    store.put("op/config", &site::config(7, &routes, &services));
    let mut workers: Vec<(WorkerSpec, TcpListener, Process)> = Vec::new();
    for number in 0..RECLAIMED + KEPT + PREFILL {
        let reclaimed = number < RECLAIMED;
        let slow = if reclaimed && site::trouble() { SLOW } else { 1 };
        let spec = WorkerSpec {
            name: format!("i-7f3a91c{number}"),
            service: "oracle".into(),
            version: "v1".into(),
            stage: if number < RECLAIMED + KEPT { "decode" } else { "prefill" }.into(),
            zone: if reclaimed { "a" } else { "b" }.into(),
            token_us: TOKEN_US * slow,
            boot_ms: 0,
            chunked: false,
            slots: "",
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let process = site::worker(folder, &store, &spec, &listener);
        workers.push((spec, listener, process));
    }
    let terms = "base,drain,config,cost,retry,recover,health,pool,split,stream,engine,tenants,leader,\
                 pressure,platform";
    let instances: Vec<_> =
        ["front-a-1", "front-a-2"].map(|name| site::instance(folder, &store, name, terms)).into();
    site::wait_ready(&instances);
    thread::sleep(Duration::from_secs(10));
    record.line("the instances are ready; the streams begin");
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (address, record) = (instances[number % instances.len()].listen, record.clone());
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || client(number, address, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    for (spec, listener, _) in &workers[..RECLAIMED] {
        let address = listener.local_addr().expect("an address");
        http::call(address, "POST", "/drain", &[], b"", Duration::from_secs(1));
        record.line(&format!("worker {} is reclaimed", spec.name));
    }
    thread::sleep(NOTICE);
    for (spec, listener, process) in workers.drain(..RECLAIMED) {
        drop((listener, process));
        record.line(&format!("worker {} is gone", spec.name));
    }
    let answers: Vec<(bool, bool)> =
        clients.into_iter().map(|c| c.join().expect("a client")).collect();
    for number in 0..RECLAIMED + KEPT + PREFILL {
        let name = format!("i-7f3a91c{number}");
        for line in site::runs(folder, &name) {
            record.line(&format!("worker {name}: {line}"));
        }
    }
    let whole = answers.iter().filter(|(complete, whole)| *complete && *whole).count();
    let short = answers.iter().filter(|(complete, whole)| *complete && !*whole).count();
    let text = format!("whole {whole} short {short} broken off {}", STREAMS - whole - short);
    record.line(&text);
    println!("{text}");
    short > 0
}

/// Sends one request; returns whether its stream ended as complete, and whether it is whole.
fn client(number: usize, address: SocketAddr, record: &Record) -> (bool, bool) {
    let id = format!("9c41d07be2a3{number:04x}");
    let (counts, prefix) = (format!("{PROMPT},{EVENTS}"), format!("5c1e{number:04x}:{PROMPT}"));
    let headers = [
        ("Host", HOST),
        ("Request-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Counts", &counts),
        ("Prompt-Prefix", &prefix),
        ("Deadline-Ms", "15000"),
        ("Api-Key", KEY),
    ];
    let answer = http::call(address, "POST", "/model/2f", &headers, b"question", DEADLINE);
    let whole = answer.body == stream_body().as_bytes();
    let text = match (answer.complete, whole) {
        (true, true) => "whole",
        (true, false) => "COMPLETE BUT SHORT",
        (false, _) => "broken off",
    };
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    record.line(&format!(
        "client {number}: stream {id} status {} events {events} of {EVENTS}: {text}",
        answer.status
    ));
    (answer.status == 200 && answer.complete, whole)
}
