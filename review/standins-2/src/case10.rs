//! Case 10: many users come at once, and workers have requests waiting for their slots.

use {
    crate::{
        http::Kept,
        site::{self, Folder, HOST, KEY, Process, Record, WorkerSpec},
        store::Store,
    },
    serde_json::json,
    std::{
        collections::BTreeSet,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const WORKERS: usize = 4;
/// Places of a worker to run and to wait.
const SLOTS: &str = "6+18";
/// Events of a stream, one each 40 ms.
const EVENTS: usize = 50;
/// New streams a second in usual times; the workers have places for 12.
const USUAL: f64 = 8.0;
/// How many times as many come in the burst.
const BURST: f64 = 1.9;
const BURST_TIME: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(15);

pub fn run() -> ! {
    let out =
        PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| site::cannot_run("no folder")));
    let record = Record::open(&out.join("record.txt"));
    let folder = Folder::create("10");
    let broken = play(&record, &folder);
    drop(folder);
    exit(i32::from(broken))
}

/// What a client saw of a stream.
struct Seen {
    id: String,
    status: u16,
    complete: bool,
    events: usize,
    took: Duration,
}

fn play(record: &Record, folder: &Folder) -> bool {
    let store = Store::start();
    let services = [json!({"name": "oracle", "healthPath": "/health", "maxConns": 140,
        "engine": {"slots": 6, "kvTokens": 1_481_604, "kvBytes": 35_136, "handleTtlS": 5.0,
            "switchS": 3.0}})];
    let more = json!({"attempts": 2, "sticky": true, "gapTargetMs": 150});
    let routes = [site::route("model", "stream", "oracle", 15_000, more)];
    store.put("op/config", &site::config(7, &routes, &services));
    let mut workers: Vec<(WorkerSpec, TcpListener, Process)> = Vec::new();
    // One more worker prefills, and gets no short prompts.
    for number in 0..=WORKERS {
        let spec = WorkerSpec {
            name: format!("i-7f3a91c{number}"),
            service: "oracle".into(),
            version: "v1".into(),
            stage: if number < WORKERS { "decode" } else { "prefill" }.into(),
            zone: "a".into(),
            token_us: 0,
            boot_ms: 0,
            chunked: false,
            slots: SLOTS,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let process = site::worker(folder, &store, &spec, &listener);
        workers.push((spec, listener, process));
    }
    let terms = "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform";
    let instances: Vec<_> =
        ["front-a-1", "front-a-2"].map(|name| site::instance(folder, &store, name, terms)).into();
    site::wait_ready(&instances);
    thread::sleep(Duration::from_secs(5));
    record.line("the instances are ready; the streams begin");
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let (begun, mut next, mut open, mut index) = (Instant::now(), Instant::now(), Vec::new(), 0);
    let burst = Duration::from_secs(5)..Duration::from_secs(5) + BURST_TIME;
    while begun.elapsed() < burst.end + Duration::from_secs(5) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let pressed = site::trouble() && burst.contains(&begun.elapsed());
        let rate = if pressed { USUAL * BURST } else { USUAL };
        next += Duration::from_micros((1e6 / rate) as u64);
        let (address, seen) = (instances[index % instances.len()].listen, seen.clone());
        open.push(thread::spawn(move || client(index, address, &seen)));
        index += 1;
    }
    open.into_iter().for_each(|t| t.join().expect("a client"));
    let mut ended = BTreeSet::new();
    for (spec, ..) in &workers {
        for line in site::runs(folder, &spec.name) {
            if let Some((_, id)) = line.split_once(" end ") {
                ended.insert(id.to_owned());
            }
            record.line(&format!("worker {}: {line}", spec.name));
        }
    }
    let seen = seen.lock().expect("not poisoned");
    let (mut whole, mut lost, mut refused) = (0, 0, 0);
    for s in seen.iter() {
        let done = s.status == 200 && s.complete && s.events == EVENTS;
        // The worker ended it well before the deadline and the route's timeout.
        let cut =
            s.status == 200 && !s.complete && ended.contains(&s.id) && s.took < DEADLINE / 10 * 7;
        whole += usize::from(done);
        lost += usize::from(cut);
        refused += usize::from(matches!(s.status, 429 | 503));
        record.line(&format!(
            "stream {} status {} complete {} events {} of {EVENTS} after {} ms{}",
            s.id,
            s.status,
            s.complete,
            s.events,
            s.took.as_millis(),
            if cut {
                ": RUN TO ITS END, CONNECTION CLOSED WITHOUT THE END OF THE ANSWER"
            } else {
                ""
            }
        ));
    }
    let text = format!(
        "streams {} whole {whole} refused {refused} closed without the end {lost}",
        seen.len()
    );
    record.line(&text);
    println!("{text}");
    if whole < 50 {
        site::cannot_run("too few streams were served");
    }
    lost > 3
}

/// Sends a short stream over a new connection, and then the one that counts.
fn client(index: usize, address: SocketAddr, seen: &Mutex<Vec<Seen>>) {
    let Ok(mut kept) = Kept::open(address, DEADLINE) else { return };
    let first = format!("{index:015x}a");
    if !ask(&mut kept, &first, 1).complete {
        return;
    }
    let (id, begun) = (format!("{index:015x}b"), Instant::now());
    let answer = ask(&mut kept, &id, EVENTS);
    let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
    let (status, complete, took) = (answer.status, answer.complete, begun.elapsed());
    seen.lock().expect("not poisoned").push(Seen { id, status, complete, events, took });
}

fn ask(kept: &mut Kept, id: &str, events: usize) -> crate::http::Answer {
    let (counts, prefix) = (format!("220,{events}"), format!("{}:220", &id[8..]));
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Counts", &counts),
        ("Prompt-Prefix", &prefix),
        ("Deadline-Ms", "15000"),
        ("Api-Key", KEY),
    ];
    kept.post(&format!("/model/2f?events={events}"), &headers, id.as_bytes())
}
