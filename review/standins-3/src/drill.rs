//! A worker leaves, and the store then comes back from a copy that still has its entry.

use {
    crate::{
        Outcome, Record,
        http::Reader,
        instance::{Instance, SAVIKODA},
        platform::{Store, serve_duties},
        worker::Worker,
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
/// Bound `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time from the removal of the entry to the drill.
const BEFORE_DRILL: Duration = Duration::from_millis(4000);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from its return until the worker that left has removed its entry again.
const AGAIN: Duration = Duration::from_millis(1500);

fn config() -> serde_json::Value {
    json!({"version": 7,
        "routes": [{"name": "r-nn4fm5h", "host": "ficu95.example", "prefix": "/pule252/", "kind": "safe",
            "timeoutMs": 800, "sloMs": 300, "priority": 2, "service": "order-desk", "attempts": 2,
            "public": false, "resumable": false}],
        "services": [{"name": "order-desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1",
            "tls": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": ["r26tta828m82thhkmgjq"], "priority": 1}]})
}

/// Sends a request and returns the status of the response.
fn call(listen: &str, id: &str) -> io::Result<u16> {
    let mut io = TcpStream::connect(listen)?;
    io.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "GET /pule252/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\ndeadline-ms: 1500\r\n\
         api-key: r26tta828m82thhkmgjq\r\nconnection: close\r\n\r\n"
    );
    io.write_all(head.as_bytes())?;
    Ok(Reader::new(io).message()?.status())
}

/// Sends `count` requests to the instances in turn, one each `pause`.
fn traffic(instances: &[Instance], prefix: &str, count: usize, pause: Duration, record: &Record) {
    let send = |i: usize| {
        let (listen, id) =
            (instances[i % instances.len()].listen.clone(), format!("{prefix}{i:03}"));
        thread::sleep(pause);
        thread::spawn(move || call(&listen, &id).unwrap_or(0))
    };
    let calls: Vec<_> = (0..count).map(send).collect();
    let statuses: Vec<u16> = calls.into_iter().filter_map(|c| c.join().ok()).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    record.line(&format!("clients {prefix}: {served} of {count} requests are served"));
}

pub fn run(root: &Path, folder: &Path, trouble: bool, record: &Record) -> Outcome {
    let store = Store::with_era(1);
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (listener, duties) = (bind(), bind());
    let address = |l: &TcpListener| l.local_addr().expect("bound").to_string();
    let (store_address, duties_address) = (address(&listener), address(&duties));
    store.serve(listener);
    serve_duties(duties, record.clone());
    store.put("op/config", &config());
    let start =
        |i: usize| Worker::start(&format!("i-7f3a91c{i}"), "order-desk", ZONE, &store, record);
    let workers: Vec<_> = (0..4).map(start).collect();
    let mut instances = Vec::new();
    for i in 1..=2 {
        let name = format!("front-{ZONE}-{i}");
        let at = (&*store_address, &*duties_address);
        let Some(instance) = Instance::start(root, folder, (&name, ZONE), at, &SAVIKODA, record)
        else {
            return Outcome::NotRun;
        };
        instances.push(instance);
    }
    thread::sleep(Duration::from_secs(6));
    traffic(&instances, "a", 100, Duration::from_millis(40), record);
    let leaver = &workers[0];
    let count = || leaver.arrivals.lock().expect("not poisoned").len();
    let before = count();
    record.line(&format!("{before} requests have reached worker {}", leaver.name));
    if before == 0 {
        return Outcome::NotRun;
    }
    // No client sends anything for a while.
    thread::sleep(Duration::from_secs(1));
    let copy = store.copy();
    let left = Instant::now();
    leaver.leave_unreported();
    thread::sleep(BEFORE_DRILL);
    let key = format!("servers/{}", leaver.name);
    let reads = store.reads_since(left);
    let without = reads.iter().filter(|(_, keys)| !keys.contains(&key)).count();
    record.line(&format!(
        "since then the store has answered {} reads of the workers to the instances, {without} of them without it, the first after {} ms",
        reads.len(),
        reads.first().map_or(0, |(at, _)| (*at - left).as_millis())
    ));
    if trouble {
        record.line("the store is away");
        store.go_away();
    }
    thread::sleep(AWAY);
    if trouble {
        store.come_back(&copy);
        let age = left.elapsed().as_millis();
        record
            .line(&format!("the store is back from a copy that is {age} ms old, in its next era"));
        let again = leaver.clone();
        thread::spawn(move || {
            thread::sleep(AGAIN);
            again.remove_again();
        });
    }
    traffic(&instances, "b", 200, Duration::from_millis(20), record);
    let arrivals = leaver.arrivals.lock().expect("not poisoned");
    let late = arrivals.iter().filter(|(at, _)| at.saturating_duration_since(left) > DRAIN).count();
    record.line(&format!(
        "{late} requests reached worker {} later than {} ms after the store acknowledged that it is gone",
        leaver.name,
        DRAIN.as_millis()
    ));
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}
