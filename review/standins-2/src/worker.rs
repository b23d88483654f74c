//! A worker process, plain or with an engine. Its answers have neither a length nor chunks and end with
//! their connections; those to health checks have a length.
//!
//! Arguments: name, service, version, stage (empty for none), zone, address of the store, microseconds that the
//! memory of one token takes the link, milliseconds until it serves. The listening socket is its standard input,
//! so that what supervises it keeps the socket across restarts.

use {
    crate::http::{self, Message},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        os::fd::AsFd,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Lines of a plain answer.
const LINES: usize = 40;
/// Pause in the middle of a plain answer.
const WORK: Duration = Duration::from_millis(300);
/// Pause before each event of a stream.
pub const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Events of a stream.
pub const EVENTS: u64 = 171;
/// Prompt tokens of a stream.
pub const PROMPT: u64 = 220;

/// Whole body of the plain answer to a request.
pub fn plain_body(id: &str) -> String {
    (1..=LINES).map(|n| format!("{id} line {n}\n")).collect()
}

/// Whole body of a stream of `v1`.
pub fn stream_body() -> String {
    (1..=EVENTS).map(|id| event(id, "v1")).collect()
}

/// An event names the version that made it.
fn event(id: u64, version: &str) -> String {
    format!("id: {id}\ndata: {version} token {id}\n\n")
}

/// What a worker knows of its runs.
#[derive(Default)]
struct Runs {
    /// Events that each run has made, by request.
    made: BTreeMap<String, u64>,
    /// Runs that were stopped to be moved.
    stopped: BTreeSet<String>,
    /// Tokens of each run that were copied.
    copied: BTreeMap<String, u64>,
    /// When the link is free again.
    link_free: Option<Instant>,
    next_handle: u64,
}

/// Places for requests that run at the same time, and for those that wait for one, first come, first served.
struct Slots {
    /// Number of places to run and to wait; `None` if there is no limit.
    limits: Option<(u64, u64)>,
    /// Requests that came, that began to run, and that ended.
    state: Mutex<(u64, u64, u64)>,
    changed: Condvar,
}

impl Slots {
    /// Waits for a place to run; false if there is none to wait either.
    fn enter(&self) -> bool {
        let Some((run, wait)) = self.limits else { return true };
        let mut state = self.state.lock().expect("not poisoned");
        if state.0 - state.2 >= run + wait {
            return false;
        }
        let own = state.0;
        state.0 += 1;
        while state.1 != own || state.1 - state.2 >= run {
            state = self.changed.wait(state).expect("not poisoned");
        }
        state.1 += 1;
        self.changed.notify_all();
        true
    }

    fn leave(&self) {
        self.state.lock().expect("not poisoned").2 += 1;
        self.changed.notify_all();
    }
}

struct Worker {
    name: String,
    slots: Slots,
    version: String,
    /// Whether its streams come in chunks.
    chunked: bool,
    stage: String,
    /// Time that the memory of one token takes the link.
    token: Duration,
    draining: Mutex<bool>,
    runs: Mutex<Runs>,
}

fn say(text: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    println!("{:.3} {text}", now.as_secs_f64());
}

pub fn run() -> ! {
    let args: Vec<String> = env::args().skip(2).collect();
    let [name, service, version, stage, zone, store, token_us, boot_ms] = &args[..] else {
        panic!("eight arguments")
    };
    let socket = io::stdin().as_fd().try_clone_to_owned().expect("a listening socket");
    let listener = TcpListener::from(socket);
    let millis = |text: &str| Duration::from_millis(text.parse().expect("milliseconds"));
    thread::sleep(millis(boot_ms));
    let store: SocketAddr = store.parse().expect("an address");
    let entry = entry(&listener, service, version, stage, zone);
    register(store, name, &entry);
    let worker = Arc::new(Worker {
        name: name.clone(),
        slots: Slots {
            limits: env::var("SLOTS").ok().and_then(|text| {
                let (run, wait) = text.split_once('+')?;
                Some((run.parse().ok()?, wait.parse().ok()?))
            }),
            state: Mutex::default(),
            changed: Condvar::new(),
        },
        version: version.clone(),
        chunked: env::var_os("CHUNKED").is_some(),
        stage: stage.clone(),
        token: Duration::from_micros(token_us.parse().expect("microseconds")),
        draining: Mutex::default(),
        runs: Mutex::default(),
    });
    say(&format!("started {version}"));
    let beats = entry.clone();
    let own_name = name.clone();
    let beating = worker.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            if !*beating.draining.lock().expect("not poisoned") {
                register(store, &own_name, &beats);
            }
        }
    });
    http::serve(listener, move |reader, writer| worker.serve(reader, writer, &entry, store));
    unreachable!("the listener does not end")
}

fn entry(listener: &TcpListener, service: &str, version: &str, stage: &str, zone: &str) -> Value {
    let address = listener.local_addr().expect("an address").to_string();
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let mut entry = json!({"service": service, "address": address, "zone": zone, "version": version,
        "slots": 12, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": born});
    if !stage.is_empty() {
        entry["stage"] = stage.into();
        entry["spot"] = true.into();
    }
    entry
}

fn register(store: SocketAddr, name: &str, entry: &Value) {
    let body = entry.to_string();
    let path = format!("/servers/{name}");
    http::call(store, "PUT", &path, &[], body.as_bytes(), Duration::from_secs(1));
}

impl Worker {
    fn serve(
        &self,
        mut reader: BufReader<TcpStream>,
        mut writer: TcpStream,
        entry: &Value,
        store: SocketAddr,
    ) -> io::Result<()> {
        loop {
            let request = http::read_request(&mut reader)?;
            let own = [("Instance-Id", self.name.as_str())];
            if request.header("expect-instance").is_some_and(|n| n != self.name) {
                writer.write_all(&http::response(421, &own, b""))?;
                continue;
            }
            let draining = *self.draining.lock().expect("not poisoned");
            match request.path() {
                "/health" if draining => {
                    let headers = [own[0], ("Connection", "close")];
                    return writer.write_all(&http::response(503, &headers, b""));
                }
                // It waits for a slot, or is rejected, in the same way as any other request.
                "/health" => {
                    let entered = self.slots.enter();
                    say(&format!("health check, admitted {entered}"));
                    if !entered {
                        writer.write_all(&http::response(503, &[("Not-Executed", "1")], b""))?;
                        continue;
                    }
                    let written = writer.write_all(&http::response(200, &own, b""));
                    self.slots.leave();
                    written?;
                }
                // The case tells a spot worker that it is reclaimed.
                "/drain" => {
                    *self.draining.lock().expect("not poisoned") = true;
                    let mut entry = entry.clone();
                    (entry["state"], entry["leaves_ms"]) = ("draining".into(), 2_500.into());
                    register(store, &self.name, &entry);
                    say("draining");
                    writer.write_all(&http::response(200, &own, b""))?;
                }
                "/-/kv-move" => {
                    let answer = self.copy_run(&request);
                    return writer.write_all(&answer);
                }
                "/-/report" => {
                    let report =
                        json!({"stage": self.stage, "models": [], "busy": false, "seq": 0});
                    writer.write_all(&http::response(200, &[], report.to_string().as_bytes()))?;
                }
                path if path.starts_with("/-/") => {
                    writer.write_all(&http::response(200, &[], b"{}"))?;
                }
                path if path.starts_with("/model/") => {
                    if !self.slots.enter() {
                        let id = request.header("request-id").unwrap_or_default();
                        let headers = [("Request-Id", id), ("Not-Executed", "1")];
                        writer.write_all(&http::response(503, &headers, b""))?;
                        continue;
                    }
                    let ended = self.stream(&request, writer);
                    self.slots.leave();
                    return ended;
                }
                _ => return self.plain(&request, writer),
            }
        }
    }

    fn head(&self, request: &Message) -> String {
        let id = request.header("request-id").unwrap_or_default();
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal.{id}\r\n\r\n")
    }

    fn plain(&self, request: &Message, mut writer: TcpStream) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default();
        say(&format!("run {id} {}", request.path()));
        let body = plain_body(id);
        let (first, second) = body.split_at(body.len() / 2);
        writer.write_all(format!("{}{first}", self.head(request)).as_bytes())?;
        thread::sleep(WORK);
        writer.write_all(second.as_bytes())?;
        say(&format!("end {id}"));
        Ok(())
    }

    fn stream(&self, request: &Message, mut writer: TcpStream) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let after = request.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        let source = request.header("kv-source").unwrap_or("none");
        say(&format!("run {id} {} after {after} source {source}", request.path()));
        self.runs.lock().expect("not poisoned").stopped.remove(&id);
        let head = self.head(request);
        let head = match self.chunked {
            true => head.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"),
            false => head,
        };
        writer.write_all(head.as_bytes())?;
        let asked = request.target().split_once("events=").and_then(|(_, n)| n.parse().ok());
        for number in after + 1..=asked.unwrap_or(EVENTS) {
            thread::sleep(EVENT_PAUSE);
            let mut runs = self.runs.lock().expect("not poisoned");
            if runs.stopped.contains(&id) {
                say(&format!("closed {id} at {}", number - 1));
                return Ok(());
            }
            runs.made.insert(id.clone(), number);
            drop(runs);
            let event = event(number, &self.version);
            let event = match self.chunked {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            writer.write_all(event.as_bytes())?;
        }
        if self.chunked {
            writer.write_all(b"0\r\n\r\n")?;
        }
        self.runs.lock().expect("not poisoned").made.remove(&id);
        say(&format!("end {id}"));
        Ok(())
    }

    /// Copies a run; with `last`, the run stops first. Copies go over the link one after another.
    fn copy_run(&self, request: &Message) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let last = body["last"].as_bool().unwrap_or_default();
        let mut runs = self.runs.lock().expect("not poisoned");
        let Some(created) = runs.made.get(&id).copied() else {
            return http::response(404, &[("Connection", "close")], b"");
        };
        if last {
            runs.stopped.insert(id.clone());
        }
        // Only what is new is copied.
        let tokens = PROMPT + created;
        let copied = runs.copied.insert(id.clone(), tokens).unwrap_or(0);
        let takes = self.token * tokens.saturating_sub(copied) as u32;
        let free = runs.link_free.unwrap_or_else(Instant::now).max(Instant::now()) + takes;
        runs.link_free = Some(free);
        runs.next_handle += 1;
        let handle = format!("{}-{}", self.name, runs.next_handle);
        drop(runs);
        let begun = Instant::now();
        thread::sleep(free.saturating_duration_since(begun));
        let took = begun.elapsed().as_millis();
        say(&format!("copied {id} last {last} created {created} handle {handle} in {took} ms"));
        let body = json!({"handle": handle, "created": created}).to_string();
        let headers = [("Content-Type", "application/json"), ("Connection", "close")];
        http::response(200, &headers, body.as_bytes())
    }
}
