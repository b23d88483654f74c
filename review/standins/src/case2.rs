//! The only worker of one software version crashes for 3 s; meanwhile all machines are killed at the same
//! moment and start again. Clients take up their streams and name the request that began them.

use {
    crate::{
        http::{self, Request},
        machine::{Machine, wait_ready},
        platform::{Store, cloud},
        record::Record,
        worker::{Worker, answer},
    },
    std::{
        collections::BTreeSet,
        io::Write,
        net::TcpStream,
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

const EVENTS: u32 = 40;
const GAP: Duration = Duration::from_millis(100);
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const SLOTS: u32 = 16;
/// Streams a second, over all machines.
const RATE: u64 = 18;
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"ask","host":"tiles.example","prefix":"/ask/","kind":"stream","timeoutMs":15000,"sloMs":100,"priority":1,"service":"oracle","attempts":2,"public":false,"resumable":true,"gapTargetMs":150}],
"services":[{"name":"oracle","healthPath":"/health","maxConns":140,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"priority":1}]}"#;

fn serve(record: &Record, worker: &str, version: &str, request: &Request, io: &TcpStream) -> bool {
    let id = request.header("request-id");
    if request.path == "/health" {
        return answer(io, request, "200 OK", &format!("Instance-Id: {worker}\r\n"), b"");
    }
    let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
    record.line(format!("worker {worker} ({version}) runs {id} after event {after}"));
    let mut out = io;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut sent = out.write_all(head.as_bytes()).is_ok();
    for n in after + 1..=EVENTS {
        let text = format!("id: {n}\ndata: {version} {worker}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        sent = sent && out.write_all(chunk.as_bytes()).is_ok();
        if !sent {
            return false;
        }
        thread::sleep(GAP);
    }
    out.write_all(b"0\r\n\r\n").is_ok()
}

/// What a client holds of its stream.
struct Stream {
    events: Vec<String>,
    last: u32,
    /// Its request that brought the first event.
    first: String,
    whole: bool,
}

impl Stream {
    fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().filter_map(|e| e.split(' ').next()).collect()
    }

    /// Adds the complete events of a body; returns how many there are.
    fn add(&mut self, body: &[u8]) -> usize {
        let text = String::from_utf8_lossy(body);
        let end = text.rfind("\n\n").map_or(0, |at| at + 2);
        let mut count = 0;
        for event in text[..end].split("\n\n").filter(|e| !e.is_empty()) {
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    self.last = id.parse().unwrap_or(0);
                } else if let Some(data) = line.strip_prefix("data: ") {
                    self.events.push(data.to_owned());
                }
            }
            count += 1;
        }
        count
    }
}

/// One client: begins a stream and takes it up when it breaks off, a few times within its deadline.
fn client(record: &Record, machines: &[Machine], n: u64) -> Stream {
    let mut stream = Stream { events: Vec::new(), last: 0, first: String::new(), whole: false };
    let end = Instant::now() + Duration::from_secs(15);
    for attempt in 0..5_u64 {
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(500) {
            break;
        }
        let id = format!("c{n}-{attempt}");
        let machine = &machines[((n + attempt) % machines.len() as u64) as usize];
        let mut request = format!(
            "POST /ask/{n} HTTP/1.1\r\nHost: tiles.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nApi-Key: {KEY}\r\nContent-Length: 0\r\n",
            left.as_millis()
        );
        if stream.last > 0 {
            request += &format!("Last-Event-Id: {}\r\nResumes: {}\r\n", stream.last, stream.first);
        }
        let response = http::call(machine.listen, &format!("{request}\r\n"), b"", left);
        let mut pause = Duration::from_millis(600);
        match response {
            Some(r) if r.status == 200 => {
                let before = stream.last;
                if stream.add(&r.body) > 0 && stream.first.is_empty() {
                    stream.first = id.clone();
                }
                record.line(format!(
                    "client {n}: {id} at {} after event {before} brought events to {}",
                    machine.name, stream.last
                ));
                if stream.last == EVENTS {
                    stream.whole = true;
                    break;
                }
            }
            Some(r) => {
                let after = r.header("retry-after").parse().unwrap_or(0.6);
                record.line(format!(
                    "client {n}: {id} at {} got {}, again in {after} s",
                    machine.name, r.status
                ));
                if r.status != 503 && r.status != 429 {
                    break;
                }
                pause = Duration::from_secs_f64(after).min(left / 3);
            }
            None => record.line(format!("client {n}: {id} at {} got no answer", machine.name)),
        }
        thread::sleep(pause);
    }
    stream
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Option<bool> {
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let (crash, kill) = (trouble && only != "kill", trouble && only != "crash");
    let store = Store::default();
    let (address, cloud) = (store.serve(), cloud());
    let mut workers = Vec::new();
    for n in 1..=6 {
        let version = if n < 6 { "v1" } else { "v2" };
        let (name, log) = (format!("i-worker{n}"), record.clone());
        let own = name.clone();
        workers
            .push(Worker::start(&name, move |request, io| serve(&log, &own, version, request, io)));
    }
    let entry = |n: usize, born: u64| {
        let version = if n < 5 { "v1" } else { "v2" };
        format!(
            r#"{{"service":"oracle","address":"{}","zone":"harju-a","version":"{version}","slots":{SLOTS},"state":"ready","coldLeftMs":0,"seq":1,"born":{born}}}"#,
            workers[n].address
        )
    };
    store.lock().put("op/config", CONFIG.as_bytes(), 0);
    for (n, worker) in workers.iter().enumerate() {
        store.lock().put(
            &format!("servers/{}", worker.name),
            entry(n, 1_790_000_000_000).as_bytes(),
            0,
        );
    }
    let machines: Vec<Machine> = ["front-a-1", "front-a-2", "front-a-3"]
        .iter()
        .map(|name| Machine::new(name, "harju-a", folder, address, cloud))
        .collect();
    machines.iter().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(6));
    record.say("the machines are ready; traffic begins");

    let streams = Mutex::new(Vec::new());
    let next = AtomicU64::new(100);
    let begun = Instant::now();
    thread::scope(|scope| {
        let (machines, streams, next) = (&machines, &streams, &next);
        scope.spawn(move || {
            while begun.elapsed() < Duration::from_millis(11_000) {
                thread::sleep(Duration::from_millis(1_000 / RATE));
                // New clients find no machine while all are down; those of before count here.
                if begun.elapsed() > Duration::from_millis(6_400)
                    && begun.elapsed() < Duration::from_millis(8_500)
                {
                    continue;
                }
                let n = next.fetch_add(1, SeqCst);
                scope.spawn(move || {
                    let stream = client(record, machines, n);
                    streams.lock().expect("not poisoned").push((n, stream));
                });
            }
        });
        let at = |ms| {
            thread::sleep(
                (begun + Duration::from_millis(ms)).saturating_duration_since(Instant::now()),
            )
        };
        let only_v2: &Arc<Worker> = &workers[5];
        at(4_000);
        if crash {
            record.say("the only worker of v2 crashes");
            only_v2.crash();
        }
        at(6_500);
        if kill {
            record.say("all machines are killed");
            machines.iter().for_each(|m| m.signal(crate::sys::SIGKILL));
            machines.iter().for_each(Machine::kill);
        }
        at(7_000);
        if crash {
            record.say("the worker of v2 is back, 3 s after its crash");
            only_v2.restart();
            store.lock().put("servers/i-worker6", entry(5, 1_790_000_100_000).as_bytes(), 0);
        }
        if kill {
            record.say("all machines start again");
            machines.iter().for_each(Machine::start);
        }
    });
    let streams = streams.into_inner().expect("not poisoned");
    let mixed: Vec<_> = streams.iter().filter(|(_, s)| s.versions().len() > 1).collect();
    let whole = streams.iter().filter(|(_, s)| s.whole).count();
    let taken_up =
        streams.iter().filter(|(_, s)| s.whole && s.events.len() as u32 >= EVENTS).count();
    for (n, stream) in &mixed {
        let change =
            stream.events.windows(2).position(|w| w[0].split(' ').next() != w[1].split(' ').next());
        record.say(format!(
            "client {n} holds events of {:?}; the version changes after event {}",
            stream.versions(),
            change.map_or(0, |c| c + 1)
        ));
    }
    record.say(format!(
        "{} streams, {whole} whole ({taken_up} with all events); {} hold events of two versions (the rule allows 2)",
        streams.len(),
        mixed.len()
    ));
    for machine in machines.iter().filter(|m| m.ended()) {
        record.say(format!("{} ended by itself", machine.name));
    }
    (whole > 0).then_some(mixed.len() <= 2)
}
