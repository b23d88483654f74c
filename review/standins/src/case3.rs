//! Workers crash, one at a time, while one machine stands still. Half of the streams have neither a length
//! nor chunks and end with their connection. Each worker is a process of its own that is killed, so its
//! connections end as the operating system ends them.

use {
    crate::{
        http::{self, End, Request},
        machine::{Machine, wait_ready},
        platform::{Store, cloud},
        record::Record,
        sys,
        worker::{Worker, answer},
    },
    std::{
        collections::BTreeMap,
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        path::Path,
        process::{Child, Command, Stdio},
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Number of events of a stream: 40, or 100 of a long one.
fn events_of(id: &str) -> u32 {
    if id.starts_with('l') { 100 } else { 40 }
}

const GAP: Duration = Duration::from_millis(100);
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const WORKERS: usize = 6;
/// Callers at each machine, each with one stream at a time.
pub const CALLERS: u64 = 12;
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"ask","host":"tiles.example","prefix":"/ask/","kind":"stream","timeoutMs":15000,"sloMs":100,"priority":1,"service":"oracle","attempts":2,"public":false,"resumable":true,"gapTargetMs":150}],
"services":[{"name":"oracle","healthPath":"/health","maxConns":140,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"priority":1}]}"#;

fn event(id: &str, n: u32) -> String {
    format!("id: {n}\ndata: {id} {n}\n\n")
}

/// Whether the answer to this request has neither a length nor chunks.
fn unframed(id: &str) -> bool {
    id.ends_with(['0', '2', '4', '6', '8'])
}

/// The program of one worker; it runs until it is killed.
pub fn worker(name: &str, address: SocketAddr) {
    let own = name.to_owned();
    let _worker = Worker::start_at(name, address, move |request, io| serve(&own, request, io));
    // The case holds the other end, so that no worker outlives it.
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
    std::process::exit(0);
}

fn serve(worker: &str, request: &Request, io: &TcpStream) -> bool {
    let id = request.header("request-id");
    if request.path == "/health" {
        return answer(io, request, "200 OK", &format!("Instance-Id: {worker}\r\n"), b"");
    }
    let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
    println!("worker {worker} runs {id} after event {after}");
    let framing = match unframed(id) {
        true => "Connection: close\r\n",
        false => "Transfer-Encoding: chunked\r\n",
    };
    let mut out = io;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
    );
    let mut sent = out.write_all(head.as_bytes()).is_ok();
    for n in after + 1..=events_of(id) {
        thread::sleep(GAP);
        let text = event(id, n);
        sent = sent
            && match unframed(id) {
                true => out.write_all(text.as_bytes()).is_ok(),
                false => {
                    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
                }
            };
        if !sent {
            return false;
        }
    }
    println!("worker {worker} has sent {id} to its last event");
    !unframed(id) && out.write_all(b"0\r\n\r\n").is_ok()
}

/// A worker's process; killed when it is dropped.
pub struct Process {
    pub name: String,
    pub address: SocketAddr,
    child: Mutex<Option<Child>>,
}

impl Process {
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self { name: name.into(), address, child: Mutex::new(None) }
    }

    pub fn start(&self, record: &Record) {
        let program = std::env::current_exe().expect("this program has a path");
        let child = Command::new(program)
            .args(["worker", &self.name, &self.address.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.expect("this program can be started");
        let out = child.stdout.take().expect("a pipe");
        let record = record.clone();
        thread::spawn(move || {
            BufReader::new(out).lines().map_while(Result::ok).for_each(|l| record.line(l));
        });
        *self.child.lock().expect("not poisoned") = Some(child);
    }

    /// Asks it to exit, which it does at once.
    pub fn terminate(&self) {
        if let Some(mut child) = self.child.lock().expect("not poisoned").take() {
            sys::signal(child.id(), sys::SIGTERM);
            let _ = child.wait();
        }
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("not poisoned").take() {
            let _ = (child.kill(), child.wait());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How the answers to clients ended.
pub type Ends = Mutex<BTreeMap<&'static str, u32>>;

pub fn ask(record: &Record, machine: &Machine, id: &str, ends: &Ends) {
    let request = format!(
        "POST /ask/{id} HTTP/1.1\r\nHost: tiles.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 15000\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n",
        id.len()
    );
    let all = events_of(id);
    let due = (1..=all).map(|n| event(id, n)).collect::<String>().into_bytes();
    let name = &machine.name;
    let end = match http::call(machine.listen, &request, id.as_bytes(), Duration::from_secs(15)) {
        Some(r) if r.status != 200 => {
            record.line(format!("client of {name}: {id} got {}", r.status));
            thread::sleep(Duration::from_millis(300));
            "refused or failed"
        }
        Some(r) if r.end == End::Complete && r.body == due => "whole",
        Some(r) if r.end == End::Complete => {
            let events = r.body.windows(4).filter(|w| *w == b"id: ").count();
            record.say(format!(
                "BROKEN: client of {name}: {id} got 200 that ends as complete ({}) after {events} of {all} events",
                r.framing
            ));
            "cut short, but complete to the client"
        }
        Some(_) | None => {
            record.line(format!("client of {name}: {id} was broken off visibly"));
            "broken off visibly"
        }
    };
    *ends.lock().expect("not poisoned").entry(end).or_default() += 1;
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Option<bool> {
    let only = std::env::var("TROUBLE").unwrap_or_default();
    let (crash, freeze) = (trouble && only != "freeze", trouble && only != "crash");
    let store = Store::default();
    let (address, cloud) = (store.serve(), cloud());
    store.lock().put("op/config", CONFIG.as_bytes(), 0);
    let born = AtomicU64::new(1_790_000_000_000);
    let list = |worker: &Process| {
        let entry = format!(
            r#"{{"service":"oracle","address":"{}","zone":"harju-a","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":1,"born":{}}}"#,
            worker.address,
            born.fetch_add(1, SeqCst)
        );
        store.lock().put(&format!("servers/{}", worker.name), entry.as_bytes(), 0);
    };
    let workers: Vec<Process> = (1..=WORKERS)
        .map(|n| {
            let address = SocketAddr::from(([127, 0, 0, 1], sys::free_port()));
            Process::new(&format!("i-worker{n}"), address)
        })
        .collect();
    for worker in &workers {
        worker.start(record);
        list(worker);
    }
    let names = ["front-a-1", "front-a-2", "front-b-1", "front-b-2"];
    let machines: Vec<Machine> =
        names.iter().map(|name| Machine::new(name, "harju-a", folder, address, cloud)).collect();
    machines.iter().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    record.say("the machines are ready; traffic begins");

    let ends = Ends::default();
    let (next, stop) = (AtomicU64::new(1000), AtomicBool::new(false));
    let begun = Instant::now();
    thread::scope(|scope| {
        for machine in &machines {
            for lane in 0..CALLERS {
                let (next, stop, ends) = (&next, &stop, &ends);
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(330 * lane));
                    while !stop.load(SeqCst) {
                        let id = format!("s{}", next.fetch_add(1, SeqCst));
                        ask(record, machine, &id, ends);
                    }
                });
            }
        }
        let at = |ms: u64| {
            thread::sleep(
                (begun + Duration::from_millis(ms)).saturating_duration_since(Instant::now()),
            )
        };
        let mut next_worker = workers.iter().cycle();
        // A machine stands still for 5 s; a worker crashes 1 s and 4 s after it has begun to.
        for (round, frozen) in [(0, 3), (1, 2), (2, 1)] {
            let from = 5_000 + 13_000 * round;
            at(from);
            if freeze {
                record.say(format!("{} stands still", machines[frozen].name));
                machines[frozen].signal(sys::SIGSTOP);
            }
            for (crashes, back) in [(1_000, 3_500), (4_000, 6_500)] {
                let worker = next_worker.next().expect("a cycle");
                at(from + crashes);
                if crash {
                    record.say(format!("{} crashes", worker.name));
                    worker.kill();
                }
                if crashes == 4_000 {
                    at(from + 5_000);
                    if freeze {
                        record.say(format!("{} goes on", machines[frozen].name));
                        machines[frozen].signal(sys::SIGCONT);
                    }
                }
                at(from + back);
                if crash {
                    record.line(format!("{} is back", worker.name));
                    worker.start(record);
                    list(worker);
                }
            }
        }
        at(5_000 + 13_000 * 3);
        stop.store(true, SeqCst);
    });
    let ends = ends.into_inner().expect("not poisoned");
    for (end, count) in &ends {
        record.say(format!("{count} answers: {end}"));
    }
    for machine in machines.iter().filter(|m| m.ended()) {
        record.say(format!("{} ended by itself", machine.name));
    }
    let short = ends.get("cut short, but complete to the client").copied().unwrap_or(0);
    ends.contains_key("whole").then_some(short == 0)
}
