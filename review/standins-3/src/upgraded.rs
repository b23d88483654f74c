//! Workers go down and up by turns, under the ids that they had; each is back with another version of its
//! software.

use {
    crate::{
        Outcome, Record,
        http::Reader,
        instance::{Instance, SAVIKODA_LARGE},
        platform::{Store, serve_duties},
        worker::{Copies, Proxy, Worker},
    },
    serde_json::json,
    std::{
        collections::BTreeSet,
        io::{self, Write},
        net::{TcpListener, TcpStream},
        path::Path,
        sync::atomic::Ordering::SeqCst,
        thread,
        time::Duration,
    },
};

const ZONE: &str = "harju-a";
const SERVICE: &str = "glaze-oracle";
const OLD: &str = "1.4.0";
const NEW: &str = "1.5.0";
const WORKERS: usize = 20;
/// Number of workers that go down and up, one after the other.
const FLAPPING: usize = 2;
/// Number of times that each goes down.
const FLAPS: usize = 2;
/// Time for which it is down, and up until it goes down again.
const DOWN: Duration = Duration::from_millis(975);
const UP: Duration = Duration::from_millis(425);
/// Number of streams, one each pause.
const STREAMS: usize = 720;
const PAUSE: Duration = Duration::from_millis(20);
/// Number of events of each.
const EVENTS: u64 = 44;
/// Number of attempts of a client.
const TRIES: usize = 3;

fn config() -> serde_json::Value {
    json!({"version": 7,
        "routes": [{"name": "r-nn4fm5h", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "stream",
            "timeoutMs": 15000, "sloMs": 120, "priority": 1, "service": SERVICE, "attempts": 2,
            "public": false, "sticky": true, "resumable": true, "gapTargetMs": 150}],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 1300, "protocol": "h1",
            "tls": false, "engine": {"slots": 12, "kvTokens": 1646001, "kvBytes": 35136,
                "linkMbps": 2900000.0, "moves": true, "backups": true, "handleTtlS": 5.0, "switchS": 3.0,
                "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": ["r26tta828m82thhkmgjq"], "priority": 1}]})
}

/// What a client received of a stream, over all attempts.
#[derive(Default)]
struct Received {
    /// Identifier and software version of each event, in order.
    events: Vec<(u64, String)>,
    complete: bool,
    statuses: Vec<u16>,
}

/// One attempt, which takes the stream up if an earlier one brought events.
fn attempt(listen: &str, id: &str, first: Option<&str>, received: &mut Received) -> io::Result<()> {
    let mut io = TcpStream::connect(listen)?;
    io.set_read_timeout(Some(Duration::from_secs(5)))?;
    let resume = match (received.events.last(), first) {
        (Some((event, _)), Some(first)) => format!("last-event-id: {event}\r\nresumes: {first}\r\n"),
        _ => String::new(),
    };
    let head = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\nmodel: m\r\n\
         token-counts: 141,{EVENTS}\r\nprompt-prefix: 5c1e07a2:79,{id}:62\r\ndeadline-ms: 12000\r\n\
         api-key: r26tta828m82thhkmgjq\r\n{resume}content-length: 8\r\n\r\nquestion"
    );
    io.write_all(head.as_bytes())?;
    let mut reader = Reader::new(io);
    let head = reader.head()?;
    received.statuses.push(head.status());
    if head.status() != 200 {
        return Ok(());
    }
    while let Some(data) = reader.chunk()? {
        // The instances forward whole events.
        let text = String::from_utf8_lossy(&data).into_owned();
        for line in text.lines().filter_map(|l| l.strip_prefix("data: ")) {
            let mut words = line.split(' ').skip(1);
            let event = words.next().and_then(|w| w.parse().ok()).unwrap_or_default();
            received.events.push((event, words.next().unwrap_or_default().to_owned()));
        }
    }
    received.complete = true;
    Ok(())
}

/// Asks for a stream, and takes it up again if it is broken off.
fn ask(listens: &[String], id: &str) -> Received {
    let mut received = Received::default();
    let mut first = None;
    for n in 0..TRIES {
        let own = format!("{id}{n}");
        let before = received.events.len();
        let sent = attempt(&listens[n % listens.len()], &own, first.as_deref(), &mut received);
        if before == 0 && !received.events.is_empty() {
            first = Some(own);
        }
        if sent.is_ok() && received.complete {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    received
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
    let start = |i: usize, proxy: &Proxy, version: &'static str| {
        let name = format!("i-7f3a91c{i}");
        let kind = (proxy, Some("decode"), version, 12);
        let worker = Worker::start(&name, SERVICE, ZONE, kind, &copies, (&store, record));
        worker.framed.store(true, SeqCst);
        worker
    };
    let proxies: Vec<Proxy> = (0..WORKERS).map(|_| Proxy::bind(record)).collect();
    let workers: Vec<_> = (0..WORKERS).map(|i| start(i, &proxies[i], OLD)).collect();
    let mut instances = Vec::new();
    let name = format!("front-{ZONE}-1");
    let at = (&*store_address, &*duties_address);
    let Some(instance) = Instance::start(root, folder, (&name, ZONE), at, &SAVIKODA_LARGE, record) else {
        return Outcome::NotRun;
    };
    instances.push(instance);
    thread::sleep(Duration::from_secs(14));
    let listens: Vec<String> = instances.iter().map(|i| i.listen.clone()).collect();
    let clients = thread::spawn(move || {
        let ask_one = |i: usize| {
            thread::sleep(PAUSE);
            let listens = listens.clone();
            let id = format!("s{i:03}");
            thread::spawn(move || (id.clone(), ask(&listens, &id)))
        };
        let calls: Vec<_> = (0..STREAMS).map(ask_one).collect();
        calls.into_iter().filter_map(|c| c.join().ok()).collect::<Vec<_>>()
    });
    thread::sleep(Duration::from_secs(8));
    // The busiest ones go down.
    let mut turns: Vec<usize> = (0..WORKERS).collect();
    turns.sort_by_key(|i| std::cmp::Reverse(workers[*i].open.load(SeqCst)));
    let busy: Vec<u32> = turns.iter().map(|i| workers[*i].open.load(SeqCst)).collect();
    record.line(&format!("streams at the workers: {busy:?}"));
    let mut later = Vec::new();
    for (turn, i) in turns.into_iter().take(if trouble { FLAPPING } else { 0 }).enumerate() {
        let mut proxy = proxies[i].clone();
        for _ in 0..FLAPS {
            proxy.gone.store(true, SeqCst);
            record.line(&format!("worker i-7f3a91c{i} crashes"));
            thread::sleep(DOWN);
            proxy = Proxy::bind_at(&proxy.address, record);
            later.push(start(i, &proxy, NEW));
            record.line(&format!("worker i-7f3a91c{i} is back under its id, with version {NEW}"));
            thread::sleep(UP);
        }
        record.line(&format!("{} of {FLAPPING} workers have gone down and up", turn + 1));
    }
    let Ok(streams) = clients.join() else { return Outcome::NotRun };
    let (mut mixed, mut whole) = (0, 0);
    for (id, r) in &streams {
        let versions: BTreeSet<&str> = r.events.iter().map(|(_, v)| v.as_str()).collect();
        whole += usize::from(r.complete);
        if versions.len() > 1 {
            mixed += 1;
            let turn = r.events.windows(2).find(|w| w[0].1 != w[1].1).map(|w| (w[0].clone(), w[1].clone()));
            record.line(&format!("client {id}: statuses {:?}, events of two versions: {turn:?}", r.statuses));
        }
    }
    record.line(&format!("{whole} of {STREAMS} streams are whole, {mixed} hold events of two versions"));
    match (mixed > 2, whole) {
        (true, _) => Outcome::Broken,
        (false, 0) => Outcome::NotRun,
        (false, _) => Outcome::Held,
    }
}
