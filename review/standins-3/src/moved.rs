//! A stream whose worker leaves is moved; the answer to the call that stops its run is lost.

use {
    crate::{
        Outcome, Record,
        http::Reader,
        instance::{Instance, TIANGUIS},
        platform::{Store, serve_duties},
        worker::{Copies, Proxy, Worker},
    },
    serde_json::json,
    std::{
        io::{self, Write},
        net::{TcpListener, TcpStream},
        path::Path,
        sync::atomic::Ordering::SeqCst,
        thread,
        time::Duration,
    },
};

/// Number of streams at the worker that leaves, about half of all.
const STREAMS: usize = 6;
/// Number of events of each.
const EVENTS: u64 = 120;
/// Time for which the instances run before the streams, longer than the window of the retry budget.
const SETTLE: Duration = Duration::from_secs(14);
const ZONE: &str = "zona-leon";

fn config() -> serde_json::Value {
    json!({"version": 7,
        "routes": [{"name": "r-nn4fm5h", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "stream",
            "timeoutMs": 15000, "sloMs": 400, "priority": 1, "service": "guia-puesto", "attempts": 1,
            "public": false, "sticky": true, "resumable": false, "gapTargetMs": 150}],
        "services": [{"name": "guia-puesto", "healthPath": "/health", "maxConns": 570, "protocol": "h1",
            "tls": false, "engine": {"slots": 12, "kvTokens": 317000, "kvBytes": 262144,
                "linkMbps": 8800000.0, "moves": true, "backups": true, "handleTtlS": 5.0, "switchS": 3.0,
                "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": ["r26tta828m82thhkmgjq"], "priority": 1}]})
}

/// What a client received of a stream.
struct Received {
    status: u16,
    /// Identifiers of its events, in order.
    events: Vec<u64>,
    /// Whether the response ended as complete.
    complete: bool,
}

/// Sends a request for a stream of `events` events and reads the response.
fn call(listen: &str, id: &str, events: u64) -> io::Result<Received> {
    let mut io = TcpStream::connect(listen)?;
    io.set_read_timeout(Some(Duration::from_secs(16)))?;
    let body = format!("question {id}");
    let head = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\nmodel: m\r\n\
         token-counts: 141,{events}\r\nprompt-prefix: 5c1e07a2:79,{id}:62\r\ndeadline-ms: 15000\r\n\
         api-key: r26tta828m82thhkmgjq\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    io.write_all(head.as_bytes())?;
    let mut reader = Reader::new(io);
    let head = reader.head()?;
    let mut received = Received { status: head.status(), events: Vec::new(), complete: false };
    if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        return Ok(received);
    }
    let mut text = Vec::new();
    loop {
        match reader.chunk() {
            Ok(Some(data)) => text.extend(data),
            Ok(None) => {
                received.complete = true;
                break;
            }
            Err(_) => break,
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let ids = text.lines().filter_map(|l| l.strip_prefix("id:")?.trim().parse().ok());
    received.events = ids.collect();
    Ok(received)
}

pub fn run(root: &Path, folder: &Path, trouble: bool, record: &Record) -> Outcome {
    let store = Store::default();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (listener, duties) = (bind(), bind());
    let address = |l: &TcpListener| l.local_addr().expect("bound").to_string();
    let (store_address, duties_address) = (address(&listener), address(&duties));
    store.serve(listener);
    serve_duties(duties, record.clone());
    store.put("op/config", &config());
    let copies = Copies::default();
    let proxies: Vec<Proxy> = (0..2).map(|_| Proxy::bind(record)).collect();
    let start = |i: usize| {
        let name = format!("i-7f3a91c{i}");
        Worker::start(&name, "guia-puesto", ZONE, (&proxies[i], Some("decode"), "1.4.0", 12), &copies, (&store, record))
    };
    let workers: Vec<_> = (0..2).map(start).collect();
    let mut instances = Vec::new();
    for i in 1..=2 {
        let name = format!("front-{ZONE}-{i}");
        let at = (&*store_address, &*duties_address);
        let Some(instance) = Instance::start(root, folder, (&name, ZONE), at, &TIANGUIS, record) else {
            return Outcome::NotRun;
        };
        instances.push(instance);
    }
    thread::sleep(SETTLE);
    // Ordinary traffic.
    for i in 0..40 {
        let instance = &instances[i % 2];
        match call(&instance.listen, &format!("a{i:03}"), 2) {
            Ok(r) if r.status == 200 && r.complete => {}
            Ok(r) => record.line(&format!("client a{i:03}: status {} events {:?}", r.status, r.events)),
            Err(e) => record.line(&format!("client a{i:03}: {e}")),
        }
    }
    let calls: Vec<_> = (0..2 * STREAMS)
        .map(|i| {
            let (listen, id) = (instances[i % 2].listen.clone(), format!("b{i:03}"));
            thread::sleep(Duration::from_millis(40));
            record.line(&format!("client {id} asks {} for a stream of {EVENTS} events", instances[i % 2].name));
            thread::spawn(move || (id.clone(), call(&listen, &id, EVENTS)))
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    if trouble {
        proxies[0].lose.store(1, SeqCst);
    }
    workers[0].leave();
    let (mut broken, mut moved) = (false, 0);
    for call in calls {
        let Ok((id, received)) = call.join() else { return Outcome::NotRun };
        let Ok(r) = received else {
            record.line(&format!("client {id}: no response"));
            continue;
        };
        let last = r.events.last().copied().unwrap_or_default();
        let gapless = r.events.iter().copied().eq(1..=last);
        record.line(&format!(
            "client {id}: status {}, {} events up to {last} of {EVENTS}, {}, {}",
            r.status,
            r.events.len(),
            if gapless { "no gap" } else { "WITH GAP OR REPETITION" },
            if r.complete { "ends as complete" } else { "broken off" },
        ));
        moved += usize::from(r.complete && last == EVENTS);
        broken |= r.status == 200 && (!gapless || r.complete && last < EVENTS);
    }
    record.line(&format!("{moved} of {} streams are whole", 2 * STREAMS));
    match (broken, moved) {
        (true, _) => Outcome::Broken,
        (false, 0) => Outcome::NotRun,
        (false, _) => Outcome::Held,
    }
}
