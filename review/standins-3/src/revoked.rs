//! A key is taken away, the store comes back from a copy that still has it, and one process is restarted.

use {
    crate::{
        Outcome, Record,
        http::Reader,
        instance::{Instance, SAVIKODA},
        platform::{Store, serve_duties},
        worker::{Copies, Proxy, Worker},
    },
    serde_json::json,
    std::{
        io::{self, Write},
        net::{TcpListener, TcpStream},
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

const ZONE: &str = "harju-a";
/// Key that is taken away, and one that stays.
const KEYS: [&str; 2] = ["r26tta828m82thhkmgjq", "nirth5mgjy5rcpihhacr"];
/// Bound `revokeMs` of the site.
const REVOKE: Duration = Duration::from_millis(5000);
/// Time from the acknowledgement of the configuration to the drill.
const BEFORE_DRILL: Duration = Duration::from_millis(5500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from its return until the operator has written the configuration again.
const AGAIN: Duration = Duration::from_millis(1500);
/// Time between two requests with the key that was taken away.
const PAUSE: Duration = Duration::from_millis(20);

fn config(version: u64, keys: &[&str]) -> serde_json::Value {
    json!({"version": version,
        "routes": [{"name": "r-nn4fm5h", "host": "ficu95.example", "prefix": "/pule252/", "kind": "unsafe",
            "timeoutMs": 800, "sloMs": 300, "priority": 2, "service": "order-desk", "attempts": 1,
            "public": false, "resumable": false}],
        "services": [{"name": "order-desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1",
            "tls": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": keys, "priority": 1}]})
}

/// Sends a request with a key and returns the status of the response.
fn call(listen: &str, id: &str, key: &str) -> io::Result<u16> {
    let mut io = TcpStream::connect(listen)?;
    io.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "POST /pule252/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\ndeadline-ms: 1500\r\n\
         api-key: {key}\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok"
    );
    io.write_all(head.as_bytes())?;
    Ok(Reader::new(io).message()?.status())
}

/// Counts statuses; 0 stands for no response.
fn show(statuses: &[u16]) -> String {
    let mut sorted = statuses.to_vec();
    sorted.sort_unstable();
    let groups = sorted.chunk_by(|a, b| a == b).map(|g| format!("{} x {}", g.len(), g[0]));
    groups.collect::<Vec<_>>().join(", ")
}

pub fn run(root: &Path, folder: &Path, trouble: bool, record: &Record) -> Outcome {
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (listener, duties) = (bind(), bind());
    let address = |l: &TcpListener| l.local_addr().expect("bound").to_string();
    let (store_address, duties_address) = (address(&listener), address(&duties));
    store.serve(listener);
    serve_duties(duties, record.clone());
    store.put("op/config", &config(7, &KEYS));
    let copies = Copies::default();
    let proxies: Vec<Proxy> = (0..2).map(|_| Proxy::bind(record)).collect();
    let start = |i: usize| {
        let name = format!("i-7f3a91c{i}");
        Worker::start(&name, "order-desk", ZONE, (&proxies[i], None, "1.4.0", 6), &copies, (&store, record))
    };
    let workers: Vec<_> = (0..2).map(start).collect();
    let mut instances = Vec::new();
    for i in 1..=3 {
        let name = format!("front-{ZONE}-{i}");
        let at = (&*store_address, &*duties_address);
        let Some(instance) = Instance::start(root, folder, (&name, ZONE), at, &SAVIKODA, record) else {
            return Outcome::NotRun;
        };
        instances.push(instance);
    }
    thread::sleep(Duration::from_secs(6));
    for (i, key) in KEYS.iter().enumerate() {
        let send = |n: usize| call(&instances[n % 3].listen, &format!("a{i}{n:02}"), key).unwrap_or(0);
        let statuses: Vec<u16> = (0..12).map(send).collect();
        record.line(&format!("before: key {}: {}", i + 1, show(&statuses)));
        if statuses.iter().any(|s| *s != 200) {
            return Outcome::NotRun;
        }
    }
    let copy = store.copy();
    thread::sleep(Duration::from_millis(200));
    store.put("op/config", &config(8, &KEYS[1..]));
    let acknowledged = Instant::now();
    record.line("the store acknowledges version 8, which takes key 1 away");
    thread::sleep(Duration::from_secs(3));
    let send = |n: usize| call(&instances[n % 3].listen, &format!("b{n:02}"), KEYS[0]).unwrap_or(0);
    let statuses: Vec<u16> = (0..12).map(send).collect();
    record.line(&format!("3 s later: key 1: {}", show(&statuses)));
    thread::sleep(BEFORE_DRILL.saturating_sub(acknowledged.elapsed()));
    if trouble {
        record.line("the store is away");
        store.go_away();
    }
    thread::sleep(AWAY);
    if trouble {
        store.come_back(&copy);
        let age = acknowledged.elapsed().as_millis() + 200;
        record.line(&format!("the store is back from a copy that is {age} ms old, in its next era"));
        let operator = store.clone();
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(AGAIN);
            operator.put("op/config", &config(8, &KEYS[1..]));
            record.line("the operator has written version 8 again");
        });
    }
    if !instances[2].restart(record) {
        return Outcome::NotRun;
    }
    let mut calls = Vec::new();
    let begun = Instant::now();
    for n in 0.. {
        if begun.elapsed() > Duration::from_secs(3) {
            break;
        }
        thread::sleep(PAUSE);
        for (i, instance) in instances.iter().enumerate() {
            let (listen, id) = (instance.listen.clone(), format!("c{}-{n:03}", i + 1));
            calls.push((i, thread::spawn(move || call(&listen, &id, KEYS[0]).unwrap_or(0))));
        }
    }
    let mut statuses = vec![Vec::new(); instances.len()];
    for (i, call) in calls {
        statuses[i].push(call.join().unwrap_or(0));
    }
    for (i, statuses) in statuses.iter().enumerate() {
        record.line(&format!("after: key 1 at {}: {}", instances[i].name, show(statuses)));
    }
    let mut ran = 0;
    for worker in &workers {
        for (at, id) in worker.arrivals.lock().expect("not poisoned").iter() {
            if id.starts_with('c') && at.saturating_duration_since(acknowledged) > REVOKE {
                ran += 1;
                if ran <= 5 {
                    let after = at.saturating_duration_since(acknowledged).as_millis();
                    record.line(&format!("worker {} ran id={id}, {after} ms after version 8", worker.name));
                }
            }
        }
    }
    record.line(&format!(
        "{ran} requests ran that were sent with key 1 later than {} ms after its removal was acknowledged",
        REVOKE.as_millis()
    ));
    if ran > 0 { Outcome::Broken } else { Outcome::Held }
}
